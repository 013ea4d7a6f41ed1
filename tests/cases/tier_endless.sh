# Leafs that send bytes without end, until the VM closes: in a head, a header line, a body,
# chunks, or answers to other requests. Memory stays bounded and other leafs serve.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25500
tier_start 1
BOUND_KB=49152 # 16 MB of answers in progress, 8 MB of the parts of one page, the process itself
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/$tier_pid_1/status"; }
for kind in endless-head endless-line endless-body endless-chunks endless-answers; do
	echo "== $kind, four of twelve leafs"
	for leaf in i-0 i-3 i-4 i-7; do tier_control "/fault?leaf=$leaf&kind=$kind&share=1" >/dev/null; done
	"$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 2 --rate 40 >"$PA_SCRATCH/load"
	grep -o 'wrong.*' "$PA_SCRATCH/load"
	awk '{print ($4 + $6 >= 0.75 * $2) ? "most were served" : "too few were served: " $0}' "$PA_SCRATCH/load"
	[ "$(peak_kb)" -lt $BOUND_KB ] && echo "memory stayed under its bound" || echo "memory: $(peak_kb) KB"
	tier_control "/fault?leaf=all&kind=none" >/dev/null
	sleep 0.5
done
grep -q '"name":"LOG_TIER_ENDLESS_ANSWER","leaf":"i-' "$tier_dir/vm1.log" && echo "the log names the leaf"
