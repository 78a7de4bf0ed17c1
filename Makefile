GO ?= go
BINARIES := $(notdir $(wildcard cmd/*))

.PHONY: build test lint unit examples demo prove bench soak fuzz plots generate clean prove-processes

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

test: build lint examples unit

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
