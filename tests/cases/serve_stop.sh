# Guards against resets and false refusals at a planned stop: connections that wait to be accepted,
# and orders in work when the operator stops the VM a second time.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 28600
fleet_start_platform
fleet_start_upstream main --instances 2 --leaves 2
pa settings set admission deadline >/dev/null
now=$(date +%s)000
call() { # until the process is gone: requests on connections of their own
	local code
	for n in $(seq 2000); do
		curl -s -m 8 -o /dev/null -w '%{http_code}\n' -X POST "http://$(fleet_caller 1)/search" -d '{"index": "main", "query": "x"}'
		code=$?
		[ $code -eq 7 ] && return # nobody listens any more
		[ $code -eq 0 ] || echo "curl $code"
	done
}
for round in 1 2 3; do
	fleet_start_vm 1 a r; fleet_wait_ready 1
	calls=()
	for n in 1 2 3 4; do call >"$PA_SCRATCH/call-$n" & calls+=($!); done
	sleep 0.5; kill -TERM "$vm_pid_1"
	wait "${calls[@]}"; wait "$vm_pid_1"
	echo "exit $?, without an answer: $(cat "$PA_SCRATCH"/call-* | grep -c curl), refused: $(cat "$PA_SCRATCH"/call-* | grep -vc '200\|curl\|000')"
done

echo "== an order in work at the second signal"
fleet_start_vm 1 a r; fleet_wait_ready 1
for n in 0 1; do fleet_fault "$control_main" "{\"instance\": $n, \"hang\": true}"; done
curl -s -m 20 -o "$PA_SCRATCH/order" -w '%{http_code}\n' -X POST "http://$(fleet_caller 1)/order" \
	-d "{\"index\": \"main\", \"key\": \"cut\", \"issued_ms\": $now, \"try\": 1, \"deadline_ms\": 5000, \"order\": {}}" >"$PA_SCRATCH/status" &
order=$!
sleep 0.3; kill -TERM "$vm_pid_1"; sleep 0.1; kill -TERM "$vm_pid_1"; sleep 0.1; kill -TERM "$vm_pid_1"
wait $order; wait "$vm_pid_1"
cat "$PA_SCRATCH/status"; grep -o '"outcome":"[a-z_]*"' "$PA_SCRATCH/order"
