# Guards against one odd entry of another writer that hides all others: VMs would stop to follow
# the leafs, and after a restart serve nothing. By watch, by list (in pages) and by readers.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25600 --page 5
for n in 1 2 3 4; do tier_start $n; done
raw() { curl -s -o /dev/null --data-binary @- "127.0.0.1:$tier_port/raw?kind=$1&id=$2"; }
leaf() { # fields of an entry, with an address and slots
	printf '{"service":"shard-0","zone":"zone-a","version":"v1","state":"ready","seq":1,"born":1,"cold_left_ms":0,%b}' "$1"
}
good='"address":"127.0.0.1:1","slots":2'
nested=$(head -c 100000 /dev/zero | tr '\0' '[')$(head -c 100000 /dev/zero | tr '\0' ']')
put_odd() { # prefix of their names: some sort before all leafs, some behind
	leaf "$good,\"x\":\"\\\\ud83d\"" | raw servers "$1-surrogate"
	leaf "$good,\"x\":\"\\0377\"" | raw servers "$1-byte"
	leaf "$good,\"x\":18446744073709551616" | raw servers "$1-number"
	leaf "$good,\"x\":1e999" | raw servers "$1-exponent"
	leaf "$good,\"x\":$nested" | raw servers "$1-nested"
	leaf '"address":"127.0.0.1:99999","slots":2' | raw servers "$1-port"
	leaf '"address":"127.0.0.1:0","slots":2' | raw servers "$1-port-0"
	leaf "\"address\":\"127.0.0.1:1\",\"slots\":9$(head -c 400 /dev/zero | tr '\0' 9)" | raw servers "$1-slots"
	printf '{"vm":"x","address":"127.0.0.1:99999"}' | raw plantainarch-readers "$1-zone"
	printf '{"vm":"x","address":%s}' "$nested" | raw plantainarch-readers "$1-zone-nested"
}
pids=$(for n in 1 2 3 4; do eval "echo \$tier_pid_$n"; done)
alive() { local count=0; for pid in $pids; do kill -0 "$pid" 2>/dev/null && count=$((count + 1)); done; echo "processes that still run: $count of 4"; }
serves() { "$PA_BUILD/caller" --targets "$(tier_callers 4)" --seconds 1 | grep -o 'refused.*'; }
version=1
in_force() {
	version=$((version + 1)); tier_control "/configuration?version=$version" >/dev/null; sleep 1.5
	for n in 1 2 3 4; do tier_metric $n tier_configuration_version; done | sort -u
}
drain() { # a leaf that drains gets nothing after drain_ms
	tier_control "/leaf?id=$1&state=draining" >/dev/null; sleep 1
	local before=$(tier_control /stats | grep -o 'drained [0-9]*')
	serves
	[ "$(tier_control /stats | grep -o 'drained [0-9]*')" = "$before" ] && echo "$1 got nothing"
}

echo "== while VMs follow the store and each other"
put_odd a; put_odd z
in_force; drain i-0; alive

echo "== all VMs are killed and list the store anew"
for pid in $pids; do kill -9 "$pid"; done
for n in 1 2 3 4; do tier_start $n; done
pids=$(for n in 1 2 3 4; do eval "echo \$tier_pid_$n"; done)
sleep 1
in_force; drain i-2; alive
for n in 1 2 3 4; do grep -c 'BAD_OBJECT.*"name":"a-nested"' "$PA_SCRATCH/vm$n.log" | sed 's/^[1-9][0-9]*$/logged/'; done | sort | uniq -c | tr -s ' '

echo "== the entry of a zone's reader"
printf '{"vm":"x","address":%s}' "$nested" | raw plantainarch-readers zone-a
sleep 6
for n in 1 3; do tier_metric $n tier_view; done | sort | tr '\n' ' '; echo
in_force; alive

echo "== another writer's entry in the place of a leaf that drains: ready, and without some of its fields"
tier_control '/leaf?id=i-0&state=draining' >/dev/null; sleep 1
before=$(tier_control /stats | grep -o 'drained [0-9]*')
printf '{"service":"shard-0","address":"127.0.0.1:%d","zone":"zone-a","slots":2,"state":"ready"}' $((tier_port + 10)) | raw servers i-0
sleep 0.6
"$PA_BUILD/caller" --targets "$(tier_callers 4)" --path /fetch/x --shards 0 --seconds 1 | grep -o 'refused.*'
[ "$(tier_control /stats | grep -o 'drained [0-9]*')" = "$before" ] && echo "i-0 got nothing"
