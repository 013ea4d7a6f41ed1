# Sourced by the scripts of the review: starts VMs of the tier with the command
# and the settings of the deploy file, and the stand-ins, all on loopback.
# begin; say COMMAND; vm_start N ZONE; finish CODE
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TROUBLE=${TROUBLE:-1}
pids=()

# Whether the process is still a child of this script, so that its id is its own.
is_own() { grep -qsx "PPid:	$$" "/proc/$1/status"; }

cleanup() {
	local pid
	for pid in "${pids[@]}"; do
		is_own "$pid" && { kill -CONT "$pid"; kill -9 "$pid"; }
	done 2>/dev/null
	for pid in "${pids[@]}"; do while is_own "$pid"; do sleep 0.05; done; done
	rm -rf "$work"
}

cannot_run() { echo "cannot run: $*" | tee -a "$record"; exit 2; }
watch_time() { # ends the script in time for the limit of 120 s; starts no process
	local script=$$
	mkfifo "$work/watch"
	(
		trap - EXIT TERM
		exec 6<>"$work/watch"
		for tries in $(seq 110); do
			read -rt 1 -u 6
			[ -d "/proc/$script" ] || exit
		done
		kill -TERM "$script"
	) >/dev/null 2>&1 &
	pids+=("$!"); disown
}

begin() { # folder of the case
	record=$1/record.txt
	: >"$record" || exit 2
	work=$(mktemp -d) || exit 2
	trap cleanup EXIT
	trap '' PIPE
	trap 'cannot_run "not done within 110 s"' TERM
	watch_time
	[ -x "$root/target/plantainarch" ] || cannot_run "target/plantainarch is not built"
	[ -x "$root/review/build/standin" ] || cannot_run "review/build.sh has not run"
	mkfifo "$work/commands" "$work/replies"
	for tries in 1 2 3 4 5; do # another script may take the same ports at that moment
		mapfile -t ports < <("$root/review/build/standin" ports 200)
		store_port=${ports[0]} next_port=1
		"$root/review/build/standin" run "$store_port" "$record" <"$work/commands" >"$work/replies" &
		standin=$!; disown; pids+=("$standin")
		exec 3>"$work/commands" 4<"$work/replies"
		echo "mark the stand-ins are ready" >&3
		read -r reply <&4 && return
		exec 3>&- 4<&-
	done 2>/dev/null
	cannot_run "the stand-ins do not start"
}

take_port() { port=${ports[$next_port]}; next_port=$((next_port + 1)); }

say() { # a command to the stand-ins; waits until it is done
	local reply
	echo "$*" >&3
	read -r reply <&4 || cannot_run "the stand-ins ended"
}

# GET with the shell alone: prints the whole answer.
get() { # port, path
	exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n' "$2" >&9
	timeout 2 cat <&9
	exec 9<&- 9>&-
} 2>/dev/null

vm_metric() { get "${metrics_port[$1]}" /metrics | tr -d '\r' | sed -n "s/^plantainarch_$2 //p"; }
is_ready() { get "${ready_port[$1]}" /api/ready | head -n 1 | grep -q ' 200 '; }

vm_settings() { # number, zone: deploy/tier.yaml.in with the bounds of the small deployments
	if [ -z "${callers_port[$1]}" ]; then
		take_port; callers_port[$1]=$port; take_port; ready_port[$1]=$port
		take_port; metrics_port[$1]=$port; take_port; peers_port[$1]=$port
	fi
	cat >"$work/vm$1.yaml" <<YAML
id: front-$1
zone: $2
region: region-$2
protocol: objects
callers: 127.0.0.1:${callers_port[$1]}
ready: 127.0.0.1:${ready_port[$1]}
metrics: 127.0.0.1:${metrics_port[$1]}
platform: 127.0.0.1:${vm_store_port[$1]:-$store_port}
peers: 127.0.0.1:${peers_port[$1]}
cores: 0.25
retry_ratio: 0.2
retry_slack: 58
retry_window_s: 10
drain_ms: 3000
apply_ms: 3000
stop_s: 6
zones:
  zone-a: region-zone-a
  zone-b: region-zone-b
  zone-c: region-zone-c
YAML
}

vm_start() { # number, zone
	vm_settings "$1" "$2"
	"$root/target/plantainarch" tier --settings "$work/vm$1.yaml" >>"$work/vm$1.log" 2>&1 &
	vm_pid[$1]=$!; pids+=("$!"); disown
	say mark "vm $1 starts, callers at port ${callers_port[$1]}, zone $2"
}

wait_ready() { # number, seconds: whether it became ready
	local end=$((SECONDS + $2))
	while [ "$SECONDS" -le "$end" ]; do is_ready "$1" && return 0; sleep 0.1; done
	return 1
}

put_leaf() { # id, service, zone, state
	say put servers "$1" "{\"service\":\"$2\",\"address\":\"127.0.0.1:${leaf_port[$1]}\",\"zone\":\"$3\",\"version\":\"v1\",\"slots\":2,\"state\":\"${4:-ready}\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}"
}

declare -A leaf_port
add_leaf() { # id, service, zone, mean work in ms
	take_port; leaf_port[$1]=$port
	say leaf "$1" "$2" "$port" "$4"
	put_leaf "$1" "$2" "$3"
}

finish() { # exit code, text
	say mark "result $1: $2"
	echo "$2"
	exit "$1"
}

# Parts of a config.
services() { # prefix, count
	local i
	for i in $(seq 0 $(($2 - 1))); do echo "{\"name\":\"$1-$i\",\"health_path\":\"/health\",\"max_conns\":26}"; done | paste -sd,
}
gather_route() { # name, prefix of the services, count, timeout_ms, slo_ms, attempts, min_shard_ratio
	local names
	names=$(for i in $(seq 0 $(($3 - 1))); do echo "\"$2-$i\""; done | paste -sd,)
	echo "{\"name\":\"$1\",\"hostname\":\"site.example\",\"path_prefix\":\"/$1/\",\"route_kind\":\"idempotent\",\"timeout_ms\":$4,\"slo_ms\":$5,\"priority\":1,\"gather\":[$names],\"attempts\":$6,\"top_k\":20,\"min_shard_ratio\":$7}"
}
plain_route() { # name, service, kind, timeout_ms, slo_ms, attempts
	echo "{\"name\":\"$1\",\"hostname\":\"site.example\",\"path_prefix\":\"/$1/\",\"route_kind\":\"$3\",\"timeout_ms\":$4,\"slo_ms\":$5,\"priority\":0,\"service\":\"$2\",\"attempts\":$6}"
}
put_config() { # version, routes, services
	say put config main "{\"version\":$1,\"routes\":[$2],\"services\":[$3],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
}
