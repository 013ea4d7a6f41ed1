#!/usr/bin/env bash
# Runs the seeds that have failed before: regressions.sh BUILD
cd "$(dirname "$0")/.." || exit 2
build=${1:-build} failed=0
while read -r seed seconds _; do
	[[ $seed == [0-9]* ]] || continue
	"$build/soak" --build "$build" --quiet --seed "$seed" --seconds "$seconds" --folder "$build/soak-runs" </dev/null || failed=$((failed + 1))
done <soak/seeds.txt
echo "$failed regressions failed"
[ $failed -eq 0 ]
