# Guards against VMs that miss new versions, or use leafs that drained, after the store came back from an
# older copy of itself: revisions are given out again, and what was written since the copy is gone.
. stand-ins/tier.sh
tier_bound_ms=2000
tier_begin "$PA_SCRATCH" 28600
tier_control /copy >/dev/null
for n in 1 2 3; do tier_start $n; done
vms="1 2 3"
versions() { for n in $vms; do tier_metric $n tier_configuration_version; done | paste -sd' '; }
in_force() { # version: within config_apply_ms, and half a second for three readings
	for _ in $(seq 25); do [ "$(versions | tr ' ' '\n' | sort -u)" = "$1" ] && { echo "version $1 is in force"; return; }; sleep 0.1; done
	echo "not in force: $(versions)"
}
away() { # then these calls, before a VM can ask
	tier_control '/store?mode=down' >/dev/null; sleep 1; tier_control /return >/dev/null
	for call in "$@"; do tier_control "$call" >/dev/null; done
	tier_control '/store?mode=up' >/dev/null
}
load() { "$PA_BUILD/caller" --targets "$(tier_callers 3)" --path /fetch/x --shards 0 --seconds "$1" --rate 60 >"$PA_SCRATCH/load"; grep -o 'wrong.*' "$PA_SCRATCH/load"; awk '{print ($4 + $6 >= 0.95 * $2) ? "served" : "too few were served: " $0}' "$PA_SCRATCH/load"; }
drained() { tier_control /stats | grep -o 'drained [0-9]*'; }
wait_view() { for _ in $(seq 60); do [ "$(for n in 1 2 3; do tier_metric $n tier_view; done | tr -d '13\n')" = "" ] && break; sleep 0.1; done; sleep 0.5; }

wait_view
echo "== the copy is from before the readers' claims"
away
tier_control '/configuration?version=2' >/dev/null
in_force 2
load 1
wait_view
for n in 1 2 3; do tier_metric $n tier_view; done | sort | paste -sd' ' | sed 's/^1 3 3$/a reader in each zone/'
tier_start 4
vms="1 2 3 4" # a VM that started after the return too
tier_control '/configuration?version=3' >/dev/null
in_force 3

echo "== a version, a drain and a removal are lost; all is written again at once, past the old revisions"
tier_control /copy >/dev/null
tier_control '/configuration?version=4' >/dev/null
tier_control '/leaf?id=i-0&state=draining' >/dev/null
tier_control '/leaf?id=i-4&state=gone' >/dev/null
in_force 4
sleep 2
before=$(drained)
away '/churn?version=40' '/configuration?version=4' '/configuration?version=5' \
	'/leaf?id=i-0&state=draining' '/leaf?id=i-4&state=gone' '/churn?version=10'
in_force 5
load 2
[ "$(drained)" = "$before" ] && echo "no leaf that had gone got a request" || echo "$before before, $(drained) now"

echo "== the same, and all is written again later"
tier_control '/leaf?id=i-0&state=ready' >/dev/null; tier_control '/leaf?id=i-4&state=ready' >/dev/null; sleep 1
tier_control /copy >/dev/null
tier_control '/configuration?version=7' >/dev/null
tier_control '/leaf?id=i-1&state=draining' >/dev/null
in_force 7
sleep 2
before=$(drained)
away
load 3
echo "the version in force stays: $(versions)"
[ "$(drained)" = "$before" ] && echo "no leaf that had gone got a request" || echo "$before before, $(drained) now"
tier_control '/configuration?version=7' >/dev/null
tier_control '/leaf?id=i-1&state=draining' >/dev/null
tier_control '/configuration?version=8' >/dev/null
in_force 8

echo "== twice in a row"
away; sleep 0.3; away
tier_control '/configuration?version=9' >/dev/null
in_force 9
load 1
for n in $vms; do tier_metric $n tier_store_epoch; done | paste -sd' '
grep -l LOG_TIER_STORE_EPOCH "$PA_SCRATCH"/vm[123].log | wc -l
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
