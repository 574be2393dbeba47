"""Bytes on the links between regions, shared by all traffic.

An entry may use its part of each link that leads into its region: the link's
rate over the number of live entries there. Large answers are paced to a part
of that, less what small answers use; small answers are never delayed, only
counted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from masticdeck.clock import boottime
from masticdeck.ids import RegionId
from masticdeck.state.deployment import Deployment

LARGE_PART = 0.7
MOST_DEBT_S = 1.0
BURST_S = 0.05


class LinkPart:
    """This entry's part of one link, as a token bucket in bytes."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.tokens = bytes_per_s * BURST_S
        self.at = boottime()

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        most = self.bytes_per_s * BURST_S
        self.tokens = min(most, self.tokens + (now - self.at) * self.bytes_per_s)
        self.at = now

    def count(self, size: int, now: float) -> None:
        """Count bytes of a small answer; the debt delays the large ones."""
        self.refill(now)
        least = -self.bytes_per_s * MOST_DEBT_S
        self.tokens = max(least, self.tokens - size)

    def delay_s(self, size: int, now: float) -> float:
        """Count bytes of a large answer; return how long to wait before more."""
        self.refill(now)
        self.tokens -= size
        return max(0.0, -self.tokens / self.bytes_per_s)

    def use(self, now: float) -> float:
        """Return the part in use: 0 is idle, 1 and more is full."""
        self.refill(now)
        most = self.bytes_per_s * BURST_S
        return 1.0 - self.tokens / most


class Links:
    """Parts of all links that lead into one region."""

    def __init__(
        self, deployment: Deployment, region: RegionId, entries: Callable[[], int]
    ) -> None:
        self.region = region
        self.entries = entries
        self.rates: dict[RegionId, int] = {}
        self.parts: dict[RegionId, LinkPart] = {}
        for link in deployment.links:
            if region in link.regions:
                first, second = link.regions
                other = second if first == region else first
                self.rates[other] = link.bytes_per_s
        self.members_changed()

    def members_changed(self) -> None:
        """Take the part of each link anew from the number of live entries."""
        entries = max(1, self.entries())
        for region, rate in self.rates.items():
            part = self.parts.setdefault(region, LinkPart(rate))
            part.bytes_per_s = LARGE_PART * rate / entries

    def small(self, region: RegionId, size: int) -> None:
        """Count a small answer that came from a region."""
        part = self.parts.get(region)
        if part is not None:
            part.count(size, boottime())

    async def large(self, region: RegionId, size: int) -> None:
        """Wait until a piece of a large answer fits on the link."""
        part = self.parts.get(region)
        if part is not None:
            delay_s = part.delay_s(size, boottime())
            if delay_s > 0:
                await asyncio.sleep(delay_s)

    def transfer_s(self, region: RegionId, size: float) -> float:
        """Return the time for an answer of ``size`` bytes, with the present use."""
        part = self.parts.get(region)
        if part is None:
            return 0.0
        return size / part.bytes_per_s * (1.0 + max(0.0, part.use(boottime())))
