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
from masticdeck.transport.caller_memory import (
    HEADER_OBJECT_BYTES,
    CallerMemory,
    Holding,
)
from masticdeck.transport.connection_end.ending import ConnectionEnding
from masticdeck.transport.connection_end.states import (
    ConnectionEvent,
    ConnectionState,
)
from masticdeck.transport.departures import DepartureWatch
from masticdeck.transport.http1 import (
    BODYLESS,
    HeaderList,
    render_head,
    status_line,
)

MAX_READ_AHEAD = 32
"""Requests read ahead on one connection before it stops reading."""

READ_BUFFER = memoryview(bytearray(65_536))
"""What is read at once; the loop's own buffer would read four times as much."""

MIN_REQUEST_LINE_BYTES = len(b"  HTTP/1.1\r\n\r\n")
"""Bytes of a head beside method, target and fields."""

MIN_FIELD_LINE_BYTES = len(b":\r\n")
"""Bytes of a field beside name and value; the space after the colon is optional."""

HEAD_SLICE_BYTES = 4_096
"""Bytes that are parsed before the limits are checked; ordinary heads are shorter."""

BODY_SLICE_BYTES = 16_384
"""The same within a body, which is kept without an object for each part."""

NO_MEMORY_RETRY_AFTER = b"1"
"""Seconds after which a caller that was refused for lack of memory may return."""

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
    head_charge: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are charged for the request."""
        return self.head_charge + len(self.body)


Handler = Callable[[InboundRequest], Awaitable[None]]
Limits = Callable[[], CallerLimits]


class CallerConnection(asyncio.BufferedProtocol):
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
        self.holding = Holding(server.memory, self.close_for_memory)
        self.partial_bytes = 0
        self.unparsed = b""
        self.waiting_bytes = 0
        self.head_bytes = 0
        self.framing_bytes = 0
        self.head_done = False
        self.waiting: deque[InboundRequest] = deque()
        self.worker: asyncio.Task[None] | None = None
        self.answering = False
        self.begun = False
        self.chunked = False
        self.ending = ConnectionEnding(lambda: self.limits.idle_timeout_s)
        self.expects_continue = False
        self.closed = False
        self.active_at = boottime()
        self.writable = asyncio.Event()
        self.writable.set()

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted socket."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.ending.transport = self.transport
        self.server.connections.add(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; it is used at once."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, up to the limits in force."""
        if self.discarding:
            return
        self.active_at = boottime()
        if self.unparsed or len(data) > HEAD_SLICE_BYTES or self.waiting:
            self.parse_ahead(data)
            return
        self.parse_slice(data)
        if self.is_ahead():
            self.pause_reading()

    def parse_ahead(self, data: bytes) -> None:
        """Parse slices until enough requests wait; keep the rest for later."""
        if self.unparsed:
            data = self.unparsed + data
        position = 0
        while position < len(data) and not self.discarding and not self.is_ahead():
            size = BODY_SLICE_BYTES if self.head_done else HEAD_SLICE_BYTES
            part = data[position : position + size]
            position += size
            self.parse_slice(part)
        self.unparsed = b"" if self.discarding else data[position:]
        self.charge_partial()
        if self.is_ahead():
            self.pause_reading()

    def parse_slice(self, data: bytes) -> None:
        """Parse some bytes and check the limits."""
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
        if self.reading is not None or self.partial_bytes:
            self.charge_partial()

    def pause_reading(self) -> None:
        """Read nothing more until requests that wait have had their turn."""
        if self.transport is not None and not self.discarding:
            self.transport.pause_reading()
            self.server.departures.watch(self.transport, self.abort)

    def resume_reading(self) -> None:
        """Read again, which shows whether the caller has left."""
        if self.transport is not None and not self.closed:
            self.server.departures.unwatch(self.transport)
            self.transport.resume_reading()

    def is_ahead(self) -> bool:
        """Return whether enough requests wait for their turn."""
        return (
            len(self.waiting) >= MAX_READ_AHEAD
            or self.waiting_bytes >= self.server.memory.limits.read_ahead_bytes
        )

    def charge_partial(self) -> None:
        """Charge bytes that are not parsed, and a head or trailers read in part."""
        size = len(self.unparsed)
        if self.discarding:
            size = 0
        elif self.head_done:
            size += self.framing_bytes
        elif self.reading is not None:
            size += self.head_bytes
            size += HEADER_OBJECT_BYTES * len(self.reading.headers)
        growth = size - self.partial_bytes
        if growth <= 0:
            self.holding.release_head(-growth)
        elif not self.holding.add_head(growth):
            self.reject(503)
            return
        self.partial_bytes = size

    def charge_head(self, request: InboundRequest, size: int) -> bool:
        """Charge the objects of a whole head; returns False without room."""
        if self.partial_bytes:
            self.holding.release_head(self.partial_bytes)
            self.partial_bytes = 0
        size += HEADER_OBJECT_BYTES * len(request.headers)
        if not self.holding.add_head(size):
            return False
        request.head_charge = size
        return True

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
        self.ending.end()
        if self.transport is not None:
            self.server.departures.unwatch(self.transport)
        self.holding.end()
        self.unparsed = b""
        self.writable.set()
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.worker is not None:
            self.worker.cancel()

    def pause_writing(self) -> None:
        """Note that the send buffer is full."""
        self.writable.clear()
        self.charge_unsent()

    def resume_writing(self) -> None:
        """Note that the send buffer has drained."""
        self.writable.set()
        self.charge_unsent()

    def charge_unsent(self) -> None:
        """Charge what the caller has not read; reset the connection without room."""
        if self.transport is None or self.closed:
            return
        size = self.transport.get_write_buffer_size()
        if size == self.holding.unsent_bytes or self.holding.set_unsent(size):
            return
        self.ending.take(ConnectionEvent.MEMORY_SHORT)

    def close_for_memory(self) -> None:
        """Make room for other connections: refuse what is read, or else close."""
        if self.answering or self.waiting or not self.writable.is_set():
            self.ending.take(ConnectionEvent.MEMORY_SHORT)
            if self.worker is not None:
                self.worker.cancel()
        else:
            self.reject(503)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request, or one whose head is read again."""
        if self.discarding:
            return
        if self.reading is None:
            received_at = self.server.arrival_time()
            self.reading_since = boottime()
        else:
            received_at = self.reading.received_at
            self.holding.release_head(self.reading.head_charge)
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
        size = len(request.method) + len(request.target) + MIN_REQUEST_LINE_BYTES
        size += sum(
            len(name) + len(value) + MIN_FIELD_LINE_BYTES
            for name, value in request.headers
        )
        if size > self.limits.max_header_bytes:
            self.reject(431)
            return
        if not self.charge_head(request, size):
            self.reject(503)
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
        if not self.holding.add_body(len(body)):
            self.reject(503)
            return
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
        if not self.discarding:
            self.queue(request)

    # Requests in turn

    @property
    def discarding(self) -> bool:
        """Return whether what arrives is read and dropped."""
        return not self.ending.life.reads_requests

    @property
    def is_last_answer(self) -> bool:
        """Return whether the answer under way is the last one."""
        return self.ending.life.state is ConnectionState.LAST_ANSWER

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.server.limits()

    def queue(self, request: InboundRequest) -> None:
        """Let the worker answer a request after those before it."""
        self.waiting.append(request)
        self.waiting_bytes += request.held_bytes
        if self.worker is None:
            self.worker = self.loop.create_task(self.work())

    def reject(self, status: int) -> None:
        """Answer with an error in turn, and read no further requests."""
        if self.discarding:
            return
        request = self.reading or InboundRequest(self, received_at=boottime())
        self.reading = None
        self.holding.release_body(len(self.body))
        self.body = bytearray()
        self.holding.release_head(request.head_charge + self.partial_bytes)
        request.headers, request.head_charge = [], 0
        self.partial_bytes = 0
        self.unparsed = b""
        self.ending.take(ConnectionEvent.REQUEST_REJECTED)
        request.reject_status = status
        self.queue(request)

    async def work(self) -> None:
        """Answer the queued requests one after the other."""
        try:
            while self.waiting and self.ending.life.may_write:
                request = self.waiting.popleft()
                self.waiting_bytes -= request.held_bytes
                self.read_on()
                await self.answer(request)
                del request
                if not self.ending.life.may_write or self.is_last_answer:
                    self.finish()
                    return
                # Answers to pipelined requests would collect for a slow caller.
                if not self.writable.is_set():
                    await self.writable.wait()
                self.active_at = boottime()
            if self.ending.life.may_write:
                self.ask_for_body()
        finally:
            self.worker = None

    def read_on(self) -> None:
        """Parse what was left, and read again once all of it is parsed."""
        if self.unparsed:
            self.parse_ahead(b"")
        if not self.is_ahead():
            self.resume_reading()

    async def answer(self, request: InboundRequest) -> None:
        """Answer one request."""
        self.answering, self.begun = True, False
        try:
            if request.reject_status:
                headers: HeaderList = []
                if request.reject_status == 503:
                    headers.append((b"Retry-After", NO_MEMORY_RETRY_AFTER))
                self.send_whole(request.reject_status, headers, b"", last=True)
            else:
                if not request.keep_alive:
                    self.ending.take(ConnectionEvent.LAST_ANSWER_BEGUN)
                await self.server.handler(request)
        except ConnectionError:
            self.abort()
        finally:
            self.answering = False
            self.holding.release_head(request.head_charge)
            self.holding.release_body(len(request.body))

    def finish(self) -> None:
        """End the connection after its last answer, or behind one that broke off."""
        if self.closed:
            return
        self.drop_requests()
        self.ending.take(ConnectionEvent.LAST_ANSWER_WRITTEN)

    def drop_requests(self) -> None:
        """Forget the requests that are not answered, and go on to read their rest."""
        self.reading = None
        self.body = bytearray()
        self.unparsed = b""
        self.partial_bytes = 0
        self.waiting.clear()
        self.waiting_bytes = 0
        self.holding.release_head(self.holding.head_bytes)
        self.holding.release_body(self.holding.body_bytes)
        self.resume_reading()

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
            self.ending.take(ConnectionEvent.LAST_ANSWER_BEGUN)
        if self.is_last_answer:
            headers.append((b"Connection", b"close"))
        return headers

    def write(self, data: bytes) -> None:
        """Write to the caller unless it has left."""
        if self.closed or self.transport is None or not self.ending.life.may_write:
            raise ConnectionResetError("the caller has left")
        self.transport.write(data)
        self.ending.delivery.record_write(boottime())

    def abort(self) -> None:
        """Close the connection of a caller that has left."""
        self.ending.take(ConnectionEvent.CALLER_LEFT)

    def cut(self) -> None:
        """Break the answer under way off, so that it does not look complete.

        The answers before it are delivered first.
        """
        self.ending.take(ConnectionEvent.ANSWER_BROKEN)

    # Limits in time

    def check_time(self, now: float) -> None:
        """Close an idle connection; reject a request that arrives too slowly.

        A caller that has read nothing of its answer for the idle time is idle, too.
        """
        self.charge_unsent()
        if self.is_taking_answer(now):
            return
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
            self.ending.take(ConnectionEvent.IDLE)

    def is_taking_answer(self, now: float) -> bool:
        """Return whether the process holds a part of an answer for the caller.

        The connection is not idle while the caller takes bytes; it is closed if the
        caller takes none for the idle time.
        """
        delivery = self.ending.delivery
        if not self.ending.undelivered_bytes():
            return False
        if delivery.stalled_s(now) <= self.limits.idle_timeout_s:
            self.active_at = now
        elif delivery.held_bytes:
            self.ending.take(ConnectionEvent.STALLED)
        return delivery.held_bytes > 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are read, queued or being answered.

        An answer that is not with its caller counts as well, and a last one until the
        connection has ended.
        """
        if self.ending.life.is_ending:
            return 1
        count = self.answering + len(self.waiting) + (self.reading is not None)
        return count or int(self.ending.undelivered_bytes() > 0)

    def close_idle(self) -> None:
        """Close a connection on which nothing is under way."""
        if not self.in_flight:
            self.ending.take(ConnectionEvent.IDLE)

    def end_with_process(self) -> None:
        """End the connection as well as a process can that ends itself.

        The kernel goes on to deliver what it has.
        """
        if self.answering and self.begun:
            self.cut()
        elif self.in_flight:
            self.ending.take(ConnectionEvent.PROCESS_ENDS)
        else:
            self.ending.take(ConnectionEvent.IDLE)
        if self.ending.life.is_ending:
            self.drop_requests()


