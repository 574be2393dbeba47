"""Tests of an entry on a live fleet, through its sockets."""

from __future__ import annotations
