GO ?= go
BINARIES := $(notdir $(wildcard cmd/*))

.PHONY: build test lint unit demo prove prove-processes bench soak generate clean

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
	rm -rf bin .demo .bench .prove

demo: build
	tools/demo

prove-processes: build
	tools/prove-processes
