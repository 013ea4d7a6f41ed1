# The catalogues in docs/ are what the code says; every event is used.
events=$("$PA_BUILD/plantainarch" events); metrics=$("$PA_BUILD/plantainarch" metrics)
grep '^|' docs/EVENTS.md | diff - <(echo "$events") >&2 && echo "docs/EVENTS.md agrees"
grep '^|' docs/METRICS.md | diff - <(echo "$metrics") >&2 && echo "docs/METRICS.md agrees"
for name in $(grep -o '([0-9]*, LOG_[A-Z_]*' src/events.h | grep -o 'LOG_.*') $(grep -o '(METRIC_[A-Z_]*' src/metrics_list.h | tr -d '('); do
	grep -q "\b$name\b" src/*.c || echo "$name is never used"
done
"$PA_BUILD/plantainarch" nonsense 2>&1; echo "exit $?"
for command in serve tier explain-request check search order status explain settings load keys events metrics plugins version; do
	"$PA_BUILD/plantainarch" $command --help >/dev/null 2>&1 || echo "$command has no help"
done
