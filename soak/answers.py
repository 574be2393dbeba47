"""Faulty answers of instances: lost, repeated, late, false and endless ones.

Each fault writes the answer to a request that has run. ``refuse`` is apart, because
the request that it refuses must not run.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import final
from weakref import WeakKeyDictionary

from masticdeck.registry import Registry
from testing.platform.standin_instance import ReceivedRequest, StandinInstance

MAX_COPY_DELAY_S = 0.3
"""Longest time after an answer at which its copy is sent."""

ENDLESS_CHUNK_BYTES = 16_384
ENDLESS_PAUSE_S = 0.005
"""Size of each chunk of an endless answer, and the pause after it."""

EARLIER_REFUSALS: WeakKeyDictionary[asyncio.StreamWriter, bytes] = WeakKeyDictionary()
"""The last refusal that was written to each connection."""


@final
@dataclass(frozen=True, slots=True)
class DueAnswer:
    """The answer to one request, and the connection that it is written to."""

    instance: StandinInstance
    request: ReceivedRequest
    writer: asyncio.StreamWriter
    random: random.Random
    body: bytes

    @property
    def whole(self) -> bytes:
        """Return the correct answer."""
        return self.instance.head(self.request, 200, len(self.body)) + self.body

    def write(self, data: bytes) -> None:
        """Write to the connection, or raise ConnectionResetError if it is closed."""
        if self.writer.is_closing():
            raise ConnectionResetError
        self.writer.write(data)


AnswerFault = Callable[[DueAnswer], Awaitable[None]]
answer_faults: Registry[AnswerFault] = Registry("answer fault")


def refuse(
    instance: StandinInstance, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a request, which is not run."""
    refusal = instance.head(request, 503, 0, "Not-Executed: 1")
    EARLIER_REFUSALS[writer] = refusal
    writer.write(refusal)


@answer_faults.register("lost")
async def lose(answer: DueAnswer) -> None:
    """Reset the connection instead of an answer."""
    answer.writer.transport.abort()
    raise ConnectionResetError


@answer_faults.register("repeated")
async def repeat(answer: DueAnswer) -> None:
    """Write the answer twice."""
    answer.write(answer.whole * 2)


@answer_faults.register("copied late")
async def copy_late(answer: DueAnswer) -> None:
    """Write a copy after a while, when the connection may be in use again."""
    answer.write(answer.whole)
    asyncio.get_running_loop().call_later(
        answer.random.uniform(0.0, MAX_COPY_DELAY_S), write_if_open, answer
    )


def write_if_open(answer: DueAnswer) -> None:
    """Write the copy of an answer unless the connection has closed."""
    with suppress(ConnectionError):
        answer.write(answer.whole)


@answer_faults.register("after an earlier refusal")
async def repeat_refusal(answer: DueAnswer) -> None:
    """Write the connection's last refusal once more, with or without its id."""
    refusal = EARLIER_REFUSALS.get(answer.writer, b"")
    if answer.random.random() < 0.5:
        lines = refusal.split(b"\r\n")
        refusal = b"\r\n".join(
            line for line in lines if not line.startswith(b"Attempt-Id:")
        )
    answer.write(refusal)
    await answer.writer.drain()
    await asyncio.sleep(answer.random.uniform(0.0, 0.02))
    answer.write(answer.whole)


@answer_faults.register("endless head")
async def write_endless_head(answer: DueAnswer) -> None:
    """Write headers without end."""
    answer.write(b"HTTP/1.1 200 OK\r\n")
    await write_endlessly(answer, b"X-Filler: " + b"x" * ENDLESS_CHUNK_BYTES + b"\r\n")


@answer_faults.register("endless body")
async def write_endless_body(answer: DueAnswer) -> None:
    """Write chunks of a body without end."""
    extra = "Transfer-Encoding: chunked"
    answer.write(answer.instance.head(answer.request, 200, None, extra))
    chunk = b"%x\r\n%b\r\n" % (ENDLESS_CHUNK_BYTES, b"x" * ENDLESS_CHUNK_BYTES)
    await write_endlessly(answer, chunk)


@answer_faults.register("endless trailer")
async def write_endless_trailer(answer: DueAnswer) -> None:
    """Write a whole body and a trailer without end."""
    extra = "Transfer-Encoding: chunked"
    answer.write(answer.instance.head(answer.request, 200, None, extra))
    answer.write(b"%x\r\n%b\r\n0\r\nX-Filler: " % (len(answer.body), answer.body))
    await write_endlessly(answer, b"x" * ENDLESS_CHUNK_BYTES)


@answer_faults.register("endless garbage")
async def write_garbage(answer: DueAnswer) -> None:
    """Write bytes without end that are no answer."""
    await write_endlessly(answer, answer.random.randbytes(ENDLESS_CHUNK_BYTES))


async def write_endlessly(answer: DueAnswer, chunk: bytes) -> None:
    """Write until the connection closes."""
    with suppress(ConnectionError):
        while True:
            answer.write(chunk)
            await answer.writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
