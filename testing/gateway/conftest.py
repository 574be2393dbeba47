"""Fixture of a gateway entry with stand-ins of the store and the instances."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from testing.gateway.world import World, route


@pytest.fixture
async def world() -> AsyncIterator[World]:
    """Return an entry with two services, ``s`` and ``u``, of two instances each."""
    async with AsyncExitStack() as stack:
        world = World(stack)
        await world.store.start()
        stack.push_async_callback(world.store.stop)
        world.configure(route("/s/", "safe", "s"), route("/u/", "unsafe", "u"))
        for name in ("s1", "s2"):
            await world.add_instance(name, "s")
        for name in ("u1", "u2"):
            await world.add_instance(name, "u")
        await world.start_entry()
        await world.settle()
        yield world
