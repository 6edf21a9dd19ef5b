# The targets that CI and developers use.

GO ?= go
GOPLS_VERSION ?= v0.23.0

.PHONY: build tools test race lint fmt check bench slopes fuzz

build:
	$(GO) build -o bergamotrun .

# Installs the tools that developers use and go.mod doesn't pin.
tools:
	$(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

test:
	$(GO) test ./...

race:
	$(GO) test -race ./internal/... ./pkg/...

# Fails when a file isn't formatted or a linter finds something.
lint:
	@test -z "$$(gofmt -l .)" || { echo "not formatted:"; gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config .revive.toml -set_exit_status ./...

fmt:
	gofmt -w .

check:
	$(GO) run . dev -check

# Prints the table of the measured policies; takes some minutes.
bench: build
	./bergamotrun load -suite conf/scenarios

# Prints the slopes that docs/CAPACITY.md uses.
slopes:
	$(GO) test -run '^$$' -bench Slope -benchmem -benchtime 200ms ./...

# The time for each decoder.
FUZZTIME ?= 20s

# Runs the fuzz target of each decoder; go test takes one at a time.
fuzz:
	@for target in internal/packet.FuzzParse internal/wrap.FuzzOpen internal/ctrl.FuzzCodec internal/encap.FuzzParse \
		internal/ticket.FuzzDecode internal/split.FuzzSplit internal/deliv.FuzzFlowList platform.FuzzParse platform.FuzzConfig \
		platform.FuzzHeartbeat platform.FuzzItems platform.FuzzRecord; do \
		echo "$$target"; \
		$(GO) test -run '^$$' -fuzz "^$${target##*.}$$" -fuzztime $(FUZZTIME) "./$${target%.*}" || exit 1; \
	done
