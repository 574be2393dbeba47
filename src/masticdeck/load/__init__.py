"""Open-loop load against a deployment: arrivals, checks, records, report."""

from __future__ import annotations
