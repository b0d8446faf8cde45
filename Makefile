# Targets:
#   all          buckthornd and buckthornctl
#   check        build with sanitizers, run all tests and checks
#   demo         run the demo
#   bench        run the benchmarks against their bounds
#   model-check  check the Promela models
#   capacity     measure the figures of docs/CAPACITY.md
#   soak         run random faults (variables: see scripts/soak)
#   format, lint, generate, deps, clean
#   fuzz         run the fuzz targets (variables: see scripts/fuzz)
# FUZZ=1 builds for libFuzzer into build/fuzz.
# SANITIZE=1 builds with AddressSanitizer and UBSan into build/sanitize.

PACKAGES = libevent msgpack glib-2.0 yaml-0.1 jansson libxxhash
CC = gcc
WARNINGS = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
  -Wpointer-arith -Wno-unused-result
ifeq ($(SANITIZE),1)
BUILD = build/sanitize
MODE = -O1 -g -fsanitize=address,undefined -fno-omit-frame-pointer
else ifeq ($(FUZZ),1)
BUILD = build/fuzz
CC = clang-14
WARNINGS = -w
MODE = -O1 -g -fsanitize=fuzzer-no-link,address,undefined,float-cast-overflow \
  -fno-sanitize-recover=all
else
BUILD ?= build/release
MODE = -O2 -g
endif
CPPFLAGS = -D_GNU_SOURCE -Isrc -I. -Itests -Ibench $(shell pkg-config --cflags $(PACKAGES))
CFLAGS = -std=gnu11 $(WARNINGS) $(MODE) -MMD -MP
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lhttp_parser -lm

core_src = $(wildcard src/base/*.c src/generated/*.c src/decide/*.c)
links_src = $(wildcard src/links/*.c)
platform_src = $(wildcard platform/*.c)
daemon_src = $(filter-out src/daemon/main.c,$(wildcard src/daemon/*.c))
harness_src = $(wildcard tests/harness/*.c)
model_src = $(wildcard bench/model/*.c)

objects = $(patsubst %.c,$(BUILD)/%.o,$(1))
core = $(call objects,$(core_src))
links = $(call objects,$(links_src))
platform = $(call objects,$(platform_src))
daemon = $(call objects,$(daemon_src))
harness = $(call objects,$(harness_src))
model = $(call objects,$(model_src))

bin ?= $(BUILD)/bin
programs = $(bin)/buckthornd $(bin)/buckthornctl
fakes_shared = $(call objects,$(filter-out tests/fakes/fake_%.c,$(wildcard tests/fakes/*.c)))
fakes = $(patsubst tests/fakes/%.c,$(bin)/%,$(wildcard tests/fakes/fake_*.c))
unit_tests = $(patsubst tests/unit/%.c,$(bin)/unit/%,$(wildcard tests/unit/*.c))
process_tests = $(patsubst tests/process/%.c,$(bin)/process/%,$(wildcard tests/process/*.c))
fuzz_shared = $(call objects,$(wildcard tests/fuzz/shared/*.c))
fuzz_targets = $(patsubst tests/fuzz/%.c,$(bin)/fuzz/%,$(wildcard tests/fuzz/fuzz_*.c))
benches = $(patsubst bench/%.c,$(bin)/bench/%,$(wildcard bench/*.c))

.PHONY: all demo check bench model-check capacity soak fuzz format lint \
  generate clean deps test-programs fuzz-programs programs
.SECONDARY:

all programs: $(programs)

deps:
	./scripts/install-deps

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

$(bin)/buckthornd: $(BUILD)/src/daemon/main.o $(daemon) $(platform) $(links) $(core)
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $^ -o $@ $(LDLIBS)

$(bin)/buckthornctl: $(call objects,$(wildcard src/ctl/*.c)) $(links) $(core)
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $^ -o $@ $(LDLIBS)

$(bin)/fake_%: $(BUILD)/tests/fakes/fake_%.o $(fakes_shared) $(links) $(core)
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $^ -o $@ $(LDLIBS)

$(bin)/unit/%: $(BUILD)/tests/unit/%.o $(daemon) $(platform) $(links) $(core) $(model)
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $^ -o $@ $(LDLIBS)

$(bin)/process/%: $(BUILD)/tests/process/%.o $(harness) $(core)
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $^ -o $@ $(LDLIBS)

$(bin)/bench/%: $(BUILD)/bench/%.o $(model) $(harness) $(daemon) $(platform) $(links) $(core)
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $^ -o $@ $(LDLIBS)

# A library, so that a target may define the functions of a module itself.
$(BUILD)/libfuzzed.a: $(fuzz_shared) $(daemon) $(platform) $(links) $(core)
	rm -f $@
	ar rcs $@ $^

$(bin)/fuzz/%: $(BUILD)/tests/fuzz/%.o $(BUILD)/libfuzzed.a
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) -fsanitize=fuzzer $^ -o $@ $(LDLIBS)

fuzz-programs: $(fuzz_targets)

test-programs: $(programs) $(fakes) $(unit_tests) $(process_tests)

demo: deps
	$(MAKE) -s -j6 all $(fakes) $(bin)/process/demo $(bin)/process/demo_site
	./scripts/demo $(bin)

check: deps
	./scripts/check

bench: deps
	./scripts/bench

model-check: deps
	./scripts/model-check

fuzz: deps
	./scripts/fuzz

capacity: deps
	$(MAKE) -s -j6 $(programs) $(fakes) $(benches)
	./scripts/capacity $(bin)

soak: deps
	$(MAKE) -s -j6 all $(fakes) $(bin)/process/soak $(bin)/process/soak_site
	./scripts/soak $(bin)

generate:
	python3 tools/generate.py
	clang-format -i src/generated/*.c src/generated/*.h

format:
	git ls-files -co --exclude-standard '*.c' '*.h' | xargs clang-format -i

lint:
	./scripts/lint

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
