"""Tests of the protocol layer."""

from __future__ import annotations
