"""Computation of one step of a steering table towards its goal.

A step moves at most the cap, as a fraction, of each origin's callers and of
each service's demand. Entries that still use an older table count against the
cap with their fraction of the callers, so that the cap holds for old and new
tables in use at the same time. No step raises a region's load above the
region's capacity.
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
    """A superseded table that a ``caller_fraction`` of the callers still follow."""

    table: SteeringTable
    caller_fraction: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StepInput:
    """Inputs of a step.

    ``cap`` is the largest fraction of callers and demand that may move.
    ``demand`` is in slots per service and origin; ``usable_slots`` is the
    capacity in slots of a region's instances of a service.
    """

    goal: RouteWeights
    cap: float
    demand: Mapping[Route, float]
    usable_slots: Mapping[tuple[ServiceId, RegionId], float]
    stale_tables: Sequence[StaleTable] = ()


def goal_bucket_counts(
    weights: Mapping[RegionId, float], regions: Sequence[RegionId]
) -> list[int]:
    """Return the number of buckets per region, using the largest remainder method.

    >>> goal_bucket_counts({RegionId("a"): 0.5, RegionId("b"): 0.5}, ("a", "b", "c"))
    [128, 128, 0]
    """
    exact_counts = [weights.get(region, 0.0) * BUCKETS for region in regions]
    counts = [int(count) for count in exact_counts]
    by_remainder = sorted(
        range(len(regions)), key=lambda number: counts[number] - exact_counts[number]
    )
    for number in by_remainder[: BUCKETS - sum(counts)]:
        counts[number] += 1
    return counts


def moved_demand(
    first: SteeringTable,
    second: SteeringTable,
    service: ServiceId,
    demand: Mapping[Route, float],
) -> float:
    """Return the demand, in slots, for which two tables have different targets."""
    routes = [route for route in first.targets if route[0] == service]
    return sum(first.moved(second, route) * demand.get(route, 0.0) for route in routes)


def region_loads(
    table: SteeringTable, service: ServiceId, demand: Mapping[Route, float]
) -> Counter[RegionId]:
    """Return a service's load per region, in slots, under a table."""
    loads: Counter[RegionId] = Counter()
    for route in table.targets:
        if route[0] == service:
            for region, fraction in table.weights(route).items():
                loads[region] += fraction * demand.get(route, 0.0)  # type: ignore[assignment]
    return loads


class ServiceStep:
    """Computes one step of one service's rows."""

    def __init__(self, table: SteeringTable, service: ServiceId, step: StepInput):
        self.table = table
        self.step = step
        self.service = service
        self.routes = [route for route in table.targets if route[0] == service]
        self.loads = region_loads(table, service, step.demand)
        total_slots = sum(step.demand.get(route, 0.0) for route in self.routes)
        used_slots = sum(
            stale.caller_fraction
            * moved_demand(stale.table, table, service, step.demand)
            for stale in step.stale_tables
        )
        self.remaining_slots = step.cap * total_slots - used_slots

    def rows(self) -> dict[Route, bytes]:
        """Return the service's rows after the step."""
        return {route: self.move_row(route) for route in self.routes}

    def move_row(self, route: Route) -> bytes:
        """Return one row after moving as many buckets as allowed."""
        row = bytearray(self.table.targets[route])
        regions = self.table.regions
        weights = self.step.goal.get(route)
        if weights is None:
            return bytes(row)
        counts = Counter(row)
        goal_counts = goal_bucket_counts(weights, regions)
        slots_per_bucket = self.step.demand.get(route, 0.0) / BUCKETS
        moves_left = self.max_moves(route)
        for bucket in range(BUCKETS):
            source = row[bucket]
            if counts[source] <= goal_counts[source] or not self.is_under_cap(
                slots_per_bucket
            ):
                continue
            target = self.find_target(counts, goal_counts, slots_per_bucket)
            if target is None or moves_left <= 0:
                break
            row[bucket] = target
            counts[source] -= 1
            counts[target] += 1
            moves_left -= 1
            self.record_move(regions[source], regions[target], slots_per_bucket)
        return bytes(row)

    def max_moves(self, route: Route) -> int:
        """Return how many buckets of a row may move within the cap."""
        used_fraction = sum(
            stale.caller_fraction * stale.table.moved(self.table, route)
            for stale in self.step.stale_tables
        )
        return int((self.step.cap - used_fraction) * BUCKETS)

    def is_under_cap(self, moved_slots: float) -> bool:
        """Return whether moving this much demand stays within the cap."""
        return moved_slots <= self.remaining_slots

    def find_target(
        self, counts: Counter[int], goal_counts: list[int], slots_per_bucket: float
    ) -> int | None:
        """Return the region that lacks most buckets and has capacity for one more."""
        best, best_missing = None, 0
        for number, region in enumerate(self.table.regions):
            usable_slots = self.step.usable_slots.get((self.service, region), 0.0)
            missing = goal_counts[number] - counts[number]
            if (
                missing > best_missing
                and self.loads[region] + slots_per_bucket <= usable_slots
            ):
                best, best_missing = number, missing
        return best

    def record_move(
        self, source: RegionId, target: RegionId, moved_slots: float
    ) -> None:
        """Update the loads and the remaining cap for one moved bucket."""
        self.remaining_slots -= moved_slots
        self.loads[source] -= moved_slots  # type: ignore[assignment]
        self.loads[target] += moved_slots  # type: ignore[assignment]


def next_targets(table: SteeringTable, step: StepInput) -> dict[Route, bytes]:
    """Return the rows of the next table, unchanged if no bucket may move."""
    rows: dict[Route, bytes] = {}
    for service in dict.fromkeys(route[0] for route in table.targets):
        rows |= ServiceStep(table, service, step).rows()
    return rows


def move_towards(
    current: SteeringTable, goal: SteeringTable, cap: float
) -> SteeringTable:
    """Return ``current`` moved towards ``goal`` by at most the cap in each row.

    The result has the step of ``goal`` only when it equals that table;
    otherwise it is an intermediate table of this node, which keeps the step of
    ``current``. A partitioned node catches up through several of these.
    """
    max_moves = int(cap * BUCKETS)
    targets: dict[Route, bytes] = {}
    for route, row in goal.targets.items():
        blended_row = bytearray(current.targets.get(route, row))
        changed = [
            bucket for bucket in range(BUCKETS) if blended_row[bucket] != row[bucket]
        ]
        for bucket in changed[:max_moves]:
            blended_row[bucket] = row[bucket]
        targets[route] = bytes(blended_row)
    if targets == dict(goal.targets):
        return goal
    return SteeringTable(current.step, goal.version, goal.regions, targets)
