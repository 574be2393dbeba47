"""Decisions that nodes take together."""

from __future__ import annotations
