"""Requests to instances that are cold, and what the log says of them."""

from __future__ import annotations

import asyncio
import json

from masticdeck.clock import boottime, walltime
from masticdeck.coordination.entry_registration import LEASE_TTL_S
from masticdeck.events import Code
from masticdeck.state.fleet import ColdSource
from testing.gateway.world import (
    COLD_LOAD_FACTOR,
    COLD_REQUESTS_PER_S,
    COLD_SLACK,
)
from testing.platform.standin_instance import answer_well


async def become_settled(world) -> None:
    """Let the entry have been registered for long enough to use its turns."""
    await world.wait_for(Code.ENTRY_REGISTERED)
    await world.settle()
    world.gateway.entry_registration.registered_at = boottime() - 60


def fields_of(world, code: Code) -> list[dict]:
    return [event.fields for event in world.events.ring if event.code is code]


async def test_request_to_a_cold_instance_says_how_that_is_known(world):
    world.store.remove("servers/u2")
    world.store.write("servers/u1", world.instances["u1"].record(cold_ms=60_000))
    await world.settle()
    await become_settled(world)
    await world.send("/u/a", method="POST")
    sent = fields_of(world, Code.REQUEST_SENT)[-1]
    assert sent["cold_source"] == "record"
    assert 0 < int(sent["cold_ms"]) <= 60_000
    assert (sent["born"], sent["entries"]) == ("1", "1")
    assert world.gateway.metrics.counters["requests_to_cold_instances"] == 1


async def test_request_to_a_warm_instance_says_so(world):
    await world.send("/u/a", method="POST")
    sent = fields_of(world, Code.REQUEST_SENT)[-1]
    assert (sent["cold_ms"], sent["cold_source"]) == ("0", "")


async def test_return_of_an_evacuated_zone_is_the_source_of_cold_instances(world):
    zone = world.instances["u1"].zone
    world.store.write(f"op/evacuate/{zone}", b"{}")
    await world.settle()
    world.store.remove(f"op/evacuate/{zone}")
    await world.settle()
    await become_settled(world)
    await world.send("/u/a", method="POST")
    assert fields_of(world, Code.REQUEST_SENT)[-1]["cold_source"] == "evacuation"


async def test_entry_that_starts_after_an_evacuation_knows_that_the_zone_is_cold(world):
    """Guard against a flood by entries that restart as a zone returns."""
    zone = world.instances["u1"].zone
    world.store.write(f"op/evacuate/{zone}", b"{}")
    await world.settle()
    world.store.remove(f"op/evacuate/{zone}")
    await world.settle()
    await asyncio.sleep(0.2)
    gateway = await world.start_entry()
    await world.settle()
    instance = gateway.fleet.instances["u1"]
    period = gateway.fleet.cold_period(instance)
    assert 1.0 < period.until - boottime() < 3.0
    assert period.source is ColdSource.EVACUATION


async def test_evacuation_that_ended_before_it_was_seen_leaves_instances_cold(world):
    zone = world.instances["u1"].zone
    world.store.write(f"op/evacuate/{zone}", b"{}")
    world.store.remove(f"op/evacuate/{zone}")
    await become_settled(world)
    await world.send("/u/a", method="POST")
    assert fields_of(world, Code.REQUEST_SENT)[-1]["cold_source"] == "evacuation"


async def test_beginning_of_a_cold_period_is_logged_once(world):
    for cold_ms in (0, 60_000, 59_000, 0, 30_000):
        world.store.write("servers/u1", world.instances["u1"].record(cold_ms=cold_ms))
        await world.settle()
        await asyncio.sleep(0)
    learned = fields_of(world, Code.INSTANCE_COLD)
    assert [one["instance"] for one in learned] == ["u1", "u1"]
    assert {one["source"] for one in learned} == {"record"}


async def test_entry_without_its_registration_sends_nothing_to_cold_instances(world):
    world.store.remove("servers/u2")
    world.store.write("servers/u1", world.instances["u1"].record(cold_ms=60_000))
    await world.settle()
    await become_settled(world)
    world.gateway.entry_registration.renewed_at = boottime() - LEASE_TTL_S
    response = await world.send("/u/a", method="POST")
    assert response.status == 503
    assert not world.instances["u1"].requests


