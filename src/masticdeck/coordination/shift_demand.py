"""Demand per service and origin region, computed from the entries' load reports."""

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
    """Load measured by one entry since its previous report."""

    received_at: float
    lookups_per_s: Mapping[Route, float]
    busy_slots: Mapping[ServiceId, float]


def slots_by_region(
    deployment: Deployment,
) -> Counter[tuple[ServiceId, RegionId]]:
    """Return the number of slots per service and region."""
    slots: Counter[tuple[ServiceId, RegionId]] = Counter()
    for instance in deployment.instances:
        slots[instance.service, deployment.region_of[instance.zone]] += instance.slots
    return slots


class TrafficDemand:
    """Aggregates load reports, holding each service's peak for ``PEAK_HOLD_S``."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.slots = slots_by_region(deployment)
        self.reports: dict[EntryId, LoadReport] = {}
        self.peaks: dict[ServiceId, tuple[float, float]] = {}

    def record_report(self, entry: EntryId, report: LoadReport) -> None:
        """Replace an entry's previous report."""
        self.reports[entry] = report

    def usable_slots(self) -> dict[tuple[ServiceId, RegionId], float]:
        """Return the capacity in slots per service and region, less some headroom."""
        return {key: USABLE_SLOT_FRACTION * count for key, count in self.slots.items()}

    def busy_slots(self, service: ServiceId, now: float) -> float:
        """Return the slots of a service in use, assuming that at least half are."""
        recent_reports = (
            report
            for report in self.reports.values()
            if now - report.received_at < PEAK_HOLD_S
        )
        busy_slots = sum(
            report.busy_slots.get(service, 0.0) for report in recent_reports
        )
        peak, peak_at = self.peaks.get(service, (0.0, 0.0))
        if busy_slots >= peak or now - peak_at > PEAK_HOLD_S:
            self.peaks[service] = (busy_slots, now)
            peak = busy_slots
        total_slots = sum(
            count
            for (slot_service, _), count in self.slots.items()
            if slot_service == service
        )
        return max(peak, MIN_BUSY_FRACTION * total_slots)

    def by_route(self, now: float) -> dict[Route, float]:
        """Return the demand in slots by service and origin region."""
        lookups_per_s: Counter[Route] = Counter()
        for report in self.reports.values():
            for route, rate in report.lookups_per_s.items():
                lookups_per_s[route] += rate  # type: ignore[assignment]
        demand: dict[Route, float] = {}
        for service in self.deployment.services:
            fractions = self.origin_fractions(service.id, lookups_per_s)
            busy_slots = self.busy_slots(service.id, now)
            for region, fraction in fractions.items():
                demand[service.id, region] = fraction * busy_slots
        return demand

    def origin_fractions(
        self, service: ServiceId, lookups_per_s: Counter[Route]
    ) -> dict[RegionId, float]:
        """Return the fraction of a service's demand per origin region.

        It is proportional to the look-ups, or to the slots if there are none.
        """
        regions = self.deployment.regions
        slots = {region: float(self.slots[service, region]) for region in regions}
        lookups_by_region = {
            region: float(lookups_per_s[service, region]) for region in regions
        }
        total_slots = sum(slots.values()) or 1.0
        total_lookups = sum(lookups_by_region.values())
        if not total_lookups:
            return {region: count / total_slots for region, count in slots.items()}
        return {
            region: rate / total_lookups for region, rate in lookups_by_region.items()
        }
