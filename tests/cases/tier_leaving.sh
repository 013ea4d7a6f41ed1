# Guards against requests to a leaf that has said in an answer that it leaves (Server-Leaving), later
# than drain_ms after it, though its entry stays ready; and to one that has asked for time.
. stand-ins/tier.sh
tier_bound_ms=1200
tier_begin "$PA_SCRATCH" 26200
tier_start 1
fault() { curl -s -G -o /dev/null "127.0.0.1:$tier_port/fault" -d "leaf=$1" -d "kind=$2" -d "share=${3:-1}" --data-urlencode "value=${4:-1}"; }
calls() { "$PA_BUILD/caller" --targets "$(tier_callers 1)" "$@" >"$PA_SCRATCH/load" 2>>"$PA_SCRATCH/calls"; grep -o 'wrong.*' "$PA_SCRATCH/load"; }
count() { awk -v what="$1" '{for (i = 1; i < NF; i++) if ($i == what) print $(i + 1)}' "$PA_SCRATCH/load"; }
served() { awk -v least="$1" '{print ($4 + $6 >= least * $2) ? "enough were served" : "too few were served: " $0}' "$PA_SCRATCH/load"; }
late() { tier_control "/late?ms=1200" | grep -o 'late [0-9]* held [0-9]*'; }

echo "== one of a shard's two leafs leaves; lists and a restart of its entry do not take it back"
fault i-0 leaving
calls --path /fetch/x --shards 0 --seconds 1; served 1
tier_control '/leaf?id=i-0&state=gone' >/dev/null; sleep 0.8; tier_control '/leaf?id=i-0&state=ready' >/dev/null
tier_control '/store?mode=compact' >/dev/null; tier_control '/store?mode=up' >/dev/null
# The other leaf fails, which would bring requests to the one that left.
fault i-1 error 0.5
calls --path /fetch/x --shards 0 --seconds 2
late
fault all none

echo "== the last leaf of a shard: requests are refused at once, lists leave the part out"
tier_control '/leaf?id=i-6&state=gone' >/dev/null; sleep 1
fault i-7 leaving
calls --seconds 1; served 1
sleep 1
calls --seconds 1; served 1
[ "$(count partial)" = "$(count sent)" ] && echo "all lists are partial"
late
tier_call GET /stats r -o /dev/null
grep -c 'LOG_TIER_LEAF_LEAVING.*"leaf":"i-[07]"' "$PA_SCRATCH/vm1.log"

echo "== values that are not understood"
for value in 0 yes '' 11; do fault i-4 leaving 1 "$value"; calls --path /only-1/x --shards 0 --seconds 0.5; served 1; done
grep -c 'LOG_TIER_BAD_HEADER.*"leaf":"i-4".*Server-Leaving' "$PA_SCRATCH/vm1.log"
fault all none

echo "== a leaf asks for time, its twin serves"
fault i-2 ask-time 1 1.5
calls --path /once/x --shards 0 --seconds 3; served 1
late
fault i-2 none

echo "== all leafs of a service ask for time: refused at once, and told how long"
sleep 1.6
fault i-2 ask-time 1 2; fault i-3 ask-time 1 2
for n in 1 2 3; do tier_call GET /once/x "t-$n" -o /dev/null; done
tier_call GET /once/x t-9 -D - -o /dev/null -w '%{time_total}\n' | tr -d '\r' >"$PA_SCRATCH/refusal"
awk '/^HTTP/ {print $2} /^Retry-After/ {print ($2 > 1 && $2 < 2.6) ? "the time that is left" : $0} /^[0-9.]+$/ {print ($1 < 0.1) ? "at once" : $1}' "$PA_SCRATCH/refusal"
calls --seconds 0.5 # a second shard is missing: lists cannot succeed either
[ "$(count refused)" = "$(count sent)" ] && echo "all are refused"
calls --path /once/x --shards 0 --seconds 0.8
[ "$(count refused)" = "$(count sent)" ] && echo "all are refused"
late
fault all none
sleep 2; calls --path /once/x --shards 0 --seconds 0.5; served 1
late

echo "== times that are not understood are ignored, but not the refusal"
for value in -1 soon 'Wed, 21 Oct 2026 07:28:00 GMT' 1e3 inf '' '1 2'; do
	fault i-8 ask-time 1 "$value"; calls --seconds 0.3; served 1
done
grep -c 'LOG_TIER_BAD_HEADER.*"leaf":"i-8".*Retry-After' "$PA_SCRATCH/vm1.log"
late
echo "== a very long one holds for this lifetime of the leaf"
for leaf in i-2 i-3; do fault $leaf ask-time 1 "$(head -c 400 /dev/zero | tr '\0' 9)"; done
for n in 1 2 3; do tier_call GET /once/x "v-$n" -o /dev/null; done
fault all none
tier_call GET /once/x last -o /dev/null -w '%{http_code}\n'
for leaf in i-2 i-3; do tier_control "/leaf?id=$leaf&state=gone" >/dev/null; done
sleep 1
for leaf in i-2 i-3; do tier_control "/leaf?id=$leaf&state=ready" >/dev/null; done
sleep 1
tier_call GET /once/x again -o /dev/null -w '%{http_code}\n'
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
