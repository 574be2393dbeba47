"""Tests of admission: rank order, floors, customer fairness, early rejection."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from masticdeck.coordination.admission import ServiceQueue, WaitingCall
from masticdeck.errors import Overloaded
from masticdeck.ids import CustomerId, Rank, RequestId, ServiceId
from masticdeck.protocol.call import Call


def make_call(rank=Rank.URGENT, *, customer=None, deadline=1000.0):
    return Call(
        id=RequestId("r"),
        service=ServiceId("katalogs"),
        method="GET",
        path="/",
        rank=rank,
        deadline=deadline,
        customer=None if customer is None else CustomerId(customer),
    )


def push(queue, call, weight=1.0):
    future = asyncio.get_running_loop().create_future()
    waiting_call = WaitingCall(
        call=call, avoid=frozenset(), latest_start=call.deadline, future=future
    )
    queue.push(waiting_call, weight)
    return waiting_call


def grant(queue, count):
    granted = []
    for _ in range(count):
        rank_queue, customer_queue = next(queue.candidates())
        waiting_call = queue.grant(rank_queue, customer_queue, 0.0)
        waiting_call.future.set_result(None)
        queue.end_wait(waiting_call)
        granted.append(waiting_call.call)
    return granted


async def test_more_urgent_ranks_are_served_first():
    queue = ServiceQueue()
    for rank in (Rank.LOW, Rank.MIDDLE, Rank.URGENT):
        push(queue, make_call(rank))
    assert [call.rank for call in grant(queue, 3)] == list(Rank)


async def test_earliest_deadline_is_served_first_within_a_rank():
    queue = ServiceQueue()
    for deadline in (3.0, 1.0, 2.0):
        push(queue, make_call(deadline=deadline))
    assert [call.deadline for call in grant(queue, 3)] == [1.0, 2.0, 3.0]


async def test_flood_of_urgent_calls_leaves_other_ranks_their_floors():
    queue = ServiceQueue()
    for rank in Rank:
        for _ in range(400):
            push(queue, make_call(rank))
    grant(queue, 50)
    counts = Counter(call.rank for call in grant(queue, 200))
    assert counts[Rank.MIDDLE] >= 39
    assert counts[Rank.LOW] >= 19
    assert counts[Rank.URGENT] >= 135


async def test_short_burst_of_urgent_calls_is_served_before_the_floors():
    queue = ServiceQueue()
    for rank in Rank:
        for _ in range(10):
            push(queue, make_call(rank))
    assert {call.rank for call in grant(queue, 10)} == {Rank.URGENT}


async def test_flood_of_low_rank_calls_does_not_delay_urgent_calls():
    queue = ServiceQueue()
    for _ in range(500):
        push(queue, make_call(Rank.LOW))
    grant(queue, 50)
    for _ in range(5):
        push(queue, make_call(Rank.URGENT))
    counts = Counter(call.rank for call in grant(queue, 6))
    assert counts[Rank.URGENT] == 5


async def test_flood_of_one_customers_urgent_calls_does_not_delay_other_customers():
    queue = ServiceQueue()
    for _ in range(500):
        push(queue, make_call(customer="flooder"))
    grant(queue, 50)
    for _ in range(5):
        push(queue, make_call(customer="other"))
    counts = Counter(call.customer for call in grant(queue, 11))
    assert counts[CustomerId("other")] == 5


async def test_grants_are_proportional_to_the_capacity_of_the_plans():
    queue = ServiceQueue()
    for _ in range(100):
        push(queue, make_call(customer="full"), 1.0)
        push(queue, make_call(customer="partner"), 0.5)
    counts = Counter(call.customer for call in grant(queue, 60))
    assert counts[CustomerId("full")] == pytest.approx(40, abs=1)


async def test_call_that_would_miss_its_deadline_is_rejected_with_retry_after():
    queue = ServiceQueue()
    for _ in range(20):
        push(queue, make_call(Rank.LOW))
    with pytest.raises(Overloaded) as error_info:
        queue.check_admission(make_call(Rank.LOW), 1.0, 10.0, 1.0, 0.0)
    assert error_info.value.retry_after_s >= 1.0
    queue.check_admission(make_call(Rank.LOW), 1.0, 10.0, 5.0, 0.0)


async def test_flood_of_one_customer_does_not_reject_calls_of_another():
    """The expected delay of a call must not include another customer's whole queue."""
    queue = ServiceQueue()
    for _ in range(100):
        push(queue, make_call(customer="flooder"))
    with pytest.raises(Overloaded):
        queue.check_admission(make_call(customer="flooder"), 1.0, 10.0, 1.0, 0.0)
    queue.check_admission(make_call(customer="other"), 1.0, 10.0, 1.0, 0.0)
