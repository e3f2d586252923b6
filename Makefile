# Tests named in KNOWN-RED.txt (first column: a Go test name) are left out.
KNOWN_RED := $(shell [ -f KNOWN-RED.txt ] && grep -v '^\#' KNOWN-RED.txt | cut -d: -f1 | paste -sd '|')
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)',)

.PHONY: build test demo platform-demo soak cost regress measure fuzz trial

build:
	go build -o bin/ ./cmd/...

# Measures the memory of processes, so that it runs apart from other load.
ALONE := cyclamenwheel/test/misbehaving

# -count=1: integration tests run binaries that the test cache cannot see.
# -p 4: each integration package starts tens of processes.
test: build
	go test -race -count=1 -p 4 -timeout 20m $(SKIP) $(filter-out $(ALONE),$(shell go list ./...))
	go test -race -count=1 -timeout 20m $(SKIP) $(ALONE)

demo: build
	./scripts/demo.sh

# Real nodes on the wire stand-in of the platform, through a maintenance wave, a
# dead endpoint and a killed node. Ends with 0 only if nothing was lost or doubled.
platform-demo: build
	bin/cyclamen-trial demo --shape portlouis
	bin/cyclamen-trial demo --shape kelaniya --nodes 7

# The same under random faults; see docs/SOAK.md.
SEED ?= 1
SECONDS ?= 15
soak: build
	bin/cyclamen-trial soak --seed $(SEED) --seconds $(SECONDS) --nodes 5

# Processor time for each task on a node with one core, with a profile of it.
cost: build
	bin/cyclamen-trial cost --nodes 1 --seconds 10

# The sites in force on the users' bench against the last means committed; needs
# BENCH and SITES, see the script.
regress:
	./scripts/regress.sh

# Figures of the pages in docs: minutes in all, fixed seeds.
measure: build
	bin/cyclamen-measure load
	bin/cyclamen-measure fleet
	bin/cyclamen-measure capacity

# Ten seconds for each fuzz target, beyond the committed corpus that test runs.
fuzz:
	go test ./internal/manifest -run XXX -fuzz FuzzParse -fuzztime 10s
	go test ./internal/fleetlog -run XXX -fuzz FuzzApply -fuzztime 10s
	go test ./internal/peer -run XXX -fuzz Fuzz -fuzztime 10s
	for f in FuzzDecodeJob FuzzDecodePage FuzzDecodeEntries FuzzDecodeLook; do \
	  go test ./platform -run XXX -fuzz "^$$f\$$" -fuzztime 10s || exit 1; done

# A trial deployment that runs until it is interrupted.
trial: build
	HOLD=1 ./scripts/demo.sh $(DEPLOYMENT)
