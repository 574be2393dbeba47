"""Callers' connections: requests are read ahead and answered in order.

The limits of a connection follow the configuration in force, a caller's
leaving cancels the request being handled, and an answer that is cut short
always ends in a reset. aiohttp's server fixes its limits at start and does not
tell a request that was read from one that was not.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast, final

import httptools

from masticdeck.clock import boottime
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.http1 import (
    BODYLESS,
    HeaderList,
    render_head,
    status_line,
)

MAX_READ_AHEAD = 32
"""Requests read ahead on one connection before it stops reading."""

LINGER_S = 3.0
"""How long a caller may take to close after the last answer on a connection.

Bytes that arrive meanwhile are read and dropped: closing a socket with unread bytes
would reset it, and a slow caller would lose the rest of the answer.
"""

MOST_BODY_BYTES = 67_108_864
"""Bytes of bodies being read on all connections; more would exhaust a small VM."""

TICK_S = 0.5
"""Seconds between checks of a connection's time limits."""

MAX_TICK_DELAY_S = 2 * TICK_S
"""Time since the last check after which the process is taken to have been paused."""

RESUME_S = 0.1
"""Time after a pause in which bytes are read that may have arrived during it."""

CLOSING_IDLE_S = 1.0
"""Idle time after which a connection is closed while the server stops."""

BACKLOG = 1024
"""Connections that may wait to be accepted."""


@final
@dataclass(slots=True, eq=False)
class InboundRequest:
    """A request read whole from a caller's connection.

    ``target`` is the path with its query, as sent. ``received_at`` is the boot
    time in seconds at which its first byte arrived, or may have arrived if the
    process was paused.
    """

    connection: CallerConnection
    method: bytes = b""
    target: bytes = b""
    headers: HeaderList = field(default_factory=list)
    body: bytes | bytearray = b""
    received_at: float = 0.0
    keep_alive: bool = True
    reject_status: int = 0


