VENV := .venv
PY := $(VENV)/bin/python

.PHONY: setup demo test check

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

demo: setup
	$(VENV)/bin/crocusmux demo

test: setup
	$(PY) -m features.run

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
