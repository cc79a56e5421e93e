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

.PHONY: run test fleet soak simnet scale check clean

run: $(VENV)/.run  ## the whole system on loopback, with stand-in backends, platform and operator
	$(VENV)/bin/python -m standins system

fleet: $(VENV)/.run  ## the program in service on loopback: make fleet SECONDS=20 FAULTS=examples/faults/backends.toml
	$(VENV)/bin/python -m standins fleet --seconds $(SECONDS) --rate $(RATE) --port $(PORT) --seed $(SEED) \
		--deployment $(DEPLOYMENT) \
		$(if $(FAULTS),--faults $(FAULTS))

test: $(VENV)/.dev  ## the tests, as CI runs them
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" python -m pytest -q tests/crowds
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" python -m pytest -q -n 4 --dist loadfile --ignore tests/crowds

soak: $(VENV)/.dev  ## random failures with fresh seeds: make soak MINUTES=5
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" python -m soak --minutes $(MINUTES)

simnet: $(VENV)/.run  ## drawn days on a simulated network, of the core and of the whole system: make simnet MINUTES=5
	$(VENV)/bin/python -m simnet --minutes $(MINUTES)
	$(VENV)/bin/python -m simnet --minutes $(MINUTES) --world system

scale: $(VENV)/.run  ## hollow proxies beside real core processes at several sizes, and what their slopes give
	$(VENV)/bin/python -m benchmarks.scale

check: $(VENV)/.dev  ## lint and types
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

$(VENV)/bin/python:
	$(PYTHON) -m venv $(VENV)

$(VENV)/.run: requirements.txt requirements-system.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements-system.txt
	touch $@

$(VENV)/.dev: requirements.txt requirements-system.txt requirements-dev.txt | $(VENV)/bin/python
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $@ $(VENV)/.run

clean:
	rm -rf $(VENV)
