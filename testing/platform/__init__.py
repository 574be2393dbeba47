"""Tests of the platform's adapter, against a small stand-in of its store."""

from __future__ import annotations
