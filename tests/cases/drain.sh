# An upstream instance drains under load: no query fails or loses results, and
# 3 s after the start of the drain the instance gets no new requests.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 23800
fleet_start_platform
fleet_start_upstream main --instances 4 --leaves 2
pa settings set deadline 1s urgent >/dev/null
fleet_start_vms 3
after_drain() { curl -s "$control_main/stats" | grep -o '"instance":1,[^}]*' | grep -o '"requests_after_drain":[0-9]*' | cut -d: -f2; }
pa load $(fleet_callers 3) --flow index=main,rank=urgent,rate=60 --flow index=main,rank=standard,rate=40 --seconds 8 --quiet >"$PA_SCRATCH/load" &
load=$!
sleep 1
fleet_fault "$control_main" '{"instance": 1, "drain": true}'
sleep 3
at_bound=$(after_drain)
wait $load
[ "$(after_drain)" = "$at_bound" ] && echo "no new work later than 3 s after the first sign"
awk '{for (i = 1; i < NF; i++) if ($i == "partial" || $i == "empty" || $i == "failed") sum += $(i + 1)} END {print "partial, empty or failed: " sum}' "$PA_SCRATCH/load"
cat "$PA_SCRATCH/load" >&2
