"""Demand by service and origin region, from what the entries report."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from masticdeck.ids import EntryId, RegionId, ServiceId
from masticdeck.state.deployment import Deployment
from masticdeck.state.steering import Route

MIN_BUSY_FRACTION = 0.5
PEAK_HOLD_S = 60.0
USABLE_SLOT_FRACTION = 0.9


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """What one entry has measured since its last report."""

    received_at: float
    lookups_per_s: Mapping[Route, float]
    busy_slots: Mapping[ServiceId, float]


def slots_by_region(
    deployment: Deployment,
) -> Counter[tuple[ServiceId, RegionId]]:
    """Return the slots of each service's instances in each region."""
    slots: Counter[tuple[ServiceId, RegionId]] = Counter()
    for one in deployment.instances:
        slots[one.service, deployment.region_of[one.zone]] += one.slots
    return slots


class TrafficDemand:
    """Sums the reports; the load that lags is held at its peak for a while."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.slots = slots_by_region(deployment)
        self.reports: dict[EntryId, LoadReport] = {}
        self.peaks: dict[ServiceId, tuple[float, float]] = {}

    def record_report(self, entry: EntryId, report: LoadReport) -> None:
        """Take a report in."""
        self.reports[entry] = report

    def usable_slots(self) -> dict[tuple[ServiceId, RegionId], float]:
        """Return the load in slots that each region's instances can bear."""
        return {key: USABLE_SLOT_FRACTION * count for key, count in self.slots.items()}

    def busy_slots(self, service: ServiceId, now: float) -> float:
        """Return the slots of a service in use, at least half of them."""
        fresh = (
            one for one in self.reports.values() if now - one.received_at < PEAK_HOLD_S
        )
        found = sum(one.busy_slots.get(service, 0.0) for one in fresh)
        peak, at = self.peaks.get(service, (0.0, 0.0))
        if found >= peak or now - at > PEAK_HOLD_S:
            self.peaks[service] = (found, now)
            peak = found
        total = sum(n for (name, _), n in self.slots.items() if name == service)
        return max(peak, MIN_BUSY_FRACTION * total)

    def by_route(self, now: float) -> dict[Route, float]:
        """Return the demand in slots by service and origin region."""
        lookups: Counter[Route] = Counter()
        for report in self.reports.values():
            for route, rate in report.lookups_per_s.items():
                lookups[route] += rate  # type: ignore[assignment]
        demand: dict[Route, float] = {}
        for service in self.deployment.services:
            parts = self.origin_fractions(service.id, lookups)
            busy = self.busy_slots(service.id, now)
            for region, part in parts.items():
                demand[service.id, region] = part * busy
        return demand

    def origin_fractions(
        self, service: ServiceId, lookups: Counter[Route]
    ) -> dict[RegionId, float]:
        """Return each origin's part: by look-ups, half by slots as a prior."""
        regions = self.deployment.regions
        slots = {region: float(self.slots[service, region]) for region in regions}
        asked = {region: float(lookups[service, region]) for region in regions}
        total_slots = sum(slots.values()) or 1.0
        total_asked = sum(asked.values())
        if not total_asked:
            return {region: n / total_slots for region, n in slots.items()}
        return {region: n / total_asked for region, n in asked.items()}
