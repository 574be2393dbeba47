"""Starts one entry from a checkout that is not installed."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from masticdeck.programs.gateway_process import run_gateway

sys.exit(run_gateway())
