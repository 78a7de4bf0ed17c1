GO ?= go

.PHONY: build deploy test lint unit examples demo prove prove-processes bench plots soak fault-soak fuzz generate clean capacity

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	tools/test

examples: build
	tools/check-examples

deploy:
	tools/check-deploy

test: build lint examples deploy unit

generate:
	tools/generate

clean:
	rm -rf bin .demo .bench .prove

demo: build
	tools/demo

# Prints tab-separated lines: name, baseline, value, ratio median, ratio min, ratio max, seeds.
bench: build
	bin/waxwing-bench policy

prove-processes: build
	tools/prove-processes

# Runs the proofs of tools/proofs.tsv with fixed seeds.
prove:
	tools/prove

# Runs the property tests with new seeds for SOAK_SECONDS, which includes a short run of each fuzz target at the end.
soak:
	tools/soak

# Runs real node processes under faults with FAULT_SOAK_SEEDS new seeds.
fault-soak:
	$(GO) test ./platform -run TestFaultSoak -v -timeout 60m -soak.seeds $${FAULT_SOAK_SEEDS:-10}

# Fuzzes each target for FUZZ_SECONDS.
fuzz:
	tools/fuzz

# Repeats the measurements of docs/CAPACITY.md.
capacity: build
	tools/capacity

# Plots the effect of the stall weight and the stalls over time to .bench/*.html.
plots: build
	bin/waxwing-bench plot --directory .bench
