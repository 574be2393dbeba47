"""Answers of a faulty instance that do not end, and what their callers may get."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import pytest

PIECE = b"x" * 65_536
MAX_BYTES = 10**15
CHUNKED = "Transfer-Encoding: chunked"
CLOSED = "Connection: close"
REFUSAL = "Not-Executed: 1\r\nMasticdeck-Outcome: not-run"
LATE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nMasticdeck-Request: other\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def render_chunk(data: bytes, extension: bytes = b"") -> bytes:
    """Return data as a chunk of a body."""
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


@dataclass(frozen=True)
class EndlessAnswer:
    """An answer that begins with a head, if it has fields, and goes on with pieces.

    ``outcome`` is what its caller gets: ``failed`` or ``refused`` with an answer of
    the entry's own, ``cut`` within the body, or ``answered`` if the bytes come after
    a whole answer. ``pause_s`` lies before the first piece.
    """

    outcome: str
    status: int = 200
    fields: str | None = None
    start: bytes = b""
    piece: bytes = PIECE
    pause_s: float = 0.0
    other_id: bool = False

    def head(self, request_id: str) -> bytes:
        """Return the head of the answer, with the id as either program expects it."""
        if self.fields is None:
            return b""
        echoed_id = "other" if self.other_id else request_id
        lines = [
            f"HTTP/1.1 {self.status} Stand-in",
            f"Attempt-Id: {echoed_id}",
            f"Masticdeck-Request: {echoed_id}",
            "Server-Signature: signed",
            self.fields,
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    async def send(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Send the answer as fast as it is taken, until the connection ends."""
        writer.write(self.head(request_id) + self.start)
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        while True:
            writer.write(self.piece)
            await writer.drain()


LENGTH = f"Content-Length: {MAX_BYTES}"
TINY_CHUNKS = render_chunk(b"ab") * 10_000
ENDLESS_ANSWERS = {
    "no answer": EndlessAnswer("failed", piece=b"\x00\xff" * 32_768),
    "lines that are no answer": EndlessAnswer("failed", piece=b"some line\r\n" * 6_000),
    "status line": EndlessAnswer("failed", start=b"HTTP/1.1 200 "),
    "header": EndlessAnswer("failed", start=b"HTTP/1.1 200 OK\r\nA: "),
    "headers": EndlessAnswer(
        "failed", start=b"HTTP/1.1 200 OK\r\n", piece=b"A: b\r\n" * 10_000
    ),
    "100": EndlessAnswer("failed", piece=b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "103": EndlessAnswer("failed", piece=b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * 2_000),
    "other id, length": EndlessAnswer("failed", fields=LENGTH, other_id=True),
    "other id, chunks": EndlessAnswer(
        "failed", fields=CHUNKED, piece=render_chunk(PIECE), other_id=True
    ),
    "other id, close": EndlessAnswer("failed", fields=CLOSED, other_id=True),
    "length": EndlessAnswer("cut", fields=LENGTH),
    "one chunk": EndlessAnswer("cut", fields=CHUNKED, start=b"fffffffffff\r\n"),
    "chunks": EndlessAnswer("cut", fields=CHUNKED, piece=render_chunk(PIECE)),
    "tiny chunks": EndlessAnswer("cut", fields=CHUNKED, piece=TINY_CHUNKS),
    "chunk extensions": EndlessAnswer(
        "cut", fields=CHUNKED, piece=render_chunk(b"ab", b";e=" + b"y" * 40) * 1_000
    ),
    "close": EndlessAnswer("cut", fields=CLOSED),
    "trailers": EndlessAnswer("failed", fields=CHUNKED, start=b"1\r\na\r\n0\r\nB: "),
    "500, length": EndlessAnswer("cut", status=500, fields=LENGTH),
    "500, tiny chunks": EndlessAnswer(
        "cut", status=500, fields=CHUNKED, piece=TINY_CHUNKS
    ),
    "refusal, length": EndlessAnswer(
        "refused", status=503, fields=f"{REFUSAL}\r\n{LENGTH}"
    ),
    "refusal, tiny chunks": EndlessAnswer(
        "refused", status=503, fields=f"{REFUSAL}\r\n{CHUNKED}", piece=TINY_CHUNKS
    ),
    "refusal, close": EndlessAnswer(
        "refused", status=503, fields=f"{REFUSAL}\r\n{CLOSED}"
    ),
    "bytes on an idle connection": EndlessAnswer(
        "answered", fields="Content-Length: 2", start=b"ab", pause_s=0.05
    ),
    "answers on an idle connection": EndlessAnswer(
        "answered",
        fields="Content-Length: 2",
        start=b"ab",
        piece=LATE_ANSWER * 800,
        pause_s=0.05,
    ),
}
IDLE_KINDS = ["bytes on an idle connection", "answers on an idle connection"]
ALL_ENDLESS_ANSWERS = [pytest.param(name, id=name) for name in ENDLESS_ANSWERS]


async def read_outcome(
    reader: asyncio.StreamReader, *, is_own: Callable[[int], bool] = (502).__eq__
) -> str:
    """Return what a caller got: an ``outcome``, or the status of another answer.

    ``is_own`` tells which statuses are the entry's own answer to a failure.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ")[1])
    lines = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
    length = int(lines["content-length"]) if "content-length" in lines else None
    size = 0
    tail = b""
    while length is None or size < length:
        try:
            part = await reader.read(1 << 20)
        except ConnectionResetError:
            break
        if not part:
            break
        size += len(part)
        tail = (tail + part)[-5:]
    is_whole = size == length if length is not None else tail == b"0\r\n\r\n"
    if not is_whole:
        return "cut"
    if is_own(status):
        return "failed"
    return {200: "answered", 503: "refused"}.get(status, str(status))
