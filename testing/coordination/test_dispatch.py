"""Queueing for room at instances, without a network."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import (
    Dispatcher,
    NoCapacity,
    NoInstance,
    PendingRequest,
)
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.run_times import RunTimes
from masticdeck.ids import InstanceId, ServiceId, ZoneId
from masticdeck.protocol.dialect import InstanceUse
from masticdeck.state.fleet import Fleet
from testing.coordination.test_placement import (
    REGION_OF,
    SERVICE,
    build_route,
    instance,
)

SLOTS = 2


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(dict(REGION_OF))
    fleet.put_instance(instance("one", "a1", slots=SLOTS))
    return fleet


@pytest.fixture
def dispatcher(fleet) -> Dispatcher:
    return Dispatcher(
        fleet,
        Placement(fleet, zone=ZoneId("a1")),
        InstanceLoads(),
        RunTimes(),
        Health(seed=1),
        entry_count=lambda: 4,
    )


def ticket(
    priority: int = 1,
    *,
    key: str | None = None,
    due: float = 0.0,
    timeout_s: float = 2.0,
) -> PendingRequest:
    route = build_route(sticky=key is not None)
    route = replace(route, priority=priority, timeout_s=timeout_s)
    deadline = boottime() + route.timeout_s
    return PendingRequest(
        route=route, service=SERVICE, key=key, soft_deadline=due, deadline=deadline
    )


def report(dispatcher: Dispatcher, name: str, running: int) -> None:
    """Let an instance report its load."""
    known = dispatcher.fleet.instances[InstanceId(name)]
    room = dispatcher.loads.get(known)
    dispatcher.loads.record_report(
        room, InstanceUse(running, 0, known.slots), boottime()
    )


async def fill(dispatcher: Dispatcher) -> None:
    """Use every slot that this entry may use."""
    report(dispatcher, "one", 0)
    for _ in range(SLOTS):
        await dispatcher.acquire(ticket(), until=boottime() + 1)


async def acquire(
    dispatcher: Dispatcher, wanted: PendingRequest, wait_s: float = 5.0
) -> str:
    return (await dispatcher.acquire(wanted, until=boottime() + wait_s)).id


def release(dispatcher: Dispatcher, name: str = "one") -> None:
    known = dispatcher.fleet.instances[InstanceId(name)]
    dispatcher.release(dispatcher.loads.get(known))


async def test_more_requests_than_slots_wait_for_the_end_of_one(dispatcher):
    await fill(dispatcher)
    waiting = asyncio.create_task(acquire(dispatcher, ticket()))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    release(dispatcher)
    assert await waiting == "one"


async def test_most_urgent_request_gets_the_next_slot(dispatcher):
    await fill(dispatcher)
    ends: list[str] = []

    async def want(name: str, priority: int) -> None:
        await acquire(dispatcher, ticket(priority))
        ends.append(name)

    tasks = [asyncio.create_task(want("low", 2)), asyncio.create_task(want("high", 0))]
    await asyncio.sleep(0)
    for _ in tasks:
        release(dispatcher)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    assert ends == ["high", "low"]


async def test_less_urgent_request_does_not_overtake_a_waiting_one(dispatcher):
    await fill(dispatcher)
    urgent = asyncio.create_task(acquire(dispatcher, ticket(0)))
    await asyncio.sleep(0)
    known = dispatcher.fleet.instances[InstanceId("one")]
    dispatcher.loads.get(known).own_requests -= 1
    late = asyncio.create_task(acquire(dispatcher, ticket(2), 0.05))
    assert await urgent == "one"
    with pytest.raises(NoCapacity):
        await late


async def test_request_without_room_in_time_is_told_so(dispatcher):
    await fill(dispatcher)
    with pytest.raises(NoCapacity):
        await acquire(dispatcher, ticket(), 0.05)
    assert dispatcher.queues[SERVICE] == []


async def test_request_that_cannot_end_in_time_is_refused_without_further_wait(
    dispatcher,
):
    await fill(dispatcher)
    dispatcher.run_times.record_run(build_route(), InstanceId("one"), None, 1.4)
    began = boottime()
    with pytest.raises(NoCapacity):
        await acquire(dispatcher, ticket(timeout_s=1.5), 5.0)
    assert boottime() - began < 1.0


async def test_request_that_cannot_end_in_time_gets_no_slot(dispatcher):
    report(dispatcher, "one", 0)
    dispatcher.run_times.record_run(build_route(), InstanceId("one"), None, 1.0)
    late = ticket()
    late.deadline = boottime() + 0.9
    with pytest.raises(NoCapacity):
        await acquire(dispatcher, late)
    late.deadline = boottime() + 1.1
    assert await acquire(dispatcher, late) == "one"


@pytest.mark.parametrize(
    ("left_s", "chosen"), [(1.4, None), (1.6, "one")], ids=["too late", "in time"]
)
async def test_own_queue_of_an_instance_is_used_only_in_time(
    dispatcher, left_s, chosen
):
    await fill(dispatcher)
    dispatcher.run_times.record_run(build_route(), InstanceId("one"), None, 1.0)
    wanted = ticket()
    wanted.deadline = boottime() + left_s
    found = dispatcher.try_acquire_queued(wanted)
    assert (None if found is None else found.id) == chosen


async def test_new_request_is_tried_although_runs_outlast_the_timeout(dispatcher):
    report(dispatcher, "one", 0)
    dispatcher.run_times.record_run(build_route(), InstanceId("one"), None, 4.0)
    assert await acquire(dispatcher, ticket(timeout_s=1.0)) == "one"


async def test_own_queue_of_an_instance_is_not_used_past_a_more_urgent_request(
    dispatcher,
):
    await fill(dispatcher)
    urgent = asyncio.create_task(acquire(dispatcher, ticket(0)))
    await asyncio.sleep(0)
    assert dispatcher.try_acquire_queued(ticket(2)) is None
    release(dispatcher)
    assert await urgent == "one"
    assert dispatcher.try_acquire_queued(ticket(2)) is not None


async def test_cancelled_request_leaves_its_place(dispatcher):
    await fill(dispatcher)
    waiting = asyncio.create_task(acquire(dispatcher, ticket()))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert dispatcher.queues[SERVICE] == []


async def test_requests_of_other_entries_count_while_their_report_is_fresh(dispatcher):
    report(dispatcher, "one", SLOTS)
    with pytest.raises(NoCapacity):
        await acquire(dispatcher, ticket(), 0.05)
    assert await acquire(dispatcher, ticket(), 5.0) == "one"


async def test_service_without_instances_is_told_at_once(dispatcher):
    unknown = replace(ticket(), service=ServiceId("nothing"))
    with pytest.raises(NoInstance):
        await acquire(dispatcher, unknown)


async def test_cold_instance_gets_requests_only_when_no_other_is_left(dispatcher):
    later = boottime() + 60
    dispatcher.fleet.put_instance(instance("cold", "a1", cold_until=later))
    report(dispatcher, "one", 0)
    assert await acquire(dispatcher, ticket()) == "one"
    dispatcher.fleet.remove_instance(InstanceId("one"))
    assert await acquire(dispatcher, ticket()) == "cold"


async def test_cold_instance_gets_this_entrys_part_of_its_rate(dispatcher):
    later = boottime() + 60
    dispatcher.fleet.put_instance(instance("cold", "a1", cold_until=later, slots=50))
    dispatcher.fleet.remove_instance(InstanceId("one"))
    sent = 0
    until = boottime() + 0.5
    while boottime() < until:
        try:
            await acquire(dispatcher, ticket(), 0.01)
            sent += 1
        except (NoInstance, NoCapacity):
            await asyncio.sleep(0.01)
    assert sent == 1


async def test_ejected_instance_gets_nothing_while_another_is_left(dispatcher):
    dispatcher.fleet.put_instance(instance("two", "a2", slots=SLOTS))
    dispatcher.health.add(InstanceId("two"), SERVICE)
    dispatcher.health.add(InstanceId("one"), SERVICE)
    dispatcher.health.record_failure(InstanceId("one"), boottime(), unreachable=True)
    assert await acquire(dispatcher, ticket()) == "two"


async def test_key_waits_for_its_own_instances_rather_than_a_third(dispatcher):
    fleet = dispatcher.fleet
    for number in range(6):
        fleet.put_instance(instance(f"more-{number}", "b1", slots=1))
    wanted = ticket(key="7")
    own = [one.id for one in dispatcher.candidates(wanted)]
    taken = [await acquire(dispatcher, ticket(key="7"), 0.05) for _ in own]
    assert sorted(taken) == sorted(own)
    waiting = asyncio.create_task(acquire(dispatcher, wanted))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    release(dispatcher, own[1])
    assert await waiting == own[1]


async def test_second_instance_gets_a_new_key_only_while_it_has_slots_to_spare(
    dispatcher,
):
    for name in ("one", "two"):
        dispatcher.fleet.put_instance(instance(name, "a2", slots=4))
    first, second = dispatcher.candidates(ticket(key="7"))
    report(dispatcher, first.id, 4)
    report(dispatcher, second.id, 3)
    with pytest.raises(NoCapacity):
        await acquire(dispatcher, ticket(key="7"), 0.02)
    report(dispatcher, first.id, 4)
    report(dispatcher, second.id, 0)
    assert await acquire(dispatcher, ticket(key="7")) == second.id


async def test_second_instance_that_knows_a_key_gets_it_while_it_has_room(dispatcher):
    for name in ("one", "two"):
        dispatcher.fleet.put_instance(instance(name, "a2", slots=4))
    first, second = dispatcher.candidates(ticket(key="7"))
    dispatcher.run_times.record_run(build_route(), second.id, "7", 0.1)
    report(dispatcher, first.id, 4)
    report(dispatcher, second.id, 3)
    assert await acquire(dispatcher, ticket(key="7")) == second.id


async def test_key_leaves_an_instance_that_turned_slow(dispatcher):
    dispatcher.fleet.put_instance(instance("two", "a2", slots=SLOTS))
    first, second = dispatcher.candidates(ticket(key="7"))
    dispatcher.loads.get(first).mean_latency_s = 3.0
    dispatcher.loads.get(second).mean_latency_s = 0.3
    assert await acquire(dispatcher, ticket(key="7")) == second.id


async def test_full_instance_takes_a_request_only_while_its_queue_is_short(dispatcher):
    await fill(dispatcher)
    queued = [dispatcher.try_acquire_queued(ticket()) for _ in range(SLOTS + 1)]
    assert [one is None for one in queued] == [False] * SLOTS + [True]


async def test_instance_that_turned_a_request_away_counts_as_full(dispatcher):
    known = dispatcher.fleet.instances[InstanceId("one")]
    dispatcher.loads.record_rejection(dispatcher.loads.get(known), boottime())
    assert dispatcher.try_acquire_queued(ticket()) is None
    with pytest.raises(NoCapacity):
        await acquire(dispatcher, ticket(), 0.05)
