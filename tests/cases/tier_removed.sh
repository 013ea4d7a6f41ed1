# Guards against the use of a removed leaf for longer than drain_ms by VMs whose readers the
# store turns away: they learn of the removal late, and must not count their grace from then.
. stand-ins/tier.sh
tier_vm_ports=1 tier_bound_ms=3000
tier_begin "$PA_SCRATCH" 25400 --vms 4
wait_view() { # number, mode
	for _ in $(seq 120); do [ "$(tier_metric "$1" tier_view)" = "$2" ] && return; sleep 0.05; done
	echo "VM $1 is not in mode $2 but $(tier_metric "$1" tier_view)"
}
followers="127.0.0.1:$(tier_caller_port 3),127.0.0.1:$(tier_caller_port 4)"
tier_start 1; tier_start 2; wait_view 1 3; wait_view 2 3
tier_start 3; tier_start 4; wait_view 3 1; wait_view 4 1

# The other leaf of the shard fails half of its requests, so that the removed one is tried.
tier_control '/fault?leaf=i-1&kind=error&share=0.5' >/dev/null
round() { # what; then a command that brings the readers into trouble, and one that ends it
	echo "== $1"
	"$PA_BUILD/caller" --targets "$followers" --path /fetch/x --shards 0 --rate 60 --seconds 6 >"$PA_SCRATCH/load" &
	local load=$!
	sleep 0.5
	eval "$2"
	tier_control '/leaf?id=i-0&state=gone' >/dev/null
	sleep 4.5
	eval "$3"
	wait $load
	grep -o 'wrong.*' "$PA_SCRATCH/load"
	tier_control '/late?ms=3000' | grep -o 'late [0-9]*'
	tier_control '/leaf?id=i-0&state=ready' >/dev/null
	sleep 3
}
both() { for n in 1 2; do tier_control "/turn-away?vm=$n&state=$1" >/dev/null; done; }
round "the store turns the readers away" 'both on' 'both off'
# Others may read now: the readers are found anew.
readers=$(for n in 1 2 3 4; do [ "$(tier_metric $n tier_view)" = 3 ] && eval "echo \$tier_pid_$n"; done)
followers=$(for n in 1 2 3 4; do [ "$(tier_metric $n tier_view)" = 3 ] || echo "127.0.0.1:$(tier_caller_port $n)"; done | paste -sd,)
round "the readers freeze" 'kill -STOP $readers' 'kill -CONT $readers'
