# During a platform outage searches continue, orders fail as not_run and a new VM
# gets the settings from its peers; settings do not revert after the outage.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 23400
fleet_start_platform
fleet_start_upstream main --instances 3 --leaves 2
pa settings set hedge_quantile 90% >/dev/null
pa settings set hedge_quantile 91% >/dev/null
fleet_start_vms 3
order() { pa order --target "$(fleet_caller "$1")" --index main --key "$2" "${@:3}" '{"n": 1}'; }
echo "before: $(order 1 before)"
for mode in refuse hang; do
	echo "-- outage: $mode"
	fleet_fault "$fleet_platform_url" "{\"outage\": \"$mode\"}"
	pa search --target "$(fleet_caller 2)" --index main "x" | grep coverage
	echo "new order: $(order 2 "during-$mode")"
done
echo "-- a fresh VM in the outage"
fleet_start_vm 4 a r
cat >>"$PA_SCRATCH/vm4.yaml" <<Y
seeds: tcp://127.0.0.1:$((fleet_port + 210)),tcp://127.0.0.1:$((fleet_port + 220))
Y
kill -KILL "$vm_pid_4"; wait "$vm_pid_4" 2>/dev/null
"$fleet_build/plantainarch" serve --settings "$PA_SCRATCH/vm4.yaml" 2>>"$PA_SCRATCH/vm4.log" &
fleet_pids="$fleet_pids $!"
fleet_wait_ready 4 && echo "ready with settings version $(fleet_metric 4 settings_version)"
pa search --target "$(fleet_caller 4)" --index main "x" | grep coverage
echo "-- the platform is back"
fleet_fault "$fleet_platform_url" '{"outage": ""}'
sleep 3
echo "the order from before, through VM 4: $(order 4 before)"
version=$(pa settings set hedge_quantile 92% | awk '/accepted/ {print $2}')
pa settings wait "$version" $(fleet_callers 4) | sed 's/after .*/in time/'
for mode in refuse hang; do echo "order during-$mode, second try: $(curl -s -X POST "http://$(fleet_caller 3)/order" -d "{\"index\":\"main\",\"key\":\"during-$mode\",\"issued_ms\":$(date +%s)000,\"try\":2,\"order\":{\"n\":1}}" | grep -o '"outcome":"[a-z_]*"')"; done
echo "orders run: $(curl -s "$control_main/stats" | grep -o '"orders":{[^}]*}')"
echo "doubled: $(curl -s "$control_main/stats" | grep -o '"doubled":[0-9]*')"
