"""Owner and followers of the steering table against a store with faults."""

from __future__ import annotations

from itertools import pairwise
from types import SimpleNamespace

import pytest

from bench.fleet import place
from masticdeck.clock import HybridClock
from masticdeck.config import Config
from masticdeck.coordination import shift_follower, shift_owner
from masticdeck.coordination.shift_demand import Demand, Report
from masticdeck.coordination.shift_follower import Follower
from masticdeck.coordination.shift_goal import goal_of
from masticdeck.coordination.shift_owner import TABLE_KEY, StepOwner, decode_value
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
    """Boot-time seconds that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch) -> Clock:
    one = Clock()
    monkeypatch.setattr(shift_owner, "boottime", one)
    monkeypatch.setattr(shift_follower, "boottime", one)
    return one


class World:
    """A store, an owner and its followers, told apart by fencing token."""

    def __init__(self, clock: Clock, tmp_path) -> None:
        self.clock = clock
        self.deployment = Deployment.model_validate(place("riga", entries=4))
        self.store = MemoryStore()
        self.config = Config(
            entry=ENTRIES[0], deployment=tmp_path, shift_cap=CAP, shift_window_s=5.0
        )
        self.events = EventLog("entry-1", HybridClock())
        self.used: dict[EntryId, list[SteeringTable]] = {one: [] for one in ENTRIES}
        self.followers = {
            one: Follower(
                self.events, self.used[one].append, cap=CAP, pace_s=self.settle_s
            )
            for one in ENTRIES
        }
        customers = CustomerList.model_validate(
            {"customers": [{"id": "c", "plan": "p", "services": ["katalogs"]}]}
        )
        plans = PlanList.model_validate(
            {"plans": [{"id": "p", "capacity": 1.0, "regions": ["vidzeme", "kurzeme"]}]}
        )
        self.goal = goal_of(self.deployment, customers, plans)

    @property
    def settle_s(self) -> float:
        return self.config.shift_window_s + self.config.lookup_ttl_s

    def owner(self, token: int) -> StepOwner:
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
        return StepOwner(node, ownership, Demand(self.deployment), lambda: ENTRIES)

    def stored(self) -> SteeringTable:
        return decode_value(self.store.raw(TABLE_KEY))[1]

    def spread(self, owner: StepOwner, *, reached=ENTRIES) -> None:
        """Let entries receive the table in force, and tell the owner."""
        for entry in reached:
            follower = self.followers[entry]
            follower.receive(self.stored())
            owner.note(entry, follower.held_step)

    async def step(self, owner: StepOwner) -> SteeringTable | None:
        return await owner.step(self.goal, Version(1))


@pytest.fixture
def world(clock, tmp_path) -> World:
    return World(clock, tmp_path)


ROUTE = ("katalogs", RegionId("latgale"))


async def test_steps_wait_for_entries_and_caches_and_reach_the_goal(world):
    owner = world.owner(1)
    await owner.claim()
    steps = 0
    for _ in range(200):
        world.spread(owner)
        before = world.stored()
        if await world.step(owner) is not None:
            steps += 1
            assert before.moved(world.stored(), ROUTE) <= CAP
        world.clock.now += 1.0
    assert world.stored().weights(ROUTE).keys() == {"vidzeme", "kurzeme"}
    assert steps == 11
    assert world.followers[ENTRIES[3]].held_step == world.stored().step


async def test_no_step_before_the_last_one_has_settled(world):
    owner = world.owner(1)
    await owner.claim()
    world.spread(owner)
    world.clock.now += world.settle_s
    assert await world.step(owner) is not None
    world.spread(owner)
    world.clock.now += world.settle_s - 0.1
    assert await world.step(owner) is None


async def test_laggard_holds_the_steps_and_then_counts_against_the_cap(world):
    owner = world.owner(1)
    await owner.claim()
    world.spread(owner)
    lost = ENTRIES[3]
    others = ENTRIES[:3]
    for _ in range(600):
        world.spread(owner, reached=others)
        await world.step(owner)
        world.clock.now += 1.0
    apart = world.used[lost][-1].moved(world.stored(), ROUTE) / len(ENTRIES)
    assert 0.0 < apart <= CAP
    assert world.stored().weights(ROUTE)[ROUTE[1]] > 0.0


async def test_node_cut_off_for_five_steps_goes_through_them_at_its_own_pace(world):
    follower = world.followers[ENTRIES[0]]
    owner = world.owner(1)
    await owner.claim()
    follower.receive(world.stored())
    first = follower.held
    far = dict(first.targets)
    far[ROUTE] = bytes([0]) * 128 + first.targets[ROUTE][128:]
    follower.receive(SteeringTable(6, Version(1), first.regions, far))
    used = world.used[ENTRIES[0]]
    for _ in range(100):
        world.clock.now += 1.0
        follower.advance()
    moves = [a.moved(b, ROUTE) for a, b in pairwise(used)]
    assert max(moves) <= CAP
    assert len(moves) >= 5
    assert used[-1].step == 6


async def test_owner_that_wakes_late_changes_nothing(world):
    late, new = world.owner(1), world.owner(2)
    await late.claim()
    await new.claim()
    world.spread(new)
    before = world.store.raw(TABLE_KEY)
    world.clock.now += world.settle_s
    world.spread(late)
    world.clock.now += world.settle_s
    with pytest.raises(StoreConflict):
        await world.step(late)
    assert world.store.raw(TABLE_KEY) == before


async def test_lost_answer_is_read_back_and_the_step_taken_once(world):
    owner = world.owner(1)
    await owner.claim()
    world.spread(owner)
    world.clock.now += world.settle_s
    world.store.fault = lambda method, key: "lost" if method == "put" else None
    table = await world.step(owner)
    assert table is not None
    assert world.stored() == table
    assert table.step == 2


async def test_store_that_is_down_stops_the_steps_but_not_the_table(world):
    owner = world.owner(1)
    await owner.claim()
    world.spread(owner)
    world.clock.now += world.settle_s
    world.store.fault = lambda method, key: "down"
    with pytest.raises(StoreUnavailable):
        await world.step(owner)
    assert world.followers[ENTRIES[0]].held is not None


def test_demand_follows_the_reports_and_holds_its_peak(world):
    demand = Demand(world.deployment)
    lookups = {("katalogs", RegionId("latgale")): 10.0}
    demand.add(ENTRIES[0], Report(at=0.0, lookups=lookups, busy={"katalogs": 50.0}))
    assert demand.by_route(1.0)[ROUTE] == 50.0
    demand.add(ENTRIES[0], Report(at=2.0, lookups=lookups, busy={"katalogs": 1.0}))
    assert demand.by_route(3.0)[ROUTE] == 50.0
