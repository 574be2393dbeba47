"""Bounds on the answers that aiohttp's client reads.

The library bounds a head and what it reads of a body ahead of its reader. It keeps
every further answer on a connection, though, among them interim ones, and an idle
connection is read on.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any, final

from aiohttp import ClientError, ClientPayloadError, ClientResponse, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from masticdeck.transport.http1 import is_final_status, is_interim_status
from masticdeck.transport.sockets import set_reset_on_close

MAX_INTERIM_ANSWERS = 64
"""Most interim answers to a request."""


class InvalidStatus(ClientError):
    """An answer has a status that no answer may have."""


@final
class AnswerConnection(ResponseHandler):
    """Connection that keeps one answer to a request and ends at bytes behind it."""

    interim_answers = 0
    body: StreamReader | None = None
    used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a connected socket."""
        super().connection_made(transport)
        set_reset_on_close(transport, True)

    def close(self) -> None:
        """Close the connection, and reset it if its exchange is not complete."""
        is_idle = not self.used or (self.body is not None and self.body.is_eof())
        if is_idle and self.transport is not None:
            set_reset_on_close(self.transport, False)
        super().close()

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the answer to the next request."""
        self.interim_answers = 0
        self.body = None
        self.used = True
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Parse what belongs to an answer; close at bytes that nobody asked for."""
        if data and self.body is not None and self.body.is_eof():
            self.close()
            return
        super().data_received(data)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Keep an answer, unless it is invalid, unasked or one of too many."""
        message, body = data
        if self.exception() is not None:
            return
        if self.body is not None:
            self.force_close()
            return
        if is_final_status(message.code):
            self.body = body
        elif is_interim_status(message.code):
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                self.reject(HttpProcessingError(message="too many interim answers"))
                return
        else:
            self.reject(InvalidStatus(f"the status {message.code:03d} is invalid"))
            return
        super().feed_data(data, size)

    def reject(self, error: Exception) -> None:
        """Fail the exchange and close."""
        self.set_exception(error)
        if self.transport is not None:
            self.transport.close()


@final
class AnswerConnector(TCPConnector):
    """Pool of connections that hold no more than the answers asked for."""

    def __init__(self, **parameters: Any) -> None:
        super().__init__(**parameters)
        factory: Any = functools.partial(AnswerConnection, loop=self._loop)
        self._factory = factory


class AnswerTooLong(ClientPayloadError):
    """The body of an answer exceeds its limit."""


async def read_bounded(answer: ClientResponse, limit: int) -> bytes:
    """Return a body; raises AnswerTooLong and closes the connection beyond a limit."""
    parts: list[bytes] = []
    size = 0
    async for part in answer.content.iter_any():
        size += len(part)
        if size > limit:
            answer.close()
            raise AnswerTooLong(f"an answer of over {limit} bytes")
        parts.append(part)
        # Parts that have arrived are returned without a turn for others.
        await asyncio.sleep(0)
    return b"".join(parts)
