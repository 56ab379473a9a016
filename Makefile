# Commands a contributor needs; each is described in README.md.
GO        ?= go
MODULES   := ferry ferryd ferryctl ferrystand ferrybench
PACKAGES  := $(foreach m,$(MODULES),./$(m)/...)
BIN       := bin

.PHONY: build tools fmt lint vet test race targets demo bench proof capacity fuzz clean

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

race:
	$(GO) test -race $(PACKAGES)

# The stated targets of the policies, on a virtual clock.
targets:
	$(GO) test -run TestStatedTargets ./ferrybench

test: lint vet build race targets

bench: build
	$(BIN)/ferrybench policy --out out

clean:
	rm -rf $(BIN) out
