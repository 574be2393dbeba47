#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they are Python modules of this
# repository that need what the deploy file's build has installed, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import review.harness_3

print("the stand-ins are complete:", review.harness_3.__name__)
PYTHON
