# The soak's checker on histories that keep every promise, and on one for each
# promise that breaks it. Cases that the pages allow stand beside those broken.
for history in tests/histories/*.history; do
	echo "== $(basename "$history" .history)"
	"$PA_BUILD/soak" --check "$history"
done
echo "== without bounds of time"
for name in drain held lost twice; do
	"$PA_BUILD/soak" --untimed --check "tests/histories/$name.history"
done
