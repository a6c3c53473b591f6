PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/node packages/ctl packages/standins packages/relay platform

.PHONY: install demo test lint format

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

format: install
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

lint: install
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/mypy $(addsuffix /src,$(PACKAGES))

test: lint
	$(BIN)/pytest
	$(BIN)/pytest -c platform/pyproject.toml platform

demo: install
	$(BIN)/python -m knapweedspring_standins demo
