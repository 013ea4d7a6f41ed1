# Functions that start and stop stand-ins and entry VMs on loopback. Sourced by
# the demo, the tests and the bench. Ends only the processes that it started.
#
# fleet_begin SCRATCH PORT   where files go; the first of 2000 ports
# Ports: platform PORT, VM i caller PORT+100+i and peers PORT+200+10*i,
# upstream number n control PORT+500+100*n.

fleet_begin() {
	fleet_scratch=$1 fleet_port=$2 fleet_pids="" fleet_upstreams=0
	fleet_build=${PA_BUILD:-build}
	mkdir -p "$fleet_scratch"
	fleet_platform_url=http://127.0.0.1:$fleet_port
	export PLANTAINARCH_PLATFORM=$fleet_platform_url
	trap fleet_end EXIT
}

fleet_end() {
	for pid in ${fleet_pids:-}; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	fleet_pids=""
}

pa() { "$fleet_build/plantainarch" "$@"; }

fleet_start_platform() {
	"$fleet_build/platform" 127.0.0.1 "$fleet_port" 2>>"$fleet_scratch/platform.log" &
	fleet_pids="$fleet_pids $!"
	fleet_wait_url "$fleet_platform_url/stats"
}

# fleet_start_upstream NAME OPTIONS...: sets control_NAME to its control URL
fleet_start_upstream() {
	local name=$1 port=$((fleet_port + 500 + 100 * fleet_upstreams))
	shift
	fleet_upstreams=$((fleet_upstreams + 1))
	"$fleet_build/upstream" --name "$name" --platform "$fleet_platform_url" --port "$port" "$@" 2>>"$fleet_scratch/upstreams.log" &
	fleet_pids="$fleet_pids $!"
	eval "control_$(echo "$name" | tr - _)=http://127.0.0.1:$port"
	fleet_wait_url "http://127.0.0.1:$port/stats"
}

fleet_caller() { echo "127.0.0.1:$((fleet_port + 100 + $1))"; }

fleet_callers() { # COUNT: --target for each VM
	for i in $(seq 1 "$1"); do printf -- '--target %s ' "$(fleet_caller "$i")"; done
}

# fleet_start_vm I ZONE REGION [LINES]: sets vm_pid_I
fleet_start_vm() {
	local i=$1 file=$fleet_scratch/vm$1.yaml life=${4:-}
	cat >"$file" <<-Y
	id: vm$i$life
	zone: $2
	region: $3
	address: 127.0.0.1
	caller_port: $((fleet_port + 100 + i))
	peer_port: $((fleet_port + 200 + 10 * i))
	platform: $fleet_platform_url
	log_level: ${fleet_log_level:-message}
	drain: ${fleet_drain:-1s}
	${fleet_vm_lines:-}
	Y
	"$fleet_build/plantainarch" serve --settings "$file" 2>>"$fleet_scratch/vm$i.log" &
	fleet_pids="$fleet_pids $!"
	eval "vm_pid_$i=$!"
	curl -s -m 2 -o /dev/null -X PUT "$fleet_platform_url/vms/vm$i$life" -d "{\"id\":\"vm$i$life\",\"address\":\"127.0.0.1\",\"zone\":\"$2\",\"region\":\"$3\",\"state\":\"live\",\"peer_port\":$((fleet_port + 200 + 10 * i)),\"threads\":${fleet_threads:-1}}"
}

fleet_start_vms() { # COUNT: VMs 1 to COUNT in one zone, until they see each other
	for i in $(seq "$1"); do fleet_start_vm "$i" a r; done
	for i in $(seq "$1"); do fleet_wait_ready "$i"; done
	fleet_wait_members "$1" "$1"
}

fleet_wait_url() { # URL: until it answers
	for _ in $(seq 1 200); do
		curl -s -f -o /dev/null -m 1 "$1" && return 0
		sleep 0.05
	done
	echo "no answer from $1" >&2
	return 1
}

fleet_wait_ready() { fleet_wait_url "http://$(fleet_caller "$1")/ready"; }

# fleet_wait_members COUNT VMS: until each of VMS sees COUNT members alive
fleet_wait_members() {
	for _ in $(seq 1 300); do
		local good=0
		for i in $(seq 1 "$2"); do
			[ "$(fleet_metric "$i" members_alive)" = "$1" ] && good=$((good + 1))
		done
		[ $good -eq "$2" ] && return 0
		sleep 0.1
	done
	echo "members never agreed" >&2
	return 1
}

fleet_metric() { curl -s -m 2 "http://$(fleet_caller "$1")/metrics" | awk -v n="plantainarch_$2" '$1 == n {print $2}'; }

fleet_wait_metric() { # I NAME VALUE: until the metric of VM I has the value
	for _ in $(seq 1 600); do
		[ "$(fleet_metric "$1" "$2")" = "$3" ] && return 0
		sleep 0.1
	done
	echo "VM $1 never had $2 = $3" >&2
	return 1
}

fleet_sum_metric() { # NAME COUNT
	local sum=0 value
	for i in $(seq 1 "$2"); do value=$(fleet_metric "$i" "$1"); sum=$((sum + ${value:-0})); done
	echo $sum
}

fleet_fault() { curl -s -o /dev/null -X POST "$1/fault" -d "$2"; }
