#!/usr/bin/env bash
# Compiles the stand-ins and clients of the scripts; they need no more than target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD/src:$PWD"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))

import review.harness
import review.http
import review.orders
PY
