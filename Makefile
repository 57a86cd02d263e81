# `make build` once; PYTHON names another environment's interpreter where there is one.
PYTHON ?= .venv/bin/python

.PHONY: build test lint run

build:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt

test:
	$(PYTHON) -m pytest -q

lint:
	$(PYTHON) -m ruff check chutefork tests
	$(PYTHON) -m ruff format --check chutefork tests

run:
	exec $(PYTHON) -m chutefork
