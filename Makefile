# Commands a contributor needs; each is described in README.md.
GO        ?= go
MODULES   := ferry ferryd ferryctl ferrystand ferrybench platform
PACKAGES  := $(foreach m,$(MODULES),./$(m)/...)
BIN       := bin

.PHONY: soak score hunt run build readme tools fmt lint vet test race targets demo bench proof histories capacity fuzz clean

build:
	$(GO) build -o $(BIN)/ $(foreach m,ferryd ferryctl ferrystand ferrybench,./$(m))

tools: $(BIN)/gofumpt $(BIN)/revive

$(BIN)/gofumpt $(BIN)/revive: tools/go.mod
	@mkdir -p $(BIN)
	cd tools && GOWORK=off $(GO) build -o ../$(BIN)/ mvdan.cc/gofumpt github.com/mgechev/revive

fmt: tools
	$(BIN)/gofumpt -w $(MODULES)

lint: tools
	@out="$$($(BIN)/gofumpt -l $(MODULES))"; test -z "$$out" || { echo "not formatted (run make fmt):"; echo "$$out"; exit 1; }
	$(BIN)/revive -config revive.toml -set_exit_status $(PACKAGES)

vet:
	$(GO) vet $(PACKAGES)

# Runs all tests but the ones listed in KNOWN-RED.txt. Under the race detector of Go 1.26 a process
# crashes when timers of a synctest bubble expire on several threads at once; Go 1.27 has this mended.
# So ferryrelay, whose tests do that most, runs with the race detector of RACE_TOOLCHAIN, and without
# one on the Go that builds the programs.
RACE_TOOLCHAIN ?= go1.27.3
race:
	@skip="$$(bash .ci/known-red)" && set -- $${skip:+"-skip=$$skip"} && \
	relay="$$($(GO) list ./ferry/ferryrelay)" && others="$$($(GO) list $(PACKAGES) | grep -vxF "$$relay")" && \
	$(GO) test -race "$$@" $$others && \
	GOTOOLCHAIN="$$(GO="$(GO)" bash .ci/toolchain $(RACE_TOOLCHAIN))" $(GO) test -race "$$@" $$relay && \
	$(GO) test "$$@" $$relay

# The commands that README names must exist.
readme:
	bash .ci/readme

# The stated targets of the policies, on a virtual clock.
targets:
	$(GO) test -run TestStatedTargets ./ferrybench

test: lint vet build readme race targets

# Prints the figures of docs/MEASUREMENTS.md: the policies on a virtual clock, then one ferryd and idle fleets of real processes.
bench: build
	$(BIN)/ferrybench policy --out out
	$(BIN)/ferrybench relay --programs $(BIN) --rounds 10
	$(BIN)/ferrybench idle --programs $(BIN)

# Runs the whole system in separate processes and checks what it does.
demo: build
	$(BIN)/ferrystand demo --programs $(BIN)

# Brings failures about in real processes and checks the promises and the stated times, after long histories of the cores.
proof: build histories
	$(BIN)/ferrystand proof --programs $(BIN)

# Runs 10,000 random histories of the pure cores.
histories:
	GO="$(GO)" bash .ci/histories

# Runs each fuzzer for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	@for p in $$($(GO) list $(PACKAGES)); do \
		for f in $$($(GO) test -list '^Fuzz' $$p | grep ^Fuzz); do \
			echo "$$p $$f"; $(GO) test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) $$p || exit 1; \
		done; \
	done

# Runs real processes with faults from outside them; SEED is the first of SEEDS.
SEED  ?= 1
SEEDS ?= 5
soak:
	$(GO) build -ldflags=-linkmode=external -o target/ ./platform/...
	target/ferrysoak --program target/ferrysite --seed $(SEED) --seeds $(SEEDS)

# The users' bench, where it lies beside the repository: SITE is a site file, WHY goes to its journal.
FLEETBENCH ?= ../given/kit/more/system/more/bench-d17393/bin/fleetbench
SITE       ?= ../given/kit/more/system/further/sahakorn-kafae.toml
DAY        ?= quiet-1
DAYS       ?= 40
WHY        ?= by hand
score hunt run:
	@test -x $(FLEETBENCH) || { echo "the users' bench is not here: $(FLEETBENCH)"; exit 1; }
	$(FLEETBENCH) $@ $(SITE) $(if $(filter run,$@),$(DAY)) $(if $(filter hunt,$@),--days $(DAYS)) --jobs 3 --why "$(WHY)"

# capacity prints the measured points and the tables of docs/CAPACITY.md; it takes four minutes of one core.
capacity: build
	$(BIN)/ferrybench capacity
	$(BIN)/ferrybench capacity --real 9 --real 30

clean:
	rm -rf $(BIN) out
