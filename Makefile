# Two commands do everything on a fresh machine with Python 3.11: `make run` and `make test`.
PYTHON ?= python3
VENV ?= .venv
SECONDS ?= 10
RATE ?= 120
PORT ?= 8080
SEED ?= 1
MINUTES ?= 5
FAULTS ?=
DEPLOYMENT ?= matching
export PIP_DISABLE_PIP_VERSION_CHECK = 1

.PHONY: run test soak check clean

run: $(VENV)/.run  ## a fleet on loopback: make run SECONDS=20 FAULTS=examples/faults/backends.toml
	$(VENV)/bin/python -m standins fleet --seconds $(SECONDS) --rate $(RATE) --port $(PORT) --seed $(SEED) \
		--deployment $(DEPLOYMENT) \
		$(if $(FAULTS),--faults $(FAULTS))

test: $(VENV)/.dev  ## the tests, as CI runs them
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" python -m pytest -q

soak: $(VENV)/.dev  ## random failures with fresh seeds: make soak MINUTES=5
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" python -m soak --minutes $(MINUTES)

check: $(VENV)/.dev  ## lint and types
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

$(VENV)/bin/python:
	$(PYTHON) -m venv $(VENV)

$(VENV)/.run: requirements.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements.txt
	touch $@

$(VENV)/.dev: requirements.txt requirements-dev.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $@ $(VENV)/.run

clean:
	rm -rf $(VENV)
