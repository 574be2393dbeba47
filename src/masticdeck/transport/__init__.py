"""Connections, TLS and servers."""

from __future__ import annotations
