# Guards against callers that wait, or get an answer that is none, when a leaf answers with a status that HTTP does not have (000).
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 27800
tier_start 1
fault() { tier_control "/fault?leaf=$1&kind=status&share=${3:-1}&value=$2" >/dev/null; }
# 502 and 503 are the tier's own: leafs that failed are not asked again at once.
status() { tier_call "$@" -D - -o /dev/null -w 'took %{time_total} s' | tr -d '\r' | sed 's/^HTTP.1.1 50[23] .*/own/' | awk '/^own/ {print "an answer of the tier"} /^HTTP|[Ss]tamp/ {print $1, $2, $3} /^took/ && $2 > 1 {print "after", $2, "s"}' | paste -sd,; }
for value in 000 0 099 600 999; do
	fault all $value
	echo "== all leafs answer with $value: an order, a search, a list"
	status POST /once/x "order-$value" -d 'an order'
	status GET /fetch/x "search-$value"
	status GET /list/2f "list-$value"
done
echo "== the last status that HTTP has is the leaf's own"
fault all 599
status POST /once/x order-599 -d 'an order' | sed 's/shard.*/of the leaf/'
tier_control '/fault?leaf=all&kind=none' >/dev/null; sleep 2
echo "== some answers of half of the leafs: the others serve"
for leaf in 0 2 4 6 8 10; do fault i-$leaf 000 0.5; done
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --path /fetch/x --shards 0 --seconds 2 >"$PA_SCRATCH/load"
grep -o 'refused.*' "$PA_SCRATCH/load"
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 2 >"$PA_SCRATCH/load"
grep -o 'refused.*' "$PA_SCRATCH/load"
grep -o '"name":"LOG_TIER_ATTEMPT_FAILED".*"why":"[^"]*"' "$PA_SCRATCH/vm1.log" | grep -o '"why":.*' | grep -v '""' | sort -u
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
