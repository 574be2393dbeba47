"""Changes of instances, configuration and evacuations, and outages of the store."""

from __future__ import annotations

import asyncio
import json

import pytest

from masticdeck.events import Code
from testing.gateway.test_forward import hang, received_requests, set_all_actions
from testing.gateway.world import configuration, route


async def receiving_instances(
    world, request_count: int = 6, *, extra: str = ""
) -> set[str]:
    """Return the ids of the instances that receive concurrent requests."""
    for instance in world.instances.values():
        instance.requests.clear()
    await asyncio.gather(
        *(world.send("/s/a", extra=extra) for _ in range(request_count))
    )
    return {
        request.headers["expected-instance"] for request in received_requests(world)
    }


async def queue_request(world) -> tuple[list[asyncio.Task], asyncio.Task]:
    """Fill both instances; return the tasks that fill them and one that waits."""
    set_all_actions(world, hang)
    for name in ("s1", "s2"):
        world.instances[name].slots = 1
        world.store.write(f"servers/{name}", world.instances[name].record())
    await world.settle()
    filler_tasks = [asyncio.create_task(world.send("/s/fill")) for _ in range(2)]
    while len(received_requests(world)) < 2:
        await asyncio.sleep(0.01)
    waiting_task = asyncio.create_task(world.send("/s/wait"))
    await asyncio.sleep(0.05)
    return filler_tasks, waiting_task


async def test_draining_instance_receives_no_new_requests(world):
    s1 = world.instances["s1"]
    world.store.write("servers/s1", s1.record(state="draining"))
    await world.settle()
    assert await receiving_instances(world) == {"s2"}


@pytest.mark.parametrize("is_removed", [False, True], ids=["draining", "removed"])
async def test_late_report_of_an_instance_does_not_undo_its_leaving(world, is_removed):
    """Guards against requests that reach an instance after its drain has ended."""
    s1 = world.instances["s1"]
    if is_removed:
        world.store.remove("servers/s1")
    else:
        drain = s1.record(state="draining", sequence=3)
        world.store.write("servers/s1", drain)
    await world.settle()
    world.store.write("servers/s1", s1.record(sequence=2))
    await world.settle()
    assert await receiving_instances(world) == {"s2"}
    [held] = [one for one in world.events.ring if one.code is Code.RECORD_HELD]
    assert held.fields["reason"] == "hold late"
    world.store.write("servers/s1", s1.record(born=s1.born + 1))
    await world.settle()
    assert await receiving_instances(world) == {"s1", "s2"}


async def test_removed_instance_receives_no_new_requests(world):
    world.store.remove("servers/s1")
    await world.settle()
    assert await receiving_instances(world) == {"s2"}


async def test_invalid_record_removes_its_instance_only(world):
    world.store.write("servers/s1", b'{"address": 5}')
    await world.settle()
    assert await receiving_instances(world) == {"s2"}
    assert any(event.code is Code.RECORD_INVALID for event in world.events.ring)


async def test_evacuated_zone_receives_no_requests_until_the_evacuation_ends(world):
    distant_instance = await world.add_instance("s3", "s", zone="kuldiga-a")
    world.store.write("op/evacuate/cesis-a", b"{}")
    await world.settle()
    assert await receiving_instances(world) == {distant_instance.id}
    world.store.remove("op/evacuate/cesis-a")
    world.store.remove("servers/s3")
    await world.settle()
    assert await receiving_instances(world, 1) <= {"s1", "s2"}


async def test_waiting_request_is_not_sent_to_an_evacuated_zone(world):
    filler_tasks, waiting_task = await queue_request(world)
    world.store.write("op/evacuate/cesis-a", b"{}")
    await world.settle()
    response = await waiting_task
    assert response.status == 503
    assert all(request.target != "/s/wait" for request in received_requests(world))
    for task in filler_tasks:
        task.cancel()


async def test_newer_configuration_applies_and_an_older_one_is_ignored(world):
    version = world.configure(route("/s/", "safe", "u"), route("/n/", "safe", "s"))
    await world.settle()
    assert (await world.send("/s/a")).body.startswith(b"u")
    assert (await world.send("/n/a")).body.startswith(b"s")
    older_configuration = configuration(version - 1, [route("/s/", "safe", "s")])
    world.store.write("op/config", older_configuration)
    await world.settle()
    assert (await world.send("/s/a")).body.startswith(b"u")


