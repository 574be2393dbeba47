"""Answers whose bytes are prepared once and sent in one write."""

from __future__ import annotations

import time
from email.utils import formatdate

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

HIGH_WATER_BYTES = 65_536
STATUS_LINE = b"HTTP/1.1 200 OK\r\nDate: "


class DateLine:
    """The status line with the Date header, renewed each second."""

    def __init__(self) -> None:
        self.second = 0
        self.line = b""

    def get(self) -> bytes:
        """Return the line for this second."""
        second = int(time.time())
        if second != self.second:
            self.second = second
            self.line = STATUS_LINE + formatdate(second, usegmt=True).encode() + b"\r\n"
        return self.line


date_line = DateLine()


def prepare_tail(body: bytes, content_type: str) -> bytes:
    """Return what follows the Date header, body included."""
    head = f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class PreparedAnswer(web.StreamResponse):
    """Sends prepared bytes to an HTTP/1.1 caller who keeps the connection."""

    def __init__(self, tail: bytes) -> None:
        super().__init__()
        self.tail = tail

    @property
    def keep_alive(self) -> bool:
        """Return True; others get an ordinary answer."""
        return True

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send head and body at once, and wait for callers who do not read."""
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller has left")
        transport.write(date_line.get() + self.tail)
        if transport.get_write_buffer_size() > HIGH_WATER_BYTES:
            await request.writer.drain()
        return None

    async def write_eof(self, data: bytes = b"") -> None:
        """Do nothing; everything has been sent."""


def may_use_prepared(request: web.BaseRequest) -> bool:
    """Return whether prepared bytes suit the caller's version and connection."""
    return request.version == (1, 1) and request.keep_alive and request.method == "GET"
