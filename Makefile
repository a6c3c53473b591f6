PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Tests of the call path that also run against the compiled modules.
COMPILED_TESTS := $(addprefix packages/relay/tests/,test_admission.py \
	test_answer_copies.py test_balancer.py test_calls.py test_crash_detector.py \
	test_crashing_requests.py test_cut_answers.py test_deployment_changes.py \
	test_head_end.py test_hop.py test_hop_memory.py test_http_server.py \
	test_leaving_upstreams.py test_long_calls.py test_rate_limits.py \
	test_refused_requests.py test_replaced_upstreams.py test_retry_budget.py \
	test_status_codes.py \
	test_upgrade_offers.py)
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
	sh deploy/build.sh
	PYTHONPATH=target/deps $(BIN)/pytest -m "not interpreted" $(COMPILED_TESTS)
	PYTHONPATH=target/deps $(BIN)/pytest -c platform/pyproject.toml \
		platform/tests/test_crowds.py

demo: install
	$(BIN)/python -m knapweedspring_standins demo
