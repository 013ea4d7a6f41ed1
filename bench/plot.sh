#!/usr/bin/env bash
# Plots p99 by scenario and variant, one plot a rank, from a table of bench/run.sh.
# Usage: bench/plot.sh DIRECTORY DEPLOYMENT
set -u
out=$1 deployment=$2
for rank in urgent standard bulk; do
	awk -v rank=$rank '$3 == rank { if (!($1 in seen)) { order[++n] = $1; seen[$1] = 1 } p99[$1, $2] = $5 } END { for (i = 1; i <= n; i++) print order[i], p99[order[i], "baseline"] + 0, p99[order[i], "direct"] + 0, p99[order[i], "home"] + 0 }' "$out/$deployment.txt" >"$out/$deployment-$rank.dat"
	gnuplot <<-G
	set terminal svg size 900,420
	set output "$out/$deployment-$rank.svg"
	set title "$deployment: p99 of $rank searches (ms, log scale)"
	set style data histogram
	set style fill solid 0.8
	set logscale y
	set yrange [5:*]
	set xtics rotate by -30
	set key top left
	plot "$out/$deployment-$rank.dat" using 2:xtic(1) title "baseline", "" using 3 title "direct", "" using 4 title "home"
	G
done
