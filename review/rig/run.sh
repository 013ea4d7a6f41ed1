# Sourced by the scripts of the second review: runs the case of the script's folder.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/case-$number
[ -x "$program" ] && [ -x target/plantainarch ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
scratch=$(mktemp -d) || exit 2
"$program" "review/$number/record.txt" target/plantainarch "$scratch" &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT
trap 'rm -rf "$scratch"' EXIT
wait "$pid"
status=$?
[ $status -le 2 ] || status=2
exit $status
