"""The rule by which a steering table moves one step towards its goal.

A step moves at most the cap's part of each origin's callers and of each
service's demand. Entries that
still use an older table count against the cap with their part of the callers,
so that the cap holds over the mixture of old and new tables. No step raises a
region's load above what the region can bear.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import final

from masticdeck.ids import RegionId, ServiceId
from masticdeck.state.steering import BUCKETS, Route, SteeringTable

RouteWeights = Mapping[Route, Mapping[RegionId, float]]


@final
@dataclass(frozen=True, slots=True)
class StaleTable:
    """A table still in use by entries that hold ``caller_fraction`` of the callers."""

    table: SteeringTable
    caller_fraction: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StepInput:
    """What a step depends on.

    ``demand`` is in slots by service and origin; ``usable_slots`` is the load in
    slots that a region's instances of a service can bear.
    """

    goal: RouteWeights
    cap: float
    demand: Mapping[Route, float]
    usable_slots: Mapping[tuple[ServiceId, RegionId], float]
    stale_tables: Sequence[StaleTable] = ()


def goal_bucket_counts(
    weights: Mapping[RegionId, float], regions: Sequence[RegionId]
) -> list[int]:
    """Return how many buckets each region gets, by largest remainder.

    >>> goal_bucket_counts({RegionId("a"): 0.5, RegionId("b"): 0.5}, ("a", "b", "c"))
    [128, 128, 0]
    """
    exact = [weights.get(region, 0.0) * BUCKETS for region in regions]
    counts = [int(one) for one in exact]
    rest = sorted(range(len(regions)), key=lambda one: counts[one] - exact[one])
    for number in rest[: BUCKETS - sum(counts)]:
        counts[number] += 1
    return counts


def moved_demand(
    one: SteeringTable,
    other: SteeringTable,
    service: ServiceId,
    demand: Mapping[Route, float],
) -> float:
    """Return the demand of a service, in slots, that two tables place apart."""
    routes = [route for route in one.targets if route[0] == service]
    return sum(one.moved(other, route) * demand.get(route, 0.0) for route in routes)


def region_loads(
    table: SteeringTable, service: ServiceId, demand: Mapping[Route, float]
) -> Counter[RegionId]:
    """Return the load in slots that a table puts on each region."""
    loads: Counter[RegionId] = Counter()
    for route in table.targets:
        if route[0] == service:
            for region, part in table.weights(route).items():
                loads[region] += part * demand.get(route, 0.0)  # type: ignore[assignment]
    return loads


class ServiceStep:
    """One step of one service's rows."""

    def __init__(self, table: SteeringTable, service: ServiceId, step: StepInput):
        self.table = table
        self.step = step
        self.service = service
        self.routes = [route for route in table.targets if route[0] == service]
        self.loads = region_loads(table, service, step.demand)
        total = sum(step.demand.get(route, 0.0) for route in self.routes)
        used = sum(
            old.caller_fraction * moved_demand(old.table, table, service, step.demand)
            for old in step.stale_tables
        )
        self.remaining_slots = step.cap * total - used

    def rows(self) -> dict[Route, bytes]:
        """Return the service's rows after the step."""
        return {route: self.move_row(route) for route in self.routes}

    def move_row(self, route: Route) -> bytes:
        """Return one row after moving as many buckets as the rule allows."""
        row = bytearray(self.table.targets[route])
        regions = self.table.regions
        weights = self.step.goal.get(route)
        if weights is None:
            return bytes(row)
        counts = Counter(row)
        wanted = goal_bucket_counts(weights, regions)
        weight = self.step.demand.get(route, 0.0) / BUCKETS
        free_moves = self.max_moves(route)
        for bucket in range(BUCKETS):
            source = row[bucket]
            if counts[source] <= wanted[source] or not self.is_under_cap(weight):
                continue
            target = self.find_target(counts, wanted, weight)
            if target is None or free_moves <= 0:
                break
            row[bucket] = target
            counts[source] -= 1
            counts[target] += 1
            free_moves -= 1
            self.record_move(regions[source], regions[target], weight)
        return bytes(row)

    def max_moves(self, route: Route) -> int:
        """Return how many buckets of a row may move under the cap."""
        apart = sum(
            old.caller_fraction * old.table.moved(self.table, route)
            for old in self.step.stale_tables
        )
        return int((self.step.cap - apart) * BUCKETS)

    def is_under_cap(self, weight: float) -> bool:
        """Return whether a move of this weight stays under the cap."""
        return weight <= self.remaining_slots

    def find_target(
        self, counts: Counter[int], wanted: list[int], weight: float
    ) -> int | None:
        """Return the region that lacks most buckets and can bear one more."""
        best, lack = None, 0
        for number, region in enumerate(self.table.regions):
            bearable = self.step.usable_slots.get((self.service, region), 0.0)
            missing = wanted[number] - counts[number]
            if missing > lack and self.loads[region] + weight <= bearable:
                best, lack = number, missing
        return best

    def record_move(self, source: RegionId, target: RegionId, weight: float) -> None:
        """Count one moved bucket."""
        self.remaining_slots -= weight
        self.loads[source] -= weight  # type: ignore[assignment]
        self.loads[target] += weight  # type: ignore[assignment]


def next_targets(table: SteeringTable, step: StepInput) -> dict[Route, bytes]:
    """Return the rows of the next table; equal rows mean that nothing may move."""
    rows: dict[Route, bytes] = {}
    for service in dict.fromkeys(route[0] for route in table.targets):
        rows |= ServiceStep(table, service, step).rows()
    return rows


def move_towards(
    held: SteeringTable, wanted: SteeringTable, cap: float
) -> SteeringTable:
    """Return ``held`` moved towards ``wanted`` by at most the cap in each row.

    The result carries the wanted step only when it equals the wanted table;
    a node that was cut off thus goes through steps of its own.
    """
    allowed = int(cap * BUCKETS)
    targets: dict[Route, bytes] = {}
    for route, row in wanted.targets.items():
        old = bytearray(held.targets.get(route, row))
        changed = [one for one in range(BUCKETS) if old[one] != row[one]]
        for bucket in changed[:allowed]:
            old[bucket] = row[bucket]
        targets[route] = bytes(old)
    if targets == dict(wanted.targets):
        return wanted
    return SteeringTable(held.step, wanted.version, wanted.regions, targets)
