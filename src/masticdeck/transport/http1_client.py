"""Connections to instances, one request at a time on each.

aiohttp's client sends an idempotent request again by itself when a kept
connection turns out to be closed, and does not show bytes that arrive outside
an exchange. Both matter here, so the connection is built on a parser alone.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast, final

import httptools

from masticdeck.clock import boottime
from masticdeck.transport.http1 import (
    BODYLESS,
    HeaderList,
    is_final_status,
    is_interim_status,
)
from masticdeck.transport.link_check import (
    CHECK_INTERVAL_S,
    UNACKED_S,
    LinkState,
    judge_link,
    read_figures,
)
from masticdeck.transport.sockets import set_reset_on_close

MAX_BUFFERED_BYTES = 65_536
"""Unread body bytes at which a connection stops reading."""

SMALL_BODY_BYTES = 16_384

MAX_HEAD_BYTES = 65_536
"""Longest head that an instance may send, in bytes."""

MAX_FRAMING_BYTES = 65_536
"""Most bytes between two parts of a body, or after its last part.

These are chunk headers with their extensions, and trailers. The parser collects a
trailer until its end, so that one without end would exhaust the memory.
"""

MIN_CHUNK_BYTES = 4_096
"""Size below which an unread part of a body is joined with the next one."""

SLICE_BYTES = 65_536
"""Bytes that are parsed before the limits are checked."""

SMALL_SLICE_BYTES = 4_096
"""The same unless the last slice had few parts; a read may hold 40,000."""

FEW_PARTS = 8

MAX_PARTS_PER_TURN = 512
"""Parts of a body after which other connections get their turn of the event loop."""

READ_BUFFER = memoryview(bytearray(65_536))
"""What is read at once; the loop's own buffer would read four times as much."""

HeadFilter = Callable[[int, HeaderList], bool]


class ExchangeBroken(Exception):
    """The connection ended, or sent no valid answer, before the answer's end."""


