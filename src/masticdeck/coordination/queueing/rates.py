"""Exponentially decaying rates of events."""

from __future__ import annotations

import math

RATE_WINDOW_S = 1.0


class DecayingRate:
    """Events per second, as an exponentially decaying average."""

    def __init__(self, window_s: float = RATE_WINDOW_S) -> None:
        self.window_s = window_s
        self.rate_per_s = 0.0
        self.updated_at = 0.0

    def add(self, now: float) -> None:
        """Record one event."""
        self.rate_per_s = self.rate_at(now) + 1.0 / self.window_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate in events per second, decayed to ``now``."""
        return self.rate_per_s * math.exp((self.updated_at - now) / self.window_s)
