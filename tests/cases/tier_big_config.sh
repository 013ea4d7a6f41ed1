# Guards against followers that miss configurations in quick succession once these are large: the
# changes of one answer are more than a reader keeps. All have the last one within its bound.
. stand-ins/tier.sh
tier_bound_ms=3000
tier_begin "$PA_SCRATCH" 26600
wait_view() { # number, mode
	for _ in $(seq 120); do [ "$(tier_metric "$1" tier_view)" = "$2" ] && return; sleep 0.05; done
	echo "VM $1 is not in mode $2 but $(tier_metric "$1" tier_view)"
}
tier_start 1; tier_start 2; wait_view 1 3; wait_view 2 3
tier_start 3; tier_start 4; tier_start 5
for n in 3 4 5; do wait_view $n 1; done
tier_control '/configuration?version=2&idle=1500' >/dev/null; sleep 3
for round in 1 2 3; do
	version=$((100 * round))
	for v in $(seq 40); do tier_control "/configuration?version=$((version + v))" >/dev/null; sleep 0.04; done
	sleep 3
	for n in 1 2 3 4 5; do echo "$(($(tier_metric $n tier_configuration_version) - version))"; done | sort -u
done
"$PA_BUILD/caller" --targets "$(tier_callers 5)" --seconds 1 | grep -o 'refused.*'
