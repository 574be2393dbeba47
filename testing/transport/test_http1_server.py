"""Tests of the callers' server: pauses of the process, and requests under way."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator

import pytest

from masticdeck.clock import boottime
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.http1_server import (
    MAX_TICK_DELAY_S,
    RESUME_S,
    TICK_S,
    CallerServer,
    InboundRequest,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
WAIT_S = 5.0
PAUSE_S = MAX_TICK_DELAY_S + 0.7


class Handler:
    """Answers every request and records how old it was."""

    def __init__(self) -> None:
        self.ages_s: list[float] = []

    async def __call__(self, request: InboundRequest) -> None:
        self.ages_s.append(boottime() - request.received_at)
        request.connection.send_whole(200, [], b"")


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
async def server(handler) -> AsyncIterator[CallerServer]:
    limits = CallerLimits(header_timeout_s=PAUSE_S)
    server = CallerServer("127.0.0.1", 0, handler, lambda: limits)
    await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def caller(server) -> AsyncIterator[socket.socket]:
    with socket.create_connection(("127.0.0.1", server.port)) as caller:
        caller.setblocking(False)
        async with asyncio.timeout(WAIT_S):
            while not server.connections:
                await asyncio.sleep(0.01)
        yield caller


async def receive(caller: socket.socket) -> bytes:
    async with asyncio.timeout(WAIT_S):
        return await asyncio.get_running_loop().sock_recv(caller, 4096)


async def test_request_that_arrived_during_a_pause_counts_as_that_old(caller, handler):
    """Guards against a run for a caller whose deadline passed during the pause."""
    caller.send(REQUEST)
    time.sleep(PAUSE_S)  # noqa: ASYNC251
    assert await receive(caller)
    assert handler.ages_s[0] >= PAUSE_S


async def test_request_read_just_after_the_first_check_counts_from_the_pause(
    caller, handler, server
):
    """A loop that runs timers before it reads sockets checks before it reads."""
    caller.send(REQUEST)
    now = boottime()
    server.ticked_at = now - PAUSE_S
    server.record_tick(now)
    assert await receive(caller)
    assert handler.ages_s[0] >= PAUSE_S


async def test_request_after_a_pause_counts_from_its_arrival(caller, handler, server):
    time.sleep(PAUSE_S)  # noqa: ASYNC251
    paused_until = boottime()
    async with asyncio.timeout(WAIT_S):
        while server.ticked_at < paused_until:
            await asyncio.sleep(0.01)
    await asyncio.sleep(2 * RESUME_S)
    caller.send(REQUEST)
    assert await receive(caller)
    assert handler.ages_s[0] < PAUSE_S / 2


async def test_short_delay_of_the_loop_does_not_age_a_request(caller, handler):
    await asyncio.sleep(0.05)
    caller.send(REQUEST)
    time.sleep(0.1)  # noqa: ASYNC251
    assert await receive(caller)
    assert handler.ages_s[0] < 0.1


async def test_head_that_arrives_in_parts_after_a_pause_is_not_rejected(
    caller, handler
):
    caller.send(REQUEST[:10])
    time.sleep(PAUSE_S)  # noqa: ASYNC251
    await asyncio.sleep(TICK_S + 0.1)
    caller.send(REQUEST[10:])
    assert (await receive(caller)).startswith(b"HTTP/1.1 200")
    assert handler.ages_s[0] >= PAUSE_S


async def test_request_counts_as_in_flight_as_soon_as_it_is_read(caller, server):
    """Guards against a stop that ends between reading a request and its handler."""
    [connection] = server.connections
    connection.data_received(REQUEST)
    assert server.in_flight == 1
    assert await receive(caller)
    assert server.in_flight == 0


async def test_request_whose_head_arrives_in_parts_counts_as_in_flight(caller, server):
    [connection] = server.connections
    connection.data_received(REQUEST[:10])
    assert server.in_flight == 1
    server.close_idle_connections()
    connection.data_received(REQUEST[10:])
    assert (await receive(caller)).startswith(b"HTTP/1.1 200")


async def test_requests_of_a_caller_that_left_are_not_in_flight(caller, server):
    [connection] = server.connections
    connection.data_received(2 * REQUEST)
    caller.close()
    async with asyncio.timeout(WAIT_S):
        while server.connections:
            await asyncio.sleep(0.01)
    assert server.in_flight == 0


async def test_idle_connection_is_closed_without_reading_on(caller, server, handler):
    caller.send(REQUEST)
    server.close_idle_connections()
    async with asyncio.timeout(WAIT_S):
        while server.connections:
            await asyncio.sleep(0.01)
    assert not handler.ages_s
