"""Measurements, the stand-ins they run against and the starter of processes."""

from __future__ import annotations
