#!/usr/bin/env bash
# Runs every test and prints "N passed, N failed". A test is a C program in tests/
# that must exit with 0, or a script in tests/cases/ whose output must equal its
# .expected file. A failure of a test named in KNOWN-RED.txt is printed, but does
# not fail the run. Usage: tests/run.sh [BUILD]
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
passed=0 failed=0 known_red=0
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

is_known_red() { [ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt; }

report() { # NAME STATUS LOG: counts the result and prints it
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1)); echo "ok   $1"
	elif is_known_red "$1"; then
		known_red=$((known_red + 1)); echo "red  $1 (KNOWN-RED.txt)"
	else
		failed=$((failed + 1)); echo "FAIL $1"; sed 's/^/     /' "$3" | head -60
	fi
}

for source in tests/*.c; do
	name=$(basename "$source" .c)
	[ -x "$build/tests/$name" ] || continue
	"$build/tests/$name" >"$scratch/log" 2>&1
	report "$name" $? "$scratch/log"
done
for script in tests/cases/*.sh; do
	[ -f "$script" ] || continue
	name=$(basename "$script" .sh)
	PA_BUILD=$PWD/$build PA_SCRATCH=$scratch/$name bash "$script" >"$scratch/out" 2>"$scratch/err"
	diff -u "${script%.sh}.expected" "$scratch/out" >"$scratch/log" 2>&1
	status=$?
	[ $status -eq 0 ] || { echo "--- stderr"; tail -20 "$scratch/err"; } >>"$scratch/log"
	report "$name" $status "$scratch/log"
done
[ $known_red -eq 0 ] || echo "known red, not counted: $known_red"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
