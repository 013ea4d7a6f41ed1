#!/usr/bin/env bash
# The store turns three of nine VMs away, those that read for the others; a few
# leafs leave at that time. Requests go to the other six VMs only.
. "$(dirname "$0")/../lib.sh"
begin "$(cd "$(dirname "$0")" && pwd)"
drain_ms=3000 shards=20
zones=(zone-a zone-b zone-c)

for shard in $(seq 0 $((shards - 1))); do
	add_leaf "i-${shard}a" "shard-$shard" zone-a 15
	add_leaf "i-${shard}b" "shard-$shard" zone-b 15
done
put_config 7 "$(gather_route search shard $shards 1000 150 2 0.89)" "$(services shard $shards)"
for n in 1 2 3 4 5 6 7 8 9; do
	take_port; vm_store_port[$n]=$port
	say store "$port"
	vm_start "$n" "${zones[$(((n - 1) % 3))]}"
done
for n in 1 2 3 4 5 6 7 8 9; do wait_ready "$n" 10 || cannot_run "vm $n is not ready"; done
say sleep 7000

for tries in $(seq 10); do
	readers=() others=()
	for n in 1 2 3 4 5 6 7 8 9; do
		if [ "$(vm_metric "$n" tier_view)" = 3 ]; then readers+=("$n"); else others+=("${callers_port[$n]}"); fi
	done
	[ "${#readers[@]}" = 3 ] && break
	say sleep 1000
done
say mark "read for the others: ${readers[*]}"
[ "${#readers[@]}" = 3 ] || cannot_run "${#readers[@]} VMs read the store"
say clients 2 "$(IFS=,; echo "${others[*]}")" GET /search/2f 1000 70 14 r
say sleep 6000

# Share 0.35 of nine machines for 4.5 s, and share 0.13 of forty leafs, which do
# not report that they drain: their entries are removed, and they go on serving.
if [ "$TROUBLE" != 0 ]; then for n in "${readers[@]}"; do say turn-away "${vm_store_port[$n]}" 1; done; fi
for shard in 0 4 8 12 16; do say del servers "i-${shard}a"; done
say sleep 4500
if [ "$TROUBLE" != 0 ]; then for n in "${readers[@]}"; do say turn-away "${vm_store_port[$n]}" 0; done; fi
say wait

awk -v drain="$drain_ms" '
$2 == "store" && $3 == "del" { sub("servers/", "", $4); gone["leaf=" $4] = $1 }
$2 == "got" && $5 == "status=200" { served++ }
$2 == "arrived" && ($4 in gone) {
	if ($1 > gone[$4] + drain) { late++; if ($1 - gone[$4] > latest) latest = $1 - gone[$4] } else early++
}
END {
	printf "%d requests served; of the arrivals at leafs whose entry was removed %d came within %d ms and %d later, the last after %d ms\n",
	    served, early, drain, late, latest
	if (served < 500) exit 2
	exit late > 0 ? 1 : 0
}' "$record" >"$work/verdict"
finish $? "$(cat "$work/verdict")"
