# Guards against VMs that follow many versions of a large configuration one page after the other, and
# reach the last one long after its bound; with a version an answer, and with more than an answer holds.
. stand-ins/tier.sh
tier_bound_ms=3000
versions() { for n in 1 2 3 4; do tier_metric $n tier_configuration_version; done | sort -u | paste -sd' '; }
in_force() { for _ in $(seq 30); do [ "$(versions)" = "$1" ] && { echo "all have the last version"; return; }; sleep 0.1; done; echo "not in force: $(versions)"; }
for events in 1 120; do
	echo "== 26 versions of 0.6 MB in a row, up to $events in an answer"
	tier_begin "$PA_SCRATCH" 29100 --events $events
	for n in 1 2 3 4; do tier_start $n; done
	sleep 4
	tier_control '/configuration?version=2&idle=3000' >/dev/null
	in_force 2
	for v in $(seq 3 27); do tier_control "/configuration?version=$v" >/dev/null; [ $events = 1 ] && sleep 0.06; done
	tier_control "/configuration?version=40" >/dev/null
	in_force 40
	"$PA_BUILD/caller" --targets "$(tier_callers 4)" --seconds 1 | grep -o 'refused.*'
	tier_end; tier_pids=()
done
