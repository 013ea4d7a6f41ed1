# VMs that follow another VM's view of the store: changes reach them, also when the VM that
# reads is killed, stopped or frozen, and malformed calls to it harm nobody.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25200
# 1 and 3 are in zone-a, 2 and 4 in zone-b
version=1
change() { version=$((version + 1)); tier_control "/configuration?version=$version" >/dev/null; }
in_force() { # numbers of VMs: waits up to 4 s; the bound of one change is tested in virtual time
	local n seen
	for n in "$@"; do
		for _ in $(seq 80); do
			seen=$(tier_metric "$n" tier_configuration_version)
			[ "$seen" = "$version" ] && break
			sleep 0.05
		done
		echo "VM $n has version $seen of $version"
	done
}
view() { for n in "$@"; do echo "VM $n: $(tier_metric "$n" tier_view)"; done; }
wait_view() { # number, mode
	for _ in $(seq 120); do [ "$(tier_metric "$1" tier_view)" = "$2" ] && return; sleep 0.05; done
	echo "VM $1 is not in mode $2 but $(tier_metric "$1" tier_view)"
}

echo "== one VM in each zone reads (3), the others follow (1)"
tier_start 1; tier_start 2; wait_view 1 3; wait_view 2 3
tier_start 3; tier_start 4; wait_view 3 1; wait_view 4 1
view 1 2 3 4
change; in_force 1 2 3 4

echo "== the reader of zone-a is killed"
kill -9 "$tier_pid_1"
change; in_force 2 3 4
wait_view 3 3; view 3

echo "== it comes back and follows"
tier_start 1
wait_view 1 1; view 1
change; in_force 1 2 3 4

echo "== the reader of zone-b freezes and wakes"
kill -STOP "$tier_pid_2"
change; in_force 1 3 4
kill -CONT "$tier_pid_2"
in_force 2

echo "== the reader of zone-a is stopped as planned"
kill -TERM "$tier_pid_3"
change; in_force 1 2 4

echo "== the store is down: all keep what they know, then learn what changed"
tier_control '/store?mode=down' >/dev/null; tier_control '/store?mode=busy' >/dev/null
change
"$PA_BUILD/caller" --targets "127.0.0.1:$(tier_caller_port 1),127.0.0.1:$(tier_caller_port 4)" --seconds 1 >"$PA_SCRATCH/load"
grep -o 'refused.*' "$PA_SCRATCH/load"
tier_control '/store?mode=up' >/dev/null
in_force 1 2 4

echo "== malformed calls to the VMs"
trap '' PIPE # a VM may close before it has read all
peers() { echo $((tier_port + 150 + $1)); }
send() { # bytes; to VMs 1, 2 and 4
	for n in 1 2 4; do
		exec 8<>"/dev/tcp/127.0.0.1/$(peers $n)"
		printf "$1" >&8 2>/dev/null
		timeout 1 head -c 12 <&8 >/dev/null 2>&1
		exec 8>&-
	done
}
send 'nonsense\r\n\r\n'
send 'GET /api/objects/config?watch=-1&wait_ms=x HTTP/1.1\r\nHost: a\r\n\r\n'
send 'GET /api/objects/config?watch=99999999999999999999&wait_ms=9 HTTP/1.1\r\nHost: a\r\n\r\n'
send 'GET /api/objects/servers?after=%%ff%%00 HTTP/1.1\r\nHost: a\r\n\r\n'
send 'GET /api/objects/none HTTP/1.1\r\nHost: a\r\n\r\n'
send 'DELETE /api/objects/config/main HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello'
send "GET /$(head -c 9000 /dev/zero | tr '\0' a) HTTP/1.1\r\n"
change; in_force 1 2 4
