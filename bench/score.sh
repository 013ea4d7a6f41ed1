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
awk -v weights="$weights" -v deployment="$1" '
function min(a, b) { return a < b ? a : b }
$3 == "urgent" || $3 == "standard" || $3 == "bulk" {
	p99[$1, $2, $3] = $5; coverage[$1, $2, $3] = $6; full[$1, $2, $3] = $7; extra[$1, $2] = $10
	if ($1 != "calm" && !(($1, $2) in seen)) { seen[$1, $2] = 1; count[$2]++; pairs[++n] = $1 SUBSEP $2 }
}
END {
	split(weights, weight, " "); split("urgent standard bulk", ranks, " ")
	calm_p99 = p99["calm", "home", "urgent"]
	for (i = 1; i <= n; i++) {
		split(pairs[i], pair, SUBSEP); scenario = pair[1]; variant = pair[2]
		sum[variant, 1] += full[scenario, variant, "urgent"] > 0 ? min(1, calm_p99 / p99[scenario, variant, "urgent"]) : 0
		sum[variant, 2] += min(1, full[scenario, variant, "urgent"] / full["calm", variant, "urgent"])
		for (r = 1; r <= 3; r++) sum[variant, 3] += coverage[scenario, variant, ranks[r]] / 3
		sum[variant, 4] += extra[scenario, variant] > 0 ? (extra[scenario, variant] < 20 ? 1 - extra[scenario, variant] / 20 : 0) : 1
		for (r = 2; r <= 3; r++) sum[variant, 5] += min(1, full[scenario, variant, ranks[r]] / full["calm", variant, ranks[r]]) / 2
	}
	printf "%-12s %-9s %6s %6s %8s %6s %6s %6s\n", "deployment", "variant", "tail", "urgent", "coverage", "extra", "keep", "score"
	for (variant in count) {
		score = 0
		for (k = 1; k <= 5; k++) { measure[k] = sum[variant, k] / count[variant]; score += 100 * weight[k] * measure[k] }
		printf "%-12s %-9s %6.2f %6.2f %8.3f %6.2f %6.2f %6.1f\n", deployment, variant, measure[1], measure[2], measure[3], measure[4], measure[5], score
	}
}' "$2"
