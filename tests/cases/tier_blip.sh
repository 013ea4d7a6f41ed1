# The store resets all connections once: readers go on reading and their followers go on
# following, although a watch is answered only at the next change.
. stand-ins/tier.sh
tier_bound_ms=6000
tier_begin "$PA_SCRATCH" 26100
view() { for n in "$@"; do echo "VM $n: $(tier_metric "$n" tier_view)"; done; }
wait_view() { for _ in $(seq 120); do [ "$(tier_metric "$1" tier_view)" = "$2" ] && return; sleep 0.05; done; }
tier_start 1; tier_start 2; wait_view 1 3; wait_view 2 3 # the first of a zone reads
tier_start 3; tier_start 4; wait_view 3 1; wait_view 4 1
view 1 2 3 4
before=$(cat "$tier_dir"/vm[12].log | grep -c LOG_TIER_VIEW)
tier_control '/store?mode=down' >/dev/null
tier_control '/store?mode=up' >/dev/null
sleep 4
view 1 2 3 4
[ "$(cat "$tier_dir"/vm[12].log | grep -c LOG_TIER_VIEW)" = "$before" ] && echo "the readers read on all the while"
tier_control '/configuration?version=2' >/dev/null
for n in 1 2 3 4; do
	for _ in $(seq 80); do [ "$(tier_metric $n tier_configuration_version)" = 2 ] && break; sleep 0.05; done
	echo "VM $n has version $(tier_metric $n tier_configuration_version)"
done
