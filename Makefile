# Everything runs inside .venv, which the first target that needs it sets up.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CROWDS := platform/tests/crowds_test.py
PACKAGES := packages/baobabmux-core packages/baobabmux-node \
	packages/baobabmux-ctl standins bench platform

.PHONY: setup check format test demo play bench capacity

setup: $(STAMP)

$(STAMP): requirements/runtime.txt requirements/development.txt \
		$(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements/development.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# The tests of one file share a process: process tests keep their nodes. Tests
# with crowds of clients run one at a time, with nothing beside them.
test: check
	$(BIN)/python -m pytest --numprocesses 4 --dist loadfile \
		--ignore $(CROWDS)
	$(BIN)/python -m pytest $(CROWDS)

demo: $(STAMP)
	$(BIN)/python -m baobabmux_standins.demo

play: $(STAMP)
	$(BIN)/python -m baobabmux_standins.demo --hold

bench: $(STAMP)
	$(BIN)/python -m baobabmux_bench.main

capacity: $(STAMP)
	$(BIN)/python -m baobabmux_bench.capacity
