"""The account of callers' memory, without a network and on connections."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc
from collections.abc import AsyncIterator

import pytest

from masticdeck.clock import boottime
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.caller_memory import (
    Action,
    CallerMemory,
    Holding,
    MemoryDecision,
    MemoryLimits,
)
from masticdeck.transport.http1_server import (
    CallerConnection,
    CallerServer,
    InboundRequest,
)

MIB = 1_048_576
ORDINARY_BYTES = 3_000
FLOOD_BYTES = 725_000
"""What a request of 16 KB with 4,095 header lines is charged."""

WAIT_S = 5.0


class Account:
    """An account with its decisions, and connections that are closed by it."""

    def __init__(self) -> None:
        self.decisions: list[MemoryDecision] = []
        self.memory = CallerMemory(on_decision=self.decisions.append)
        self.closed: list[Holding] = []

    def holding(self) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(self.memory, close=lambda: self.closed.append(holding))
        return holding


@pytest.fixture
def account() -> Account:
    return Account()


class TestDecisions:
    """Which connection is refused or closed when the account is nearly full."""

    def test_largest_request_inside_the_limits_has_room(self, account):
        holding = account.holding()
        assert holding.add_head(FLOOD_BYTES)
        assert holding.add_body(CallerLimits().max_body_bytes)
        assert not account.decisions

    def test_ordinary_requests_have_room_beside_a_flood(self, account):
        """Guards against a crowd that takes the room of all other callers."""
        for _ in range(1_000):
            account.holding().add_head(FLOOD_BYTES)
        ordinary = [account.holding() for _ in range(2_000)]
        assert all(one.add_head(ORDINARY_BYTES) for one in ordinary)
        assert not set(ordinary) & set(account.closed)
        assert account.memory.held_bytes <= account.memory.limits.total_bytes

    def test_ordinary_requests_have_room_beside_many_small_hogs(self, account):
        """Guards against a crowd that fills the reserve, each within its share."""
        for _ in range(5_000):
            account.holding().add_head(account.memory.limits.share_bytes)
        ordinary = [account.holding() for _ in range(2_000)]
        assert all(one.add_head(ORDINARY_BYTES) for one in ordinary)
        assert not set(ordinary) & set(account.closed)
        assert account.memory.held_bytes <= account.memory.limits.total_bytes

    def test_upload_has_room_beside_a_flood_of_heads(self, account):
        for _ in range(1_000):
            account.holding().add_head(FLOOD_BYTES)
        assert account.holding().add_body(16 * MIB)

    def test_flood_does_not_close_an_upload(self, account):
        upload = account.holding()
        assert upload.add_head(ORDINARY_BYTES)
        assert upload.add_body(60 * MIB)
        for _ in range(1_000):
            account.holding().add_head(FLOOD_BYTES)
        assert upload not in account.closed
        assert upload.body_bytes == 60 * MIB

    @pytest.mark.parametrize("charge", [Holding.add_head, Holding.set_unsent])
    def test_connection_that_asks_for_more_than_others_hold_is_refused(
        self, account, charge
    ):
        """Guards against a crowd whose members close each other in turn."""
        while charge(account.holding(), FLOOD_BYTES):
            pass
        assert not account.closed
        assert [one.action for one in account.decisions] == [Action.REFUSED]

    def test_heads_that_grow_do_not_close_each_other(self, account):
        """Guards against a crowd that replaces itself before memory is freed."""
        for _ in range(1_000):
            holding = account.holding()
            while holding.head_bytes < FLOOD_BYTES and holding.add_head(4_096):
                pass
        assert not account.closed

    def test_largest_unread_answer_is_closed_first(self, account):
        sizes = [2 * MIB, 40 * MIB, 30 * MIB]
        slow = [account.holding() for _ in sizes]
        for holding, size in zip(slow, sizes, strict=True):
            assert holding.set_unsent(size)
        assert account.holding().add_body(10 * MIB)
        assert account.closed == [slow[1]]
        [decision] = account.decisions
        assert decision.action is Action.CLOSED
        assert (decision.unsent_bytes, decision.asked_bytes) == (40 * MIB, 10 * MIB)

    def test_connections_that_end_leave_nothing(self, account):
        holdings = [account.holding() for _ in range(10)]
        for holding in holdings:
            holding.add_head(FLOOD_BYTES)
            holding.add_body(1_000)
            holding.set_unsent(2_000)
            holding.end()
            holding.release_head(FLOOD_BYTES)
        assert account.memory.held_bytes == 0
        assert not account.memory.holdings


class Handler:
    """Holds every request until it is released, then answers it."""

    def __init__(self) -> None:
        self.requests: list[InboundRequest] = []
        self.release = asyncio.Event()

    async def __call__(self, request: InboundRequest) -> None:
        self.requests.append(request)
        await self.release.wait()
        request.connection.send_whole(200, [], b"")


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
async def server(handler) -> AsyncIterator[CallerServer]:
    limits = CallerLimits(header_timeout_s=30.0)
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


@pytest.fixture
def connection(server, caller) -> CallerConnection:
    [connection] = server.connections
    return connection


async def receive(caller: socket.socket) -> bytes:
    async with asyncio.timeout(WAIT_S):
        return await asyncio.get_running_loop().sock_recv(caller, 65_536)


def render_request(line: bytes, count: int, *, end: bytes = b"\r\n") -> bytes:
    """Return a request with a line many times."""
    return b"GET / HTTP/1.1\r\nHost: a\r\n" + (line + b"\r\n") * count + end


LINES = {
    "short": (b"a:", 4_080),
    "repeated names": (b"Accept:b", 1_600),
    "repeated hosts": (b"Host:b", 2_000),
    "repeated framing": (b"TE:a", 2_700),
}


@pytest.mark.parametrize("name", LINES)
async def test_single_request_with_many_lines_is_served(
    caller, server, handler, connection, name
):
    line, count = LINES[name]
    caller.send(render_request(line, count))
    handler.release.set()
    assert (await receive(caller)).startswith(b"HTTP/1.1 200")
    assert len(handler.requests[0].headers) == count + 1
    assert server.memory.held_bytes == 0


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(render_request(b":b", 3), id="empty names"),
        pytest.param(render_request(b"a: b\r\n c", 3), id="obsolete folding"),
        pytest.param(
            render_request(b"Content-Length: 1\r\nContent-Length: 2", 1),
            id="two lengths",
        ),
        pytest.param(
            render_request(b"Content-Length: 1\r\nTransfer-Encoding: chunked", 1),
            id="length and chunks",
        ),
    ],
)
async def test_odd_lines_are_rejected_and_nothing_is_held(
    caller, server, handler, connection, data
):
    caller.send(data)
    assert (await receive(caller)).startswith(b"HTTP/1.1 400")
    assert not handler.requests
    assert server.memory.held_bytes == 0


@pytest.mark.parametrize("step", [1, 7, 5_000])
async def test_head_is_charged_while_it_is_read(server, handler, connection, step):
    """Guards against a bound that applies to whole requests only."""
    data = render_request(b"a:", 1_000, end=b"")
    for start in range(0, len(data), step):
        connection.data_received(data[start : start + step])
    assert server.memory.held_bytes > len(data) + 1_000 * 64
    connection.reject(431)
    assert server.memory.held_bytes == 0


async def test_line_without_end_is_charged(server, connection):
    connection.data_received(b"GET / HTTP/1.1\r\nHost: a\r\na: " + b"b" * 8_000)
    assert server.memory.held_bytes >= 8_000


async def test_trailers_are_charged_while_they_are_read(server, connection):
    connection.data_received(
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\na\r\n0\r\n"
    )
    before = server.memory.held_bytes
    connection.data_received(b"a:\r\n" * 1_000)
    assert server.memory.held_bytes >= before + 4_000


async def test_requests_read_ahead_are_bounded_and_all_answered(
    caller, server, handler, connection
):
    """Guards against many large heads that wait on one connection."""
    data = render_request(b"a:", 4_000)
    sending = asyncio.create_task(
        asyncio.get_running_loop().sock_sendall(caller, 8 * data)
    )
    async with asyncio.timeout(WAIT_S):
        while not (handler.requests and connection.waiting):
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    assert len(connection.waiting) == 1
    assert server.memory.held_bytes < 3 * FLOOD_BYTES
    handler.release.set()
    answers = b""
    while answers.count(b"HTTP/1.1 200") < 8:
        answers += await receive(caller)
    await sending
    assert server.memory.held_bytes == 0


async def test_memory_that_is_held_is_not_above_the_charge(server, connection):
    """Guards against objects that the account does not know."""
    data = render_request(b"ab:cde", 1_500, end=b"")
    tracemalloc.start()
    connection.data_received(data)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= server.memory.held_bytes


async def test_request_without_room_gets_503_and_does_not_run(
    caller, server, handler, connection
):
    server.memory.limits = MemoryLimits(total_bytes=50_000, share_bytes=10_000)
    caller.send(render_request(b"a:", 1_000))
    answer = await receive(caller)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: " in answer
    assert not handler.requests
    assert server.memory.held_bytes == 0


async def test_caller_that_reads_nothing_gets_no_further_answers(
    caller, server, handler, connection
):
    """Guards against answers to pipelined requests that collect in the process."""
    handler.release.set()
    connection.pause_writing()
    caller.send(3 * render_request(b"a:b", 1))
    async with asyncio.timeout(WAIT_S):
        while len(connection.waiting) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    assert len(handler.requests) == 1
    connection.resume_writing()
    answers = b""
    while answers.count(b"HTTP/1.1 200") < 3:
        answers += await receive(caller)


async def test_answer_that_is_unread_for_the_idle_time_is_reset(
    caller, server, handler, connection
):
    connection.write(b"x" * 10_000_000)
    await asyncio.sleep(0.2)
    connection.check_time(boottime())
    assert connection.holding.unsent_bytes
    progressed_at = connection.ending.delivery.progressed_at
    idle_until = progressed_at + server.limits().idle_timeout_s
    connection.check_time(idle_until - 1)
    assert not connection.transport.is_closing()
    connection.check_time(idle_until + 1)
    assert connection.transport.is_closing()
