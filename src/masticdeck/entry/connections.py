"""Callers' connections: coded errors for malformed requests, slow heads ended."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any, cast

from aiohttp import EMPTY_PAYLOAD, StreamReader, web
from aiohttp.http_exceptions import LineTooLong

from masticdeck.config import Config
from masticdeck.entry.problem import PROBLEM_TYPE, error_response, problem_document
from masticdeck.errors import (
    FieldsTooLarge,
    HeadTooSlow,
    MasticdeckError,
    RequestInvalid,
)
from masticdeck.protocol import headers
from masticdeck.transport.connection_end.ending import ConnectionEnding
from masticdeck.transport.connection_end.transport import EndingTransport
from masticdeck.transport.departures import DepartureWatch

MAX_FIELDS = 128
MAX_HEAD_RATIO = 4
"""Bytes of a whole head, in multiples of the longest line."""

SLICE_BYTES = 16_384
"""Bytes that are parsed before it is checked whether a request waits."""

MAX_UNPARSED_BYTES = 1_048_576
"""Bytes kept unparsed at most; the event loop reads a quarter of that at once."""

READ_BUFFER_BYTES = 65_536
SWEEP_S = 0.5
LINGER_S = 2.0


class CallerConnection(web.RequestHandler):
    """One connection; ``waiting_since`` is when an unfinished head began."""

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, **options)
        self.busy = False
        self.waiting_since: float | None = None
        self.max_head_bytes = MAX_HEAD_RATIO * server.max_header_bytes
        self.departures = server.departures
        self.ending = ConnectionEnding(lambda: server.stall_s)
        # The library forgets its transport before the connection is lost.
        self.watched: asyncio.Transport | None = None
        self.unparsed = b""
        self.head_bytes = 0
        self.begun_count = 0
        self.payload: StreamReader = EMPTY_PAYLOAD

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a socket, which ends by the table of states."""
        real = cast(asyncio.Transport, transport)
        super().connection_made(cast(Any, EndingTransport(real, self.ending)))

    def data_received(self, data: bytes) -> None:
        """Take bytes from the caller and note when a head begins.

        aiohttp calls it without bytes to go on with those that it has kept itself.
        """
        if not self.ending.life.may_write:
            return
        if not data:
            super().data_received(data)
            return
        if self.waiting_since is None and not self.busy and not self.in_body():
            self.waiting_since = asyncio.get_running_loop().time()
        self.parse_ahead(data)

    def parse_ahead(self, data: bytes) -> None:
        """Parse slices until a request waits; keep the rest and read no more.

        aiohttp reads 32 requests ahead, which may take some megabytes.
        """
        data = self.unparsed + data if self.unparsed else data
        position = 0
        while position < len(data) and not self._messages and self.is_open():
            part = data[position : position + SLICE_BYTES]
            position += SLICE_BYTES
            in_body = self.in_body()
            super().data_received(part)
            self.check_head(0 if in_body else len(part))
        self.unparsed = data[position:] if self.is_open() else b""
        if len(self.unparsed) > MAX_UNPARSED_BYTES and self.transport is not None:
            self.transport.abort()
        elif self.unparsed and self.transport is not None:
            self.transport.pause_reading()

    def in_body(self) -> bool:
        """Return whether the rest of a body is due, also after its answer.

        aiohttp reads and drops what follows an early answer, for its lingering time.
        """
        return not self.payload.is_eof()

    def is_open(self) -> bool:
        """Return whether anything is still read from the caller."""
        return self.transport is not None and not self.transport.is_closing()

    def check_head(self, size: int) -> None:
        """Reject a head that has grown too long without its end."""
        if self.busy or self._request_count > self.begun_count:
            self.head_bytes = 0
            return
        self.head_bytes += size
        if self.head_bytes > self.max_head_bytes and self.transport is not None:
            self.transport.write(closing_answer(FieldsTooLarge()))
            self.transport.close()

    def begin(self, payload: StreamReader) -> None:
        """Note that the head has arrived and the request is served.

        ``payload`` is its body, which may still be on its way. Requests and bodies
        that wait stop the reading, so that the caller's leaving is watched for.
        """
        self.busy = True
        if self.transport is not None:
            self.watched = self.transport
            self.departures.watch(self.watched, self.watched.abort)
        self.payload = payload
        self.waiting_since = None
        self.begun_count += 1
        if self.unparsed:
            self.parse_ahead(b"")
            is_held = self._reading_paused or self._buffer_paused
            if not self.unparsed and not is_held and self.transport is not None:
                self.transport.resume_reading()

    def end(self) -> None:
        """Note that the request has been answered."""
        self.busy = False
        self.unwatch()

    def unwatch(self) -> None:
        """Leave it to reading to show that the caller has left."""
        if self.watched is not None:
            self.departures.unwatch(self.watched)
            self.watched = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what is done for the caller."""
        self.unwatch()
        self.ending.end()
        super().connection_lost(exc)

    def expire(self) -> None:
        """Answer an unfinished head with HeadTooSlow and close."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(closing_answer(HeadTooSlow()))
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a problem document for what the parser or a handler raised."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun and cannot be replaced")
        response = error_response(classify(status, exc, message))
        if status >= 500:
            self.log_exception("request handler failed", exc_info=exc)
        response.force_close()
        return response


def classify(
    status: int, exc: BaseException | None, message: str | None
) -> MasticdeckError:
    """Return the coded error for what the HTTP parser found."""
    if isinstance(exc, LineTooLong):
        return FieldsTooLarge()
    if status >= 500:
        return MasticdeckError(type(exc).__name__)
    return RequestInvalid((message or "not HTTP").splitlines()[0][:100])


def closing_answer(error: MasticdeckError) -> bytes:
    """Return a whole answer that closes the connection, as bytes."""
    body = problem_document(error)
    outcome = "" if error.outcome is None else error.outcome.value
    head = (
        f"HTTP/1.1 {error.status} {HTTPStatus(error.status).phrase}\r\n"
        f"Content-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{headers.OUTCOME}: {outcome}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class CallerServer(web.Server):
    """Makes the connections with the limits of the settings."""

    def __init__(self, handler: Any, config: Config) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.departures = DepartureWatch()
        self.header_timeout_s = config.header_timeout_s
        self.stall_s = config.keep_alive_s
        self.max_header_bytes = config.max_header_bytes
        self.options: dict[str, Any] = {
            "access_log": None,
            "max_line_size": config.max_header_bytes,
            "max_field_size": config.max_header_bytes,
            "max_headers": MAX_FIELDS,
            "keepalive_timeout": config.keep_alive_s,
            "read_bufsize": READ_BUFFER_BYTES,
            "lingering_time": LINGER_S,
            "auto_decompress": False,
        }

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self.options)

    def count_undelivered(self) -> int:
        """Return the number of connections whose callers lack a part of an answer."""
        return sum(
            connection.ending.undelivered_bytes() > 0
            for connection in self.connections
            if isinstance(connection, CallerConnection)
        )

    async def sweep(self) -> None:
        """End connections whose head is late, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(min(SWEEP_S, self.header_timeout_s))
            latest = loop.time() - self.header_timeout_s
            for connection in self.connections:
                if not isinstance(connection, CallerConnection):
                    continue
                since = connection.waiting_since
                if since is not None and since < latest:
                    connection.expire()
