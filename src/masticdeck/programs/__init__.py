"""The command-line programs."""

from __future__ import annotations
