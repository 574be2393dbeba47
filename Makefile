# VENV may name a shared virtual environment, so that work trees need none of their own.
VENV ?= .venv
PY = PYTHONPATH=src:. UV_USE_IO_URING=0 $(VENV)/bin/python
STAMP = $(VENV)/.masticdeck-installed
EXPERIMENT ?= path
DEPLOYMENT ?= riga

.PHONY: setup check format test demo bench generate model model-mutants fuzz mutants capacity shares-of-code

setup: $(STAMP)

$(STAMP):
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[dev,reports]'
	touch $@

check: setup
	$(VENV)/bin/ruff format --check src testing bench scripts
	$(VENV)/bin/ruff check src testing bench scripts
	$(VENV)/bin/mypy
	$(PY) scripts/check_layers.py
	$(PY) scripts/code_shares.py

format: setup
	$(VENV)/bin/ruff format src testing bench scripts
	$(VENV)/bin/ruff check --fix src testing bench scripts

test: setup
	$(PY) scripts/run_tests.py

demo: setup
	$(PY) scripts/demo.py

bench: setup
	$(PY) -m bench $(EXPERIMENT) --deployment $(DEPLOYMENT) $(if $(RECORD),--record)

generate: setup
	$(VENV)/bin/pip install -q '.[generate]'
	$(PY) scripts/generate_protocol.py

model: setup
	$(PY) scripts/run_model.py

model-mutants: setup
	$(PY) scripts/run_model.py --mutants

fuzz: setup
	$(PY) scripts/run_fuzz.py

mutants: setup
	$(PY) scripts/run_mutants.py

capacity: setup
	$(PY) scripts/capacity.py
