"""Callers' connections: coded errors for malformed requests, slow heads ended."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
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

MAX_FIELDS = 128
READ_BUFFER_BYTES = 65_536
SWEEP_S = 0.5
LINGER_S = 2.0


class CallerConnection(web.RequestHandler):
    """One connection; ``waiting_since`` is when an unfinished head began."""

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, **options)
        self.busy = False
        self.waiting_since: float | None = None

    def data_received(self, data: bytes) -> None:
        """Take bytes from the caller and note when a head begins."""
        if self.waiting_since is None and not self.busy:
            self.waiting_since = asyncio.get_running_loop().time()
        super().data_received(data)

    def begin(self) -> None:
        """Note that the head has arrived and the request is served."""
        self.busy = True
        self.waiting_since = None

    def end(self) -> None:
        """Note that the request has been answered."""
        self.busy = False

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
        f"HTTP/1.1 {error.status} Request Timeout\r\n"
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
        self.header_timeout_s = config.header_timeout_s
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
