"""Tests of the owner and followers of the steering table, with store faults."""

from __future__ import annotations

from itertools import pairwise
from types import SimpleNamespace

import pytest

from bench.fleet import place
from masticdeck.clock import HybridClock
from masticdeck.config import Config
from masticdeck.coordination import shift_follower, shift_owner
from masticdeck.coordination.shift_demand import LoadReport, TrafficDemand
from masticdeck.coordination.shift_follower import TableFollower
from masticdeck.coordination.shift_goal import compute_goal
from masticdeck.coordination.shift_owner import (
    TABLE_KEY,
    StepOwner,
    decode_stored_table,
)
from masticdeck.errors import StoreConflict, StoreUnavailable
from masticdeck.events import EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import EntryId, FencingToken, Incarnation, RegionId, Version
from masticdeck.node import Node
from masticdeck.state.deployment import Deployment
from masticdeck.state.lists import CustomerList, PlanList
from masticdeck.state.steering import SteeringTable
from testing.memory_store import MemoryStore

ENTRIES = [EntryId(f"entry-{number}") for number in range(1, 5)]
CAP = 0.1


class Clock:
    """Fake boot-time clock, advanced by the test."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch) -> Clock:
    fake_clock = Clock()
    monkeypatch.setattr(shift_owner, "boottime", fake_clock)
    monkeypatch.setattr(shift_follower, "boottime", fake_clock)
    return fake_clock


class SteeringSetup:
    """A store and one follower per entry; creates owners with a given token."""

    def __init__(self, clock: Clock, tmp_path) -> None:
        self.clock = clock
        self.deployment = Deployment.model_validate(place("riga", entries=4))
        self.store = MemoryStore()
        self.config = Config(
            entry=ENTRIES[0], deployment=tmp_path, shift_cap=CAP, shift_window_s=5.0
        )
        self.events = EventLog("entry-1", HybridClock())
        self.used_tables: dict[EntryId, list[SteeringTable]] = {
            entry: [] for entry in ENTRIES
        }
        self.followers = {
            entry: TableFollower(
                self.events,
                self.used_tables[entry].append,
                cap=CAP,
                min_interval_s=self.settle_s,
            )
            for entry in ENTRIES
        }
        customers = CustomerList.model_validate(
            {"customers": [{"id": "c", "plan": "p", "services": ["katalogs"]}]}
        )
        plans = PlanList.model_validate(
            {"plans": [{"id": "p", "capacity": 1.0, "regions": ["vidzeme", "kurzeme"]}]}
        )
        self.goal = compute_goal(self.deployment, customers, plans)

    @property
    def settle_s(self) -> float:
        return self.config.shift_window_s + self.config.lookup_ttl_s

    def create_owner(self, token: int) -> StepOwner:
        node = Node(
            config=self.config,
            deployment=self.deployment,
            incarnation=Incarnation(1),
            clock=HybridClock(),
            events=self.events,
            hooks=create_hooks(),
            store=self.store,
            vms=None,
            peers=None,
        )
        ownership = SimpleNamespace(token=FencingToken(token), is_valid=lambda: True)
        return StepOwner(
            node, ownership, TrafficDemand(self.deployment), lambda: ENTRIES
        )

    def stored_table(self) -> SteeringTable:
        return decode_stored_table(self.store.raw(TABLE_KEY))[1]

    def distribute(self, owner: StepOwner, *, entries=ENTRIES) -> None:
        """Deliver the stored table to entries and record their steps at the owner."""
        for entry in entries:
            follower = self.followers[entry]
            follower.receive(self.stored_table())
            owner.record_step(entry, follower.current_step)

    async def step(self, owner: StepOwner) -> SteeringTable | None:
        return await owner.step_if_due(self.goal, Version(1))


@pytest.fixture
def steering(clock, tmp_path) -> SteeringSetup:
    return SteeringSetup(clock, tmp_path)


ROUTE = ("katalogs", RegionId("latgale"))


async def test_steps_wait_for_entries_and_caches_and_reach_the_goal(steering):
    owner = steering.create_owner(1)
    await owner.claim()
    step_count = 0
    for _ in range(200):
        steering.distribute(owner)
        previous_table = steering.stored_table()
        if await steering.step(owner) is not None:
            step_count += 1
            assert previous_table.moved(steering.stored_table(), ROUTE) <= CAP
        steering.clock.now += 1.0
    assert steering.stored_table().weights(ROUTE).keys() == {"vidzeme", "kurzeme"}
    assert step_count == 11
    assert steering.followers[ENTRIES[3]].current_step == steering.stored_table().step


async def test_no_step_is_taken_before_the_previous_one_has_settled(steering):
    """Callers may still use cached replies from the previous table."""
    owner = steering.create_owner(1)
    await owner.claim()
    steering.distribute(owner)
    steering.clock.now += steering.settle_s
    assert await steering.step(owner) is not None
    steering.distribute(owner)
    steering.clock.now += steering.settle_s - 0.1
    assert await steering.step(owner) is None


async def test_laggard_delays_steps_and_then_counts_against_the_cap(steering):
    """An unreachable entry must neither block steps forever nor break the cap."""
    owner = steering.create_owner(1)
    await owner.claim()
    steering.distribute(owner)
    laggard = ENTRIES[3]
    reachable = ENTRIES[:3]
    for _ in range(600):
        steering.distribute(owner, entries=reachable)
        await steering.step(owner)
        steering.clock.now += 1.0
    moved_fraction = steering.used_tables[laggard][-1].moved(
        steering.stored_table(), ROUTE
    ) / len(ENTRIES)
    assert 0.0 < moved_fraction <= CAP
    assert steering.stored_table().weights(ROUTE)[ROUTE[1]] > 0.0


async def test_partitioned_node_catches_up_in_steps_within_the_cap(steering):
    """Applying the newest table at once would move more callers than the cap."""
    follower = steering.followers[ENTRIES[0]]
    owner = steering.create_owner(1)
    await owner.claim()
    follower.receive(steering.stored_table())
    first_table = follower.current_table
    targets = dict(first_table.targets)
    targets[ROUTE] = bytes([0]) * 128 + first_table.targets[ROUTE][128:]
    follower.receive(SteeringTable(6, Version(1), first_table.regions, targets))
    used_tables = steering.used_tables[ENTRIES[0]]
    for _ in range(100):
        steering.clock.now += 1.0
        follower.advance()
    moves = [previous.moved(table, ROUTE) for previous, table in pairwise(used_tables)]
    assert max(moves) <= CAP
    assert len(moves) >= 5
    assert used_tables[-1].step == 6


async def test_former_owner_cannot_overwrite_the_table(steering):
    """A paused owner may still believe that it is the owner when it writes."""
    old_owner, new_owner = steering.create_owner(1), steering.create_owner(2)
    await old_owner.claim()
    await new_owner.claim()
    steering.distribute(new_owner)
    previous_value = steering.store.raw(TABLE_KEY)
    steering.clock.now += steering.settle_s
    steering.distribute(old_owner)
    steering.clock.now += steering.settle_s
    with pytest.raises(StoreConflict):
        await steering.step(old_owner)
    assert steering.store.raw(TABLE_KEY) == previous_value


async def test_write_with_a_lost_reply_is_read_back_and_stepped_once(steering):
    """The write took effect although the store client raised an error."""
    owner = steering.create_owner(1)
    await owner.claim()
    steering.distribute(owner)
    steering.clock.now += steering.settle_s
    steering.store.fault = lambda method, key: "lost" if method == "put" else None
    table = await steering.step(owner)
    assert table is not None
    assert steering.stored_table() == table
    assert table.step == 2


async def test_store_outage_stops_steps_but_keeps_the_table_in_use(steering):
    owner = steering.create_owner(1)
    await owner.claim()
    steering.distribute(owner)
    steering.clock.now += steering.settle_s
    steering.store.fault = lambda method, key: "down"
    with pytest.raises(StoreUnavailable):
        await steering.step(owner)
    assert steering.followers[ENTRIES[0]].current_table is not None


def test_demand_follows_the_reports_and_holds_its_peak(steering):
    demand = TrafficDemand(steering.deployment)
    lookups = {("katalogs", RegionId("latgale")): 10.0}
    demand.record_report(
        ENTRIES[0],
        LoadReport(
            received_at=0.0, lookups_per_s=lookups, busy_slots={"katalogs": 50.0}
        ),
    )
    assert demand.by_route(1.0)[ROUTE] == 50.0
    demand.record_report(
        ENTRIES[0],
        LoadReport(
            received_at=2.0, lookups_per_s=lookups, busy_slots={"katalogs": 1.0}
        ),
    )
    assert demand.by_route(3.0)[ROUTE] == 50.0
