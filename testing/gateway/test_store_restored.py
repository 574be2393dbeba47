"""An entry whose store comes back from an older copy, revisions and leases included."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from masticdeck.clock import HybridClock
from masticdeck.coordination.entry_registration import RENEW_INTERVAL_S
from masticdeck.coordination.record_order.rules import RESTORE_S
from masticdeck.events import Code, EventLog
from masticdeck.protocol.positions import lease_era
from testing.gateway.test_fleet_changes import receiving_instances
from testing.gateway.world import World, route
from testing.platform.standin_store import StoreCopy
from testing.platform.workspaces import key_line, strict_bounds, workspace

KEPT, WITHDRAWN = "kept-key", "withdrawn-key"
ROUTE = route("/s/", "safe", "s")
LOST_WRITES = 40
"""Writes between copy and return, so that new ones get counters known from before."""


@pytest.fixture
async def drilled() -> AsyncIterator[World]:
    """Return an entry with two instances, whose store states its era."""
    async with AsyncExitStack() as stack:
        world = World(stack, bounds=strict_bounds(5.0))
        world.store.era = 1
        await world.store.start()
        stack.push_async_callback(world.store.stop)
        configure(world, KEPT, WITHDRAWN)
        for name in ("s1", "s2"):
            await world.add_instance(name, "s")
        await world.start_entry()
        await world.settle()
        yield world


def configure(world: World, *keys: str) -> None:
    world.configure(ROUTE, workspaces=[workspace("red", *keys)])


async def lose_writes(world: World) -> None:
    """Write what the copy will not have, and let the entry see it."""
    for number in range(LOST_WRITES):
        world.store.write("unrelated", str(number).encode())
    await world.settle()


async def restore(world: World, earlier: StoreCopy) -> None:
    """Set the store back and wait until the entry has seen the new era."""
    world.store.restore(earlier)
    await world.settle()


async def wait_for_registration_in_era_two(world: World) -> None:
    """Wait for the one record that the entry writes by itself after a restoration."""
    registration = world.gateway.entry_registration
    async with asyncio.timeout(RENEW_INTERVAL_S + 2.0):
        while not (registration.is_held() and lease_era(registration.lease) == 2):
            assert lease_era(registration.lease) == 2 or not registration.is_held()
            await asyncio.sleep(0.01)


async def status(world: World, key: str) -> int:
    return (await world.send("/s/x", extra=key_line(key))).status


async def test_key_withdrawn_after_the_store_came_back_from_a_copy_is_refused(drilled):
    """Guards against an entry that takes changes of a new era for old ones."""
    earlier = drilled.store.copy()
    configure(drilled, KEPT, WITHDRAWN)
    await lose_writes(drilled)
    await restore(drilled, earlier)
    configure(drilled, KEPT)
    await drilled.settle()
    assert [await status(drilled, key) for key in (KEPT, WITHDRAWN)] == [200, 401]


async def test_key_withdrawn_before_the_store_came_back_from_a_copy_stays_refused(
    drilled,
):
    """Guards against an older configuration that the copy brings back."""
    earlier = drilled.store.copy()
    configure(drilled, KEPT)
    await lose_writes(drilled)
    await restore(drilled, earlier)
    assert [await status(drilled, key) for key in (KEPT, WITHDRAWN)] == [200, 401]


async def test_instance_that_ended_before_the_restoration_is_not_used_again(drilled):
    earlier = drilled.store.copy()
    drilled.store.remove("servers/s2")
    await lose_writes(drilled)
    await restore(drilled, earlier)
    assert await received_with_key(drilled) == {"s1"}


async def test_instance_that_joined_before_the_restoration_is_used_until_it_is_back(
    drilled,
):
    earlier = drilled.store.copy()
    await drilled.add_instance("s3", "s")
    drilled.store.remove("servers/s1")
    drilled.store.remove("servers/s2")
    await lose_writes(drilled)
    await restore(drilled, earlier)
    assert await received_with_key(drilled) == {"s3"}
    drilled.store.write("servers/s3", drilled.instances["s3"].record())
    await drilled.settle()
    assert await received_with_key(drilled) == {"s3"}


async def test_zone_evacuated_after_the_restoration_gets_nothing(drilled):
    distant = await drilled.add_instance("s3", "s", zone="kuldiga-a")
    await drilled.settle()
    earlier = drilled.store.copy()
    await lose_writes(drilled)
    await restore(drilled, earlier)
    drilled.store.write("op/evacuate/cesis-a", b"{}")
    await drilled.settle()
    assert await received_with_key(drilled) == {distant.id}


async def test_entry_is_registered_again_under_a_lease_of_the_new_era(drilled):
    """Guards against a lease whose number the store gives to another entry."""
    gateway = drilled.gateway
    earlier = drilled.store.copy()
    earlier.items.pop("masticdeck/entries/entry-1", None)
    earlier.leases.clear()
    await restore(drilled, earlier)
    assert gateway.own_entry.id in gateway.fleet.entries
    await wait_for_registration_in_era_two(drilled)
    item = drilled.store.items["masticdeck/entries/entry-1"]
    assert item["lease"] in drilled.store.leases


async def test_new_era_costs_one_listing(drilled):
    """Guards against listing all records again until the counter has caught up."""
    earlier = drilled.store.copy()
    await lose_writes(drilled)
    drilled.store.calls.clear()
    await restore(drilled, earlier)
    await asyncio.sleep(1.5)
    pages = drilled.store.calls.count("kv-range")
    assert pages <= 1 + len(drilled.store.items) // 3
    begun = [one for one in drilled.events.ring if one.code is Code.STORE_ERA_BEGUN]
    assert [one.fields["era"] for one in begun] == ["2"]


async def test_two_restorations_within_a_second(drilled):
    earlier = drilled.store.copy()
    configure(drilled, KEPT, WITHDRAWN)
    await lose_writes(drilled)
    drilled.store.restore(earlier)
    await asyncio.sleep(0.3)
    await restore(drilled, earlier)
    configure(drilled, KEPT)
    await drilled.settle()
    assert drilled.gateway.replica.era == 3
    assert [await status(drilled, key) for key in (KEPT, WITHDRAWN)] == [200, 401]


async def test_operators_see_the_era_and_its_age(drilled):
    earlier = drilled.store.copy()
    await lose_writes(drilled)
    await restore(drilled, earlier)
    await wait_for_registration_in_era_two(drilled)
    await drilled.settle()
    address = drilled.gateway.settings.metrics
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET /fleet HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    view = json.loads((await reader.read()).partition(b"\r\n\r\n")[2])
    writer.close()
    assert view["era"] == 2
    assert view["era_age_s"] >= 0.0
    assert view["revision"] == drilled.store.revision


async def start_second_entry(world: World) -> World:
    """Start an entry that was not there before, on the same store."""
    second = replace(
        world,
        entry_name="entry-2",
        ids=itertools.count(1_000),
        events=EventLog("entry-2", HybridClock()),
    )
    await second.start_entry()
    await second.settle()
    return second


async def wait_until_listed(world: World) -> None:
    """Wait until a copy of the store has the entry, whom others may then ask."""
    async with asyncio.timeout(RENEW_INTERVAL_S):
        while f"masticdeck/entries/{world.entry_name}" not in world.store.items:
            await asyncio.sleep(0.01)
    await world.settle()


def recalls(world: World) -> list[str]:
    """Return the source of each recall of an entry, empty for none."""
    return [
        event.fields["source"]
        for event in world.events.ring
        if event.code is Code.FEED_RECALLED
    ]


async def test_key_withdrawn_before_the_restoration_is_refused_by_an_entry_added_later(
    drilled,
):
    """Guards against an entry that starts with the older copy as its only source."""
    await wait_until_listed(drilled)
    earlier = drilled.store.copy()
    configure(drilled, KEPT)
    await lose_writes(drilled)
    await restore(drilled, earlier)
    added = await start_second_entry(drilled)
    assert [await status(added, key) for key in (KEPT, WITHDRAWN)] == [200, 401]
    assert recalls(added) == ["entry-1"]


async def test_entry_added_after_the_restoration_uses_no_key_if_nobody_can_tell(
    drilled,
):
    """Guards against trusting a copy that nobody compares with what was before."""
    earlier = drilled.store.copy()
    configure(drilled, KEPT)
    await lose_writes(drilled)
    await drilled.application.stop()
    restored_at = time.monotonic()
    drilled.store.restore(earlier)
    added = await start_second_entry(drilled)
    while time.monotonic() - restored_at < RESTORE_S - 0.5:
        assert await status(added, WITHDRAWN) == 503
        await asyncio.sleep(0.1)
    configure(drilled, KEPT)
    async with asyncio.timeout(RESTORE_S + 2.0):
        while (served := await status(added, KEPT)) != 200:
            assert served == 503
            await asyncio.sleep(0.1)
    assert await status(added, WITHDRAWN) == 401
    assert recalls(added) == [""]


async def test_entry_that_starts_on_a_store_that_never_came_back_asks_nobody(drilled):
    added = await start_second_entry(drilled)
    assert [await status(added, key) for key in (KEPT, WITHDRAWN)] == [200, 200]
    assert recalls(added) == []


async def received_with_key(world: World) -> set[str]:
    """Return the ids of the instances that receive requests with a key."""
    return await receiving_instances(world, extra=key_line(KEPT))
