VENV ?= .venv
FAILED_TESTS ?=
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed
SOURCES = $(wildcard toucanhold standins tests tools .ci/closing_line.py)

# Sets of names are ordered by hash: the same order in each run gives the same verdicts.
export PYTHONHASHSEED = 0

FIRST ?= 1
SEEDS ?= 10

.PHONY: venv test lint format demo binary measure capacity matrix soak

venv: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	@test -x $(PYTHON) || python3 -m venv $(VENV)
	@$(PYTHON) -m pip install -qq --disable-pip-version-check --root-user-action=ignore \
		-c constraints.txt -e '.[dev]'
	@touch $@

test: $(STAMP)
	@PYTHONPATH=.ci FAILED_TESTS=$(FAILED_TESTS) $(PYTHON) -m nose2 -v -s tests $(if $(wildcard tests/__init__.py),-t .) \
		--plugin closing_line

lint: $(STAMP)
	@$(PYTHON) -m black --quiet --check $(SOURCES) || \
		{ $(PYTHON) -m black --check $(SOURCES); exit 1; }
	@$(PYTHON) -m ruff check --quiet $(SOURCES)

format: $(STAMP)
	@$(PYTHON) -m black --quiet $(SOURCES)
	@$(PYTHON) -m ruff check --quiet --fix $(SOURCES)

demo binary measure capacity matrix: $(STAMP)
	@$(PYTHON) -m tools.$@

soak: $(STAMP)
	@$(PYTHON) -m tests.platform.soak --first $(FIRST) --seeds $(SEEDS)
