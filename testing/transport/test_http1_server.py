"""Tests of the callers' server: pauses of the process, and requests under way."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
import tracemalloc
from collections.abc import AsyncIterator

import pytest

from masticdeck.clock import boottime
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.connection_end import ending
from masticdeck.transport.connection_end.states import ConnectionEvent
from masticdeck.transport.http1_server import (
    MAX_READ_AHEAD,
    MAX_TICK_DELAY_S,
    RESUME_S,
    TICK_S,
    CallerServer,
    InboundRequest,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
WAIT_S = 5.0
PAUSE_S = MAX_TICK_DELAY_S + 0.7


class Handler:
    """Answers every request and records its body and how old it was."""

    def __init__(self) -> None:
        self.ages_s: list[float] = []
        self.bodies: list[bytes] = []

    async def __call__(self, request: InboundRequest) -> None:
        self.ages_s.append(boottime() - request.received_at)
        self.bodies.append(request.body)
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


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"0\r\nA: ", b"x" * 48_000, id="one trailer"),
        pytest.param(b"0\r\n", b"A: b\r\n" * 8_000, id="many trailers"),
        pytest.param(b"5;a=", b"x" * 48_000, id="chunk extension"),
    ],
)
async def test_framing_without_end_is_rejected_within_a_bound(
    caller, server, handler, start, piece
):
    """Guards against a process that runs out of memory over an endless trailer."""
    [connection] = server.connections
    connection.data_received(CHUNKED_REQUEST + b"3\r\nabc\r\n" + start)
    accepted_bytes = 0
    most_bytes = 100 * server.limits().max_header_bytes
    while not connection.discarding and accepted_bytes < most_bytes:
        connection.data_received(piece)
        accepted_bytes += len(piece)
    assert accepted_bytes <= server.limits().max_header_bytes + len(piece)
    assert (await receive(caller)).startswith(b"HTTP/1.1 431")
    assert not handler.ages_s
    assert not server.body_bytes


async def test_short_chunks_and_trailers_do_not_exhaust_the_bound(
    caller, server, handler
):
    """The bound applies between two parts of a body, not to the whole request."""
    chunk = b"1;extension=" + b"x" * 50 + b"\r\na\r\n"
    count = 2 * server.limits().max_header_bytes // len(chunk)
    caller.send(CHUNKED_REQUEST + chunk * count + b"0\r\nA: b\r\n\r\n")
    assert (await receive(caller)).startswith(b"HTTP/1.1 200")
    assert handler.bodies == [b"a" * count]


class TestUpgradeOffers:
    """An offer of another protocol is ignored, as RFC 9110 section 7.8 allows.

    They guard against a request that runs without its body, and against an answer for
    which no request waits.
    """

    OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    CHUNKS = b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"

    def request(self, body: bytes, *fields: bytes, method: bytes = b"POST") -> bytes:
        head = b"%b /a HTTP/1.1\r\nHost: a\r\n%b" % (method, self.OFFER)
        return head + b"".join(one + b"\r\n" for one in fields) + b"\r\n" + body

    @pytest.mark.parametrize("step", [1, 7, 10_000])
    @pytest.mark.parametrize(
        ("fields", "sent", "body"),
        [
            pytest.param([b"Content-Length: 4"], b"body", b"body", id="length"),
            pytest.param([b"Transfer-Encoding: chunked"], CHUNKS, b"body", id="chunks"),
            pytest.param([], b"", b"", id="no body"),
        ],
    )
    async def test_request_is_read_whole_and_answered_once(
        self, caller, server, handler, fields, sent, body, step
    ):
        [connection] = server.connections
        data = self.request(sent, *fields) + REQUEST + self.request(sent, *fields)
        for start in range(0, len(data), step):
            connection.data_received(data[start : start + step])
        answers = b""
        while answers.count(b"HTTP/1.1 200") < 3:
            part = await receive(caller)
            assert part, f"the connection ended after {answers!r}"
            answers += part
        assert answers.count(b"HTTP/1.1") == 3
        assert handler.bodies == [body, b"", body]
        assert not server.body_bytes

    async def test_body_over_the_limit_is_rejected(self, caller, server, handler):
        length = server.limits().max_body_bytes + 1
        caller.send(self.request(b"", b"Content-Length: %d" % length))
        assert (await receive(caller)).startswith(b"HTTP/1.1 413")
        assert not handler.bodies

    async def test_body_is_asked_for_once(self, caller, handler):
        caller.send(self.request(b"", b"Expect: 100-continue", b"Content-Length: 4"))
        assert await receive(caller) == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.send(b"body")
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")
        assert handler.bodies == [b"body"]

    async def test_request_counts_from_its_first_byte(self, caller, server, handler):
        [connection] = server.connections
        data = self.request(b"body", b"Content-Length: 4")
        connection.data_received(data[:20])
        first_byte_at = boottime()
        await asyncio.sleep(0.2)
        waited_s = boottime() - first_byte_at
        connection.data_received(data[20:])
        assert await receive(caller)
        assert handler.ages_s[0] >= waited_s

    async def test_ambiguous_length_is_rejected(self, caller, handler):
        fields = b"Content-Length: 4", b"Transfer-Encoding: chunked"
        caller.send(self.request(self.CHUNKS, *fields))
        assert (await receive(caller)).startswith(b"HTTP/1.1 400")
        assert not handler.bodies

    async def test_tunnel_is_rejected_without_running(self, caller, handler):
        caller.send(b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nbytes of the tunnel")
        answer = await receive(caller)
        assert answer.startswith(b"HTTP/1.1 400")
        assert answer.count(b"HTTP/1.1") == 1
        assert not handler.bodies


class TestOrder:
    """Bytes of one answer at a time, and every answer whole to its end."""

    POST = (
        b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

    @pytest.fixture
    def gate(self, server, handler) -> asyncio.Event:
        """Return what ends the wait in the middle of each answer to a GET."""
        gate = asyncio.Event()

        async def answer(request: InboundRequest) -> None:
            if request.method != b"GET":
                await handler(request)
                return
            request.connection.start_stream(200, [], length=8)
            await request.connection.send_part(b"half")
            await gate.wait()
            await request.connection.send_part(b"rest")
            request.connection.end_stream()

        server.handler = answer
        return gate

    async def test_interim_answer_waits_for_the_answer_before_it(self, caller, gate):
        """Guards against an interim answer within the body of another one."""
        caller.send(REQUEST)
        assert (await receive(caller)).endswith(b"half")
        caller.send(self.POST)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await asyncio.get_running_loop().sock_recv(caller, 4096)
        gate.set()
        received = b""
        while not received.endswith(self.INTERIM):
            received += await receive(caller)
        assert received == b"rest" + self.INTERIM
        caller.send(b"body")
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")

    async def test_body_that_comes_unasked_needs_no_interim_answer(self, caller, gate):
        caller.send(REQUEST + self.POST + b"body")
        gate.set()
        received = b""
        while received.count(b"HTTP/1.1 200") < 2:
            received += await receive(caller)
        assert self.INTERIM not in received

    async def test_answer_is_not_reset_by_requests_that_follow_it(
        self, caller, server, gate
    ):
        """Guards against a close of a socket with unread requests, which resets it."""
        caller.send(REQUEST)
        assert (await receive(caller)).endswith(b"half")
        server.begin_close()
        [connection] = server.connections
        connection.ending.take(ConnectionEvent.LAST_ANSWER_BEGUN)
        for _ in range(20):
            caller.send(REQUEST)
            await asyncio.sleep(0.005)
        gate.set()
        await asyncio.sleep(0.05)
        for _ in range(20):
            caller.send(REQUEST)
            await asyncio.sleep(0.005)
        assert await receive(caller) == b"rest"
        assert await receive(caller) == b""
        assert server.in_flight == 1
        caller.close()
        async with asyncio.timeout(1):
            while server.connections:
                await asyncio.sleep(0.01)
        assert server.in_flight == 0

    async def test_caller_that_does_not_close_is_closed_after_a_while(
        self, caller, server, handler, monkeypatch
    ):
        monkeypatch.setattr(ending, "LINGER_S", 0.2)
        caller.send(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")
        assert await receive(caller) == b""
        async with asyncio.timeout(1):
            while server.connections:
                await asyncio.sleep(0.01)


LARGE_REQUEST = REQUEST[:-2] + b"Cookie: " + b"c" * 8_000 + b"\r\n\r\n"


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize(
    "requests",
    [
        pytest.param(REQUEST * (MAX_READ_AHEAD + 8), id="many"),
        pytest.param(LARGE_REQUEST * 12, id="large"),
    ],
)
async def test_caller_that_leaves_while_many_requests_wait_is_not_served(
    caller, server, requests, resets
):
    """Guards against requests that reach instances long after their caller left."""
    begun: list[InboundRequest] = []
    cancelled_at: list[float] = []

    async def answer(request: InboundRequest) -> None:
        begun.append(request)
        try:
            await asyncio.sleep(0.3)
        except asyncio.CancelledError:
            cancelled_at.append(time.monotonic())
            raise
        request.connection.send_whole(200, [], b"")

    server.handler = answer
    await asyncio.get_running_loop().sock_sendall(caller, requests)
    await asyncio.sleep(0.1)
    [connection] = server.connections
    assert connection.is_ahead()
    if resets:
        linger = struct.pack("ii", 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    left_at = time.monotonic()
    caller.close()
    await asyncio.sleep(0.5)
    assert len(begun) == len(cancelled_at) == 1
    assert cancelled_at[0] - left_at < 0.1
    assert not server.connections


async def test_requests_that_waited_are_served_before_the_caller_leaves(
    caller, handler
):
    count = 3 * MAX_READ_AHEAD
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, REQUEST * count)
    received = b""
    while received.count(b"HTTP/1.1 200") < count:
        received += await receive(caller)
    assert len(handler.bodies) == count


async def test_upload_in_tiny_chunks_takes_no_more_memory_than_its_bytes(
    caller, server, handler
):
    """Guards against a process that runs out of memory over objects for chunks."""
    [connection] = server.connections
    connection.data_received(CHUNKED_REQUEST)
    chunks = b"2\r\nab\r\n" * 5_000
    count = 40
    tracemalloc.start()
    for _ in range(count):
        connection.data_received(chunks)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    size = count * 5_000 * 2
    assert server.body_bytes == size
    assert held < 2 * size
    caller.send(b"0\r\n\r\n")
    assert (await receive(caller)).startswith(b"HTTP/1.1 200")
    assert handler.bodies == [b"ab" * (size // 2)]
    assert not server.body_bytes
