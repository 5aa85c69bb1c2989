# Targets are documented in README.md. VENV may name another prepared folder.
VENV ?= .venv
PYTHON ?= python3.11
PY := $(VENV)/bin/python
SEED ?= 1
RUNS ?= 1
WORKERS ?= 4
# Options or node ids for pytest; all tests by default.
TESTS ?=
# Tests with crowds of clients run one at a time, by their own target.
SELECT ?= not crowd

# Creates the environment and the folder that the README's tour writes to.
.PHONY: setup
setup: $(VENV)/.ready
	mkdir -p run

.PHONY: demo test crowds check faults soak measure report schema golden

$(VENV)/.ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps \
		-e .
	touch $@

demo: $(VENV)/.ready
	$(PY) -m tests.fleet.demo

test: $(VENV)/.ready
	$(PY) -m pytest -n $(WORKERS) -m "$(SELECT)" $(TESTS)

crowds: $(VENV)/.ready
	$(PY) -m pytest -m crowd tests/test_crowds.py $(TESTS)

check: $(VENV)/.ready
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

faults: $(VENV)/.ready
	$(PY) -m tests.fleet.faults --seed $(SEED)

# The platform's roles under faults from outside; RUNS plays that many seeds.
soak: $(VENV)/.ready
	$(PY) -m tests.soak --seed $(SEED) --seeds $(RUNS)

measure: $(VENV)/.ready
	$(PY) -m benchmarks.measure

# Where days of the users' bench lose worth; LOGS are outputs of days with all logs.
report: $(VENV)/.ready
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-report.txt
	$(PY) -m benchmarks.worthreport --output run/report $(LOGS)

# The generated module is committed; only a change of the schema needs this target.
schema: $(VENV)/.ready
	$(PY) -m grpc_tools.protoc -I schema --python_out=sardinegauge schema/operator.proto

# Writes the golden session anew; review the difference before committing it.
golden: $(VENV)/.ready
	$(PY) -m tests.test_golden
