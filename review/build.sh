#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o build/standin standin.c -lpthread
