"""Limits the bandwidth that an entry uses on the links between regions.

All traffic into a region shares its links. The budget of an entry on a link is the
link's rate divided by the number of live entries in the region. Large responses
are paced to a fraction of this budget, less what small responses use; small
responses are counted but never delayed.
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
    """This entry's bandwidth on one link, as a token bucket in bytes."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.available_bytes = bytes_per_s * BURST_S
        self.refilled_at = boottime()

    def refill(self, now: float) -> None:
        """Add the bytes that became available since the last call."""
        max_bytes = self.bytes_per_s * BURST_S
        self.available_bytes = min(
            max_bytes,
            self.available_bytes + (now - self.refilled_at) * self.bytes_per_s,
        )
        self.refilled_at = now

    def charge_small(self, size_bytes: int, now: float) -> None:
        """Take the bytes of a small response; a debt delays large responses."""
        self.refill(now)
        min_bytes = -self.bytes_per_s * MAX_DEBT_S
        self.available_bytes = max(min_bytes, self.available_bytes - size_bytes)

    def charge_large(self, size_bytes: int, now: float) -> float:
        """Take the bytes of a large response; return the delay before the next ones."""
        self.refill(now)
        self.available_bytes -= size_bytes
        return max(0.0, -self.available_bytes / self.bytes_per_s)

    def utilization(self, now: float) -> float:
        """Return the fraction in use: 0 is idle, 1 and more is saturated."""
        self.refill(now)
        max_bytes = self.bytes_per_s * BURST_S
        return 1.0 - self.available_bytes / max_bytes


class Links:
    """Bandwidth budgets of all links that lead into one region."""

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
                remote_region = second if first == region else first
                self.rates_bytes_per_s[remote_region] = link.bytes_per_s
        self.members_changed()

    def members_changed(self) -> None:
        """Recompute the budget of each link from the number of live entries."""
        entries = max(1, self.entry_count())
        for region, rate in self.rates_bytes_per_s.items():
            budget = self.budgets.setdefault(region, LinkBudget(rate))
            budget.bytes_per_s = LARGE_RESPONSE_FRACTION * rate / entries

    def count_small(self, region: RegionId, size_bytes: int) -> None:
        """Count a small response that came from a region."""
        budget = self.budgets.get(region)
        if budget is not None:
            budget.charge_small(size_bytes, boottime())

    async def pace_large(self, region: RegionId, size_bytes: int) -> None:
        """Wait as long as the pacing of a large response requires."""
        budget = self.budgets.get(region)
        if budget is not None:
            delay_s = budget.charge_large(size_bytes, boottime())
            if delay_s > 0:
                await asyncio.sleep(delay_s)

    def transfer_s(self, region: RegionId, size_bytes: float) -> float:
        """Return the expected transfer time at the present utilization."""
        budget = self.budgets.get(region)
        if budget is None:
            return 0.0
        return (
            size_bytes
            / budget.bytes_per_s
            * (1.0 + max(0.0, budget.utilization(boottime())))
        )
