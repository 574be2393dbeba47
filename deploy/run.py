"""Starts one entry from a checkout that is not installed."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from masticdeck.programs.early_signals import handle_early_signals

handle_early_signals()

# Imported under the early handlers, as this takes some tenths of a second.
from masticdeck.programs.gateway_process import run_gateway  # noqa: E402

sys.exit(run_gateway())
