"""Messages and wire formats towards peers, platform, callers and backend servers."""

from __future__ import annotations
