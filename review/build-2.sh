#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build/review-2/. They need libc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.c; do
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wno-unused-parameter -Wno-format-truncation \
		-Ireview/rig -o "build/review-2/case-$number" "$source" review/rig/rig.c -lpthread
done
