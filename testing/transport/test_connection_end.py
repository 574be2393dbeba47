"""How callers' connections end: all orders of events, and slow callers."""

from __future__ import annotations

import asyncio
import itertools
import re
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from types import SimpleNamespace

import pytest
from aiohttp import web

from masticdeck.clock import boottime
from masticdeck.entry.connections import CallerServer as EntryCallerServer
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.connection_end import delivery, ending
from masticdeck.transport.connection_end.states import (
    ENDING_STATES,
    TRANSITIONS,
    Action,
    ConnectionEvent,
    ConnectionLife,
    ConnectionState,
)
from masticdeck.transport.http1_server import CallerServer, InboundRequest

PAGE = Path(__file__).parents[2] / "docs/design/connection-end.md"
BODY_BYTES = 1_500_000
RECEIVE_BUFFER_BYTES = 32_768
LIMIT_S = 10.0

# Events after which an answer need not arrive whole: its caller is gone or takes no
# bytes, or the process cannot go on.
EXCUSES = {
    ConnectionEvent.CALLER_LEFT,
    ConnectionEvent.STALLED,
    ConnectionEvent.MEMORY_SHORT,
    ConnectionEvent.PROCESS_ENDS,
    ConnectionEvent.LINGER_TIME_OVER,
}


class World:
    """A connection, what was written to it, and what the caller has of that.

    Events that the socket tells are only played when it could tell them.
    """

    def __init__(self) -> None:
        self.life = ConnectionLife()
        self.held = self.kernel = 0
        self.is_broken = False
        self.is_excused = False

    def may_happen(self, event: ConnectionEvent) -> bool:
        """Return whether the socket or the server may tell of an event now."""
        if event is ConnectionEvent.IDLE:
            return not self.held + self.kernel
        if event is ConnectionEvent.FLUSHED:
            return not self.held
        if event is ConnectionEvent.DELIVERED:
            return not self.held + self.kernel
        return True

    def play(self, step: ConnectionEvent | str) -> None:
        """Play an event, or ``write``, ``take`` or ``read`` of some bytes."""
        if step == "write":
            self.held += self.life.may_write
        elif step == "take":
            self.held, self.kernel = 0, self.kernel + self.held
        elif step == "read":
            self.kernel = 0
        elif isinstance(step, ConnectionEvent) and self.may_happen(step):
            self.take(step)

    def take(self, event: ConnectionEvent) -> None:
        """Apply an event, and check what its action does to whole answers."""
        was = self.life.state
        self.is_broken |= event is ConnectionEvent.ANSWER_BROKEN and self.life.may_write
        self.is_excused |= event in EXCUSES
        action = self.life.apply(event)
        undelivered = self.held + self.kernel
        if action in (Action.CLOSE, Action.ABORT, Action.RESET):
            assert not undelivered or self.is_excused, (was, event)
            assert self.life.state is ConnectionState.CLOSED
        if action is Action.END_SENDING:
            assert not self.held or self.is_excused
            assert not self.is_broken, "a cut answer ended in an orderly way"
        if was is ConnectionState.CLOSED:
            assert self.life.state is was
            assert action is Action.NONE
        if was in ENDING_STATES:
            assert not self.life.may_write


def test_no_order_of_events_loses_an_answer_or_sends_behind_the_last_one():
    """Plays all orders of four events, writes and reads behind a first write."""
    steps = ["write", "take", "read", *ConnectionEvent]
    for order in itertools.product(steps, repeat=4):
        world = World()
        for step in ("write", *order, "take", "read"):
            world.play(step)


@pytest.mark.parametrize("state", ConnectionState)
def test_every_state_ends_when_its_caller_leaves_or_the_process_ends(state):
    """Guards against a connection that nothing ends any more."""
    life = ConnectionLife()
    for event in (
        ConnectionEvent.CALLER_LEFT,
        ConnectionEvent.MEMORY_SHORT,
    ):
        life.state = state
        life.apply(event)
        assert life.state is ConnectionState.CLOSED


def test_page_has_the_table_of_transitions():
    rows = re.findall(
        r"^\| (.+?) \| (.+?) \| (.+?) \| (.+?) \|$", PAGE.read_text(), re.M
    )
    states = {state.value for state in ConnectionState}
    written = {row for row in rows if row[0] in states and row[2] in states}
    assert written == {
        (state.value, event.value, following.value, action.value)
        for (state, event), (following, action) in TRANSITIONS.items()
    }


