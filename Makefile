MODULES := core lugd lugctl lugbench platform
TOOLS := $(CURDIR)/.tools
LINT_VERSION := v2.15.0
LINT := $(TOOLS)/golangci-lint-$(LINT_VERSION)

.PHONY: all build build-alone test race lint format check-core check-link measure capacity processes fuzz quickstart ci

all: build test

build:
	@mkdir -p bin
	cd lugd && go build -o ../bin/lugd ./cmd/lugd
	cd lugctl && go build -o ../bin/lugctl ./cmd/lugctl
	cd lugbench && go build -o ../bin/lugbench ./cmd/lugbench

test:
	go test $(MODULES:%=./%/...)

race:
	go test -race $(MODULES:%=./%/...)

# Each module also builds by itself.
build-alone:
	for mod in $(MODULES); do (cd $$mod && GOWORK=off go build ./...) || exit 1; done

$(LINT):
	@mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

lint: $(LINT)
	for mod in $(MODULES); do (cd $$mod && $(LINT) run --config ../.golangci.yml ./...) || exit 1; done

format: $(LINT)
	for mod in $(MODULES); do (cd $$mod && $(LINT) fmt --config ../.golangci.yml ./...) || exit 1; done

check-core:
	bash _scripts/check-core.sh

check-link: build
	bash _scripts/check-link.sh bin/lugd bin/lugctl bin/lugbench

# Prints every table of docs/design; SEEDS=n for more seeds. Takes minutes.
SEEDS ?= 3
measure: build
	for tab in detection noise threshold rate fair brownout load; do bin/lugbench measure $$tab --seeds $(SEEDS) || exit 1; done
	bin/lugbench load 2>/dev/null

capacity: build
	bin/lugbench measure capacity --seeds $(SEEDS)

processes:
	bash _scripts/processes.sh

quickstart:
	go run ./lugbench/cmd/lugbench quickstart

# Longer fuzzing on demand; the corpora are replayed by every test run.
fuzz:
	cd core && go test ./note -fuzz FuzzRead -fuzztime 30s
	cd lugd && go test ./pkg/peer -fuzz FuzzDecode -fuzztime 30s
	cd lugd && go test ./pkg/caller -fuzz FuzzKeys -fuzztime 30s

ci: build-alone lint check-core check-link race
