#!/usr/bin/env bash
# Runs each policy variant in each scenario, on the same stand-ins and seed; writes
# a table, JSON lines and plots. Usage: bench/run.sh [-d DEPLOYMENT]
# [-s "SCENARIOS"] [-v "VARIANTS"] [-t SECONDS] [-o DIRECTORY]
set -u
cd "$(dirname "$0")/.."
deployment=van-damme seconds=10 warmup=3 out=build/bench/out
scenarios=$(ls bench/scenarios | sed 's/.yaml//') variants="baseline direct home"
while getopts d:s:v:t:o:h option; do
	case $option in
	d) deployment=$OPTARG ;; s) scenarios=$OPTARG ;; v) variants=$OPTARG ;;
	t) seconds=$OPTARG ;; o) out=$OPTARG ;;
	*) sed -n '2,4s/^# //p' "$0"; [ "$option" = h ]; exit $? ;;
	esac
done
. stand-ins/fleet.sh
scratch=$(mktemp -d)
trap 'fleet_end; rm -rf "$scratch"' EXIT
mkdir -p "$out"
vms=9 shards=30 violations=0
case $deployment in cooperative) index=reorder-desk instances=30 zones=port-louis,curepipe,mahebourg ;; *) index=klantdesk instances=30 zones=antwerpen,gent,namur ;; esac
fleet_log_level=warning

get_scenario_value() { # SCENARIO KEY
	sed -n "s/^$2: *//p" "bench/scenarios/$1.yaml"
}
write_settings() { # VARIANT: the deployment's settings, with the variant's defaults in place of its own
	awk -v file="bench/variants/$1.yaml" '
	BEGIN { while ((getline line < file) > 0) if (line !~ /^#/) { split(line, fields, ":"); key = fields[1]; gsub(/ /, "", key); overrides[key] = line } }
	{ key = $1; sub(/:$/, "", key); if (/^  [a-z_]+:/ && key in overrides) next; print }
	/^defaults:/ { for (key in overrides) print overrides[key] }' "examples/$deployment/fleet.yaml" >"$scratch/$1.yaml"
}
# Starts new processes for each run, because the state of a run would influence
# the next one: draining marks that last a minute, ejected leaves and learnt
# latency estimates.
start_fleet() { # VARIANT
	fleet_begin "$scratch" "${PA_PORT:-25000}"
	trap 'fleet_end; rm -rf "$scratch"' EXIT
	control=http://127.0.0.1:$((fleet_port + 500))
	fleet_start_platform
	fleet_start_upstream $index --instances $instances --leaves 2 --slots 2 --connections 25 --connect-us 5000 --service-us 16000 --sigma 0.4 --zones $zones --regions r
	pa settings apply "$scratch/$1.yaml" --author bench >/dev/null
	for i in $(seq $vms); do fleet_start_vm "$i" "$(echo $zones | cut -d, -f$((i % 3 + 1)))" r; done
	for i in $(seq $vms); do fleet_wait_ready "$i"; done
	fleet_wait_members $vms $vms
}
inject_faults() { # SCENARIO: lines "SECOND: FAULT", in order of time
	local elapsed=0 second
	while read -r second fault; do
		sleep $((${second%:} - elapsed)); elapsed=${second%:}
		fleet_fault "$control" "$(echo "$fault" | sed "s/^'//; s/'$//")"
	done < <(sed -n 's/^  \([0-9]*:\)/\1/p' "bench/scenarios/$1.yaml")
}

: >"$out/$deployment.jsonl"
printf '%-22s %-9s %-9s %8s %8s %9s %8s %8s %8s %7s\n' scenario variant rank "p50 ms" "p99 ms" coverage full/s refused partial extra%
for scenario in $scenarios; do
	for variant in $variants; do
		write_settings "$variant"
		start_fleet "$variant"
		leaf_requests_before=$(fleet_sum_metric leaf_requests_total $vms) answered_before=$(fleet_sum_metric queries_answered_total $vms)
		inject_faults "$scenario" &
		faults=$!
		pa load $(fleet_callers $vms) --flow "index=$index,rank=urgent,rate=$(get_scenario_value "$scenario" urgent),caller=a" --flow "index=$index,rank=standard,rate=$(get_scenario_value "$scenario" standard),caller=b" --flow "index=$index,rank=bulk,rate=$(get_scenario_value "$scenario" bulk),caller=c" --seconds $((seconds + warmup)) --warmup $warmup --seed 7 --quiet --json >"$scratch/report"
		wait $faults
		leaf_requests=$(($(fleet_sum_metric leaf_requests_total $vms) - leaf_requests_before)) answered=$(($(fleet_sum_metric queries_answered_total $vms) - answered_before))
		sed 's/},{/}\n{/g; s/^\[//; s/\]$//' "$scratch/report" | while read -r line; do
			echo "$line" | sed "s/^{/{\"scenario\":\"$scenario\",\"variant\":\"$variant\",\"leaf_requests\":$leaf_requests,\"answered\":$answered,/" >>"$out/$deployment.jsonl"
			get_field() { echo "$line" | grep -o "\"$1\":\"*[^,\"}]*" | sed 's/.*[":]//' | head -1; }
			printf '%-22s %-9s %-9s %8.1f %8.1f %9.4f %8.1f %8d %8d %7.1f\n' "$scenario" "$variant" "$(get_field rank)" "$(get_field p50_ms)" "$(get_field p99_ms)" "$(get_field coverage)" "$(get_field goodput)" "$(get_field refused)" "$(get_field partial)" "$(awk "BEGIN {print $answered ? 100 * ($leaf_requests / ($answered * $shards) - 1) : 0}")"
		done
		violations=$((violations + $(fleet_sum_metric invariant_violations_total $vms)))
		fleet_end
	done
	[ -z "$scenario" ] || echo "$violations" >"$scratch/violations"
done | tee "$out/$deployment.txt"
echo "invariant violations: $(cat "$scratch/violations")" | tee -a "$out/$deployment.txt"
bench/plot.sh "$out" "$deployment"
