"""Tests of the soak itself: a check that cannot fail proves nothing."""

from __future__ import annotations
