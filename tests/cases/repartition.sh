# Repartitions the index while queries run: each answer must be of one version.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 24000
fleet_start_platform
fleet_start_upstream main --instances 4 --leaves 2
pa settings set deadline 2s urgent >/dev/null
fleet_start_vms 3
pa load $(fleet_callers 3) --flow index=main,rank=urgent,rate=100 --seconds 6 --quiet >"$PA_SCRATCH/load" &
load=$!
for shards in 6 8 3; do sleep 1.3; fleet_fault "$control_main" "{\"repartition\": $shards}"; done
wait $load
awk '{for (i = 1; i < NF; i++) if ($i == "empty" || $i == "failed") sum += $(i + 1)} END {print "empty or failed: " sum}' "$PA_SCRATCH/load"
pa search --target "$(fleet_caller 1)" --index main "x" | grep -E "snapshot|coverage"
echo "violations $(fleet_sum_metric invariant_violations_total 3)"
cat "$PA_SCRATCH/load" >&2