class SlowCaller:
    """Reads slowly, and sends on meanwhile."""

    def __init__(self, port: int) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.received = b""
        self.error: OSError | None = None

    async def send(self, target: str, fields: str = "") -> None:
        head = f"GET /{target} HTTP/1.1\r\nHost: a\r\n{fields}\r\n"
        try:
            await asyncio.get_running_loop().sock_sendall(self.socket, head.encode())
        except OSError as error:
            self.error = error

    async def read(self, size: float = float("inf"), pause_s: float = 0.001) -> None:
        """Read some bytes, or until the end of the connection."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LIMIT_S):
                while len(self.received) < size:
                    part = await loop.sock_recv(self.socket, 20_000)
                    if not part:
                        return
                    self.received += part
                    await asyncio.sleep(pause_s)
        except OSError as error:
            self.error = error

    def answers(self) -> list[tuple[int, int]]:
        """Return the stated and the received length of each answer."""
        found, rest = [], self.received
        while b"\r\n\r\n" in rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            found.append((length, len(rest[:length])))
            rest = rest[length:]
        return found


async def answer(request: InboundRequest) -> None:
    """Answer with a large body, and break off on request."""
    connection = request.connection
    if request.target == b"/broken":
        connection.start_stream(200, [], length=100)
        await connection.send_part(b"part")
        connection.cut()
    else:
        body = b"x" * (BODY_BYTES if request.target == b"/large" else 10)
        connection.send_whole(200, [], body)


@pytest.fixture
async def server() -> AsyncIterator[CallerServer]:
    limits = CallerLimits(idle_timeout_s=LIMIT_S)
    server = CallerServer("127.0.0.1", 0, answer, lambda: limits)
    await server.start()
    yield server
    await server.stop()


async def until_taken(server: CallerServer) -> None:
    """Wait until the process holds nothing of the answers, and the kernel does."""
    async with asyncio.timeout(LIMIT_S):
        while any(one.transport.get_write_buffer_size() for one in server.connections):
            await asyncio.sleep(0.01)
    assert server.in_flight == 1


async def stop(server: CallerServer, caller: SlowCaller) -> None:
    server.begin_close()


async def end_of_idle_time(server: CallerServer, caller: SlowCaller) -> None:
    for connection in list(server.connections):
        connection.active_at = boottime() - 2 * LIMIT_S
        connection.check_time(boottime())


async def end_of_process(server: CallerServer, caller: SlowCaller) -> None:
    await server.stop()


async def last_request(server: CallerServer, caller: SlowCaller) -> None:
    await caller.send("small", "Connection: close\r\n")


async def rejected_request(server: CallerServer, caller: SlowCaller) -> None:
    await caller.send("small", f"Cookie: {'c' * 70_000}\r\n")


async def broken_answer(server: CallerServer, caller: SlowCaller) -> None:
    await caller.send("broken")


WAYS: list[Callable] = [
    stop,
    end_of_idle_time,
    end_of_process,
    last_request,
    rejected_request,
    broken_answer,
]


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
async def test_answer_in_the_kernel_reaches_a_slow_caller_that_sends_on(server, way):
    """Guards against a close that resets an answer which is still being read."""
    caller = SlowCaller(server.port)
    caller.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await caller.send("large")
    await caller.read(100_000)
    await drain_process(server)
    await way(server, caller)
    for _ in range(3):
        await asyncio.sleep(0.05)
        if way is end_of_idle_time:
            await last_request(server, caller)
        elif way is not end_of_process:
            await caller.send("small")
    await caller.read()
    assert caller.answers()[0] == (BODY_BYTES, BODY_BYTES)
    assert (caller.error is not None) is (way is broken_answer)
    if way is broken_answer:
        assert caller.answers()[1] == (100, 4)
    caller.socket.close()


async def drain_process(server: CallerServer) -> None:
    """Let the kernel take the whole answer, as with large send buffers."""
    [connection] = server.connections
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * BODY_BYTES)
    await until_taken(server)


async def test_connection_is_closed_without_a_wait_once_all_is_delivered(server):
    """Guards against a stop of idle entries that is slower than before."""
    caller = SlowCaller(server.port)
    await caller.send("small")
    await caller.read(10)
    async with asyncio.timeout(1):
        while server.in_flight:
            await asyncio.sleep(0.005)
    server.begin_close()
    await asyncio.sleep(0.02)
    assert not server.connections


@pytest.mark.parametrize("has_figures", [True, False])
async def test_caller_that_sends_on_is_not_read_without_end(
    server, monkeypatch, has_figures
):
    """Guards against a connection that lasts as long as its caller likes.

    Without figures of the kernel the wait is bounded, too.
    """
    monkeypatch.setattr(ending, "LINGER_S", 0.3)
    if not has_figures:
        monkeypatch.setattr(delivery, "unacknowledged_bytes", lambda _: None)
    caller = SlowCaller(server.port)
    await caller.send("small", "Connection: close\r\n")
    async with asyncio.timeout(2):
        while not server.connections:
            await asyncio.sleep(0.01)
        while server.connections:
            await caller.send("small")
            await asyncio.sleep(0.02)
    await caller.read()
    assert caller.answers() == [(10, 10)]


@pytest.fixture
async def entry_port() -> AsyncIterator[int]:
    """Serve the same answers by the connections of ``masticdeck-entry``."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        protocol.begin(request.content)
        try:
            response = web.Response(body=b"x" * BODY_BYTES)
            response.force_close()
            return response
        finally:
            protocol.end()

    config = SimpleNamespace(header_timeout_s=5, max_header_bytes=8_000, keep_alive_s=5)
    server = EntryCallerServer(handle, config)
    server.departures.start()
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield site._server.sockets[0].getsockname()[1]
    await runner.cleanup()
    server.departures.stop()


async def test_last_answer_of_the_other_program_is_not_reset_by_further_requests(
    entry_port,
):
    caller = SlowCaller(entry_port)
    await caller.send("large")
    await caller.read(100_000)
    for _ in range(40):
        await caller.send("small")
        await caller.read(len(caller.received) + 20_000, pause_s=0.02)
    await caller.read()
    assert caller.answers() == [(BODY_BYTES, BODY_BYTES)]
    assert caller.error is None
    caller.socket.close()
