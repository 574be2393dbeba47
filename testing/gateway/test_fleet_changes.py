"""An entry follows instances, versions, evacuations and the store's outages."""

from __future__ import annotations

import asyncio
import json

from masticdeck.events import Code
from testing.gateway.test_forward import never, received, set_all
from testing.gateway.world import configuration, route


async def instances_asked(world, times: int = 6) -> set[str]:
    """Return the instances that serve some requests at the same time."""
    for instance in world.instances.values():
        instance.requests.clear()
    await asyncio.gather(*(world.ask("/s/a") for _ in range(times)))
    return {one.headers["expected-instance"] for one in received(world)}


async def queue_request(world) -> tuple[list[asyncio.Task], asyncio.Task]:
    """Fill both instances; return the requests there and one that waits."""
    set_all(world, never)
    for name in ("s1", "s2"):
        world.instances[name].slots = 1
        world.store.write(f"servers/{name}", world.instances[name].record())
    await world.settle()
    fillers = [asyncio.create_task(world.ask("/s/fill")) for _ in range(2)]
    while len(received(world)) < 2:
        await asyncio.sleep(0.01)
    waiting = asyncio.create_task(world.ask("/s/wait"))
    await asyncio.sleep(0.05)
    return fillers, waiting


async def test_draining_instance_gets_nothing_more(world):
    s1 = world.instances["s1"]
    world.store.write("servers/s1", s1.record(state="draining"))
    await world.settle()
    assert await instances_asked(world) == {"s2"}


async def test_removed_instance_gets_nothing_more(world):
    world.store.remove("servers/s1")
    await world.settle()
    assert await instances_asked(world) == {"s2"}


async def test_unreadable_record_names_no_instance_and_the_others_hold(world):
    world.store.write("servers/s1", b'{"address": 5}')
    await world.settle()
    assert await instances_asked(world) == {"s2"}
    assert any(one.code is Code.RECORD_INVALID for one in world.events.ring)


async def test_evacuated_zone_gets_nothing_until_it_is_taken_back(world):
    far = await world.add_instance("s3", "s", zone="kuldiga-a")
    world.store.write("op/evacuate/cesis-a", b"{}")
    await world.settle()
    assert await instances_asked(world) == {far.id}
    world.store.remove("op/evacuate/cesis-a")
    world.store.remove("servers/s3")
    await world.settle()
    assert await instances_asked(world, 1) <= {"s1", "s2"}


async def test_request_that_waits_follows_an_evacuation(world):
    fillers, waiting = await queue_request(world)
    world.store.write("op/evacuate/cesis-a", b"{}")
    await world.settle()
    answer = await waiting
    assert answer.status == 503
    assert all(one.target != "/s/wait" for one in received(world))
    for task in fillers:
        task.cancel()


async def test_route_follows_a_new_version_and_never_an_older_one(world):
    version = world.configure(route("/s/", "safe", "u"), route("/n/", "safe", "s"))
    await world.settle()
    assert (await world.ask("/s/a")).body.startswith(b"u")
    assert (await world.ask("/n/a")).body.startswith(b"s")
    older = configuration(version - 1, [route("/s/", "safe", "s")])
    world.store.write("op/config", older)
    await world.settle()
    assert (await world.ask("/s/a")).body.startswith(b"u")


async def test_home_regions_are_kept(world):
    await world.add_instance("s3", "s", zone="kuldiga-a")
    world.configure(route("/s/", "safe", "s", home_regions=["kurzeme"]))
    await world.settle()
    assert await instances_asked(world) == {"s3"}


async def test_split_gives_each_service_its_weight(world):
    parts = [{"service": "s", "weight": 3}, {"service": "u", "weight": 1}]
    world.configure(
        route("/s/", "safe", "s", traffic_split=parts), route("/u/", "unsafe", "u")
    )
    await world.settle()
    bodies = [(await world.ask("/s/a")).body[:1] for _ in range(20)]
    assert (bodies.count(b"s"), bodies.count(b"u")) == (15, 5)


async def test_address_of_another_instance_is_left_unused(world):
    s1, s2 = world.instances["s1"], world.instances["s2"]
    fields = json.loads(s1.record())
    fields["address"] = world.instances["u1"].address
    world.store.write("servers/s1", json.dumps(fields).encode())
    await world.settle()
    for _ in range(4):
        assert (await world.ask("/s/a")).status == 200
    assert s1.requests == []
    assert len(s2.requests) == 4


async def test_restarted_instance_with_the_same_id_is_used_afresh(world):
    s1 = world.instances["s1"]
    world.store.remove("servers/s2")
    await world.settle()
    await world.ask("/s/a")
    await s1.stop()
    await s1.start()
    world.store.write("servers/s1", s1.record(born=2))
    await world.settle()
    assert (await world.ask("/s/a")).status == 200


async def test_store_outage_changes_nothing_for_callers(world):
    world.store.refuse_with = 503
    await world.wait_for(Code.STORE_UNAVAILABLE)
    assert (await world.ask("/s/a")).status == 200


async def test_lost_history_is_made_up_by_a_new_listing(world):
    world.store.refuse_with = 503
    await world.wait_for(Code.STORE_UNAVAILABLE)
    world.store.remove("servers/s1")
    world.store.compact()
    world.store.refuse_with = None
    await world.settle()
    assert await instances_asked(world) == {"s2"}


async def test_record_that_lapsed_in_an_outage_is_used_until_its_grace_ends(
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


async def test_entry_without_a_configuration_refuses_and_is_not_ready(world):
    world.gateway.fleet.routes = None
    answer = await world.ask("/s/a")
    assert answer.status == 503
    assert not world.gateway.directory.is_ready()


async def test_request_whose_route_is_removed_while_it_waits_gives_its_slot_back(world):
    fillers, waiting = await queue_request(world)
    world.configure(route("/u/", "unsafe", "u"))
    await world.settle()
    for task in fillers:
        task.cancel()
    assert (await waiting).status == 404
    await asyncio.gather(*fillers, return_exceptions=True)
    async with asyncio.timeout(5):
        while any(
            room.own_requests
            for room in world.gateway.instance_loads.by_instance.values()
        ):
            await asyncio.sleep(0.01)
