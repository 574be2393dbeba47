"""Order of waiting calls, floors, fairness between customers, early refusal."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from masticdeck.coordination.admission import ServiceQueue, WaitingCall
from masticdeck.errors import Overloaded
from masticdeck.ids import CustomerId, Rank, RequestId, ServiceId
from masticdeck.protocol.call import Call


def call(rank=Rank.URGENT, *, customer=None, deadline=1000.0):
    return Call(
        id=RequestId("r"),
        service=ServiceId("katalogs"),
        method="GET",
        path="/",
        rank=rank,
        deadline=deadline,
        customer=None if customer is None else CustomerId(customer),
    )


def push(queue, one, weight=1.0):
    future = asyncio.get_running_loop().create_future()
    waiter = WaitingCall(
        call=one, avoid=frozenset(), latest_start=one.deadline, future=future
    )
    queue.push(waiter, weight)
    return waiter


def grant(queue, count):
    granted = []
    for _ in range(count):
        rank, lane = next(queue.candidates())
        waiter = queue.grant(rank, lane, 0.0)
        waiter.future.set_result(None)
        queue.end_wait(waiter)
        granted.append(waiter.call)
    return granted


async def test_urgent_work_goes_first():
    queue = ServiceQueue()
    for rank in (Rank.LOW, Rank.MIDDLE, Rank.URGENT):
        push(queue, call(rank))
    assert [one.rank for one in grant(queue, 3)] == list(Rank)


async def test_earliest_deadline_goes_first_within_a_rank():
    queue = ServiceQueue()
    for deadline in (3.0, 1.0, 2.0):
        push(queue, call(deadline=deadline))
    assert [one.deadline for one in grant(queue, 3)] == [1.0, 2.0, 3.0]


async def test_flood_of_urgent_work_leaves_the_floors():
    queue = ServiceQueue()
    for rank in Rank:
        for _ in range(400):
            push(queue, call(rank))
    grant(queue, 50)
    counts = Counter(one.rank for one in grant(queue, 200))
    assert counts[Rank.MIDDLE] >= 39
    assert counts[Rank.LOW] >= 19
    assert counts[Rank.URGENT] >= 135


async def test_short_burst_of_urgent_work_goes_before_the_floors():
    queue = ServiceQueue()
    for rank in Rank:
        for _ in range(10):
            push(queue, call(rank))
    assert {one.rank for one in grant(queue, 10)} == {Rank.URGENT}


async def test_flood_of_low_work_takes_nothing_from_urgent_work():
    queue = ServiceQueue()
    for _ in range(500):
        push(queue, call(Rank.LOW))
    grant(queue, 50)
    for _ in range(5):
        push(queue, call(Rank.URGENT))
    counts = Counter(one.rank for one in grant(queue, 6))
    assert counts[Rank.URGENT] == 5


async def test_customers_flood_of_its_own_urgent_rank_does_not_touch_others():
    queue = ServiceQueue()
    for _ in range(500):
        push(queue, call(customer="flooder"))
    grant(queue, 50)
    for _ in range(5):
        push(queue, call(customer="other"))
    counts = Counter(one.customer for one in grant(queue, 11))
    assert counts[CustomerId("other")] == 5


async def test_customers_share_by_the_capacity_of_their_plans():
    queue = ServiceQueue()
    for _ in range(100):
        push(queue, call(customer="full"), 1.0)
        push(queue, call(customer="partner"), 0.5)
    counts = Counter(one.customer for one in grant(queue, 60))
    assert counts[CustomerId("full")] == pytest.approx(40, abs=1)


async def test_call_that_cannot_be_in_time_is_refused_as_not_run():
    queue = ServiceQueue()
    for _ in range(20):
        push(queue, call(Rank.LOW))
    with pytest.raises(Overloaded) as caught:
        queue.check_admission(call(Rank.LOW), 1.0, 10.0, 1.0, 0.0)
    assert caught.value.retry_after_s >= 1.0
    queue.check_admission(call(Rank.LOW), 1.0, 10.0, 5.0, 0.0)


async def test_flooding_customers_queue_does_not_refuse_anothers_call():
    queue = ServiceQueue()
    for _ in range(100):
        push(queue, call(customer="flooder"))
    with pytest.raises(Overloaded):
        queue.check_admission(call(customer="flooder"), 1.0, 10.0, 1.0, 0.0)
    queue.check_admission(call(customer="other"), 1.0, 10.0, 1.0, 0.0)
