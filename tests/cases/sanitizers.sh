# Runs tests under the address, undefined-behaviour and thread sanitizers, which
# must report nothing.
mkdir -p "$PA_SCRATCH"
check() { # NAME FLAGS COMMANDS...: builds with FLAGS and runs COMMANDS on that build
	local name=$1 flags=$2 build=$PA_SCRATCH/$1
	shift 2
	make -s -j"$(nproc)" BUILD="$build" SANITIZE="$flags -fno-omit-frame-pointer" all >&2 || { echo "$name: does not build"; return; }
	for command in "$@"; do PA_BUILD=$build build=$build bash -c "$command" >>"$PA_SCRATCH/$name.out" 2>>"$PA_SCRATCH/$name.err" || echo "$name: $command failed"; done
	cat "$PA_SCRATCH/$name"*/*.log "$PA_SCRATCH/$name.err" 2>/dev/null >"$PA_SCRATCH/$name.all"
	grep -h "Sanitizer\|runtime error" "$PA_SCRATCH/$name.all" | sort | uniq -c | head -5 >&2
	grep -q "Sanitizer\|runtime error" "$PA_SCRATCH/$name.all" && echo "$name: findings" || echo "$name: clean"
}
export UBSAN_OPTIONS=print_stacktrace=1 TSAN_OPTIONS="suppressions=$PWD/tests/support/tsan.supp"
check address "-fsanitize=address,undefined" \
	'$build/tests/http_framing' '$build/tests/tier_load' \
	"PA_SCRATCH=$PA_SCRATCH/address-tier ASAN_OPTIONS=detect_leaks=0 bash tests/cases/tier_faults.sh | diff - tests/cases/tier_faults.expected" \
	"PA_SCRATCH=$PA_SCRATCH/address-path ASAN_OPTIONS=detect_leaks=0 bash tests/cases/tier_path.sh | diff - tests/cases/tier_path.expected" \
	'$build/tests/core_random 1 3 30' '$build/tests/control_random --seeds 2 --seconds 60' \
	"PA_SCRATCH=$PA_SCRATCH/address-bad ASAN_OPTIONS=detect_leaks=0 bash tests/cases/bad_input.sh | diff - tests/cases/bad_input.expected"
check thread "-fsanitize=thread" \
	"PA_SCRATCH=$PA_SCRATCH/thread-store bash tests/cases/tier_store.sh | diff - tests/cases/tier_store.expected" \
	"PA_SCRATCH=$PA_SCRATCH/thread-outage bash tests/cases/platform_outage.sh | diff - tests/cases/platform_outage.expected"
