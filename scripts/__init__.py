"""Programs for developers: checks, generation and the demo."""

from __future__ import annotations
