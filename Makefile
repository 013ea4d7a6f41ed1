# plantainarch: build, tests, demo, bench. `make help` lists the targets.

BUILD ?= build
CC = gcc
PACKAGES = argtable2 glib-2.0 libmicrohttpd libcurl libzmq msgpack ck yaml-0.1 jansson libxxhash gsl
APT = gcc make pkg-config clang-format clang-tidy libargtable2-dev libglib2.0-dev \
	libmicrohttpd-dev libcurl4-openssl-dev libzmq3-dev libmsgpack-dev libck-dev \
	libhttp-parser-dev libyaml-dev libjansson-dev libxxhash-dev libgsl-dev gnuplot-nox curl spin \
	libclang-rt-14-dev clang doxygen procps
SANITIZE ?=
CFLAGS = -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Wno-unused-parameter -Isrc \
	$(shell pkg-config --cflags $(PACKAGES) 2>/dev/null) $(SANITIZE)
LIBS = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lhttp_parser -lm -lpthread $(SANITIZE)

SOURCES = $(filter-out src/main.c,$(wildcard src/*.c)) $(wildcard platform/*.c)
OBJECTS = $(SOURCES:%.c=$(BUILD)/objects/%.o)
STANDINS = $(BUILD)/platform $(BUILD)/upstream $(BUILD)/site $(BUILD)/caller
SUPPORT = $(wildcard tests/support/*.[ch])
TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/*.c))

EXAMPLES = $(patsubst examples/%.c,$(BUILD)/examples/%,$(wildcard examples/*.c))

all: $(BUILD)/plantainarch $(STANDINS) $(BUILD)/soak $(BUILD)/broken/merge $(BUILD)/broken/deny $(TESTS) $(EXAMPLES) $(BUILD)/bench/virtual $(BUILD)/bench/cost

help:
	@echo "make deps    install the Debian packages that the build needs"
	@echo "make all     build the binary, the stand-ins and the tests"
	@echo "make test    install, build, run every test"
	@echo "make demo    install, build, run the demo on stand-ins"
	@echo "make bench   run each policy variant in each scenario"
	@echo "make slopes  measure the unit costs for docs/CAPACITY.md"
	@echo "make random  run the randomised tests with 200 seeds each"
	@echo "make soak    run SOAK_SEEDS seeds of the soak (faults on real processes)"
	@echo "make soak-regressions  run the soak with the seeds that failed before"
	@echo "make soak-breaks  check that the soak finds each deliberate fault"
	@echo "make fuzz    run the fuzzer for FUZZ_SECONDS seconds"
	@echo "make capacity  measure the unit costs and rewrite the tables of docs/CAPACITY.md"
	@echo "make lint    check the formatting and run the linter"
	@echo "make format  format all sources"

deps:
	@dpkg -s $(APT) >/dev/null 2>&1 || { apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(APT) >/dev/null; }

HEADERS = $(wildcard src/*.h platform/*.h)

$(BUILD)/objects/%.o: %.c $(HEADERS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -c -o $@ $<

$(BUILD)/plantainarch: src/main.c $(OBJECTS)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/platform: stand-ins/platform.c stand-ins/stub.c $(OBJECTS)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/site: $(wildcard stand-ins/site*.c) stand-ins/part_body.c stand-ins/site.h $(OBJECTS)
	$(CC) $(CFLAGS) -o $@ $(filter-out %.h,$^) $(LIBS)

$(BUILD)/caller: stand-ins/caller.c stand-ins/part_body.c $(OBJECTS)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

SOAK_SOURCES = $(wildcard soak/*.c)
$(BUILD)/soak: $(filter-out soak/breaks.c,$(SOAK_SOURCES)) soak/soak.h $(OBJECTS)
	$(CC) $(CFLAGS) -o $@ $(filter-out %.h,$^) $(LIBS)

# Binaries with one deliberate fault each, as NAME:FUNCTION. The linker replaces
# FUNCTION by the faulty version of soak/breaks.c.
BREAKS = repeat:tier_begin refuse:tier_finish_unserved hold:tier_answer_status \
	cut:http_message_finish merge:gather_add budget:budget_take drain:tier_set_directory \
	revert:tier_set_directory stop:listener_count_in_flight deny:route_table_match
BREAK_FUNCTION = $(patsubst $1:%,%,$(filter $1:%,$(BREAKS)))
BROKEN = $(foreach break,$(BREAKS),$(BUILD)/broken/$(firstword $(subst :, ,$(break))))
$(BUILD)/broken/%: soak/breaks.c src/main.c $(OBJECTS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DBREAK_$(shell echo $* | tr a-z A-Z) -Wl,--wrap=$(call BREAK_FUNCTION,$*) -o $@ $^ $(LIBS)

$(BUILD)/upstream: stand-ins/upstream.c stand-ins/stub.c $(OBJECTS)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/tests/%: tests/%.c $(SUPPORT) $(OBJECTS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Itests/support -o $@ $(filter-out %.h,$^) $(LIBS)

$(BUILD)/bench/%: bench/%.c $(SUPPORT) $(OBJECTS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Itests/support -o $@ $(filter-out %.h,$^) $(LIBS)

$(BUILD)/examples/%: examples/%.c $(OBJECTS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

FORMATTED = $(wildcard src/*.[ch] platform/*.[ch] stand-ins/*.[ch] soak/*.[ch] tests/*.[ch] tests/support/*.[ch] bench/*.c fuzz/*.c examples/*.c)

format:
	clang-format -i $(FORMATTED)

lint:
	clang-format --dry-run --Werror $(FORMATTED)
	@echo $(filter %.c,$(FORMATTED)) | tr ' ' '\n' | xargs -P 6 -n 1 sh -c \
	'clang-tidy --quiet "$$@" -- -std=gnu11 -D_GNU_SOURCE -Isrc -Itests/support -Istand-ins $(shell pkg-config --cflags $(PACKAGES)) 2>/dev/null' tidy

test: deps all
	@tests/run.sh $(BUILD)

demo: deps all
	@examples/demo.sh $(BUILD)

clean:
	rm -rf $(BUILD)

.PHONY: all help deps format lint test demo bench slopes soak soak-regressions soak-breaks random clean

# One libFuzzer binary for all parsers; a run ends after FUZZ_SECONDS.
FUZZ_SECONDS ?= 600
FUZZ_FLAGS = -std=gnu11 -D_GNU_SOURCE -g -O1 -Isrc $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null) -fsanitize=fuzzer,address,undefined
$(BUILD)/fuzz_parsers: fuzz/fuzz_parsers.c $(SOURCES)
	@mkdir -p $(@D)
	clang -w $(FUZZ_FLAGS) -o $@ $^ $(LIBS)

fuzz: $(BUILD)/fuzz_parsers
	@mkdir -p $(BUILD)/corpus
	$(BUILD)/fuzz_parsers -max_total_time=$(FUZZ_SECONDS) -max_len=8192 $(BUILD)/corpus fuzz/corpus

bench: all
	bench/run.sh -d van-damme -o docs/bench
	bench/run.sh -d cooperative -o docs/bench

slopes: all
	@bench/slopes.sh $(BUILD)

random: all
	$(BUILD)/tests/core_random 1000 200 120
	$(BUILD)/tests/control_random --first-seed 1000 --seeds 200 --vms 20

# Faults on real processes; a seed takes about a minute.
SOAK_SEED ?= 1
SOAK_SEEDS ?= 50
soak: all
	$(BUILD)/soak --build $(BUILD) --seed $(SOAK_SEED) --seeds $(SOAK_SEEDS)

# Runs the seeds that failed before (soak/seeds.txt).
soak-regressions: all
	soak/regressions.sh $(BUILD)

# Runs seeds on each binary with a deliberate fault until one finds the fault.
soak-breaks: all $(BROKEN)
	soak/breaks.sh $(BUILD) $(BREAKS)

.PHONY: fuzz

capacity:
	bench/slopes.sh $(BUILD) > docs/bench/slopes.txt
	bench/capacity.sh

.PHONY: capacity
