PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/node packages/ctl packages/standins

.PHONY: install demo test lint format

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

format: install
	$(BIN)/ruff format packages
	$(BIN)/ruff check --fix packages

lint: install
	$(BIN)/ruff format --check packages
	$(BIN)/ruff check packages
	$(BIN)/mypy $(addsuffix /src,$(PACKAGES))

test: lint
	$(BIN)/pytest

demo: install
	$(BIN)/python -m knapweedspring_standins demo
