# Guards against a false "not_run": a VM is frozen in the middle of an order, the same key and try is
# asked at another VM, which runs it; woken, the first one must not say that it did not run.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 29200
fleet_start_platform
fleet_start_upstream main --instances 2 --leaves 2
pa settings set admission deadline >/dev/null
fleet_start_vm 1 a r; fleet_start_vm 2 a r
fleet_wait_ready 1; fleet_wait_ready 2
order() { # vm, key
	curl -s -m 15 -X POST "http://$(fleet_caller "$1")/order" -d "{\"index\": \"main\", \"key\": \"$2\", \"issued_ms\": $(date +%s)000, \"try\": 1, \"order\": {}}" | grep -o '"outcome":"[a-z_]*"' | cut -d'"' -f4
}
false=0 ran=0
for round in $(seq "${rounds:-30}"); do
	delay=$(awk -v n="$round" 'BEGIN {printf "%.3f", (n % 15) * 0.0015}')
	order 1 "f-$round" >"$PA_SCRATCH/first" & first=$!
	sleep "$delay"; kill -STOP "$vm_pid_1"
	sleep 0.05
	order 2 "f-$round" >"$PA_SCRATCH/second"
	sleep 1.2; kill -CONT "$vm_pid_1"
	wait $first
	# The record is what any VM answers to the key from now on.
	record=$(order 2 "f-$round")
	[ "$record" = done ] && ran=$((ran + 1))
	[ "$record" = done ] && [ "$(cat "$PA_SCRATCH/first")" = not_run ] && false=$((false + 1))
	sleep 0.3
done
[ $ran -ge 5 ] && echo "orders ran"
echo "told not_run though it ran: $false"
