#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python scripts without dependencies; nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]/run.py <<'CHECK'
import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
CHECK
[ -x ../target/coltsfootd ] || { echo "target/coltsfootd is missing: run deploy/build first" >&2; exit 1; }
