#!/usr/bin/env bash
# Computes the tables of docs/CAPACITY.md from docs/bench/slopes.txt, the output of
# `make slopes`, and replaces the text between the "begin" and "end" comments of the
# page. Usage: bench/capacity.sh
set -u
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md slopes=docs/bench/slopes.txt
tables=$(awk '
# The value of VALUE_KEY in the last line NAME whose KEY has the value KEY_VALUE.
# KEY must be the first key of the line.
function get_value(name, key, key_value, value_key) { return values[name, key, key_value, value_key] }
/^#|^fit/ { if ($1 == "fit") fits[++fit_count] = $0; next }
{ for (i = 2; i < NF; i += 2) { values[$1, $2, $3, $i] = $(i + 1) } }
END {
	split("9 60 600", vms, " ")
	rates[9] = 460; fan_outs[9] = 30; instances[9] = 50
	rates[60] = 11000; fan_outs[60] = 110; instances[60] = 155
	rates[600] = 110000; fan_outs[600] = 330; instances[600] = 1550
	leaf_us = get_value("process", "fan_out", 64, "cpu_us_per_leaf")
	print "### Traffic of one VM (as coordinator and as relay)\n"
	print "| VMs | queries/s of the fleet | leaves a query | queries/s a VM | leaf requests/s a VM | cores a VM at " leaf_us " us a leaf request | messages/s a VM, at most 20 relays a query |"
	print "|---|---|---|---|---|---|---|"
	for (i = 1; i <= 3; i++) { n = vms[i]; queries = rates[n] / n; leaf_requests = queries * fan_outs[n]; relays = fan_outs[n] < 20 ? fan_outs[n] : 20; printf "| %d | %d | %d | %.0f | %.0f | %.2f | %.0f |\n", n, rates[n], fan_outs[n], queries, leaf_requests, leaf_requests * leaf_us / 1e6, queries * relays * 3 }
	print "\n### Control plane of one VM\n"
	print "| VMs | bytes/s sent | messages/s sent | processor | platform calls/s of the fleet | time until a change is in force on all VMs |"
	print "|---|---|---|---|---|---|"
	for (i = 1; i <= 3; i++) { n = vms[i]; printf "| %d | %s | %s | %.3f %% of a core | %s | %s s |\n", n, get_value("control", "vms", n, "bytes_per_s"), get_value("control", "vms", n, "messages_per_s"), get_value("control", "vms", n, "cpu_us_per_s") / 1e4, get_value("control", "vms", n, "platform_calls_per_s"), get_value("control", "vms", n, "reach_s") }
	print "\nMeasured on idle processes (the control thread of each VM):\n"
	print "| VMs | bytes/s sent | processor | platform reads/s of the fleet | resident memory of the process | maximum time until a change is in force |"
	print "|---|---|---|---|---|---|"
	split("9 30 100", process_vms, " ")
	for (i = 1; i <= 3; i++) { n = process_vms[i]; printf "| %d | %s | %.2f %% of a core | %s | %.1f MB | %s s |\n", n, get_value("control_process", "vms", n, "bytes_per_s"), get_value("control_process", "vms", n, "cpu_us_per_s") / 1e4, get_value("control_process", "vms", n, "platform_reads_per_s"), get_value("control_process", "vms", n, "rss_kb") / 1024, get_value("control_process_reach", "vms", n, "seconds_at_most") }
	print "\n### Snapshot (built at each change; the newest and those in use by queries are kept)\n"
	print "| members | instances | leaves | processor time to build | memory | layout document |"
	print "|---|---|---|---|---|---|"
	split("9 60 200 600", sizes, " ")
	for (i = 1; i <= 4; i++) { n = sizes[i]; printf "| %d | %s | %s | %.1f ms | %.1f MB | %.0f KB |\n", n, get_value("fleet", "members", n, "instances"), get_value("fleet", "members", n, "leaves"), get_value("fleet", "members", n, "cpu_us") / 1000, get_value("fleet", "members", n, "bytes") / 1048576, get_value("fleet", "members", n, "layout_bytes") / 1024 }
	print "\n### Ledger (nine writers, 64 objects)\n"
	print "| orders/s | reads an order | writes an order | conflicts an order | writes/s | bytes a write |"
	print "|---|---|---|---|---|---|"
	split("1 100 1000", orders, " ")
	for (i = 1; i <= 3; i++) { n = orders[i]; printf "| %d | %s | %s | %s | %s | %s |\n", n, get_value("ledger", "orders_per_s", n, "reads_per_order"), get_value("ledger", "orders_per_s", n, "writes_per_order"), get_value("ledger", "orders_per_s", n, "conflicts_per_order"), get_value("ledger", "orders_per_s", n, "writes_per_s"), get_value("ledger", "orders_per_s", n, "bytes_per_write") }
	print "\n### Request cost of a VM process\n"
	print "| leaves a query | us a leaf request | us a query | queries/s a core | memory idle, loaded |"
	print "|---|---|---|---|---|"
	split("1 8 64", process_fan_outs, " ")
	for (i = 1; i <= 3; i++) { n = process_fan_outs[i]; printf "| %d | %s | %s | %s | %.1f, %.1f MB |\n", n, get_value("process", "fan_out", n, "cpu_us_per_leaf"), get_value("process", "fan_out", n, "cpu_us_per_query"), get_value("process", "fan_out", n, "queries_per_core_s"), get_value("process", "fan_out", n, "rss_idle_kb") / 1024, get_value("process", "fan_out", n, "rss_loaded_kb") / 1024 }
	print "\n### Linear fits\n"
	for (i = 1; i <= fit_count; i++) print "    " fits[i]
}' "$slopes")
tail_table=$(awk 'BEGIN { print "| leaves | case | p50 ms | p99 ms | coverage | extra leaf requests |\n|---|---|---|---|---|---|" } $1 == "tail" { printf "| %s | %s | %s | %s | %s | %s %% |\n", $5, $3, $7, $9, $11, $13 }' "$slopes")
awk -v tables="$tables" -v tail_table="$tail_table" '
/^<!-- tables begin -->/ { print; print ""; print tables; print ""; skip = 1 }
/^<!-- tail begin -->/ { print; print ""; print tail_table; print ""; skip = 1 }
/^<!-- (tables|tail) end -->/ { skip = 0 }
!skip { print }' "$page" >"$page.new" && mv "$page.new" "$page"
