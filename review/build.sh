#!/usr/bin/env bash
# Builds the stand-ins of all cases: they are Python and use the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
