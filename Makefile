GO ?= go
BINARIES := $(notdir $(wildcard cmd/*))

.PHONY: build test lint unit demo prove bench soak fuzz generate clean

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	tools/test

test: build lint unit

generate:
	tools/generate

clean:
	rm -rf bin .demo .bench

demo: build
	tools/demo

# Runs the proofs of tools/proofs.tsv with fixed seeds.
prove:
	tools/prove

# Runs the property tests with new seeds for SOAK_SECONDS, then the fuzz targets for a short turn each.
soak:
	tools/soak

# Fuzzes each target for FUZZ_SECONDS.
fuzz:
	tools/fuzz
