MODULES := wharf wharfnode wharfctl wharfstandin platform
PROGRAMS := wharfnode wharfctl wharfstandin platform
VERSION ?= 0.1.0
LDFLAGS := -X ragwortwharf.dev/wharf/wharfcli.Version=$(VERSION)
LINTER ?= golangci-lint

.PHONY: build test race lint format demo bench generate clean

build:
	@for p in $(PROGRAMS); do CGO_ENABLED=1 go build -ldflags "$(LDFLAGS)" -o bin/ ./$$p || exit 1; done

# test builds the programs first, because some tests run them as processes.
test: build
	./scripts/test.sh

race: build
	./scripts/test.sh -race

lint:
	@for m in $(MODULES); do (cd $$m && $(LINTER) run ./...) || exit 1; done

format:
	@for m in $(MODULES); do (cd $$m && $(LINTER) fmt --diff ./...) || exit 1; done

demo: build
	./scripts/demo.sh

bench: build
	./scripts/bench.sh

# generate needs protoc, protoc-gen-go and protoc-gen-go-grpc. The generated files
# are committed.
generate:
	cd wharf/wharfwire && protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative wharf.proto

clean:
	rm -rf bin
