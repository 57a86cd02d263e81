#!/bin/sh
# The stand-ins are Python files that need the standard library only: nothing is compiled or fetched. This checks that
# the environment of the deploy file's build is there and can read them.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 ../.venv/bin/python -c '
import ast, pathlib
for path in [pathlib.Path("standins.py"), *sorted(pathlib.Path(".").glob("*/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("ok", path)
'