@final
@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer; ``length`` is None when not stated."""

    status: int
    reason: bytes
    headers: HeaderList
    length: int | None


class InstanceConnection(asyncio.BufferedProtocol):
    """One connection to an instance.

    ``accepts`` decides on each answer head whether it answers the request just
    sent; an answer that it rejects is read and dropped, and the connection is
    not used again, nor is one on which bytes arrive outside an exchange.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.reusable = True
        self.idle_since = boottime()
        self.idle_limit_s: float | None = None
        self.uses = 0
        self.unparsed = memoryview(b"")
        self.on_idle_end: Callable[[InstanceConnection], None] | None = None
        self.link_check: asyncio.TimerHandle | None = None
        self.end_exchange()

    def end_exchange(self) -> None:
        """Forget the exchange that has ended."""
        if self.link_check is not None:
            self.link_check.cancel()
        self.link_check = None
        self.link_state = LinkState.QUIET
        self.begun_at = 0.0
        self.busy = False
        self.parser: Any = None
        self.accepts: HeadFilter | None = None
        self.head: asyncio.Future[AnswerHead] | None = None
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.turn_parts = 0
        self.slice_bytes = SMALL_SLICE_BYTES
        self.complete = False
        self.error: ExchangeBroken | None = None
        self.arrival: asyncio.Future[None] | None = None
        self.dropping = False
        self.until_close = False
        self.status = 0
        self.reason = b""
        self.headers: HeaderList = []
        self.head_bytes = 0
        self.framing_bytes = 0
        self.bodyless = False

    # Exchange, called by one task at a time.

    def begin(
        self,
        head: bytes,
        body: bytes | bytearray = b"",
        *,
        bodyless: bool,
        accepts: HeadFilter,
    ) -> None:
        """Send a request; ``bodyless`` tells that no answer has a body."""
        if self.closed or self.transport is None:
            raise ExchangeBroken("the connection is closed")
        self.end_exchange()
        self.busy = True
        self.uses += 1
        self.bodyless = bodyless
        self.accepts = accepts
        self.parser = httptools.HttpResponseParser(self)
        self.head = self.loop.create_future()
        self.begun_at = self.loop.time()
        self.link_state = LinkState.PENDING
        self.link_check = self.loop.call_later(UNACKED_S, self.check_link)
        # A large body is not copied; a small one goes into the packet of its head.
        if len(body) <= SMALL_BODY_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            self.transport.write(body)

    def check_link(self) -> None:
        """Break the exchange if the link is dead, and check again unless it is quiet.

        An instance that acknowledges but does not read may be at work on the request.
        """
        if self.closed or self.complete or self.transport is None:
            return
        figures = read_figures(self.transport)
        self.link_state = judge_link(figures, self.loop.time() - self.begun_at)
        if self.link_state is LinkState.DEAD:
            self.fail(f"the link is dead: {figures}")
        elif self.link_state is not LinkState.QUIET:
            self.link_check = self.loop.call_later(CHECK_INTERVAL_S, self.check_link)

    async def read_head(self) -> AnswerHead:
        """Wait for the head of the answer."""
        assert self.head is not None
        return await self.head

    async def wait_head(self, timeout_s: float) -> bool:
        """Return whether the head has arrived, or never will, within a time."""
        assert self.head is not None
        done, _ = await asyncio.wait([self.head], timeout=timeout_s)
        return bool(done)

    async def read_chunk(self) -> bytes:
        """Return the next part of the body, empty at its end."""
        while not self.chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            self.arrival = self.loop.create_future()
            await self.arrival
        chunk = self.chunks.popleft()
        self.buffered -= len(chunk)
        self.regulate_reading()
        return chunk

    def finish(self) -> bool:
        """End the exchange; return whether the connection may be used again."""
        reusable = self.complete and self.reusable and not self.closed
        if not reusable:
            self.close()
        self.end_exchange()
        self.idle_since = boottime()
        return reusable

    def close(self) -> None:
        """Close the connection, and reset it if its exchange is not complete.

        Either cancels what runs on it.
        """
        self.closed = True
        if self.transport is not None:
            if not self.busy or self.complete:
                set_reset_on_close(self.transport, False)
            self.transport.abort()

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a connected socket."""
        # uvloop's transports are not subclasses of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_reset_on_close(transport, True)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of all connections, emptied after each read."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        self.unparsed = memoryview(data)
        self.parse()

    def parse(self) -> None:
        """Parse in slices, and leave what is too much for one turn to the next one."""
        self.turn_parts = 0
        while self.unparsed and not self.closed:
            if not self.busy or self.complete:
                self.drop_unasked()
            elif self.turn_parts >= MAX_PARTS_PER_TURN:
                self.loop.call_soon(self.parse)
                break
            else:
                data = self.unparsed[: self.slice_bytes]
                self.unparsed = self.unparsed[self.slice_bytes :]
                self.parse_slice(data)
        if self.closed:
            self.unparsed = memoryview(b"")
        self.regulate_reading()

    def parse_slice(self, data: memoryview) -> None:
        """Feed the parser, and end the exchange when a limit is exceeded."""
        parts = self.turn_parts
        if self.head_ready:
            self.framing_bytes += len(data)
        else:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(f"not an HTTP answer: {error}")
        if self.head_bytes > MAX_HEAD_BYTES and not self.head_ready:
            self.fail("the head of the answer is too long")
        if self.framing_bytes > MAX_FRAMING_BYTES:
            self.fail("a chunk header or the trailers of the answer are too long")
        has_few_parts = self.turn_parts - parts <= FEW_PARTS
        self.slice_bytes = SLICE_BYTES if has_few_parts else SMALL_SLICE_BYTES

    def regulate_reading(self) -> None:
        """Read on unless enough has arrived that is not parsed or not used yet."""
        if self.transport is None or self.closed:
            return
        if self.unparsed or self.buffered >= MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    @property
    def head_ready(self) -> bool:
        """Return whether the answer's head has arrived."""
        return self.head is not None and self.head.done()

    def eof_received(self) -> bool:
        """Take an orderly end for the end of an answer without a length."""
        if self.busy and self.until_close and self.error is None:
            if self.was_reset():
                self.fail("the connection was reset")
                return False
            self.complete = True
            self.reusable = False
            self.wake()
        return False

    def was_reset(self) -> bool:
        """Return whether the socket holds an error.

        libuv reports a reset that arrives together with data as an orderly end.
        """
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is not complete."""
        self.closed = True
        if self.busy and not self.complete:
            self.fail("the connection ended" if exc is None else str(exc))
        elif not self.busy and self.on_idle_end is not None:
            self.on_idle_end(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a head; a second message in an exchange is not asked for."""
        if self.complete:
            self.reusable = False
            return
        self.headers = []

    def on_status(self, status: bytes) -> None:
        """Take the reason phrase."""
        self.reason = status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, but no trailer."""
        if not self.head_ready:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on when it answers this exchange's request."""
        if self.complete or self.head is None or self.head.done():
            return
        status = self.parser.get_status_code()
        if is_interim_status(status):
            return
        if not is_final_status(status):
            self.fail(f"the status {status:03d} is invalid")
            return
        if self.accepts is not None and not self.accepts(status, self.headers):
            self.dropping = True
            self.reusable = False
            return
        length = stated_length(self.headers)
        chunked = is_chunked(self.headers)
        empty = self.bodyless or status in BODYLESS
        self.until_close = length is None and not chunked and not empty
        if not self.parser.should_keep_alive() or self.until_close:
            self.reusable = False
        self.head.set_result(AnswerHead(status, self.reason, self.headers, length))
        if self.bodyless:
            self.reusable = self.reusable and not length and not chunked
            self.complete = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.framing_bytes = 0
        if self.dropping or self.complete:
            return
        self.turn_parts += 1
        self.buffered += len(body)
        # An object for each small chunk would take many times its bytes.
        if self.chunks and len(self.chunks[-1]) < MIN_CHUNK_BYTES:
            self.chunks[-1] += body
        else:
            self.chunks.append(body)
        self.wake()

    def on_message_complete(self) -> None:
        """End the exchange, or a dropped answer."""
        if self.dropping:
            self.dropping = False
            return
        if self.head_ready:
            self.complete = True
            self.wake()

    # Ends

    def wake(self) -> None:
        """Let a waiting reader go on."""
        if self.arrival is not None and not self.arrival.done():
            self.arrival.set_result(None)

    def fail(self, reason: str) -> None:
        """End the exchange with an error and close."""
        if self.error is None and not self.complete:
            self.error = ExchangeBroken(reason)
            if self.head is not None and not self.head.done():
                self.head.set_exception(self.error)
                self.head.exception()
            self.wake()
        self.reusable = False
        self.close()

    def drop_unasked(self) -> None:
        """Close a connection on which bytes arrived that nobody asked for."""
        self.reusable = False
        self.close()


def stated_length(headers: HeaderList) -> int | None:
    """Return the Content-Length, None when there is none."""
    for key, value in headers:
        if key.lower() == b"content-length" and value.strip().isdigit():
            return int(value)
    return None


def is_chunked(headers: HeaderList) -> bool:
    """Return whether the body comes in chunks."""
    return any(
        key.lower() == b"transfer-encoding" and b"chunked" in value.lower()
        for key, value in headers
    )


async def connect(host: str, port: int, *, timeout_s: float) -> InstanceConnection:
    """Open a connection; raises OSError or TimeoutError."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(InstanceConnection, host, port)
    return connection
