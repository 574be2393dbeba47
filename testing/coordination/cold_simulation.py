"""Simulates entries of which each decides alone what a cold instance gets.

Every entry always has requests that wait, its own view of the members and its own time
of day. Time is virtual and moves in steps, so that a run is the same each time.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

import pytest

from masticdeck.coordination import cold_turns, dispatch
from masticdeck.coordination.cold_turns import ColdTurns
from masticdeck.coordination.dispatch import Dispatcher, PendingRequest
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.run_times import RunTimes
from masticdeck.ids import EntryId, InstanceId, Version, ZoneId
from masticdeck.state.fleet import Fleet
from masticdeck.state.routes import BackendService, CallerLimits, RouteTable
from testing.coordination.test_placement import (
    REGION_OF,
    SERVICE,
    build_instance,
    build_route,
)

STEP_S = 0.05
START_S = 1_000.0
COLD_S = 60.0


@dataclass(frozen=True)
class ColdBound:
    """What a cold instance bears, and what it may get in any second."""

    rate_per_s: float
    load_factor: float
    slack: float

    @property
    def max_requests_in_a_second(self) -> float:
        """Return the bound on all entries together."""
        return self.rate_per_s * self.load_factor + self.slack


def build_routes(rate_per_s: float) -> RouteTable:
    """Return a configuration with one service."""
    service = BackendService(
        id=SERVICE,
        health_path="/health",
        connection_limit=1000,
        cold_start_s=3.0,
        cold_requests_per_s=rate_per_s,
    )
    return RouteTable(
        version=Version(1), hosts={}, services={SERVICE: service}, limits=CallerLimits()
    )


class ColdSimulation:
    """Entries that send whatever they may to instances that are all cold."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, bound: ColdBound, *, instances: int = 2
    ) -> None:
        self.views: dict[EntryId, frozenset[EntryId]] = {}
        self.clock_offsets_s: dict[EntryId, float] = {}
        self.usable_from: dict[EntryId, float] = {}
        self.current = EntryId("")
        self.now = START_S
        self.bound = bound
        zones = list(REGION_OF)
        self.instances = [
            build_instance(
                f"cold-{number}",
                zones[number % len(zones)],
                slots=1000,
                cold_until=START_S + COLD_S,
            )
            for number in range(instances)
        ]
        self.dispatchers: dict[EntryId, Dispatcher] = {}
        self.sent_at: defaultdict[InstanceId, list[float]] = defaultdict(list)
        for module in (dispatch, cold_turns):
            monkeypatch.setattr(module, "boottime", lambda: self.now)
        monkeypatch.setattr(cold_turns, "walltime", self.walltime)

    def start_entries(self, count: int, *, first: int = 0) -> None:
        """Start entries that see each other; one that runs starts anew."""
        for number in range(first, first + count):
            entry = EntryId(f"entry-{number}")
            self.dispatchers[entry] = self.build_entry(entry, number)
        self.agree_on_members()

    def stop_entries(self, count: int) -> None:
        """End some of the entries, which the others no longer see."""
        for entry in list(self.dispatchers)[:count]:
            del self.dispatchers[entry]
        self.agree_on_members()

    def agree_on_members(self) -> None:
        """Let every entry see the entries that run."""
        members = frozenset(self.dispatchers)
        self.views = dict.fromkeys(members, members)

    def join(self, registered_at: dict[EntryId, float], lag_s: float) -> None:
        """Let every entry see those that registered ``lag_s`` ago, and itself."""
        for entry in self.views:
            self.views[entry] = frozenset(
                other
                for other, at in registered_at.items()
                if other == entry or at + lag_s <= self.now
            )

    def walltime(self) -> float:
        """Return the time of day on the VM of the entry that decides."""
        return 1.8e9 + self.now + self.clock_offsets_s.get(self.current, 0.0)

    def build_entry(self, entry: EntryId, number: int) -> Dispatcher:
        """Return an entry that knows nothing of its former starts."""
        fleet = Fleet(dict(REGION_OF))
        for instance in self.instances:
            fleet.put_instance(instance)
        fleet.use_routes(build_routes(self.bound.rate_per_s))
        zone = list(REGION_OF)[number % len(REGION_OF)]
        return Dispatcher(
            fleet,
            Placement(fleet, zone=ZoneId(zone)),
            InstanceLoads(),
            RunTimes(),
            Health(seed=number),
            cold_turns=ColdTurns(
                entry,
                members=lambda: self.views[entry],
                usable_from=lambda: self.usable_from.get(entry, -math.inf),
            ),
        )

    def run(self, duration_s: float) -> None:
        """Let every entry send as much as it may."""
        for _ in range(round(duration_s / STEP_S)):
            for entry, dispatcher in self.dispatchers.items():
                self.current = entry
                self.send_all(dispatcher)
            self.now += STEP_S

    def send_all(self, dispatcher: Dispatcher) -> None:
        """Send requests of one entry until it may send none."""
        while (instance := dispatcher.try_acquire(self.build_request())) is not None:
            self.sent_at[instance.id].append(self.now)
            dispatcher.release(dispatcher.loads.get(instance))

    def build_request(self) -> PendingRequest:
        """Return a request that any instance may serve."""
        return PendingRequest(
            route=build_route(sticky=False),
            service=SERVICE,
            key=None,
            soft_deadline=self.now + 1.0,
            deadline=self.now + 2.0,
            received_at=self.now,
            queue_until=self.now + 1.0,
        )

    def max_in_a_second(self) -> int:
        """Return the most requests that one instance got in any second."""
        return max(
            (
                bisect_left(times, at + 1.0 - STEP_S / 2) - position
                for times in self.sent_at.values()
                for position, at in enumerate(times)
            ),
            default=0,
        )

    def used_fraction(self) -> float:
        """Return the requests sent as a fraction of what the instances bear."""
        borne = self.bound.rate_per_s * len(self.instances) * (self.now - START_S)
        return sum(map(len, self.sent_at.values())) / borne
