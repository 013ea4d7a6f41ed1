# Guards against orders that run twice because a leaf that ran one fails it with a status that promises "not run".
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 27400
tier_start 1
fault() { tier_control "/fault?leaf=$1&kind=status&share=1&value=$2" >/dev/null; }
status() { tier_call "$@" -D - -o /dev/null | tr -d '\r' | grep -iE '^HTTP|^Retry-After|stamp' | sed -e 's/ [A-Z][A-Za-z ]*$//' -e 's/: shard.*/ of the leaf/' | paste -sd,; }
for value in 503 429 408; do
	fault all $value
	echo "== all leafs run it and fail with $value: an order, a search, a list"
	status POST /once/x "order-$value" -d 'an order'
	status GET /fetch/x "search-$value"
	status GET /list/2f "list-$value"
done
echo "== other failures are the leaf's own"
for value in 404 409 500; do
	fault all $value
	status POST /once/x "order-$value" -d 'an order'
done
echo "== one of the two leafs of a shard fails so: searches are served by the other"
tier_control '/fault?leaf=all&kind=none' >/dev/null; sleep 2
fault i-1 429
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --path /fetch/x --shards 0 --seconds 1 >"$PA_SCRATCH/load"
grep -o 'refused.*' "$PA_SCRATCH/load"
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'
