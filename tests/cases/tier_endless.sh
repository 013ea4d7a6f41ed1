# Leafs that send bytes without end, until the VM closes: in a head, a header line, a body, chunks, or
# answers to other requests. Memory stays bounded and other leafs serve.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25500
BOUND_KB=49152 # 16 MB of answers in progress, 8 MB of the parts of one page, the process itself
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/$tier_pid_1/status"; }
bound() { [ "$(peak_kb)" -lt $BOUND_KB ] && echo "memory stayed under its bound" || echo "memory: $(peak_kb) KB"; }
load() { "$PA_BUILD/caller" --targets "$(tier_callers 1)" --rate 40 "$@" >"$PA_SCRATCH/load"; grep -o 'wrong.*' "$PA_SCRATCH/load"; }
for kind in head line reason blank interim body chunks size trailer answers own-body own-chunks; do
	echo "== endless-$kind, four of twelve leafs"
	tier_start 1 # a VM that has not learned to avoid these leafs
	for leaf in i-0 i-3 i-4 i-7; do tier_control "/fault?leaf=$leaf&kind=endless-$kind&share=1" >/dev/null; done
	load --seconds 2
	awk '{print ($4 + $6 >= 0.75 * $2) ? "most were served" : "too few were served: " $0}' "$PA_SCRATCH/load"
	bound
	echo "== all leafs"
	before=$(grep -c '"outcome":"broken"' "$tier_dir/vm1.log")
	tier_control "/fault?leaf=all&kind=endless-$kind&share=1" >/dev/null
	load --seconds 1
	bound
	sleep 0.2
	[ "$(grep -c '"outcome":"broken"' "$tier_dir/vm1.log")" -gt "$before" ] && echo "the VM met it"
	tier_control "/fault?leaf=all&kind=none" >/dev/null
	kill -9 "$tier_pid_1"; wait "$tier_pid_1" 2>/dev/null
done
grep -q '"name":"LOG_TIER_ENDLESS_ANSWER","leaf":"i-' "$tier_dir/vm1.log" && echo "the log names the leaf"
