"""Immutable values and tables that describe what is known and agreed."""

from __future__ import annotations
