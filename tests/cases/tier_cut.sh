# Guards against an answer that stops inside its head and looks whole: of leafs, of the store and
# of a VM that others follow. Callers get a whole answer or a failure; nothing runs twice.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25800
for n in 1 2 3 4; do tier_start $n; done
calls() { "$PA_BUILD/caller" --targets "$(tier_callers 4)" --seconds 1.5 "$@" >"$PA_SCRATCH/load"; grep -o 'wrong.*' "$PA_SCRATCH/load"; }
served() { awk -v least="$1" '{print ($4 + $6 >= least * $2) ? "most were served" : "too few were served: " $0}' "$PA_SCRATCH/load"; }
for kind in cut-head cut; do
	echo "== a third of the leafs' answers: $kind"
	tier_control "/fault?leaf=all&kind=$kind&share=0.3" >/dev/null
	calls --path /fetch/x --shards 0
	calls --path /once/x --shards 0
	calls
	# The retry budget allows a fifth of the requests.
	tier_control "/fault?leaf=all&kind=$kind&share=0.1" >/dev/null
	calls --path /fetch/x --shards 0; served 0.85
	tier_control '/fault?leaf=all&kind=none' >/dev/null
	sleep 0.5
done
echo "== all answers of the store"
tier_control '/store?mode=cut' >/dev/null
tier_control '/configuration?version=5' >/dev/null
calls; served 0.99
tier_control '/store?mode=up' >/dev/null
for _ in $(seq 60); do [ "$(for n in 1 2 3 4; do tier_metric $n tier_configuration_version; done | sort -u)" = 5 ] && break; sleep 0.1; done
for n in 1 2 3 4; do tier_metric $n tier_configuration_version; done | sort -u
echo "== a VM starts meanwhile"
tier_control '/store?mode=cut' >/dev/null
kill -9 "$tier_pid_1"; sleep 0.2
(sleep 2; tier_control '/store?mode=up' >/dev/null) &
tier_start 1
tier_ready 1
calls; served 0.99
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
