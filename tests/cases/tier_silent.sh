# Guards against requests to a drained leaf because a reader takes a silent connection to the store for
# one on which nothing has changed; and against configurations that are late for the same reason.
. stand-ins/tier.sh
tier_bound_ms=3000
tier_begin "$PA_SCRATCH" 28900
for n in 1 2 3; do tier_start $n; done
sleep 4
versions() { for n in 1 2 3; do tier_metric $n tier_configuration_version; done | sort -u | paste -sd' '; }
in_force() { for _ in $(seq 30); do [ "$(versions)" = "$1" ] && { echo "version $1 is in force"; return; }; sleep 0.1; done; echo "not in force: $(versions)"; }
for round in 1 2 3; do
	echo "== round $round: the connections of the store's watches fall silent, then a leaf drains and a version comes"
	tier_control '/silence?kind=servers' >/dev/null
	tier_control '/silence?kind=config' >/dev/null
	tier_control "/leaf?id=i-$round&state=draining" >/dev/null
	tier_control "/configuration?version=$((round + 1))" >/dev/null
	"$PA_BUILD/caller" --targets "$(tier_callers 3)" --seconds 6 --rate 60 >"$PA_SCRATCH/load" &
	in_force $((round + 1))
	wait $!
	grep -o 'wrong.*' "$PA_SCRATCH/load"
	tier_control '/late?ms=3000' | grep -o 'late [0-9]*'
	tier_control "/leaf?id=i-$round&state=ready" >/dev/null
	sleep 1
done
grep -l LOG_TIER_WATCH_SILENT "$PA_SCRATCH"/vm*.log >/dev/null && echo "the log says so"
