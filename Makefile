GOLANGCI_LINT_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools/bin
LINT := $(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(TOOLS)/gopls-$(GOPLS_VERSION)

# Tests listed as "test: NAME" in KNOWN-RED.txt are skipped and printed.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: capacity check gopls lint fmt test model build demo bench measure soak soak-broken

check: lint build test model
	@if [ -n "$(KNOWN_RED)" ]; then echo "known red, not run:"; cat KNOWN-RED.txt; fi

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

$(GOPLS):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/gopls $(GOPLS)

# Renames with every use: .tools/bin/gopls-VERSION rename -w FILE:LINE:COLUMN NAME
gopls: $(GOPLS)

lint: $(LINT)
	$(LINT) run ./...

fmt: $(LINT)
	$(LINT) fmt ./...

build:
	go build -o bin/ ./cmd/...

# The crowds measure the memory of a daemon process, so they run apart from other tests and without the
# race detector.
test:
	go test -race -timeout 20m $(SKIP) $$(go list ./... | grep -v /internal/crowdtest$$)
	go test -count=1 -timeout 20m $(SKIP) ./internal/crowdtest

# Explores the ownership protocol; the race detector would make it too slow.
model:
	GOGC=400 go test -count=1 -v -run '^TestModel' ./internal/coordination/ownership 

demo:
	go run ./cmd/celerydeck-demo

bench:
	go test -run '^$$' -bench . -benchmem ./...

measure:
	go run ./cmd/deckmeasure --out docs/measurements

capacity:
	go run ./cmd/deckcapacity --page docs/CAPACITY.md
	@cat docs/CAPACITY.md

# Fresh seeds of faults against real processes; each seed is printed and can be
# played again with --seed.
SOAK_SEEDS ?= 50
SOAK_CRASHES ?= 5
soak: build
	bin/decksoak --daemon bin/celerydeckd --seeds $(SOAK_SEEDS) --crashes $(SOAK_CRASHES)

# Builds that violate a guarantee must be caught by the soak.
soak-broken:
	go test -tags soak -timeout 20m -count=1 -v -run '^TestBrokenBuildsAreCaught$$' ./internal/soak
