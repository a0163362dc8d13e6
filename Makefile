# A front end to CMake. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: help setup build test run bench capacity catalogue model regress lint format clean

help: ## lists the targets
	@grep -hE '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

setup: ## installs the Debian packages that are missing
	@bash scripts/setup.sh

$(BUILD)/build.ninja: | setup
	cmake -S . -B $(BUILD) -G Ninja

build: $(BUILD)/build.ninja ## builds everything
	cmake --build $(BUILD) -j $(JOBS)

test: build ## runs the unit tests and the end-to-end cases
	bash scripts/test.sh $(BUILD) $(JOBS)

run: build ## runs the whole system on loopback through each main scenario once
	python3 testsuite/whole_path/run.py --build $(BUILD)

bench: build ## runs the benchmarks, writes $(BUILD)/bench
	bash scripts/bench.sh $(BUILD)

capacity: build ## measures the linear cost models of docs/CAPACITY.md
	bash scripts/capacity.sh $(BUILD)

catalogue: build ## writes docs/EVENTS.md and docs/METRICS.md from the programs' tables
	python3 testsuite/catalogue/run.py --build $(BUILD) --write

model: setup ## checks the models, and that each seeded fault is detected
	bash spec/check.sh

regress: ## runs the regression sites: make regress FLEETBENCH=program SITES=folder
	python3 scripts/regress.py --bench $(FLEETBENCH) --sites $(SITES)

lint: $(BUILD)/build.ninja ## runs formatter and linter, fails on any finding
	bash scripts/lint.sh $(BUILD)

format: ## formats the sources in place
	git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' | xargs clang-format-19 -i

clean: ## removes the build folder
	rm -rf $(BUILD)
