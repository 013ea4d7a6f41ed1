# Faults of leaves and VMs: no answer is mixed up, truncated or duplicated, whatever leaves send.
# A request that is not idempotent runs once; a killed or frozen VM affects only its own requests.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 24800
for n in 1 2 3; do tier_start $n; done
fault() { tier_control "/fault?leaf=$1&kind=$2&share=${3:-1}" >/dev/null; }
calls() { "$PA_BUILD/caller" --targets "$(tier_callers 3)" "$@" >"$PA_SCRATCH/load" 2>>"$PA_SCRATCH/calls"; grep -o 'wrong.*' "$PA_SCRATCH/load"; }
most_served() { awk '{print ($4 + $6 >= 0.75 * $2) ? "most were served" : "too few were served: " $0}' "$PA_SCRATCH/load"; }

for kind in extra cut garbage reset error shed; do
	echo "== a third of the answers: $kind"
	fault all $kind 0.3
	calls --seconds 1.5 --path /fetch/x --shards 0
	calls --seconds 1.5 --path /once/x --shards 0
done
fault all none

for kind in dark slow moved reset; do
	echo "== two leafs: $kind"
	fault i-0 $kind; fault i-5 $kind
	calls --seconds 2
	most_served
	fault all none
	sleep 0.5
done

echo "== a shard without any leaf"
fault i-2 reset; fault i-3 reset
calls --seconds 1.5
most_served
fault all none

echo "== a VM is killed, another frozen"
kill -9 "$tier_pid_2"; kill -STOP "$tier_pid_3"
sleep 0.5
"$PA_BUILD/caller" --targets "127.0.0.1:$(tier_caller_port 1)" --seconds 1 >"$PA_SCRATCH/load"; grep -o 'refused.*' "$PA_SCRATCH/load"
kill -CONT "$tier_pid_3"
sleep 0.3
tier_ready 3
tier_start 2
tier_ready 2
calls --seconds 1
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
