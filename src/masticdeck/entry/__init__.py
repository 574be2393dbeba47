"""The entry process: look-up, forwarding and the wiring of its components."""

from __future__ import annotations
