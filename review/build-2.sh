#!/bin/sh
# Builds the stand-ins that the cases review/6 to review/10 start. They are Python programs that need the
# standard library only; they run on the interpreter that the build of the deploy file leaves in .venv.
# Nothing is compiled or fetched: this checks that the interpreter is there and can read each stand-in.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -B - review/standins-2/*.py review/[6-9]/case.py review/10/case.py \
    tests/platform_harness.py tests/sip_harness.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(encoding="utf-8"), name, "exec")
PY
