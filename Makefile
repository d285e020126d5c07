# Commands of landingmast. `make demo` and `make test` are all that a newcomer needs.

GO ?= go
BIN := bin

.PHONY: all build demo test days soak check format generate generated-up-to-date model faults experiments bench examples reference clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs small copies of both deployments on loopback, with traffic and checks.
demo: build
	$(BIN)/landingmast-lab demo

# Tests in KNOWN-RED.txt (name, colon, cause and issue; one a line) fail for faults that are
# known: they are passed over and printed, nothing else is.
KNOWN_RED := $(shell test -f KNOWN-RED.txt && sed -n 's/^\(Test[^:]*\):.*/^\1$$/p' KNOWN-RED.txt | paste -sd'|' -)

# Tests of whole meshes run in parts, each a process of its own: what the race detector takes
# is kept until a process ends, 16 GB for all of them on a machine of 24.
MESHES := ./internal/testbed/fleet
SOAK := ./internal/testbed/soak
PARTS := ^(Test[A-H]|Fuzz|Example) ^Test[I-R] ^Test[S-Z]

test: build
	@if [ -s KNOWN-RED.txt ]; then echo "passed over, known red:"; cat KNOWN-RED.txt; fi
	$(GO) test -race -count=1 -timeout 900s $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$($(GO) list ./... | grep -v -e /internal/testbed/fleet -e /internal/testbed/soak)
	@set -e; for part in $(foreach part,$(PARTS),'$(part)'); do \
		echo "meshes, $$part"; \
		$(GO) test -race -count=1 -timeout 900s $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') -run "$$part" $(MESHES); \
	done
	@echo "soak"
	$(GO) test -race -count=1 -timeout 900s $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(SOAK)

# Packages whose functions have to be reached: all but the generated ones.
OWN := ^github.com/landingmast/landingmast/(cmd|internal|platform)

check: generated-up-to-date
	@unformatted=$$($(GO) tool gofumpt -l cmd design internal platform); \
	if [ -n "$$unformatted" ]; then echo "not formatted (remedy: make format):"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./cmd/... ./internal/... ./platform/...
	@unreached=$$($(GO) tool deadcode -test -filter '$(OWN)' ./cmd/... ./internal/... ./platform/...) || exit 1; \
	if [ -n "$$unreached" ]; then echo "reached by no program and no test:"; echo "$$unreached"; exit 1; fi

format:
	$(GO) tool gofumpt -w cmd design internal platform

generate:
	$(GO) tool goa gen github.com/landingmast/landingmast/design

# Generates into a copy of the tree and compares it with what is committed.
generated-up-to-date:
	@copy=$$(mktemp -d) && trap 'rm -rf "$$copy"' EXIT && \
	cp -r go.mod go.sum design "$$copy" && cp -r gen "$$copy/gen.committed" && mkdir "$$copy/internal" && \
	cd "$$copy" && $(GO) tool goa gen github.com/landingmast/landingmast/design >/dev/null && \
	diff -r gen gen.committed >/dev/null || { echo "gen/ differs from design/ (remedy: make generate)"; exit 1; }

clean:
	rm -rf $(BIN)

# Plays 200 random days of real nodes in virtual time against stand-ins of the platform.
days:
	$(GO) test -count=1 -timeout 1200s -run TestRandomDays $(MESHES) -days 200 -v | grep -v '^=== '

# Plays real processes under overlapping troubles: MINUTES of them, from seed SEED on, one
# minute a seed. Logs of all processes are kept below FOLDER.
MINUTES ?= 5
SEED ?= 1
FOLDER ?= $(or $(TMPDIR),/tmp)/landingmast-soak
# A landingmastd of an earlier release, which every other machine runs.
PREVIOUS ?=
soak:
	$(GO) test -count=1 -timeout 0 -run 'TestSoak$$' $(SOAK) -soak.seed $(SEED) -soak.runs $(MINUTES) -soak.folder $(FOLDER) -soak.previous "$(PREVIOUS)" -v | grep -v '^=== '

# Model checks spec/claim.pml, spec/fence.pml and spec/revoke.pml; needs spin and gcc.
model:
	spec/run.sh

# Long runs of real processes under seeded faults, with a summary table.
faults: build
	$(BIN)/landingmast-lab faults

# Experiments in virtual time: every variant, every seed; writes report/.
experiments: build
	$(BIN)/landingmast-lab experiments --report report

bench: build
	$(BIN)/landingmast-lab bench

# Writes the example bundles and settings.
examples: build
	$(BIN)/landingmast-lab examples

# Writes docs/CONFIGURATION.md.
reference: build
	$(BIN)/landingmast-lab reference
