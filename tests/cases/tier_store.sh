# Store failures: many changes at once, compacted history, down, unresponsive, busy.
# The last state read stays in force; changes made meanwhile apply afterwards.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 24400
tier_start 1
drained() { tier_control /stats | grep -o 'drained [0-9]*'; }
serves() { "$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 0.5 | grep -o 'refused.*'; }

echo "== a drain behind 600 changes"
tier_control '/churn?version=600' >/dev/null
tier_control '/leaf?id=i-0&state=draining' >/dev/null
sleep 1
before=$(drained); serves
[ "$(drained)" = "$before" ] && echo "the drained leaf got nothing after drain_ms"

echo "== an entry is removed, its leaf lives on"
tier_control '/leaf?id=i-6&state=gone' >/dev/null
tier_control '/fault?leaf=i-7&kind=dark' >/dev/null
sleep 1
before=$(drained); serves >/dev/null
[ "$(drained)" = "$before" ] && echo "it got nothing after drain_ms, though its twin is dark"
tier_control '/fault?leaf=i-7&kind=none' >/dev/null
tier_control '/leaf?id=i-6&state=ready' >/dev/null

echo "== the history is gone"
tier_control '/store?mode=compact' >/dev/null
tier_control '/store?mode=up' >/dev/null
tier_control '/leaf?id=i-2&state=draining' >/dev/null
sleep 1.2
before=$(drained); serves
[ "$(drained)" = "$before" ] && echo "the list shows what the watch could not"

for mode in down silent busy; do
	echo "== the store is $mode, then back"
	tier_control "/store?mode=$mode" >/dev/null
	sleep 0.4
	serves
	tier_control '/store?mode=up' >/dev/null
	[ $mode = silent ] && tier_control '/store?mode=down' >/dev/null && tier_control '/store?mode=up' >/dev/null
	version=$((version + 2))
	tier_control "/configuration?version=$version" >/dev/null
	sleep 2.2
	echo "version in force: $(tier_metric 1 tier_configuration_version)"
done

echo "== a watch is lost in a silence that nothing else shows"
tier_control '/configuration?version=20' >/dev/null; sleep 0.6
tier_control '/store?mode=silent' >/dev/null
tier_control '/configuration?version=21' >/dev/null # ends the watch; the next one is lost
sleep 4
tier_control '/store?mode=up' >/dev/null
tier_control '/configuration?version=22' >/dev/null
sleep 4.5
echo "version in force: $(tier_metric 1 tier_configuration_version)"

echo "== a short silence swallows a watch that was just sent"
tier_control '/configuration?version=30' >/dev/null # ends the watch; the next one follows
sleep 0.1
tier_control '/store?mode=silent' >/dev/null
sleep 0.6
tier_control '/store?mode=up' >/dev/null
tier_control '/configuration?version=31' >/dev/null
sleep 4
echo "version in force: $(tier_metric 1 tier_configuration_version)"
