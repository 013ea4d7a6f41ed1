#!/usr/bin/env bash
# Shows for each deliberate fault the first seed that finds it: breaks.sh BUILD NAME:FUNCTION...
set -u
cd "$(dirname "$0")/.."
build=$1 missed=0
seed_first=100 seeds=10
shift
for break in "$@"; do
	name=${break%%:*} found=no
	for seed in $(seq $seed_first $((seed_first + seeds - 1))); do
		line=$("$build/soak" --build "$build" --program "broken/$name" --quiet --seed "$seed" --folder "$build/soak-runs/$name" | grep '^seed')
		case $line in
		*'broken 0') ;;
		*) echo "$name found at $line"; found=yes; break ;;
		esac
	done
	[ $found = yes ] || { echo "$name not found in $seeds seeds"; missed=$((missed + 1)); }
done
echo "$missed deliberate faults missed"
[ $missed -eq 0 ]
