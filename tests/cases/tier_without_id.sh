# Guards against orders that run twice because bytes that name no request are taken for the answer
# to the next one, and against an answer that is taken from them.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 26400
for n in 1 2; do tier_start $n; done
fault() { tier_control "/fault?leaf=all&kind=$1&share=$2" >/dev/null; }
calls() { "$PA_BUILD/caller" --targets "$(tier_callers 2)" --seconds 3 --rate 100 "$@" >"$PA_SCRATCH/load" 2>>"$PA_SCRATCH/calls"; grep -o 'wrong.*' "$PA_SCRATCH/load"; }
served() { awk -v least="$1" '{print ($4 + $6 >= least * $2) ? "enough were served" : "too few were served: " $0}' "$PA_SCRATCH/load"; }
echo "== behind a third of the answers: a refusal that names no request"
fault without-id-extra 0.3
calls --path /once/x --shards 0; served 0.95
calls; served 0.95
echo "== some of the answers name no request"
fault without-id 0.03
calls; served 0.75
calls --path /once/x --shards 0; served 0.75
fault none 0
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
for n in 1 2; do [ "$(tier_metric $n tier_answers_without_id_total)" -gt 0 ] && echo counted; done
grep -ho 'LOG_TIER_ANSWER_WITHOUT_ID' "$PA_SCRATCH"/vm*.log | sort -u
