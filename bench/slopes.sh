#!/usr/bin/env bash
# Measures the unit costs from which docs/CAPACITY.md is computed. Prints one line
# "name key value ..." a measurement, then linear fits with their largest residual.
# Usage: bench/slopes.sh [BUILD]   (about four minutes)
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
lines=$(mktemp)

measure_control_in_virtual_time() {
	for vms in 9 60 200 600; do "$build/tests/control_random" --vms $vms --calm --slope --seeds 1 --seconds 60; done
}

# Processor time (user and system) of a process, in clock ticks.
get_cpu_ticks() { # PID
	awk '{print $14 + $15}' "/proc/$1/stat"
}
get_rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
ticks_per_s=$(getconf CLK_TCK)

# Processor time of the VM processes for a leaf request and a query, by fan-out.
measure_requests_in_processes() { (
	PA_BUILD=$build
	. stand-ins/fleet.sh
	fleet_begin "$(mktemp -d)" 27000
	fleet_start_platform
	n=0
	for fan_out in 1 8 64; do fleet_start_upstream "main$fan_out" --instances 32 --leaves 2 --slots 8 --shards $fan_out --connections 100 --service-us 2000 --sigma 0.3; done
	pa settings set limit fixed >/dev/null
	fleet_start_vms 3
	pids="$vm_pid_1 $vm_pid_2 $vm_pid_3"
	idle=$(get_rss_kb "$vm_pid_1")
	for case in 1:600 8:200 64:40; do
		fan_out=${case%:*} rate=${case#*:}
		before=0 leaf_requests_before=$(fleet_sum_metric leaf_requests_total 3)
		for pid in $pids; do before=$((before + $(get_cpu_ticks "$pid"))); done
		pa load $(fleet_callers 3) --flow "index=main$fan_out,rank=urgent,rate=$rate,deadline_ms=250" --seconds 8 --quiet --json >"$fleet_scratch/report"
		after=0 leaf_requests_after=$(fleet_sum_metric leaf_requests_total 3)
		for pid in $pids; do after=$((after + $(get_cpu_ticks "$pid"))); done
		awk -v fan_out="$fan_out" -v rate="$rate" -v ticks=$((after - before)) -v ticks_per_s="$ticks_per_s" -v leaf_requests=$((leaf_requests_after - leaf_requests_before)) -v idle="$idle" -v loaded="$(get_rss_kb "$vm_pid_1")" 'BEGIN { us = ticks * 1e6 / ticks_per_s; printf "process fan_out %d queries_per_s %d cpu_us_per_leaf %.0f cpu_us_per_query %.0f queries_per_core_s %.0f rss_idle_kb %d rss_loaded_kb %d\n", fan_out, rate, us / leaf_requests, us / (rate * 8), 1e6 / (us / (rate * 8)), idle, loaded }'
	done
	fleet_end
) }

# Cost of the control threads of idle VM processes, from the metrics of the VMs.
measure_control_in_processes() { (
	PA_BUILD=$build
	. stand-ins/fleet.sh
	for vms in 9 30 100; do
		fleet_begin "$(mktemp -d)" 28000
		# With 100 VMs, the usual caller ports would overlap the peer ports.
		fleet_caller() { echo "127.0.0.1:$((fleet_port + 1 + $1))"; }
		fleet_start_platform
		pa settings set hedge_quantile 90% >/dev/null
		for i in $(seq $vms); do
			file=$fleet_scratch/vm$i.yaml
			printf 'id: vm%d\nzone: z%d\nregion: r%d\naddress: 127.0.0.1\ncaller_port: %d\npeer_port: %d\nplatform: %s\nlog_level: warning\n' "$i" $((i % 9)) $((i % 3)) $((fleet_port + 1 + i)) $((fleet_port + 200 + 2 * i)) "$fleet_platform_url" >"$file"
			"$build/plantainarch" serve --settings "$file" 2>>"$fleet_scratch/log" &
			fleet_pids="$fleet_pids $!"; last_pid=$!
			curl -s -m 2 -o /dev/null -X PUT "$fleet_platform_url/vms/vm$i" -d "{\"id\":\"vm$i\",\"address\":\"127.0.0.1\",\"zone\":\"z$((i % 9))\",\"region\":\"r$((i % 3))\",\"state\":\"live\",\"peer_port\":$((fleet_port + 200 + 2 * i)),\"threads\":1}"
		done
		for i in $(seq $vms); do fleet_wait_ready "$i"; done
		fleet_wait_members "$vms" 3
		sleep 5
		bytes=$(fleet_sum_metric control_bytes_total $vms) cpu=$(fleet_sum_metric control_cpu_us $vms) reads=$(fleet_sum_metric platform_reads_total $vms)
		sleep 15
		bytes=$(($(fleet_sum_metric control_bytes_total $vms) - bytes)) cpu=$(($(fleet_sum_metric control_cpu_us $vms) - cpu)) reads=$(($(fleet_sum_metric platform_reads_total $vms) - reads))
		awk -v n=$vms -v b=$bytes -v c=$cpu -v r=$reads -v rss="$(get_rss_kb "$last_pid")" 'BEGIN { printf "control_process vms %d bytes_per_s %.0f cpu_us_per_s %.0f platform_reads_per_s %.2f rss_kb %d\n", n, b / n / 15, c / n / 15, r / 15, rss }'
		version=$(pa settings set hedge_quantile 91% | awk '/accepted/ {print $2}')
		targets=; for i in $(seq $vms); do targets="$targets --target $(fleet_caller "$i")"; done
		pa settings wait "$version" $targets | sed -n "s/.*after \([0-9.]*\) s/control_process_reach vms $vms seconds_at_most \1/p"
		fleet_end
	done
) }

fit() { # NAME X Y: least-squares line of value Y over value X, from the lines NAME
	awk -v name="$1" -v x="$2" -v y="$3" '
	$1 == name { for (i = 2; i < NF; i += 2) v[$i] = $(i + 1); X[++n] = v[x]; Y[n] = v[y]; sx += X[n]; sy += Y[n]; sxx += X[n] ^ 2; sxy += X[n] * Y[n] }
	END { if (n < 2) exit; b = (n * sxy - sx * sy) / (n * sxx - sx ^ 2); a = (sy - b * sx) / n; for (i = 1; i <= n; i++) { d = Y[i] - a - b * X[i]; if (d < 0) d = -d; if (d > worst) worst = d }
	printf "fit %s.%s = %.4g + %.4g * %s (%d points, worst residual %.3g)\n", name, y, a, b, x, n, worst }' "$lines"
}

{
	echo "# control cores in virtual time"; measure_control_in_virtual_time
	echo "# control threads of real processes, idle"; measure_control_in_processes
	echo "# request cost of real processes"; measure_requests_in_processes
	echo "# request cost of the cores alone, simulated leaves included"; "$build/bench/cost" core
	echo "# snapshots"; "$build/bench/cost" fleet
	echo "# ledger, nine writers, 64 objects, store calls of 3 ms"; "$build/bench/cost" ledger
	echo "# latency by fan-out, leaves of 8 ms median, in virtual time"; "$build/bench/cost" tail
} | tee "$lines"
echo "# fits"
fit control vms bytes_per_s
fit control vms cpu_us_per_s
fit control_process vms bytes_per_s
fit control_process vms cpu_us_per_s
fit control_process vms rss_kb
fit fleet leaves cpu_us
fit fleet leaves bytes
fit process fan_out cpu_us_per_query
rm -f "$lines"
