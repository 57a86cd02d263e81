# `make build` once; PYTHON names another environment's interpreter where there is one.
PYTHON ?= .venv/bin/python

.PHONY: build test lint run

build:
	python3 deploy/build_environment.py .venv requirements.txt requirements-dev.txt

test:
	$(PYTHON) -m pytest -q

lint:
	$(PYTHON) -m ruff check chutefork deploy tests
	$(PYTHON) -m ruff format --check chutefork deploy tests

run:
	trap '' HUP; exec $(PYTHON) -m chutefork
