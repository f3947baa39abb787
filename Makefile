PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup lint test demo bench fuzz soak forward-soak format settings-page

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 chivejunction fakes bench tests

# The crowd of callers runs apart from other load.
CROWD := tests/test_uncontrolled_callers.py

test: lint
	$(BIN)/python -m pytest -n 4 --dist loadfile --ignore $(CROWD)
	$(BIN)/python -m pytest $(CROWD)

bench: setup
	$(BIN)/python -m bench.report

demo: setup
	$(BIN)/python -m bench.demo

SEED ?= 1
MINUTES ?= 1

soak: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --minutes $(MINUTES)

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest --timeout 1800 tests/test_decoders.py

SECONDS ?= 20

forward-soak: setup
	$(BIN)/python -m bench.forward_soak --seed $(SEED) --seconds $(SECONDS)
