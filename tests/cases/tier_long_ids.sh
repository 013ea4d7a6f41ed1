# Guards against an answer to another request (a late second copy) that passes because two long ids differ only in their last characters.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 27600
tier_start 1
for length in 16 64 128 250; do
	name=$(head -c $((length - 4)) /dev/zero | tr '\0' i)
	tier_control '/fault?leaf=all&kind=late-copy&share=0.05' >/dev/null
	"$PA_BUILD/caller" --targets "$(tier_callers 1)" --path /fetch/x --shards 0 --seconds 2 --rate 200 --name "$name" >"$PA_SCRATCH/load" 2>"$PA_SCRATCH/calls-$length"
	echo "ids of about $length characters: $(grep -o 'wrong.*' "$PA_SCRATCH/load")"
	awk '{print ($4 >= 0.95 * $2) ? "enough were served" : "too few were served: " $0}' "$PA_SCRATCH/load"
	tier_control '/fault?leaf=all&kind=none' >/dev/null
done
[ "$(tier_metric 1 replies_dropped_total)" -gt 0 ] && echo "copies were dropped"
echo "== an id with white space behind it, which the leaf's echo has not"
tier_raw 'GET /fetch/x HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Deadline-Ms: 1000\r\nPlantainarch-Request-Id: padded \t\r\n\r\n'
