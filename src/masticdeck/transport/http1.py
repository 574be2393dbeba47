"""HTTP/1.1 messages as bytes: what both sides of an entry share."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

HeaderList = list[tuple[bytes, bytes]]

BODYLESS = frozenset({204, 304})

SWITCHING_PROTOCOLS = 101
"""Status by which a server switches to another protocol, which no request here offers.
"""


def is_interim_status(status: int) -> bool:
    """Return whether an answer with this status precedes the one to the request.

    >>> [is_interim_status(status) for status in (99, 100, 101, 199, 200)]
    [False, True, False, True, False]
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Return whether a status may be the one of the answer to a request.

    >>> [is_final_status(status) for status in (0, 101, 199, 200, 599, 600)]
    [False, False, False, True, True, False]
    """
    return 200 <= status <= 599


def render_head(start_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return a message head, up to and with the empty line."""
    lines = [start_line, *(key + b": " + value for key, value in headers), b"", b""]
    return b"\r\n".join(lines)


def render_request_head(
    method: bytes, target: bytes, headers: HeaderList, body_length: int
) -> bytes:
    r"""Return the head of a request whose body has a stated length.

    >>> render_request_head(b"GET", b"/a", [(b"Host", b"a.example")], 0)
    b'GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n'
    """
    if body_length or method in (b"POST", b"PUT", b"PATCH"):
        headers = [*headers, (b"Content-Length", str(body_length).encode())]
    return render_head(method + b" " + target + b" HTTP/1.1", headers)


def status_line(status: int, reason: bytes = b"") -> bytes:
    """Return an answer's first line.

    >>> status_line(404)
    b'HTTP/1.1 404 Not Found'
    """
    if not reason:
        try:
            reason = HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b"Unknown"
    return b"HTTP/1.1 " + str(status).encode() + b" " + reason
