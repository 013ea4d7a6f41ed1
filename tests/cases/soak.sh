# The fault soak, short and without bounds of time: a seed gives the same faults
# each time, the program keeps its promises, and deliberate faults are found.
soak() { "$PA_BUILD/soak" --build "$PA_BUILD" --untimed --quiet --seconds 9 --vms 3 --shards 3 --port 14000 --folder "$PA_SCRATCH" "$@"; }
echo "== the schedule of a seed"
soak --seed 3 --print >"$PA_SCRATCH.one"
soak --seed 3 --print | cmp "$PA_SCRATCH.one" && head -3 "$PA_SCRATCH.one"
echo "== the program"
soak --seed 3 >"$PA_SCRATCH.run"; echo "exit $?"
awk '/^seed/ {print ($8 > 100) ? "requests were served" : $0; print $9, $10}' "$PA_SCRATCH.run"
found() { # NAME PROMISE
	echo "== the program with a deliberate fault: $1"
	soak --seed 3 --program "broken/$1" >"$PA_SCRATCH.run"; echo "exit $?"
	grep -o "^  BROKEN $2" "$PA_SCRATCH.run" | sort -u
}
found merge MIXED
found deny DENIED
