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

LARGE_RESPONSE_FRACTION = 0.7
MAX_DEBT_S = 1.0
BURST_S = 0.05


class LinkBudget:
    """This entry's part of one link, as a token bucket in bytes."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.available_bytes = bytes_per_s * BURST_S
        self.refilled_at = boottime()

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        most = self.bytes_per_s * BURST_S
        self.available_bytes = min(
            most, self.available_bytes + (now - self.refilled_at) * self.bytes_per_s
        )
        self.refilled_at = now

    def charge_small(self, size_bytes: int, now: float) -> None:
        """Count bytes of a small answer; the debt delays the large ones."""
        self.refill(now)
        least = -self.bytes_per_s * MAX_DEBT_S
        self.available_bytes = max(least, self.available_bytes - size_bytes)

    def charge_large(self, size_bytes: int, now: float) -> float:
        """Count bytes of a large answer; return how long to wait before more."""
        self.refill(now)
        self.available_bytes -= size_bytes
        return max(0.0, -self.available_bytes / self.bytes_per_s)

    def utilization(self, now: float) -> float:
        """Return the part in use: 0 is idle, 1 and more is full."""
        self.refill(now)
        most = self.bytes_per_s * BURST_S
        return 1.0 - self.available_bytes / most


class Links:
    """Parts of all links that lead into one region."""

    def __init__(
        self, deployment: Deployment, region: RegionId, entry_count: Callable[[], int]
    ) -> None:
        self.region = region
        self.entry_count = entry_count
        self.rates_bytes_per_s: dict[RegionId, int] = {}
        self.budgets: dict[RegionId, LinkBudget] = {}
        for link in deployment.links:
            if region in link.regions:
                first, second = link.regions
                other = second if first == region else first
                self.rates_bytes_per_s[other] = link.bytes_per_s
        self.members_changed()

    def members_changed(self) -> None:
        """Take the part of each link anew from the number of live entries."""
        entries = max(1, self.entry_count())
        for region, rate in self.rates_bytes_per_s.items():
            part = self.budgets.setdefault(region, LinkBudget(rate))
            part.bytes_per_s = LARGE_RESPONSE_FRACTION * rate / entries

    def count_small(self, region: RegionId, size_bytes: int) -> None:
        """Count a small answer that came from a region."""
        part = self.budgets.get(region)
        if part is not None:
            part.charge_small(size_bytes, boottime())

    async def pace_large(self, region: RegionId, size_bytes: int) -> None:
        """Wait until a piece of a large answer fits on the link."""
        part = self.budgets.get(region)
        if part is not None:
            delay_s = part.charge_large(size_bytes, boottime())
            if delay_s > 0:
                await asyncio.sleep(delay_s)

    def transfer_s(self, region: RegionId, size_bytes: float) -> float:
        """Return the time for an answer of ``size`` bytes, with the present use."""
        part = self.budgets.get(region)
        if part is None:
            return 0.0
        return (
            size_bytes
            / part.bytes_per_s
            * (1.0 + max(0.0, part.utilization(boottime())))
        )
