# VMs are killed and paused under load: callers of the other VMs lose no query,
# no order runs twice, and the answers to callers agree with the orders that ran.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 23600
fleet_start_platform
fleet_start_upstream main --instances 6 --leaves 2
pa settings set deadline 2s standard >/dev/null
pa settings set deadline 1s urgent >/dev/null
fleet_start_vms 5
pa load $(fleet_callers 3) --flow index=main,rank=urgent,rate=60 --flow index=main,rank=standard,rate=40 --flow index=main,rank=standard,rate=20,orders=1 --seconds 8 --history "$PA_SCRATCH/history" --quiet >"$PA_SCRATCH/load" &
load=$!
sleep 2; kill -KILL "$vm_pid_4"
sleep 1; kill -STOP "$vm_pid_5"
sleep 2; kill -CONT "$vm_pid_5"
wait $load
awk '{for (i = 1; i < NF; i++) if ($i == "empty" || $i == "failed") sum += $(i + 1)} END {print "empty or failed: " sum}' "$PA_SCRATCH/load"
awk '/refused/ {for (i = 1; i < NF; i++) if ($i == "refused") sum += $(i + 1)} END {print "refused: " sum + 0}' "$PA_SCRATCH/load"
curl -s "$control_main/stats" >"$PA_SCRATCH/stats"
"$PA_BUILD/tests/history_check" "$PA_SCRATCH/history" "$PA_SCRATCH/stats" && echo "the history holds"
echo "violations $(fleet_sum_metric invariant_violations_total 3)"
cat "$PA_SCRATCH/load" >&2
