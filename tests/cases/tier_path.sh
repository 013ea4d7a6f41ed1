# End to end on the platform's stand-in: gathered and forwarded requests, invalid
# input, a configuration change, a drained leaf, a planned stop.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 24000
tier_start 1
tier_start 2
status() { tier_call "$@" -o /dev/null -w '%{http_code}\n'; }

echo "== requests"
tier_call GET /list/2f r1 -D - -o "$PA_SCRATCH/body" | tr -d '\r' | grep -iE '^HTTP|missing'
echo "records: $(($(stat -c %s "$PA_SCRATCH/body") / 16))"
tier_call GET /fetch/a/../b%2F?q=1 r2 -D - -o /dev/null | tr -d '\r' | grep -iE '^HTTP|stamp|request-id' | sed 's/i-[01]\b/i-X/'
status POST /fetch/x r3 -d 'a body'
status POST /fetch/x r4 -H 'Transfer-Encoding: chunked' -d 'a chunked body'
status HEAD /fetch/x r5 -I
status GET /nothing/ r6
status GET /late/x r7
status GET /fetch/x "$(head -c 300 /dev/zero | tr '\0' i)"

echo "== bad input"
tier_raw 'GET /list/ HTTP/1.1\r\nHost: site.example\r\n\r\n'
tier_raw 'POST /fetch/ HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: s1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
tier_raw 'POST /fetch/ HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: s2\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef'
tier_raw 'GET /fetch/ HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: s3\r\nBad Name: x\r\n\r\n'
tier_raw 'POST /fetch/ HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: s4\r\nContent-Length: 70000\r\n\r\n'
tier_raw "GET /fetch/ HTTP/1.1\r\nHost: site.example\r\nX: $(head -c 9000 /dev/zero | tr '\0' x)\r\n\r\n"
tier_raw 'GET /fetch/ HTTP/1.1\r\nHost: site.ex'
head -c 3000000 /dev/zero | tr '\0' x >"$PA_SCRATCH/large"
status POST /fetch/x r9 -H 'Expect:' --data-binary "@$PA_SCRATCH/large"

echo "== a refused HEAD has no body, which would stand where the next answer is due"
exec 9<>"/dev/tcp/127.0.0.1/$(tier_caller_port 1)"
printf 'HEAD /nothing/ HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: h1\r\n\r\nHEAD /fetch/ HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: h2\r\nConnection: close\r\n\r\n' >"$PA_SCRATCH/heads"
cat "$PA_SCRATCH/heads" >&9
timeout 3 cat <&9 | tr -d '\r' >"$PA_SCRATCH/answers"; exec 9>&-
grep -ao '^HTTP/1.1 [0-9]*' "$PA_SCRATCH/answers"; echo "bodies: $(grep -c error "$PA_SCRATCH/answers")"

echo "== configuration"
tier_control '/configuration?version=5' >/dev/null; sleep 1
echo "versions in force: $(tier_metric 1 tier_configuration_version) $(tier_metric 2 tier_configuration_version)"
status GET /late/x r8
tier_control '/configuration?version=3' >/dev/null; sleep 1
echo "after an older one: $(tier_metric 1 tier_configuration_version) $(tier_metric 2 tier_configuration_version)"

echo "== a leaf drains, another's entry turns bad, a third goes"
tier_control '/leaf?id=i-0&state=draining' >/dev/null
tier_control '/leaf?id=i-3&state=bad' >/dev/null
tier_control '/leaf?id=i-4&state=gone' >/dev/null
sleep 2.6
before=$(tier_control /stats | grep -o 'drained [0-9]*')
"$PA_BUILD/caller" --targets "$(tier_callers 2)" --seconds 1 >"$PA_SCRATCH/load"
grep -o 'wrong.*' "$PA_SCRATCH/load"
[ "$(tier_control /stats | grep -o 'drained [0-9]*')" = "$before" ] && echo "none of them got a request"
for id in 0 3 4; do tier_control "/leaf?id=i-$id&state=ready" >/dev/null; done

echo "== entries with names that no header or log line can bear"
for name in 'i"9' 'i\9'; do
	tier_control "/entry?id=$name&state=ready&service=shard-0&address=127.0.0.1:1&zone=zone-a" >/dev/null
done
sleep 0.8
grep -o 'BAD_OBJECT","feed":"leafs","name":"i.9".*' "$PA_SCRATCH/vm1.log"
grep -c 'BAD_OBJECT.*its name or service' "$PA_SCRATCH/vm1.log"

echo "== a planned stop under load"
"$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 1.5 --rate 100 >"$PA_SCRATCH/load" &
load=$!
sleep 0.5
kill -TERM "$tier_pid_1"
sleep 0.1
tier_ready 1
wait $load
grep -o 'refused.*' "$PA_SCRATCH/load"
wait "$tier_pid_1"; echo "exit $?"
grep -o 'LOG_TIER_STOPPED.*' "$PA_SCRATCH/vm1.log"
tier_control /stats | grep -o 'twice [0-9]* unasked [0-9]*'

echo "== an id with a quote, explained from the log of a VM"
tier_control '/fault?leaf=all&kind=error&share=1' >/dev/null
tier_start 2
curl -s -o /dev/null -w '%{http_code}\n' -H 'Host: site.example' -H 'Plantainarch-Request-Id: a"b' "127.0.0.1:$(tier_caller_port 2)/fetch/x"
sleep 0.3
"$PA_BUILD/plantainarch" explain-request 'a_b' --log "$PA_SCRATCH/vm2.log" | grep -o 'outcome="leaf_failed"' | sort -u
"$PA_BUILD/plantainarch" explain-request none --log "$PA_SCRATCH/vm2.log" 2>/dev/null; echo "exit $?"
