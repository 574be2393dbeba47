"""What this entry tells the owner of the steering table about its load."""

from __future__ import annotations

from collections import Counter

from masticdeck.entry.lookup import Lookup
from masticdeck.ids import ServiceId
from masticdeck.metrics import Metrics
from masticdeck.state.steering import Route

MICROSECONDS = 1_000_000


class LoadReader:
    """Reads look-ups by route and busy slot-seconds by service, as differences."""

    def __init__(self, lookup: Lookup, metrics: Metrics) -> None:
        self.lookup = lookup
        self.metrics = metrics
        self.last: Counter[ServiceId] = Counter()

    def read(self) -> tuple[Counter[Route], dict[ServiceId, float]]:
        """Return what was counted since the last call."""
        totals: Counter[ServiceId] = Counter()
        for key, micros in self.metrics.totals_us.items():
            totals[ServiceId(key.service)] += micros
        busy = {
            service: (total - self.last[service]) / MICROSECONDS
            for service, total in totals.items()
        }
        self.last = totals
        return self.lookup.take_asked(), busy
