# A store and callers that send bytes without end, until the VM closes: memory stays bounded, other
# requests are served, and the VM follows the store again when it is sound.
. stand-ins/tier.sh
tier_begin "$PA_SCRATCH" 27200
tier_start 1
BOUND_KB=49152 # 8 MB for each of three feeds, the process itself, and room for copies
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/$tier_pid_1/status"; }
serves() { "$PA_BUILD/caller" --targets "$(tier_callers 1)" --seconds 1.5 --rate 40 | grep -o 'refused.*'; }
bound() { [ "$(peak_kb)" -lt $BOUND_KB ] && echo "memory stayed under its bound" || echo "memory: $(peak_kb) KB"; }
version=1
for kind in endless-head endless-line endless-body endless-chunks; do
	echo "== the store: $kind"
	tier_control "/store?mode=$kind" >/dev/null
	version=$((version + 1)); tier_control "/configuration?version=$version" >/dev/null
	serves; bound
	tier_control '/store?mode=up' >/dev/null
	for _ in $(seq 80); do [ "$(tier_metric 1 tier_configuration_version)" = $version ] && break; sleep 0.1; done
	[ "$(tier_metric 1 tier_configuration_version)" = $version ] && echo "it follows again"
done

trap '' PIPE # the VM closes before all is sent
endless() { # head, text that is repeated: until the VM closes, 5 s at most
	exec 7<>"/dev/tcp/127.0.0.1/$(tier_caller_port 1)"
	printf "$1" >&7
	timeout 5 yes "$2" >&7 2>/dev/null
	echo "ended with $?"
	exec 7>&-
}
callers() { # name, head, text: 4 such callers beside others
	echo "== callers: $1"
	for n in 1 2 3 4; do endless "$2" "$3" >"$PA_SCRATCH/endless-$n" 2>/dev/null & ends[n]=$!; done
	serves; bound
	wait "${ends[@]}"
	sort -u "$PA_SCRATCH"/endless-* | grep -v 'ended with 124' | sed 's/ended with .*/the VM closed/' | sort -u
	grep -l 'ended with 124' "$PA_SCRATCH"/endless-* | wc -l
}
callers 'headers' 'GET /fetch/x HTTP/1.1\r\nHost: site.example\r\n' "X-Filler: $(head -c 60 /dev/zero | tr '\0' a)"
callers 'one header' 'GET /fetch/x HTTP/1.1\r\nHost: site.example\r\nX-Filler: ' "$(head -c 60 /dev/zero | tr '\0' a)"
callers 'chunks' 'POST /fetch/x HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: e\r\nTransfer-Encoding: chunked\r\n\r\n' "$(printf '20\r\n%s\r' "$(head -c 32 /dev/zero | tr '\0' a)")"
callers 'trailers' 'POST /fetch/x HTTP/1.1\r\nHost: site.example\r\nPlantainarch-Request-Id: e\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n' "X-Filler: $(head -c 60 /dev/zero | tr '\0' a)"
