# build, test, lint and run; `make run CONFIG=node.json` starts one proxy
CONFIG ?= $(PROXY_CONFIG)
PYTHON := .venv/bin/python

.PHONY: build test lint run check

build: .venv/built

.venv/built: requirements.txt requirements-stage.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements.txt -r requirements-stage.txt -r requirements-dev.txt
	touch .venv/built

test: build
	$(PYTHON) -m pytest -q -n 4 --dist loadgroup tests

lint: build
	.venv/bin/ruff format --check calicofall tests
	.venv/bin/ruff check calicofall tests
	.venv/bin/mypy calicofall

check: build
	$(PYTHON) -m calicofall check --config "$(CONFIG)"

run: build
	$(PYTHON) -O -m calicofall serve --config "$(CONFIG)"
