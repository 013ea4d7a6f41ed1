#!/usr/bin/env bash
# The first of ten seeds that finds each deliberate fault: breaks.sh BUILD NAME:FUNCTION...
cd "$(dirname "$0")/.." || exit 2
build=$1 missed=0
shift
for break in "$@"; do
	name=${break%%:*} line=
	for seed in $(seq 100 109); do
		line=$("$build/soak" --build "$build" --program "broken/$name" --quiet --seed "$seed" --folder "$build/soak-runs/$name" | grep '^seed')
		[[ $line == *'broken 0' ]] || break
	done
	[[ $line == *'broken 0' ]] && missed=$((missed + 1))
	echo "$name: $line"
done
echo "$missed deliberate faults missed"
[ $missed -eq 0 ]
