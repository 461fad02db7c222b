# Every target runs from a clean checkout and needs Go, make, git and bash; demo, smoke and bench also need curl.
GO      ?= go
BIN     := bin
TOOL    := $(GO) tool -modfile=tools/go.mod
SOURCES := $(shell git ls-files -co --exclude-standard '*.go')

.PHONY: build test fmt-check lint unit generate demo smoke bench proofs fuzz soak faults upgrade

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: fmt-check lint unit

fmt-check:
	@bad=$$(gofmt -l $(SOURCES)); test -z "$$bad" || { echo "not gofmt-clean: $$bad"; exit 1; }

lint:
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

unit:
	GO=$(GO) scripts/unit.sh

demo: build
	scripts/demo.sh

smoke: build
	scripts/smoke.sh

bench: build
	scripts/bench.sh

# make soak SEED=3 STEPS=100000
SEED  ?= 1
STEPS ?= 20000
soak:
	$(GO) run -tags invariants ./cmd/soak -seed $(SEED) -steps $(STEPS)

# make fuzz SECONDS=60 runs fresh seeds and prints a failing one.
SECONDS ?= 60
fuzz:
	scripts/fuzz.sh $(SECONDS)

# make faults SEED=3 SECONDS=60 VMS=4 runs gateways as processes and injects faults;
# BURSTS=true adds bursts of load.
VMS ?= 4
BURSTS ?= false
faults:
	$(GO) test ./platform/faultsoak -count=1 -v -run TestFaults -timeout $$(($(SECONDS) + 120))s -args -faults.seed=$(SEED) -faults.seconds=$(SECONDS) -faults.vms=$(VMS) -faults.bursts=$(BURSTS)

# make upgrade SEED=3 VMS=16 replaces the version in production (deploy/system.toml) by this
# one, VM by VM; ROLLBACK=true does the reverse.
ROLLBACK ?= false
upgrade:
	$(GO) test ./platform/faultsoak -count=1 -v -run TestBuildsSideBySide -timeout 300s -args -faults.seed=$(SEED) -faults.vms=$(VMS) -faults.rollback=$(ROLLBACK)

proofs:
	scripts/proofs.sh

# Needs buf and its plugins, which tools/go.mod pins. The generated code is committed.
generate:
	$(GO) build -modfile=tools/go.mod -o $(BIN)/tools/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" $(BIN)/tools/buf generate
