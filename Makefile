MODULES := core lugd lugctl lugbench
TOOLS := $(CURDIR)/.tools
LINT_VERSION := v2.15.0
LINT := $(TOOLS)/golangci-lint-$(LINT_VERSION)

.PHONY: all build test race lint format check-core check-link fuzz-replay measure capacity quickstart ci

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

quickstart:
	go run ./lugbench/cmd/lugbench quickstart

ci: build-alone lint check-core check-link race
