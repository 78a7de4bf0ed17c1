GO ?= go
BINARIES := $(notdir $(wildcard cmd/*))

.PHONY: build test lint unit demo prove bench soak capacity generate clean

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

# Repeats the measurements of docs/CAPACITY.md.
capacity: build
	tools/capacity
