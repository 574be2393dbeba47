"""Kept connections to instances, and those that an instance has dropped."""

from __future__ import annotations

import asyncio

import pytest

from masticdeck.transport import instance_pool
from testing.gateway.test_forward import received, set_all
from testing.platform.standin_instance import answer_well


async def drop_when_asked_again(instance, request, writer):
    """Answer the first request of each connection, and reset the second."""
    if getattr(writer, "used", False):
        instance.requests.remove(request)
        writer.transport.abort()
        raise ConnectionResetError
    writer.used = True
    await answer_well(instance, request, writer)


async def test_safe_request_on_a_dropped_connection_is_sent_again(world):
    set_all(world, drop_when_asked_again)
    statuses = [(await world.ask("/s/a")).status for _ in range(4)]
    assert statuses == [200] * 4


async def test_connection_is_kept_for_the_next_request(world):
    for _ in range(4):
        assert (await world.ask("/s/a")).status == 200
    assert world.gateway.pool.opened <= 2


@pytest.mark.parametrize(
    ("target", "method", "opened"),
    [("/s/a", "GET", 0), ("/u/a", "POST", 1)],
    ids=["safe", "unsafe"],
)
async def test_unsafe_request_takes_no_connection_that_was_idle_for_long(
    world, monkeypatch, target, method, opened
):
    for name in ("s2", "u2"):
        world.store.remove(f"servers/{name}")
    await world.settle()
    monkeypatch.setattr(instance_pool, "UNSAFE_IDLE_S", 0.1)
    await world.ask(target, method=method, body=b"x")
    before = world.gateway.pool.opened
    await asyncio.sleep(0.2)
    assert (await world.ask(target, method=method, body=b"x")).status == 200
    assert world.gateway.pool.opened - before == opened
    assert len(received(world)) == 2