async def test_entry_that_has_just_registered_sends_nothing_to_cold_instances(world):
    """Guard against a flood by entries that do not see each other yet."""
    world.store.remove("servers/u2")
    world.store.write("servers/u1", world.instances["u1"].record(cold_ms=60_000))
    await world.wait_for(Code.ENTRY_REGISTERED)
    await world.settle()
    response = await world.send("/u/a", method="POST", remaining_ms=1000)
    assert response.status == 503
    assert not world.instances["u1"].requests
    assert 0.5 < float(response.headers["retry-after"]) < 5


async def test_refusal_for_want_of_turns_tells_when_to_come_back(world):
    world.store.remove("servers/u2")
    world.store.write("servers/u1", world.instances["u1"].record(cold_ms=2_000))
    await world.settle()
    world.gateway.cold_turns.members = lambda: {"another"}
    response = await world.send("/u/a", method="POST", remaining_ms=1000)
    assert response.status == 503
    assert 1.0 < float(response.headers["retry-after"]) < 2.5
    refused = fields_of(world, Code.REQUEST_REFUSED)[-1]
    assert int(refused["waited_ms"]) < 200 < 1000 < int(refused["cold_ms"])


async def test_instance_that_refused_a_connection_counts_as_cold_when_it_is_back(world):
    """Guard against a flood of an instance that restarts before its record says so."""
    await become_settled(world)
    world.store.remove("servers/u2")
    await world.settle()
    instance = world.instances["u1"]
    await instance.stop()
    await asyncio.sleep(0.1)
    assert (await world.send("/u/a", method="POST")).status == 503
    await instance.start_again()
    world.gateway.cold_turns.members = lambda: {"another"}
    response = await world.send("/u/a", method="POST", remaining_ms=1000)
    assert response.status == 503
    assert not instance.requests
    learned = fields_of(world, Code.INSTANCE_COLD)
    assert [one["source"] for one in learned] == ["refused connection"]


async def test_restarted_instance_is_cold_for_its_whole_time_after_a_long_outage(world):
    """Guard against a cold time that ends before the instance is back."""
    await become_settled(world)
    fleet = world.gateway.fleet
    instance = fleet.instances["u1"]
    world.gateway.forwarder.record_refused_connection(instance)
    assert fleet.cold_until(instance) > boottime() + 5
    world.gateway.forwarder.record_accepted_connection(instance)
    assert 2 < fleet.cold_until(instance) - boottime() <= 3
    world.gateway.forwarder.record_accepted_connection(instance)
    assert 2 < fleet.cold_until(instance) - boottime() <= 3


async def test_cold_time_of_a_returned_zone_does_not_depend_on_the_configuration(world):
    instance = world.gateway.fleet.instances["u1"]
    until_ms = round((walltime() + 9) * 1000)
    world.store.write(
        f"masticdeck/zone-returns/{instance.zone}",
        json.dumps({"cold_until_ms": until_ms}).encode(),
    )
    await world.settle()
    assert 7 < world.gateway.fleet.cold_until(instance) - boottime() <= 9


async def test_instance_that_becomes_cold_while_the_store_is_down_is_not_flooded(world):
    """Guards against an outage in which entries take every instance for a warm one."""
    world.store.remove("servers/u2")
    await world.settle()
    arrived: list[float] = []
    callers: list[asyncio.Task] = []

    async def work(instance, request, writer) -> None:
        arrived.append(boottime())
        await asyncio.sleep(0.1)
        await answer_well(instance, request, writer)

    async def press(seconds: float) -> float:
        """Send 25 requests a second, whatever becomes of the earlier ones."""
        until = boottime() + seconds
        while boottime() < until:
            request = world.send("/u/a", method="POST", remaining_ms=2000)
            callers.append(asyncio.create_task(request))
            await asyncio.sleep(0.04)
        return boottime()

    world.instances["u1"].act = work
    cold_from = await press(2.0)
    assert sum(at > cold_from - 1.0 for at in arrived) > 15
    world.store.refuse_with = 503
    cold_from = await press(0.5)
    cold_until = await press(3.0)
    responses = await asyncio.gather(*callers)
    cold = [at for at in arrived if cold_from <= at < cold_until]
    most = max(sum(start <= at < start + 1.0 for at in cold) for start in cold)
    assert 0 < most <= COLD_REQUESTS_PER_S * COLD_LOAD_FACTOR + COLD_SLACK
    refused = [one for one in responses if one.status == 503]
    assert refused
    assert all(float(one.headers["retry-after"]) > 0 for one in refused)
    reasons = [one["reason"] for one in fields_of(world, Code.WARMTH_UNCONFIRMED)]
    assert reasons[0] == "store failing"
    assert fields_of(world, Code.REQUEST_SENT)[-1]["doubt"] == "store failing"
