"""Reuse of connections to instances, also of those that an instance has dropped."""

from __future__ import annotations

import asyncio
import time

import pytest

from masticdeck.transport import instance_pool
from testing.gateway.test_forward import received_requests, set_all_actions
from testing.platform.standin_instance import answer_well


async def reset_second_request(instance, request, writer):
    """Respond to the first request of each connection and reset the second."""
    if getattr(writer, "used", False):
        instance.requests.remove(request)
        writer.transport.abort()
        raise ConnectionResetError
    writer.used = True
    await answer_well(instance, request, writer)


async def test_safe_request_on_a_dropped_connection_is_sent_again(world):
    set_all_actions(world, reset_second_request)
    statuses = [(await world.send("/s/a")).status for _ in range(4)]
    assert statuses == [200] * 4


async def test_connection_is_reused_for_the_next_request(world):
    for _ in range(4):
        assert (await world.send("/s/a")).status == 200
    assert world.gateway.pool.opened <= 2


@pytest.mark.parametrize(
    ("target", "method", "opened"),
    [("/s/a", "GET", 0), ("/u/a", "POST", 1)],
    ids=["safe", "unsafe"],
)
async def test_unsafe_request_is_not_sent_on_a_connection_idle_for_long(
    world, monkeypatch, target, method, opened
):
    """The instance may have dropped it, and an unsafe request is not retried."""
    for name in ("s2", "u2"):
        world.store.remove(f"servers/{name}")
    await world.settle()
    monkeypatch.setattr(instance_pool, "UNSAFE_IDLE_S", 0.1)
    await world.send(target, method=method, body=b"x")
    opened_before = world.gateway.pool.opened
    await asyncio.sleep(0.2)
    assert (await world.send(target, method=method, body=b"x")).status == 200
    assert world.gateway.pool.opened - opened_before == opened
    assert len(received_requests(world)) == 2


@pytest.mark.parametrize(
    ("target", "method"), [("/s/a", "GET"), ("/u/a", "POST")], ids=["safe", "unsafe"]
)
async def test_request_whose_deadline_passed_in_a_pause_is_not_sent(
    world, monkeypatch, target, method
):
    """Guards against a pause of the process after an instance was chosen.

    The event loop cannot end the attempt before the request is written: no other
    callback runs between the end of the pause and that step.
    """
    open_connection = world.gateway.pool.open

    async def pause_after_opening(instance):
        connection = await open_connection(instance)
        time.sleep(0.5)  # noqa: ASYNC251
        return connection

    monkeypatch.setattr(world.gateway.pool, "open", pause_after_opening)
    response = await world.send(target, method=method, body=b"x", remaining_ms=300)
    assert response.status == 503
    assert not received_requests(world)
