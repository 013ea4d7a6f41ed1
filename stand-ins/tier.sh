# Sourced by tests and the demo: a site and some VMs of the tier on loopback.
# With tier_vm_ports=1 and --vms N each VM has its own port at the store.
# tier_begin DIR PORT [SITE OPTIONS]; tier_start N; tier_stop N; tier_callers N
PA_BUILD=${PA_BUILD:-build}
tier_pids=()

tier_begin() { # scratch folder, first of 200 ports, options of the site
	tier_dir=$1 tier_port=$2; shift 2
	rm -rf "$tier_dir"; mkdir -p "$tier_dir"
	"$PA_BUILD/site" --port "$tier_port" "$@" 2>"$tier_dir/site.log" &
	tier_site=$!
	trap tier_end EXIT
	tier_wait "127.0.0.1:$tier_port/stats"
}

tier_end() {
	for pid in "${tier_pids[@]}" "$tier_site"; do kill -9 "$pid" 2>/dev/null; done
	wait 2>/dev/null
}

tier_wait() { # until the address answers with success
	for _ in $(seq 200); do curl -sf -o /dev/null "$1" && return 0; sleep 0.05; done
	echo "no answer from $1" >&2; return 1
}

tier_caller_port() { echo $((tier_port + 100 + 3 * $1)); }
tier_callers() { for n in $(seq "$1"); do echo "127.0.0.1:$(tier_caller_port "$n")"; done | paste -sd,; }
tier_ready() { curl -s -o /dev/null -w '%{http_code}\n' "127.0.0.1:$(($(tier_caller_port "$1") + 1))/api/ready"; }
tier_metric() { curl -s "127.0.0.1:$(($(tier_caller_port "$1") + 2))/metrics" | grep "^plantainarch_$2 " | cut -d' ' -f2; }
tier_control() { curl -s "127.0.0.1:$tier_port$1"; }

tier_settings() { # number
	cat <<YAML
id: vm$1
zone: $([ $(($1 % 2)) -eq 1 ] && echo zone-a || echo zone-b)
region: region-$([ $(($1 % 2)) -eq 1 ] && echo a || echo b)
protocol: objects
callers: 127.0.0.1:$(tier_caller_port "$1")
ready: 127.0.0.1:$(($(tier_caller_port "$1") + 1))
metrics: 127.0.0.1:$(($(tier_caller_port "$1") + 2))
platform: 127.0.0.1:$((tier_port + ${tier_vm_ports:-0} * (60 + $1) + !${tier_vm_ports:-0}))
peers: 127.0.0.1:$((tier_port + 150 + $1))
retry_ratio: 0.2
retry_slack: 58
retry_window_s: 10
drain_ms: ${tier_bound_ms:-1000}
apply_ms: ${tier_bound_ms:-1000}
stop_s: 4
zones:
  zone-a: region-a
  zone-b: region-b
YAML
}

tier_start() { # number; its pid is in tier_pid_N
	tier_settings "$1" >"$tier_dir/vm$1.yaml"
	"$PA_BUILD/plantainarch" tier --settings "$tier_dir/vm$1.yaml" >>"$tier_dir/vm$1.log" 2>&1 &
	tier_pids+=($!)
	eval "tier_pid_$1=$!"
	tier_wait "127.0.0.1:$(($(tier_caller_port "$1") + 1))/api/ready"
}

# One request: method, path, id, further options of curl.
tier_call() {
	local method=$1 path=$2 id=$3; shift 3
	curl -s --path-as-is -X "$method" -H 'Host: site.example' -H "Plantainarch-Request-Id: $id" \
		-H 'Plantainarch-Deadline-Ms: 2000' "$@" "127.0.0.1:$(tier_caller_port 1)$path"
}

# Bytes as they are to VM 1; prints the status line of the first answer.
tier_raw() {
	exec 9<>"/dev/tcp/127.0.0.1/$(tier_caller_port 1)"
	printf "$1" >"$tier_dir/raw"
	cat "$tier_dir/raw" >&9 # one write: the VM may close early
	head -n 1 <&9 | tr -d '\r'
	exec 9>&-
}
