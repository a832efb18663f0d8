# Build rules of all directories. The Makefile of a directory only lists its sources.
CC = gcc
STD = -std=gnu11 -D_GNU_SOURCE
WARN = -Wall -Wextra -Werror -Wswitch-enum -Wstrict-prototypes -Wmissing-prototypes -Wshadow
OPT = -O2 -g
SAN =
OUT = build
FUZZ_MAIN = $(OUT)/regress/fuzz/replay.o
FUZZ_LINK =
PKGS = apr-1 apr-util-1 glib-2.0 msgpack yajl libxxhash zlib
# Used by the tests' clients and services alone: both load megabytes of libraries for TLS.
TEST_LIBS = $(shell pkg-config --libs libcurl libmicrohttpd) -lcmocka
CFLAGS = $(STD) $(WARN) $(OPT) $(SAN) -I. $(shell pkg-config --cflags $(PKGS))
LDLIBS = -Wl,--as-needed $(shell pkg-config --libs $(PKGS)) -largtable2 -lhttp_parser -lm -lpthread
folders = base core caller target peer platform operator

all: programs

include $(folders:%=%/Makefile)
include godwithitchd/Makefile godwithitch/Makefile regress/Makefile

lib_objs = $(foreach f,$(folders),$($(f)_srcs:%.c=$(OUT)/$(f)/%.o))
lib = $(OUT)/libgodwithitch.a
daemon = $(OUT)/bin/godwithitchd
tool = $(OUT)/bin/godwithitch
helpers = $(regress_helpers:%=$(OUT)/bin/%)
tools = $(regress_tools:%=$(OUT)/test/%)
tests = $(regress_tests:%=$(OUT)/test/%)
replays = $(fuzz_targets:%=$(OUT)/fuzz/%)

programs: $(daemon) $(tool) $(helpers) $(tools) $(replays)

$(OUT)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<; $(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(lib): $(lib_objs)
	@rm -f $@
	@ar rcs $@ $^

$(daemon): $(godwithitchd_srcs:%.c=$(OUT)/godwithitchd/%.o) $(lib)
	@mkdir -p $(@D)
	@echo LD $@; $(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(tool): $(godwithitch_srcs:%.c=$(OUT)/godwithitch/%.o) $(lib)
	@mkdir -p $(@D)
	@echo LD $@; $(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(OUT)/bin/%: $(OUT)/regress/%.o $(lib)
	@mkdir -p $(@D)
	@echo LD $@; $(CC) $(SAN) -o $@ $^ $(LDLIBS) $(TEST_LIBS)

$(OUT)/test/%: $(OUT)/regress/%.o $(regress_common:%.c=$(OUT)/regress/%.o) $(lib)
	@mkdir -p $(@D)
	@echo LD $@; $(CC) $(SAN) -o $@ $^ $(LDLIBS) $(TEST_LIBS)

$(OUT)/fuzz/%: $(OUT)/regress/fuzz/%.o $(FUZZ_MAIN) $(lib)
	@mkdir -p $(@D)
	@echo LD $@; $(CC) $(SAN) $(FUZZ_LINK) -o $@ $^ $(LDLIBS)

lib: $(lib)

daemon: $(daemon)

# Run the tests under the sanitizers, each with its own build directory. The thread sanitizer does
# not see the GLib locks of the fake services, so tsan copies these programs from the plain build.
asan:
	ASAN_OPTIONS=quarantine_size_mb=8 $(MAKE) OUT=build-asan SAN="-fsanitize=address,undefined -fno-sanitize-recover=undefined" OPT="-O1 -g" check

tsan: programs
	$(MAKE) OUT=build-tsan SAN=-fsanitize=thread OPT="-O1 -g" programs
	cp $(helpers) build-tsan/bin/
	G_SLICE=always-malloc TSAN_OPTIONS=halt_on_error=1 \
		$(MAKE) OUT=build-tsan SAN=-fsanitize=thread OPT="-O1 -g" check

# Run each fuzz target for FUZZ_RUNS inputs from a fixed seed, so that a run can be repeated; by hand
# with FUZZ="-max_total_time=600" for ten minutes of inputs that are always new.
FUZZ = -runs=$(FUZZ_RUNS) -seed=1
FUZZ_RUNS = 200000
fuzz_sanitizers = address,undefined
fuzz:
	@$(MAKE) OUT=build-fuzz CC=clang FUZZ_MAIN= FUZZ_LINK=-fsanitize=fuzzer OPT="-O1 -g" WARN=-Wall \
		SAN="-fsanitize=fuzzer-no-link,$(fuzz_sanitizers) -fno-sanitize-recover=undefined" \
		$(fuzz_targets:%=build-fuzz/fuzz/%)
	@for target in $(fuzz_targets); do mkdir -p build-fuzz/new/$$target && \
		build-fuzz/fuzz/$$target $(FUZZ) -timeout=5 -rss_limit_mb=1024 -print_final_stats=1 \
		-artifact_prefix=build-fuzz/crash-$$target- build-fuzz/new/$$target \
		regress/fuzz/corpus/$$target >build-fuzz/$$target.log 2>&1 || \
		{ tail -n 40 build-fuzz/$$target.log; exit 1; }; \
		echo "fuzz: $$target, no fault in $$(sed -n \
		's/^stat::number_of_executed_units: *//p' build-fuzz/$$target.log) inputs"; done

# Measure cost against load and fleet size (docs/CAPACITY.md); measure distribution and moves.
capacity: programs
	$(OUT)/test/capacity

measure: programs
	$(OUT)/test/measure spread
	$(OUT)/test/measure moves

# Run a short demonstration of the system on the loopback interface.
demo: programs
	@GODWITHITCH_BIN=$(OUT)/bin $(OUT)/test/demo

check: programs $(tests)
	@GODWITHITCH_BIN=$(OUT)/bin sh regress/run $(OUT)/test $(regress_tests)

# Check formatting, C code and manual pages; any finding is an error.
sources = $(shell git ls-files '*.c')
headers = $(shell git ls-files '*.h')
pages = $(shell git ls-files '*.1' '*.5' '*.8')
tidied = $(sources:%.c=$(OUT)/tidy/%.ok)

lint: $(tidied)
	clang-format --dry-run -Werror $(sources) $(headers)
	$(if $(pages),mandoc -T lint -W warning $(pages))
	@echo lint clean

$(OUT)/tidy/%.ok: %.c
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(filter-out -Werror,$(CFLAGS)) >$@.out 2>/dev/null || { cat $@.out; false; }
	@touch $@

# Measure the latency that nodes add to a call, alternating with direct calls to the target.
bench: programs
	$(OUT)/test/bench

clean:
	rm -rf build build-*

-include $(shell find $(OUT) -name '*.d' 2>/dev/null)

.PHONY: all programs lib daemon capacity measure asan tsan demo check lint clean bench
.SECONDARY:
