VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: setup demo test lint format check bench-overhead bench-hops bench-capacity replay reference

# The stamp is newer than pyproject.toml once installed, so later runs need no network.
$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/python -m fuchsiaspool.demo

test: setup
	$(BIN)/python -W ignore::ResourceWarning -m unittest discover -s tests -t .

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

bench-overhead: setup
	$(BIN)/python -m fuchsiaspool.benchmarks.overhead

bench-hops: setup
	$(BIN)/python -m tests.hops

bench-capacity: setup
	$(BIN)/python -m fuchsiaspool.benchmarks.capacity
