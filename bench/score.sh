#!/usr/bin/env bash
# Scores the variants in a table of bench/run.sh from 0 to 100, with the weights of
# a deployment.
# Usage: bench/score.sh van-damme|cooperative TABLE
#
# Each measure is the mean over all scenarios except calm, and at most 1:
#   tail      p99 of urgent searches of the home variant in calm / p99 of urgent
#             searches of this variant; 0 without complete urgent answers
#   urgent    complete urgent answers a second / the same in calm
#   coverage  mean coverage of the three ranks
#   extra     1 without extra leaf requests, falling to 0 at 20% or more
#   keep      complete answers a second / the same in calm, mean of the ranks
#             standard and bulk
set -eu
case $1 in
van-damme) weights="0.35 0.30 0.10 0.10 0.15" ;;
cooperative) weights="0.15 0.10 0.30 0.10 0.35" ;;
*) echo "Usage: bench/score.sh van-damme|cooperative TABLE" >&2; exit 2 ;;
esac
awk -v weights="$weights" -v name="$1" '
function min(a, b) { return a < b ? a : b }
$3 == "urgent" || $3 == "standard" || $3 == "bulk" {
	p99[$1, $2, $3] = $5; coverage[$1, $2, $3] = $6; full[$1, $2, $3] = $7; extra[$1, $2] = $10
	if ($1 != "calm" && !(($1, $2) in seen)) { seen[$1, $2] = 1; count[$2]++; pairs[++n] = $1 SUBSEP $2 }
}
END {
	split(weights, w, " "); split("urgent standard bulk", ranks, " ")
	calm_p99 = p99["calm", "home", "urgent"]
	for (i = 1; i <= n; i++) {
		split(pairs[i], pair, SUBSEP); s = pair[1]; v = pair[2]
		sum[v, 1] += full[s, v, "urgent"] > 0 ? min(1, calm_p99 / p99[s, v, "urgent"]) : 0
		sum[v, 2] += min(1, full[s, v, "urgent"] / full["calm", v, "urgent"])
		for (r = 1; r <= 3; r++) sum[v, 3] += coverage[s, v, ranks[r]] / 3
		sum[v, 4] += extra[s, v] > 0 ? (extra[s, v] < 20 ? 1 - extra[s, v] / 20 : 0) : 1
		for (r = 2; r <= 3; r++) sum[v, 5] += min(1, full[s, v, ranks[r]] / full["calm", v, ranks[r]]) / 2
	}
	printf "%-12s %-9s %6s %6s %8s %6s %6s %6s\n", "deployment", "variant", "tail", "urgent", "coverage", "extra", "keep", "score"
	for (v in count) {
		score = 0
		for (k = 1; k <= 5; k++) { m[k] = sum[v, k] / count[v]; score += 100 * w[k] * m[k] }
		printf "%-12s %-9s %6.2f %6.2f %8.3f %6.2f %6.2f %6.1f\n", name, v, m[1], m[2], m[3], m[4], m[5], score
	}
}' "$2"
