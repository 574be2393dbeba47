"""Estimates how long a new request would wait for the instances it may use.

The rate of a service says little of the two instances of a key, so grants and waiting
requests are counted by pool: an instance, or a whole service for requests that may use
any instance. A rate counts only the time in which somebody waits for the pool, because
at other times it is the rate of arrivals.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import final

from masticdeck.ids import InstanceId, ServiceId

Pool = tuple[ServiceId, InstanceId | None]
"""An instance, or all instances of a service."""

MEAN_S = 2.0
"""Time with waiting requests over which a rate is averaged."""

MIN_MEASURED_S = 0.3
"""Time with waiting requests after which a rate is known."""

MAX_RATE_AGE_S = 3.0
"""Time without waiting requests after which a rate is outdated."""

PRIOR_GRANTS = 2.0
"""Grants added to those measured, so that few arrivals are not taken for an overload.
"""


@final
@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """The expected wait of a new request, and what it was worked out from.

    ``position`` is its place among those that wait for the same instances, and
    ``rate_per_s`` the rate at which these are granted slots. ``in_time_load`` is the
    rate of arrivals that can meet their objective, as a fraction of that rate.
    """

    wait_s: float
    position: float
    rate_per_s: float
    in_time_load: float

    @property
    def late_wait_s(self) -> float:
        """Return the expected wait of a request that those in time overtake."""
        if self.is_overloaded:
            return math.inf
        return (self.position + 1.0) / self.rate_per_s

    @property
    def is_overloaded(self) -> bool:
        """Return whether requests that can meet their objective take all grants."""
        return self.in_time_load >= 1.0


@final
@dataclass(slots=True)
class PoolState:
    """Waiting requests of a pool by priority and flow, and its rate of grants."""

    waiting: dict[tuple[int, Hashable], float] = field(default_factory=dict)
    waiting_count: int = 0
    grants: float = 0.0
    arrivals: float = 0.0
    measured_s: float = 0.0
    updated_at: float = -math.inf

    def advance(self, now: float) -> None:
        """Count the time since the last update if a request waited in it."""
        elapsed_s = now - self.updated_at
        if self.waiting_count:
            decay = math.exp(-elapsed_s / MEAN_S)
            self.grants *= decay
            self.arrivals *= decay
            self.measured_s = self.measured_s * decay + MEAN_S * (1 - decay)
            self.updated_at = now
        elif elapsed_s > MAX_RATE_AGE_S:
            self.grants = self.arrivals = self.measured_s = 0.0

    def rate_per_s(self, now: float) -> float | None:
        """Return the rate of grants to waiting requests, None while it is unknown."""
        self.advance(now)
        if self.measured_s < MIN_MEASURED_S or not self.grants:
            return None
        return self.grants / self.measured_s

    def ahead(self, priority: int, flow: Hashable, weight: float) -> float:
        """Return the waiting requests that go before a new one.

        A flow of the same priority goes before it with as many as its own flow has.
        """
        own = self.waiting.get((priority, flow), 0.0)
        total = 0.0
        for (other_priority, other_flow), count in self.waiting.items():
            if other_priority < priority or other_flow == flow:
                total += count if other_priority <= priority else 0.0
            elif other_priority == priority:
                total += min(count, own + weight)
        return total


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """A wait that has begun, to be ended with ``WaitEstimates.end``."""

    pools: list[Pool]
    priority: int
    flow: Hashable


class WaitEstimates:
    """Rates of grants and waiting requests of all pools."""

    def __init__(self) -> None:
        self.pools: dict[Pool, PoolState] = {}

    def begin(
        self, pools: list[Pool], priority: int, flow: Hashable, now: float
    ) -> Wait:
        """Count a request that waits for any of the pools."""
        weight = 1.0 / len(pools)
        for pool in pools:
            state = self.pools.get(pool)
            if state is None:
                state = self.pools[pool] = PoolState()
            state.advance(now)
            if not state.waiting_count:
                state.updated_at = now
            state.waiting_count += 1
            key = priority, flow
            state.waiting[key] = state.waiting.get(key, 0.0) + weight
        return Wait(pools, priority, flow)

    def end(self, wait: Wait, granted: InstanceId | None, now: float) -> None:
        """Count the end of a wait, with the instance that was granted, if any."""
        weight = 1.0 / len(wait.pools)
        for pool in wait.pools:
            state = self.pools[pool]
            state.advance(now)
            state.waiting_count -= 1
            key = wait.priority, wait.flow
            state.waiting[key] -= weight
            if state.waiting[key] < weight / 2:
                del state.waiting[key]
            if granted is not None and pool[1] in (None, granted):
                state.grants += 1.0

    def estimate(
        self, pools: list[Pool], priority: int, flow: Hashable, now: float
    ) -> WaitEstimate | None:
        """Return the expected wait of a new request, None while a rate is unknown."""
        weight = 1.0 / len(pools)
        position = 0.0
        rate_per_s = arrivals = grants = 0.0
        for pool in pools:
            state = self.pools.get(pool)
            pool_rate_per_s = None if state is None else state.rate_per_s(now)
            if state is None or pool_rate_per_s is None:
                return None
            position += state.ahead(priority, flow, weight)
            rate_per_s += pool_rate_per_s
            arrivals += state.arrivals
            grants += state.grants
        return WaitEstimate(
            wait_s=position / rate_per_s,
            position=position,
            rate_per_s=rate_per_s,
            in_time_load=arrivals / (grants + PRIOR_GRANTS),
        )

    def record_arrival(self, pools: list[Pool], now: float) -> None:
        """Count a request that can meet its objective and finds no free slot."""
        for pool in pools:
            state = self.pools.get(pool)
            if state is not None and state.waiting_count:
                state.advance(now)
                state.arrivals += 1.0 / len(pools)