Handler = Callable[[InboundRequest], Awaitable[None]]
Limits = Callable[[], CallerLimits]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.reading: InboundRequest | None = None
        self.reading_since = 0.0
        # One buffer: an object for each chunk would take many times its bytes.
        self.body = bytearray()
        self.held_bytes = 0
        self.head_bytes = 0
        self.framing_bytes = 0
        self.head_done = False
        self.waiting: deque[InboundRequest] = deque()
        self.worker: asyncio.Task[None] | None = None
        self.answering = False
        self.begun = False
        self.chunked = False
        self.last_answer = False
        self.discarding = False
        self.lingering = False
        self.expects_continue = False
        self.closed = False
        self.active_at = boottime()
        self.writable = asyncio.Event()
        self.writable.set()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted socket."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, up to the limits in force."""
        if self.discarding:
            return
        self.active_at = boottime()
        if self.head_done:
            self.framing_bytes += len(data)
        else:
            self.head_bytes += len(data)
        try:
            self.parse(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            self.reject(400)
        long_head = self.head_bytes > self.limits.max_header_bytes
        if long_head and not self.head_done and self.reading is not None:
            self.reject(431)
        # Chunk headers and trailers between two parts of a body, or after the last.
        if self.framing_bytes > self.limits.max_header_bytes:
            self.reject(431)
        if len(self.waiting) >= MAX_READ_AHEAD and self.transport is not None:
            self.transport.pause_reading()

    def parse(self, data: bytes) -> None:
        """Feed the parser, and ignore offers of another protocol."""
        while not self.discarding:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                [head_end] = offer.args
                data = self.head_without_offer() + data[head_end:]

    def head_without_offer(self) -> bytes:
        """Return the head that was just read, without its offer of a protocol.

        The parser ends a message with an offer at its head, and would take the body
        for bytes of the new protocol. A new parser reads the head again.
        """
        request = self.reading
        if request is None or request.method == b"CONNECT":
            self.reject(400)
            return b""
        version = self.parser.get_http_version().encode()
        self.parser = httptools.HttpRequestParser(self)
        return render_head(
            request.method + b" " + request.target + b" HTTP/" + version,
            [field for field in request.headers if field[0].lower() != b"upgrade"],
        )

    def eof_received(self) -> bool:
        """Treat a closed sending side as the caller's leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is done for the caller."""
        self.closed = True
        self.let_go(self.held_bytes)
        self.writable.set()
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.worker is not None:
            self.worker.cancel()

    def pause_writing(self) -> None:
        """Note that the send buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Note that the send buffer has drained."""
        self.writable.set()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request, or one whose head is read again."""
        if self.reading is None:
            received_at = self.server.arrival_time()
            self.reading_since = boottime()
        else:
            received_at = self.reading.received_at
        self.reading = InboundRequest(self, received_at=received_at)
        self.body = bytearray()
        self.expects_continue = False
        self.head_done = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        if self.reading is not None:
            self.reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, but no trailer."""
        if self.reading is not None and not self.head_done:
            self.reading.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits."""
        request = self.reading
        if request is None:
            return
        self.head_done = True
        request.method = self.parser.get_method()
        if self.parser.should_upgrade():
            return
        request.keep_alive = self.parser.should_keep_alive()
        size = len(request.target) + sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if size > self.limits.max_header_bytes:
            self.reject(431)
            return
        for name, value in request.headers:
            lower = name.lower()
            if lower == b"content-length" and int(value) > self.limits.max_body_bytes:
                self.reject(413)
            elif lower == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True
        self.ask_for_body()

    def ask_for_body(self) -> None:
        """Send an interim answer that is due, once the answers before it are out."""
        if self.expects_continue and not self.answering and not self.waiting:
            self.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, up to the limit."""
        self.framing_bytes = 0
        self.expects_continue = False
        if self.reading is None:
            return
        if len(self.body) + len(body) > self.limits.max_body_bytes:
            self.reject(413)
            return
        if self.server.body_bytes + len(body) > MOST_BODY_BYTES:
            self.reject(503)
            return
        self.server.body_bytes += len(body)
        self.held_bytes += len(body)
        self.body += body

    def on_message_complete(self) -> None:
        """Queue the request for its turn."""
        if self.parser.should_upgrade():
            return
        request, self.reading = self.reading, None
        self.head_bytes = 0
        self.framing_bytes = 0
        self.head_done = False
        if request is None:
            return
        request.body, self.body = self.body, bytearray()
        self.queue(request)

    # Requests in turn

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.server.limits()

    def queue(self, request: InboundRequest) -> None:
        """Let the worker answer a request after those before it."""
        if self.last_answer:
            return
        self.waiting.append(request)
        if self.worker is None:
            self.worker = self.loop.create_task(self.work())

    def reject(self, status: int) -> None:
        """Answer with an error in turn, and read no further requests."""
        request = self.reading or InboundRequest(self, received_at=boottime())
        self.reading = None
        self.let_go(len(self.body))
        self.body = bytearray()
        self.discarding = True
        request.reject_status = status
        self.queue(request)

    async def work(self) -> None:
        """Answer the queued requests one after the other."""
        try:
            while self.waiting and not self.closed:
                request = self.waiting.popleft()
                if self.transport is not None and not self.closed:
                    self.transport.resume_reading()
                await self.answer(request)
                if self.last_answer or request.reject_status:
                    await self.close_after_answer()
                    return
                self.active_at = boottime()
            if not self.closed:
                self.ask_for_body()
        finally:
            self.worker = None

    async def answer(self, request: InboundRequest) -> None:
        """Answer one request."""
        self.answering, self.begun = True, False
        try:
            if request.reject_status:
                self.send_whole(request.reject_status, [], b"", last=True)
            else:
                self.last_answer = not request.keep_alive
                await self.server.handler(request)
        except ConnectionError:
            self.abort()
        finally:
            self.answering = False
            self.let_go(len(request.body))

    def let_go(self, size: int) -> None:
        """Give back the room of bodies that are not needed any more."""
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self.server.body_bytes -= size

    async def close_after_answer(self) -> None:
        """End the sending side, and close when the caller has or should have."""
        if self.transport is None or self.closed:
            return
        self.discarding = self.lingering = True
        self.transport.resume_reading()
        await self.writable.wait()
        if not self.transport.is_closing():
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)
        self.transport.close()

    # Answers, called by the handler

    def send_whole(
        self,
        status: int,
        headers: HeaderList,
        body: bytes,
        *,
        reason: bytes = b"",
        last: bool = False,
        body_length: int | None = None,
    ) -> None:
        """Send a complete answer; ``body_length`` replaces that of the body."""
        length = len(body) if body_length is None else body_length
        fields = list(headers)
        if status not in BODYLESS:
            fields.append((b"Content-Length", str(length).encode()))
        self.begun = True
        self.write(render_head(status_line(status, reason), self.ended(fields, last)))
        if body:
            self.write(body)

    def start_stream(
        self,
        status: int,
        headers: HeaderList,
        *,
        reason: bytes = b"",
        length: int | None,
        last: bool = False,
    ) -> None:
        """Send the head of an answer whose body follows in parts."""
        fields = list(headers)
        self.chunked = length is None
        if length is None:
            fields.append((b"Transfer-Encoding", b"chunked"))
        else:
            fields.append((b"Content-Length", str(length).encode()))
        self.begun = True
        self.write(render_head(status_line(status, reason), self.ended(fields, last)))

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body and wait while the caller reads slowly."""
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.write(data)
        await self.writable.wait()

    def end_stream(self) -> None:
        """End a streamed body."""
        if self.chunked:
            self.write(b"0\r\n\r\n")

    def ended(self, headers: HeaderList, last: bool) -> HeaderList:
        """Return headers that tell whether the connection ends."""
        if last or self.server.closing:
            self.last_answer = True
        if self.last_answer:
            headers.append((b"Connection", b"close"))
        return headers

    def write(self, data: bytes) -> None:
        """Write to the caller unless it has left."""
        if self.closed or self.transport is None:
            raise ConnectionResetError("the caller has left")
        self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection, so that a cut answer does not look complete."""
        self.last_answer = True
        if self.transport is not None and not self.closed:
            self.transport.abort()

    # Limits in time

    def check_time(self, now: float) -> None:
        """Close an idle connection; reject a request that arrives too slowly."""
        if self.answering or self.waiting or self.discarding:
            return
        request = self.reading
        if request is not None:
            if not self.head_done:
                if now - self.reading_since > self.limits.header_timeout_s:
                    self.reject(408)
            elif now - self.active_at > self.limits.idle_timeout_s:
                self.reject(408)
        elif now - self.active_at > self.limits.idle_timeout_s:
            self.close_idle()

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are read, queued or being answered.

        A last answer counts until the caller has it.
        """
        if self.lingering:
            return 1
        return self.answering + len(self.waiting) + (self.reading is not None)

    def close_idle(self) -> None:
        """Close a connection on which nothing is under way."""
        if not self.in_flight and self.transport is not None:
            self.transport.close()


class CallerServer:
    """Accepts callers' connections.

    ``handler`` answers each request through its connection; ``limits`` returns
    the limits in force.
    """

    def __init__(self, host: str, port: int, handler: Handler, limits: Limits) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.body_bytes = 0
        self.closing = False
        self.ticked_at = boottime()
        self.paused_at = self.resumed_at = float("-inf")
        self.server: asyncio.Server | None = None
        self.ticker: asyncio.Task[None] | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose first byte was read and not answered.

        A request counts before its handler runs, so that a stop does not end between
        the two.
        """
        return sum(connection.in_flight for connection in self.connections)

    async def start(self) -> None:
        """Listen on the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self), self.host, self.port, backlog=BACKLOG
        )
        if self.port == 0:
            self.port = self.server.sockets[0].getsockname()[1]
        self.ticked_at = boottime()
        self.ticker = asyncio.create_task(self.tick())

    def record_tick(self, now: float) -> None:
        """Record a check of the time limits, and a pause that ended before it."""
        if now - self.ticked_at > MAX_TICK_DELAY_S:
            self.paused_at, self.resumed_at = self.ticked_at, now
        self.ticked_at = now

    def arrival_time(self) -> float:
        """Return the earliest boot time at which bytes read now can have arrived.

        Bytes that arrive while the process is paused wait in the kernel. A caller's
        remaining time counts from their arrival, and it may be over when the process
        goes on. The bytes may be read before the next check or just after it.
        """
        now = boottime()
        if now - self.ticked_at > MAX_TICK_DELAY_S:
            return self.ticked_at
        return self.paused_at if now - self.resumed_at < RESUME_S else now

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        if self.ticker is not None:
            self.ticker.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()

    def begin_close(self) -> None:
        """Let each answer end its connection, and close those without work."""
        self.closing = True
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the connections without work; nothing more is read from them."""
        for connection in list(self.connections):
            connection.close_idle()

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def tick(self) -> None:
        """Apply the time limits."""
        while True:
            await asyncio.sleep(TICK_S)
            now = boottime()
            self.record_tick(now)
            for connection in list(self.connections):
                connection.check_time(now)
                if self.closing and now - connection.active_at > CLOSING_IDLE_S:
                    connection.close_idle()
