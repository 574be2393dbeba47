"""Tests of ``masticdeck.coordination``."""

from __future__ import annotations
