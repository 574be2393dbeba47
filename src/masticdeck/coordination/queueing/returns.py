"""Tells refused callers when to return, and recognises those that have returned.

A caller that returns has less time left than one that was never refused. How much time
callers of a route have at first is learnt from the longest time seen.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import final

from masticdeck.coordination.queueing.wait_estimate import Pool, WaitEstimate
from masticdeck.state.routes import RouteId

RETURN_RATE_FRACTION = 0.25
"""Part of the rate of grants that is booked for callers that return."""

MAX_RETURN_FRACTION = 1 / 3
"""Longest ``Retry-After``, as a fraction of the caller's remaining time.

Callers do not wait longer.
"""

SPREAD_FRACTION = 0.25
"""Part of a time of return over which callers are spread."""

FULL_TIME_MEMORY_S = 60.0
"""Time in which the longest remaining time seen loses two thirds of its weight."""

REFUSAL_MEMORY_S = 10.0
"""Time after a refusal in which its caller may return."""

MIN_SPENT_FRACTION = 0.03
"""Part of the time below which a difference is transit, not an earlier try."""


@final
@dataclass(slots=True)
class RouteTimes:
    """The longest remaining time of a route's callers, and the last refusal."""

    full_s: float = 0.0
    updated_at: float = 0.0
    refused_at: float = -math.inf


class ReturnSchedule:
    """Books the returns of refused callers into times at which the rate has room."""

    def __init__(self, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self.booked_until: dict[Pool, float] = {}
        self.routes: dict[RouteId, RouteTimes] = {}

    def spent_s(self, route: RouteId, remaining_s: float, now: float) -> float:
        """Return the time that a caller has spent on earlier tries, 0 if on none."""
        times = self.routes.setdefault(route, RouteTimes())
        decay = math.exp((times.updated_at - now) / FULL_TIME_MEMORY_S)
        times.full_s = max(remaining_s, times.full_s * decay)
        times.updated_at = now
        spent_s = times.full_s - remaining_s
        if (
            now - times.refused_at > REFUSAL_MEMORY_S
            or spent_s < MIN_SPENT_FRACTION * times.full_s
        ):
            return 0.0
        return spent_s

    def record_refusal(self, route: RouteId, now: float) -> None:
        """Expect callers of a route to return."""
        self.routes.setdefault(route, RouteTimes()).refused_at = now

    def book_s(
        self,
        pools: list[Pool],
        estimate: WaitEstimate,
        now: float,
        *,
        min_s: float,
        left_s: float,
    ) -> float:
        """Return the seconds after which a refused caller may return.

        ``left_s`` is the time that the caller has left.
        """
        interval_s = 1.0 / (RETURN_RATE_FRACTION * estimate.rate_per_s)
        start = max(now + min_s, *(self.booked_until.get(pool, now) for pool in pools))
        max_s = MAX_RETURN_FRACTION * max(0.0, left_s)
        if start - now >= max_s:
            return max_s * self.random.uniform(1.0 - SPREAD_FRACTION, 1.0)
        for pool in pools:
            self.booked_until[pool] = start + interval_s
        return min(max_s, start - now + self.random.uniform(0.0, interval_s))

    def forget_past(self, now: float) -> None:
        """Drop bookings that are over."""
        self.booked_until = {
            pool: until for pool, until in self.booked_until.items() if until > now
        }
