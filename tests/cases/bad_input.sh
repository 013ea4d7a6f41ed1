# Invalid requests from callers get an error answer with a reason; invalid or
# missing replies from leaves neither stop later searches nor break invariants.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 23000
fleet_start_platform
fleet_start_upstream main --instances 2 --leaves 2
pa settings set admission deadline >/dev/null
fleet_start_vm 1 a r
fleet_wait_ready 1
url=http://$(fleet_caller 1)
ask() { # PATH BODY: prints the HTTP status and the reason or leaf counts
	curl -s -m 10 -o "$PA_SCRATCH/body" -w '%{http_code} ' -X POST "$url$1" -d "$2"
	grep -o '"reason":"[^"]*"\|"answered":[0-9]*,"total":[0-9]*' "$PA_SCRATCH/body" | head -1
}
now=$(date +%s)000
echo "malformed JSON"; ask /search '{"index": "main", '
echo "duplicate key"; ask /search '{"index": "main", "index": "main", "query": "x"}'
echo "unknown field"; ask /search '{"index": "main", "query": "x", "colour": 1}'
echo "missing query"; ask /search '{"index": "main"}'
echo "wrong type"; ask /search '{"index": "main", "query": 7}'
echo "unknown index"; ask /search '{"index": "none", "query": "x"}'
echo "wrong rank"; ask /search '{"index": "main", "query": "x", "rank": "first"}'
echo "deadline in the past"; ask /search '{"index": "main", "query": "x", "deadline_ms": -5}'
echo "limit too high"; ask /search '{"index": "main", "query": "x", "limit": 1000000}'
echo "long query"; ask /search "{\"index\": \"main\", \"query\": \"$(head -c 2000 /dev/zero | tr '\0' x)\"}"
head -c 70000 /dev/zero | tr '\0' x >"$PA_SCRATCH/large"
echo "oversized body"; ask /search "@$PA_SCRATCH/large"
echo "wrong method"; curl -s -o /dev/null -w '%{http_code}\n' "$url/search"
echo "unknown path"; curl -s -o /dev/null -w '%{http_code}\n' "$url/none"
echo "order without a key"; ask /order "{\"index\": \"main\", \"issued_ms\": $now, \"order\": {}}"
echo "order with an empty key"; ask /order "{\"index\": \"main\", \"key\": \"\", \"issued_ms\": $now, \"order\": {}}"
echo "order from the future"; ask /order "{\"index\": \"main\", \"key\": \"k\", \"issued_ms\": 99999999999999, \"order\": {}}"
echo "order issued long ago"; ask /order '{"index": "main", "key": "k", "issued_ms": 1000, "order": {}}'
echo "an order"; ask /order "{\"index\": \"main\", \"key\": \"twice\", \"issued_ms\": $now, \"order\": {\"loaf\": 1}}"
echo "the same key with another body"; ask /order "{\"index\": \"main\", \"key\": \"twice\", \"issued_ms\": $now, \"try\": 2, \"order\": {\"loaf\": 2}}"
echo "the same key with the same body"; ask /order "{\"index\": \"main\", \"key\": \"twice\", \"issued_ms\": $now, \"try\": 3, \"order\": {\"loaf\": 1}}"
echo "try below 1"; ask /order "{\"index\": \"main\", \"key\": \"k\", \"issued_ms\": $now, \"order\": {}, \"try\": 0}"
echo "half a request"; printf 'POST /search HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{"index"' | timeout 1 curl -s telnet://"$(fleet_caller 1)" >/dev/null; echo closed
echo "a leaf that answers garbage once"; fleet_fault "$control_main" '{"garbage": 1}'; ask /search '{"index": "main", "query": "x"}'
echo "a leaf that answers another version once"; fleet_fault "$control_main" '{"wrong_version": 1}'; ask /search '{"index": "main", "query": "x"}'
echo "an instance that answers 500"; fleet_fault "$control_main" '{"instance": 0, "fail": true}'; ask /search '{"index": "main", "query": "x"}'
fleet_fault "$control_main" '{"instance": 0, "fail": false}'
echo "an instance that never answers"; fleet_fault "$control_main" '{"instance": 1, "hang": true}'; ask /search '{"index": "main", "query": "x"}'
fleet_fault "$control_main" '{"instance": 1, "hang": false}'
echo "after all this"; ask /search '{"index": "main", "query": "x"}'
echo "violations $(fleet_metric 1 invariant_violations_total)"
