"""The answer on its way to a caller: streamed, resumed elsewhere or cut.

A small answer is read whole and sent in one write. A larger one is passed on
piece by piece. When its instance stalls or breaks off, the rest is asked for
from another instance with a byte range, provided that the first answer was a
whole GET with a strong ETag and accepts ranges. Otherwise the caller's
connection is broken, so that a cut answer never looks whole.
"""

from __future__ import annotations

import asyncio

from aiohttp import ClientError, ClientResponse, web
from multidict import CIMultiDict

from masticdeck.coordination.policy import Policy
from masticdeck.coordination.slots import Slot
from masticdeck.ids import InstanceId, Version
from masticdeck.protocol import headers
from masticdeck.protocol.backend import BackendBroken
from masticdeck.protocol.call import Call
from masticdeck.transport.connection_end.transport import EndingTransport

SMALL_ANSWER_BYTES = 65_536
BODILESS = frozenset({204, 304})


class Delivery:
    """One caller's answer, from one instance or several in turn.

    ``bounded`` tells whether the caller set a timeout, which then bounds the
    whole answer; otherwise only its pauses are bounded once it has begun.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        call: Call,
        policy: Policy,
        *,
        stall_s: float,
    ) -> None:
        self.request = request
        self.call = call
        self.policy = policy
        self.stall_s = stall_s
        self.bounded = headers.TIMEOUT_MS in request.headers
        self.response: web.StreamResponse | None = None
        self.sent = 0
        self.size = 0
        self.etag: str | None = None

    @property
    def begun(self) -> bool:
        """Return whether bytes of an answer may have reached the caller."""
        return self.response is not None

    @property
    def resumable(self) -> bool:
        """Return whether another instance may supply the rest."""
        return self.begun and self.etag is not None and self.sent < self.size

    def add_range(self, fields: CIMultiDict[str]) -> None:
        """Ask for the rest of the answer that has begun."""
        if self.etag is not None:
            fields["Range"] = f"bytes={self.sent}-"
            fields["If-Range"] = self.etag

    def check_rest(self, answer: ClientResponse, instance: InstanceId) -> None:
        """Raise BackendBroken unless an answer is exactly the missing rest."""
        wanted = f"bytes {self.sent}-{self.size - 1}/{self.size}"
        found = (answer.status, answer.headers.get("Content-Range"))
        if found != (206, wanted) or answer.headers.get("ETag") != self.etag:
            answer.close()
            raise BackendBroken(f"{instance} has another version of the file")

    async def pass_on(
        self, answer: ClientResponse, slot: Slot, version: Version
    ) -> web.StreamResponse:
        """Copy an instance's answer to the caller; large bodies unbuffered."""
        if self.response is not None:
            self.check_rest(answer, slot.instance)
            return await self.copy(answer, self.response, slot)
        fields = answer_fields(answer, slot.instance, version)
        fields[headers.REQUEST_ID] = self.call.id
        echo = self.request.headers.get(headers.ECHO)
        if echo is not None:
            fields[headers.ECHO] = echo
        size = answer.content_length
        if self.request.method == "HEAD" or answer.status in BODILESS:
            return web.Response(status=answer.status, headers=fields)
        if size is not None and size <= SMALL_ANSWER_BYTES:
            self.policy.record_small_response(slot, size)
            body = await read_small(answer)
            return web.Response(status=answer.status, body=body, headers=fields)
        self.response = web.StreamResponse(status=answer.status, headers=fields)
        self.note_file(answer, size)
        await self.response.prepare(self.request)
        return await self.copy(answer, self.response, slot)

    def note_file(self, answer: ClientResponse, size: int | None) -> None:
        """Keep what a resumption needs, when the answer allows one."""
        etag = answer.headers.get("ETag", "")
        plain = self.request.method == "GET" and "Range" not in self.request.headers
        ranges = answer.headers.get("Accept-Ranges") == "bytes"
        if plain and ranges and answer.status == 200 and etag.startswith('"'):
            self.etag = etag
            self.size = size or 0

    async def copy(
        self, answer: ClientResponse, response: web.StreamResponse, slot: Slot
    ) -> web.StreamResponse:
        """Pass pieces on until the end; raises BackendBroken at a stall."""
        while True:
            piece = await self.read_piece(answer)
            if not piece:
                await response.write_eof()
                return response
            await self.policy.pace_large_response(slot, len(piece))
            await response.write(piece)
            self.sent += len(piece)
            # The next piece may be there already, and other callers have to wait.
            await asyncio.sleep(0)

    async def read_piece(self, answer: ClientResponse) -> bytes:
        """Return the next piece, empty at the end."""
        try:
            async with asyncio.timeout(self.stall_s):
                return await answer.content.readany()
        except TimeoutError:
            raise BackendBroken("the answer stalled") from None
        except (ClientError, OSError) as error:
            raise BackendBroken(type(error).__name__) from error

    def cut(self) -> None:
        """Break the caller's connection, so that the answer ends in an error.

        The answers before it are delivered first.
        """
        transport = self.request.transport
        if isinstance(transport, EndingTransport):
            transport.cut()
        elif transport is not None:
            transport.abort()


async def read_small(answer: ClientResponse) -> bytes:
    """Return the whole body of a small answer."""
    try:
        return await answer.read()
    except (ClientError, OSError) as error:
        raise BackendBroken(type(error).__name__) from error


def answer_fields(
    answer: ClientResponse, instance: InstanceId, version: Version
) -> CIMultiDict[str]:
    """Return an answer's end-to-end headers with the instance and the version."""
    fields = answer.headers.copy()
    headers.remove_hop_by_hop(fields)
    fields.popall(headers.OUTCOME, None)
    fields[headers.INSTANCE] = instance
    fields[headers.VERSION] = str(version)
    return fields
