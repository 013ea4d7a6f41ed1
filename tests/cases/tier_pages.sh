# A list of several pages: a leaf of the first page drains while the second is read.
# The VM must learn of it, though no later change of that leaf follows.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 25800 --page 4
drained() { tier_control /stats | grep -o 'drained [0-9]*'; }
tier_control '/drain-while-listed?id=i-0' >/dev/null
tier_start 1
sleep 1.5 # drain_ms is 1,000
before=$(drained)
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 1 | grep -o 'refused.*'
[ "$(drained)" = "$before" ] && echo "the drained leaf got nothing after drain_ms"
