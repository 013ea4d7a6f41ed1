# Logging under load while the reader is stalled: no request waits for the log,
# dropped lines are counted by event, and lines read later are complete.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25200
mkfifo "$PA_SCRATCH/vm1.log"
exec 8<>"$PA_SCRATCH/vm1.log"
tier_start 1
# Each failed attempt logs a line: three quarters of all answers are failures.
tier_control '/fault?leaf=all&kind=error&share=0.75' >/dev/null

echo "== callers while nobody reads"
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 4 --rate 150 >"$PA_SCRATCH/load"
grep -o 'wrong.*' "$PA_SCRATCH/load"
[ "$(tier_metric 1 log_dropped_total)" -gt 0 ] && echo "lines were dropped, and counted"
tier_ready 1

echo "== the reader reads again"
tier_control '/fault?leaf=all&kind=none' >/dev/null
timeout 2 cat <&8 >"$PA_SCRATCH/lines"
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 1.2 >"$PA_SCRATCH/load"
timeout 2 cat <&8 >>"$PA_SCRATCH/lines"
grep -cv '^{"time_us":.*}$' "$PA_SCRATCH/lines"
grep -q 'LOG_LINES_DROPPED","of":"LOG_TIER_ATTEMPT_FAILED","count":[1-9]' "$PA_SCRATCH/lines" && echo "the drops are told by event"
most=$(grep -o '"time_us":[0-9]*' "$PA_SCRATCH/lines" | cut -d: -f2 | sed 's/......$//' | sort | uniq -c | sort -rn | awk 'NR==1{print $1}')
# 200 lines a second, plus those that report drops
[ "$most" -le 220 ] && echo "the lines of each second are within the bound"