class CallerServer:
    """Accepts callers' connections.

    ``handler`` answers each request through its connection; ``limits`` returns
    the limits in force. ``memory`` is the account of the process.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Limits,
        memory: CallerMemory | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.memory = memory or CallerMemory()
        self.departures = DepartureWatch()
        self.closing = False
        self.ticked_at = boottime()
        self.paused_at = self.resumed_at = float("-inf")
        self.server: asyncio.Server | None = None
        self.ticker: asyncio.Task[None] | None = None

    @property
    def body_bytes(self) -> int:
        """Return the bytes of bodies that are held for all connections."""
        return sum(connection.holding.body_bytes for connection in self.connections)

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose first byte was read and not answered.

        A request counts before its handler runs, so that a stop does not end between
        the two.
        """
        return sum(connection.in_flight for connection in self.connections)

    @property
    def undelivered(self) -> int:
        """Return the number of callers that lack a part of an answer."""
        return sum(
            connection.ending.undelivered_bytes() > 0 for connection in self.connections
        )

    async def start(self) -> None:
        """Listen on the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self), self.host, self.port, backlog=BACKLOG
        )
        if self.port == 0:
            self.port = self.server.sockets[0].getsockname()[1]
        self.departures.start()
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
            connection.end_with_process()
        self.departures.stop()

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
