"""Requests that reach an entry before it has read its records."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from masticdeck.gateway import forwarder
from testing.gateway.world import World, route


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Return an entry whose store has an instance but no configuration yet."""
    async with AsyncExitStack() as stack:
        world = World(stack)
        await world.store.start()
        stack.push_async_callback(world.store.stop)
        await world.add_instance("s1", "s")
        await world.start_entry()
        yield world


async def test_request_waits_for_the_configuration_of_a_starting_entry(world):
    requests = [asyncio.create_task(world.send("/s/a")) for _ in range(3)]
    await asyncio.sleep(0.1)
    world.configure(route("/s/", "safe", "s"))
    responses = await asyncio.gather(*requests)
    assert [response.status for response in responses] == [200] * 3


async def test_request_without_a_configuration_is_refused_in_time(world):
    started_at = asyncio.get_running_loop().time()
    response = await world.send("/s/a", remaining_ms=800)
    waited_s = asyncio.get_running_loop().time() - started_at
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert waited_s < 0.8 * forwarder.MAX_CONFIGURATION_WAIT_FRACTION + 0.3


async def test_entry_that_gets_no_configuration_refuses_at_once(world, monkeypatch):
    monkeypatch.setattr(world.gateway.forwarder, "awaits_configuration_until", 0.0)
    started_at = asyncio.get_running_loop().time()
    assert (await world.send("/s/a")).status == 503
    assert asyncio.get_running_loop().time() - started_at < 0.3


async def test_caller_that_leaves_while_it_waits_is_not_served(world):
    _reader, writer = await world.connect()
    writer.write(world.request_bytes("/s/a"))
    await asyncio.sleep(0.1)
    writer.close()
    await asyncio.sleep(0.1)
    world.configure(route("/s/", "safe", "s"))
    await world.settle()
    await asyncio.sleep(0.2)
    assert not world.instances["s1"].requests
