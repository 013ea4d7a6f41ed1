# Guards against requests that are cut at a planned stop: those that come late in the grace and
# could not be answered in time, pipelined ones, and bodies that arrive slowly.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 26000 --work-ms 400
head_of() { # method, path, id: without the blank line
	printf '%s %s HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: %s\r\nPlantainarch-Deadline-Ms: 2000\r\n' "$@"
}
runs() { tier_control /stats | grep -o '^runs [0-9]*' | cut -d' ' -f2; }
statuses() { grep -ao 'HTTP/1.1 [0-9]*' "$@" | cut -d' ' -f2; }
open() { exec {fd}<>"/dev/tcp/127.0.0.1/$(tier_caller_port 1)"; } 2>/dev/null
ask() { # path, id: one request on a connection of its own; the answer goes to a file
	open || { echo 'no connection' >"$PA_SCRATCH/answer-$2"; return; }
	{ head_of GET "$1" "$2"; printf '\r\n'; } >&$fd
	timeout 5 cat <&$fd >"$PA_SCRATCH/answer-$2"
}
warm() { for n in $(seq 6); do tier_call GET /once/x "$1-$n" -o /dev/null; tier_call GET /fetch/x "$1-f$n" -o /dev/null; done; }

echo "== orders at each moment of the grace, until the process is gone"
tier_start 1; warm w
before=$(runs)
kill -TERM "$tier_pid_1"
for n in $(seq 40); do
	ask /once/x "late-$n" & asks+=($!)
	sleep 0.09
done
wait "${asks[@]}"
wait "$tier_pid_1"; echo "exit $?"
cat "$PA_SCRATCH"/answer-late-* >"$PA_SCRATCH/late"
served=$(statuses "$PA_SCRATCH/late" | grep -c 200) refused=$(statuses "$PA_SCRATCH/late" | grep -c 503)
none=$(for n in $(seq 40); do [ -s "$PA_SCRATCH/answer-late-$n" ] || echo "$n"; done | wc -l)
echo "neither served nor refused: $(statuses "$PA_SCRATCH/late" | grep -vc '200\|503')"
[ "$served" -ge 10 ] && [ "$refused" -ge 1 ] && echo "some were served, late ones refused" || echo "served $served refused $refused"
[ "$(($(runs) - before))" -eq "$served" ] && echo "just those ran" || echo "ran $(($(runs) - before)), served $served"
[ "$none" -le 1 ] && echo "none was left without a word" || echo "$none got no word"

echo "== pipelined requests"
tier_start 1; warm p
open; { for n in 1 2 3; do head_of GET /fetch/x "piped-$n"; printf '\r\n'; done; } >"$PA_SCRATCH/piped"
cat "$PA_SCRATCH/piped" >&$fd
sleep 0.1; kill -TERM "$tier_pid_1"
timeout 5 cat <&$fd >"$PA_SCRATCH/answers"
statuses "$PA_SCRATCH/answers" | sort | uniq -c | tr -s ' '
wait "$tier_pid_1"

echo "== bodies that arrive slowly: whole within the grace, and never whole"
tier_start 1; warm b
open; slow=$fd; { head_of POST /fetch/x slow; printf 'Content-Length: 10\r\n\r\nabc'; } >&$slow
open; stuck=$fd; { head_of POST /fetch/x stuck; printf 'Content-Length: 10\r\n\r\nabc'; } >&$stuck
sleep 0.2; kill -TERM "$tier_pid_1"
sleep 0.6; printf 'defghij' >&$slow
timeout 5 cat <&$slow >"$PA_SCRATCH/slow" & cats=$!
timeout 5 cat <&$stuck >"$PA_SCRATCH/stuck"; wait $cats
statuses "$PA_SCRATCH/slow"; statuses "$PA_SCRATCH/stuck"
wait "$tier_pid_1"; echo "exit $?"
