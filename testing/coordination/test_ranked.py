"""The policy ``ranked`` over a fake slot source: slots, retries, plans, links."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination.links import Links
from masticdeck.coordination.policy import AttemptEnd, AttemptResult
from masticdeck.coordination.ranked import RankedPolicy
from masticdeck.coordination.retries import RetryBudget
from masticdeck.coordination.slots import Slot
from masticdeck.errors import Overloaded
from masticdeck.events import EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import (
    CustomerId,
    EntryId,
    MemberState,
    Rank,
    RegionId,
    RequestId,
    ServiceId,
    Version,
)
from masticdeck.protocol.backend import BackendBroken, BackendNotReached
from masticdeck.protocol.call import Call
from masticdeck.state.deployment import load_deployment
from masticdeck.state.lists import Configuration

ROOT = Path(__file__).resolve().parents[2]
DEPLOYMENT = load_deployment(ROOT / "examples" / "riga" / "deployment.jsonc")
SERVICE = ServiceId("katalogs")
NOTHING = frozenset()


class FakeSlots:
    """Gives out slots of listed instances without limit on their sum."""

    def __init__(self, counts):
        self.counts = Counter(counts)

    def free(self, service):
        return {one: count for one, count in self.counts.items() if count}

    def try_acquire(self, instance):
        if not self.counts[instance]:
            return None
        self.counts[instance] -= 1
        return Slot(instance, SERVICE, 0)

    def release(self, slot):
        self.counts[slot.instance] += 1

    def report_waiting(self, service, waiting):
        pass


def create(counts):
    node = SimpleNamespace(
        deployment=DEPLOYMENT,
        entry=DEPLOYMENT.entries[0],
        hooks=create_hooks(),
        events=EventLog("entry-1", HybridClock()),
    )
    return RankedPolicy(node, FakeSlots(counts))


def call(rank=Rank.URGENT, *, wait_s=0.5, method="GET", attempt=1, customer=None):
    return Call(
        id=RequestId("r"),
        service=SERVICE,
        method=method,
        path="/",
        rank=rank,
        deadline=boottime() + wait_s,
        attempt=attempt,
        customer=customer,
    )


def answered(seconds=0.04):
    return AttemptResult(end=AttemptEnd.ANSWERED, seconds=seconds, status=200)


async def test_leaving_instance_gets_no_new_work_until_it_returns():
    policy = create({"katalogs-1": 1, "katalogs-2": 1})
    policy.instance_leaving(instance="katalogs-1", source="operator")
    slot = await policy.acquire(call(), avoid=NOTHING)
    assert slot.instance == "katalogs-2"
    with pytest.raises(Overloaded):
        await policy.acquire(call(wait_s=0.05), avoid=NOTHING)
    policy.instance_returned(instance="katalogs-1", source="operator")
    assert (await policy.acquire(call(), avoid=NOTHING)).instance == "katalogs-1"


async def test_urgent_call_gets_the_slot_before_an_earlier_low_one():
    policy = create({"katalogs-1": 1})
    slot = await policy.acquire(call(), avoid=NOTHING)
    ended = []

    async def run(rank):
        taken = await policy.acquire(call(rank, wait_s=5.0), avoid=NOTHING)
        ended.append(rank)
        policy.release(taken, call(rank), answered())

    low = asyncio.create_task(run(Rank.LOW))
    await asyncio.sleep(0)
    urgent = asyncio.create_task(run(Rank.URGENT))
    await asyncio.sleep(0)
    policy.release(slot, call(), answered())
    await asyncio.gather(low, urgent)
    assert ended == [Rank.URGENT, Rank.LOW]


async def test_cancelled_wait_loses_no_slot():
    policy = create({"katalogs-1": 1})
    slot = await policy.acquire(call(), avoid=NOTHING)
    waiting = asyncio.create_task(policy.acquire(call(wait_s=5.0), avoid=NOTHING))
    await asyncio.sleep(0)
    policy.release(slot, call(), answered())
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert policy.slots.counts["katalogs-1"] == 1
    assert policy.queues[SERVICE].waiting == 0


async def test_retry_prefers_another_zone():
    policy = create({"katalogs-1": 3, "katalogs-7": 3, "katalogs-2": 3})
    slot = await policy.acquire(call(), avoid=frozenset({"katalogs-1"}))
    assert slot.instance == "katalogs-2"


@pytest.mark.parametrize(
    ("one", "error", "allowed"),
    [
        ({}, BackendBroken(""), True),
        ({"method": "POST"}, BackendBroken(""), False),
        ({"method": "POST"}, BackendNotReached(""), True),
        ({"wait_s": 0.001}, BackendBroken(""), False),
        ({"attempt": 2}, BackendBroken(""), False),
    ],
    ids=["idempotent", "unknown order", "not run", "too late", "callers repeat"],
)
async def test_retry_only_when_safe_in_time_and_not_the_callers_own(
    one, error, allowed
):
    policy = create({"katalogs-1": 1})
    made = call(**{"wait_s": 60} | one)
    assert policy.may_retry(made, error, 1) is allowed
    assert not policy.may_retry(made, error, 2)


def test_retries_stay_within_the_budget_when_everything_fails():
    budget = RetryBudget()
    repeats = 0
    for _ in range(1000):
        budget.earn(SERVICE)
        repeats += budget.spend(SERVICE)
    assert 0 < repeats <= 70


async def test_rank_is_lowered_to_what_the_customers_plan_allows():
    policy = create({})
    plans = {"id": "partner", "capacity": 0.5, "regions": [], "top_rank": "middle"}
    customers = {"id": "shops", "plan": "partner", "services": []}
    lists = {"customers": {"customers": [customers]}, "plans": {"plans": [plans]}}
    one = CustomerId("shops")
    assert policy.allowed_rank(one, Rank.URGENT) is Rank.URGENT
    policy.version_in_force(
        configuration=Configuration.model_validate({"version": Version(1), **lists})
    )
    assert policy.allowed_rank(one, Rank.URGENT) is Rank.MIDDLE
    assert policy.allowed_rank(one, Rank.LOW) is Rank.LOW


async def test_link_part_grows_when_a_neighbouring_entry_has_gone():
    policy = create({})
    region = RegionId("kurzeme")
    before = policy.links.parts[region].bytes_per_s
    policy.member_changed(entry=EntryId("entry-2"), state=MemberState.GONE)
    assert policy.links.parts[region].bytes_per_s == pytest.approx(
        1.5 * before, rel=0.51
    )
    assert policy.links.parts[region].bytes_per_s > before


def test_small_answers_are_counted_and_delay_only_large_ones():
    links = Links(DEPLOYMENT, RegionId("vidzeme"), lambda: 3)
    region = RegionId("kurzeme")
    part = links.parts[region]
    now = part.at
    assert part.delay_s(1000, now) == 0.0
    for _ in range(100):
        part.count(int(part.bytes_per_s / 100), now)
    assert part.delay_s(1000, now) > 0.5


async def test_long_requests_of_a_lower_rank_leave_slots_to_the_others():
    policy = create({"katalogs-1": 2, "katalogs-2": 2})
    for _ in range(200):
        policy.times[SERVICE].add(Rank.LOW, 2.0)
    for _ in range(2):
        await policy.acquire(call(Rank.LOW, wait_s=9.0), avoid=NOTHING)
    third = asyncio.create_task(
        policy.acquire(call(Rank.LOW, wait_s=9.0), avoid=NOTHING)
    )
    await asyncio.sleep(0)
    assert not third.done()
    assert (await policy.acquire(call(), avoid=NOTHING)).instance
    third.cancel()
