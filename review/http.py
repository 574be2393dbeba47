"""A small HTTP/1.1 client for the scripts, on top of asyncio's streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from review.harness import HOST


class AnswerIncomplete(Exception):
    """The connection ended before the end of an answer."""


@dataclass
class Answer:
    """An answer as a client receives it."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def closes(self) -> bool:
        """Return whether the answer announces the end of the connection."""
        return "close" in self.headers.get("connection", "").lower()


def request_bytes(
    method: str,
    target: str,
    name: str,
    *,
    remaining_ms: int,
    body: bytes = b"",
    extra: str = "",
) -> bytes:
    """Return a client's request; ``extra`` has further header lines."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {name}",
        f"Deadline-Remaining-Ms: {remaining_ms}",
    ]
    if extra:
        lines.append(extra)
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(
    reader: asyncio.StreamReader, *, pause_s: float = 0.0, size: int = 65_536
) -> Answer:
    """Read one answer; raises AnswerIncomplete when the connection ends before.

    ``pause_s`` is the time between two reads of at most ``size`` bytes, by which a
    client on a slow line reads.
    """
    received = 0
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        answer = Answer(int(first.split(" ")[1]))
        for line in lines:
            key, _, value = line.partition(":")
            answer.headers[key.lower()] = value.strip()
        parts = []
        async for part in read_body(reader, answer, pause_s, size):
            received += len(part)
            parts.append(part)
        answer.body = b"".join(parts)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise AnswerIncomplete(
            f"{type(error).__name__} after {received} bytes of the body"
        ) from None
    return answer


async def read_body(
    reader: asyncio.StreamReader, answer: Answer, pause_s: float, size: int
) -> AsyncIterator[bytes]:
    """Yield the parts of a body with a stated length."""
    left = int(answer.headers.get("content-length", "0"))
    while left:
        part = await reader.read(min(size, left))
        if not part:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(part)
        yield part
        if pause_s and left:
            await asyncio.sleep(pause_s)
