"""Tests of the ``ranked`` policy on a fake slot source."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination.links import Links
from masticdeck.coordination.policy import AttemptOutcome, AttemptResult
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
NO_INSTANCES = frozenset()


class FakeSlots:
    """Slot source with a given number of slots per instance."""

    def __init__(self, counts):
        self.counts = Counter(counts)

    def free_slots(self, service):
        return {instance: count for instance, count in self.counts.items() if count}

    def try_acquire(self, instance):
        if not self.counts[instance]:
            return None
        self.counts[instance] -= 1
        return Slot(instance, SERVICE, 0)

    def release(self, slot):
        self.counts[slot.instance] += 1

    def report_waiting(self, service, waiting):
        pass


def make_policy(counts):
    node = SimpleNamespace(
        deployment=DEPLOYMENT,
        entry=DEPLOYMENT.entries[0],
        hooks=create_hooks(),
        events=EventLog("entry-1", HybridClock()),
    )
    return RankedPolicy(node, FakeSlots(counts))


def make_call(rank=Rank.URGENT, *, wait_s=0.5, method="GET", attempt=1, customer=None):
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


def make_result(duration_s=0.04):
    return AttemptResult(
        outcome=AttemptOutcome.ANSWERED, duration_s=duration_s, status=200
    )


async def test_leaving_instance_gets_no_new_work_until_it_returns():
    policy = make_policy({"katalogs-1": 1, "katalogs-2": 1})
    policy.instance_leaving(instance="katalogs-1", source="operator")
    slot = await policy.acquire(make_call(), avoid=NO_INSTANCES)
    assert slot.instance == "katalogs-2"
    with pytest.raises(Overloaded):
        await policy.acquire(make_call(wait_s=0.05), avoid=NO_INSTANCES)
    policy.instance_returned(instance="katalogs-1", source="operator")
    assert (
        await policy.acquire(make_call(), avoid=NO_INSTANCES)
    ).instance == "katalogs-1"


async def test_urgent_call_is_served_before_an_earlier_low_rank_call():
    policy = make_policy({"katalogs-1": 1})
    slot = await policy.acquire(make_call(), avoid=NO_INSTANCES)
    served_ranks = []

    async def serve(rank):
        acquired = await policy.acquire(make_call(rank, wait_s=5.0), avoid=NO_INSTANCES)
        served_ranks.append(rank)
        policy.release(acquired, make_call(rank), make_result())

    low = asyncio.create_task(serve(Rank.LOW))
    await asyncio.sleep(0)
    urgent = asyncio.create_task(serve(Rank.URGENT))
    await asyncio.sleep(0)
    policy.release(slot, make_call(), make_result())
    await asyncio.gather(low, urgent)
    assert served_ranks == [Rank.URGENT, Rank.LOW]


async def test_slot_assigned_to_a_cancelled_wait_is_released():
    """A slot that is assigned just before the cancellation must not leak."""
    policy = make_policy({"katalogs-1": 1})
    slot = await policy.acquire(make_call(), avoid=NO_INSTANCES)
    waiting = asyncio.create_task(
        policy.acquire(make_call(wait_s=5.0), avoid=NO_INSTANCES)
    )
    await asyncio.sleep(0)
    policy.release(slot, make_call(), make_result())
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert policy.slots.counts["katalogs-1"] == 1
    assert policy.queues[SERVICE].waiting_count == 0


async def test_retry_prefers_another_zone():
    policy = make_policy({"katalogs-1": 3, "katalogs-7": 3, "katalogs-2": 3})
    slot = await policy.acquire(make_call(), avoid=frozenset({"katalogs-1"}))
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
    ids=[
        "idempotent",
        "order with unknown outcome",
        "order not run",
        "too late",
        "retry by caller",
    ],
)
async def test_retry_only_if_safe_in_time_and_not_already_a_retry_by_the_caller(
    one, error, allowed
):
    policy = make_policy({"katalogs-1": 1})
    call = make_call(**{"wait_s": 60} | one)
    assert policy.may_retry(call, error, 1) is allowed
    assert not policy.may_retry(call, error, 2)


def test_retries_stay_within_the_budget_when_every_attempt_fails():
    budget = RetryBudget()
    retry_count = 0
    for _ in range(1000):
        budget.deposit(SERVICE)
        retry_count += budget.try_withdraw(SERVICE)
    assert 0 < retry_count <= 70


async def test_rank_is_lowered_to_the_highest_that_the_plan_allows():
    policy = make_policy({})
    plan_entry = {"id": "partner", "capacity": 0.5, "regions": [], "top_rank": "middle"}
    customer_entry = {"id": "shops", "plan": "partner", "services": []}
    lists = {
        "customers": {"customers": [customer_entry]},
        "plans": {"plans": [plan_entry]},
    }
    customer = CustomerId("shops")
    assert policy.allowed_rank(customer, Rank.URGENT) is Rank.URGENT
    policy.version_in_force(
        configuration=Configuration.model_validate({"version": Version(1), **lists})
    )
    assert policy.allowed_rank(customer, Rank.URGENT) is Rank.MIDDLE
    assert policy.allowed_rank(customer, Rank.LOW) is Rank.LOW


async def test_link_rate_of_an_entry_grows_when_another_entry_is_gone():
    policy = make_policy({})
    region = RegionId("kurzeme")
    previous_bytes_per_s = policy.links.budgets[region].bytes_per_s
    policy.member_changed(entry=EntryId("entry-2"), state=MemberState.GONE)
    assert policy.links.budgets[region].bytes_per_s == pytest.approx(
        1.5 * previous_bytes_per_s, rel=0.51
    )
    assert policy.links.budgets[region].bytes_per_s > previous_bytes_per_s


def test_small_responses_delay_only_large_responses():
    links = Links(DEPLOYMENT, RegionId("vidzeme"), lambda: 3)
    region = RegionId("kurzeme")
    link_part = links.budgets[region]
    now = link_part.refilled_at
    assert link_part.charge_large(1000, now) == 0.0
    for _ in range(100):
        link_part.charge_small(int(link_part.bytes_per_s / 100), now)
    assert link_part.charge_large(1000, now) > 0.5


async def test_long_requests_of_a_lower_rank_leave_slots_to_urgent_calls():
    """Large files of a low rank would otherwise occupy every slot for seconds."""
    policy = make_policy({"katalogs-1": 2, "katalogs-2": 2})
    for _ in range(200):
        policy.hold_times[SERVICE].add(Rank.LOW, 2.0)
    for _ in range(2):
        await policy.acquire(make_call(Rank.LOW, wait_s=9.0), avoid=NO_INSTANCES)
    third = asyncio.create_task(
        policy.acquire(make_call(Rank.LOW, wait_s=9.0), avoid=NO_INSTANCES)
    )
    await asyncio.sleep(0)
    assert not third.done()
    assert (await policy.acquire(make_call(), avoid=NO_INSTANCES)).instance
    third.cancel()
