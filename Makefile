GO ?= go
BINARIES := $(notdir $(wildcard cmd/*))

.PHONY: build test lint unit demo prove bench plots soak generate clean

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

# Prints tab-separated lines: name, baseline, value, ratio median, ratio min, ratio max, seeds.
bench: build
	bin/waxwing-bench policy

# Draws the effect of the stall weight and the stalls over time into .bench/*.html.
plots: build
	bin/waxwing-bench plot --directory .bench