async def test_requests_stay_in_the_home_regions_of_their_route(world):
    await world.add_instance("s3", "s", zone="kuldiga-a")
    world.configure(route("/s/", "safe", "s", home_regions=["kurzeme"]))
    await world.settle()
    assert await receiving_instances(world) == {"s3"}


async def test_traffic_split_follows_the_weights(world):
    weights = [{"service": "s", "weight": 3}, {"service": "u", "weight": 1}]
    world.configure(
        route("/s/", "safe", "s", traffic_split=weights), route("/u/", "unsafe", "u")
    )
    await world.settle()
    bodies = [(await world.send("/s/a")).body[:1] for _ in range(20)]
    assert (bodies.count(b"s"), bodies.count(b"u")) == (15, 5)


async def test_first_request_of_a_split_follows_the_place_of_the_entry(world):
    weights = [{"service": "s", "weight": 1}, {"service": "u", "weight": 1}]
    order = world.gateway.entry_order
    order.members = lambda: {order.entry}
    bodies = set()
    for number in range(10):
        split_route = route(
            "/s/", "safe", "s", name=f"split-{number}", traffic_split=weights
        )
        world.configure(split_route, route("/u/", "unsafe", "u"))
        await world.settle()
        bodies.add((await world.send("/s/a")).body[:1])
    assert bodies == {b"s", b"u"}


async def test_request_to_the_address_of_another_instance_is_sent_elsewhere(world):
    s1, s2 = world.instances["s1"], world.instances["s2"]
    fields = json.loads(s1.record())
    fields["address"] = world.instances["u1"].address
    world.store.write("servers/s1", json.dumps(fields).encode())
    await world.settle()
    for _ in range(4):
        assert (await world.send("/s/a")).status == 200
    assert s1.requests == []
    assert len(s2.requests) == 4


async def test_restarted_instance_with_the_same_id_receives_requests(world):
    s1 = world.instances["s1"]
    world.store.remove("servers/s2")
    await world.settle()
    await world.send("/s/a")
    await s1.stop()
    await s1.start()
    world.store.write("servers/s1", s1.record(born=2))
    await world.settle()
    assert (await world.send("/s/a")).status == 200


async def test_store_outage_changes_nothing_for_callers(world):
    world.store.refuse_with = 503
    await world.wait_for(Code.STORE_UNAVAILABLE)
    assert (await world.send("/s/a")).status == 200


async def test_compacted_history_is_replaced_by_a_new_listing(world):
    world.store.refuse_with = 503
    await world.wait_for(Code.STORE_UNAVAILABLE)
    world.store.remove("servers/s1")
    world.store.compact()
    world.store.refuse_with = None
    await world.settle()
    assert await receiving_instances(world) == {"s2"}


async def test_record_that_expired_in_an_outage_is_used_until_its_grace_period_ends(
    world, monkeypatch
):
    from masticdeck.coordination import feed, fleet_view

    monkeypatch.setattr(feed, "MIN_OUTAGE_S", 0.5)
    monkeypatch.setattr(fleet_view, "EXPIRY_GRACE_S", 0.4)
    world.store.refuse_with = 503
    await world.wait_for(Code.STORE_UNAVAILABLE)
    await asyncio.sleep(0.6)
    record = world.instances["s2"].record()
    world.store.remove("servers/s1")
    world.store.remove("servers/s2")
    world.store.refuse_with = None
    await world.wait_for(Code.INSTANCE_MISSING)
    assert set(world.gateway.fleet.instances) >= {"s1", "s2"}
    world.store.write("servers/s2", record)
    await world.settle()
    await asyncio.sleep(0.6)
    assert "s1" not in world.gateway.fleet.instances
    assert "s2" in world.gateway.fleet.instances


async def test_entry_without_configuration_rejects_requests_and_is_not_ready(world):
    world.gateway.fleet.routes = None
    response = await world.send("/s/a")
    assert response.status == 503
    assert not world.gateway.directory.is_ready()


async def test_waiting_request_releases_its_slot_when_its_route_is_removed(world):
    filler_tasks, waiting_task = await queue_request(world)
    world.configure(route("/u/", "unsafe", "u"))
    await world.settle()
    for task in filler_tasks:
        task.cancel()
    assert (await waiting_task).status == 404
    await asyncio.gather(*filler_tasks, return_exceptions=True)
    async with asyncio.timeout(5):
        while any(
            load.own_requests
            for load in world.gateway.instance_loads.by_instance.values()
        ):
            await asyncio.sleep(0.01)
