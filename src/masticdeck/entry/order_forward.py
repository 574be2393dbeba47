"""Forwarding of orders: requests with a key, which run at most once."""

from __future__ import annotations

import asyncio
import time

from aiohttp import ClientError, ClientResponse, web
from multidict import CIMultiDict

from masticdeck.clock import boottime
from masticdeck.coordination.order_errors import OrderOutcomeUnknown, OrderTooLarge
from masticdeck.coordination.order_records import RecordedResponse
from masticdeck.coordination.orders import Orders
from masticdeck.coordination.policy import AttemptOutcome, AttemptResult, Policy
from masticdeck.coordination.slots import Slot
from masticdeck.entry.broken_answers import record_broken_answer
from masticdeck.errors import DeadlinePassed
from masticdeck.ids import InstanceId, Outcome
from masticdeck.metrics import Metrics
from masticdeck.protocol import headers
from masticdeck.protocol.backend import BackendBroken, BackendNotReached, Backends
from masticdeck.protocol.call import Call
from masticdeck.transport.answers import read_bounded

Fields = tuple[tuple[str, str], ...]
MAX_ATTEMPTS = 2
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})


class OrderForwarder:
    """Takes keyed requests through ``Orders`` and runs them at instances."""

    def __init__(
        self, orders: Orders, policy: Policy, backends: Backends, metrics: Metrics
    ) -> None:
        self.orders = orders
        self.metrics = metrics
        self.policy = policy
        self.backends = backends
        orders.executor = self.execute

    async def handle(
        self, request: web.BaseRequest, call: Call, fields: CIMultiDict[str]
    ) -> web.Response:
        """Answer a keyed request; its whole body is read before anything runs."""
        body = await self.read_body(request, call)
        answer = await self.orders.run(
            call, body, self.execute, headers=tuple(fields.items())
        )
        return web.Response(
            status=answer.status, body=answer.body, headers=CIMultiDict(answer.headers)
        )

    async def read_body(self, request: web.BaseRequest, call: Call) -> bytes:
        """Return the body, bounded in bytes and by the deadline."""
        limit = self.orders.node.config.max_order_bytes
        if (request.content_length or 0) > limit:
            raise OrderTooLarge(f"over {limit} bytes")
        pieces = bytearray()
        try:
            async with asyncio.timeout(call.deadline - boottime()):
                async for piece in request.content.iter_any():
                    pieces += piece
                    if len(pieces) > limit:
                        raise OrderTooLarge(f"over {limit} bytes")
        except TimeoutError:
            raise DeadlinePassed("while its body arrived") from None
        return bytes(pieces)

    async def execute(
        self, call: Call, body: bytes, fields: Fields
    ) -> RecordedResponse:
        """Run an order at an instance; another is tried only if none ran it."""
        tried: frozenset[InstanceId] = frozenset()
        while True:
            slot = await self.policy.acquire(call, avoid=tried)
            try:
                return await self.send(call, slot, body, fields)
            except BackendNotReached:
                tried |= {slot.instance}
                if len(tried) >= MAX_ATTEMPTS:
                    raise

    async def send(
        self, call: Call, slot: Slot, body: bytes, fields: Fields
    ) -> RecordedResponse:
        """Send the order with a slot held and read the whole answer."""
        began = time.perf_counter()
        end = AttemptOutcome.CANCELLED
        status = 0
        try:
            async with asyncio.timeout(call.deadline - boottime()):
                answer = await self.backends.send(
                    slot.instance, call, CIMultiDict(fields), body or None
                )
                status = answer.status
                recorded = await self.read_answer(answer, slot)
                end = AttemptOutcome.ANSWERED
                return recorded
        except BackendNotReached:
            end = AttemptOutcome.SHED if status else AttemptOutcome.NOT_SENT
            raise
        except BackendBroken as error:
            end = AttemptOutcome.INTERRUPTED
            events = self.orders.node.events
            record_broken_answer(events, self.metrics, call, slot, error)
            raise
        except TimeoutError:
            end = AttemptOutcome.INTERRUPTED
            raise OrderOutcomeUnknown("the deadline passed while it ran") from None
        finally:
            result = AttemptResult(
                outcome=end, duration_s=time.perf_counter() - began, status=status
            )
            self.policy.release(slot, call, result)

    async def read_answer(self, answer: ClientResponse, slot: Slot) -> RecordedResponse:
        """Return the whole answer, or raise when the instance did not run it."""
        if answer.headers.get(headers.OUTCOME) == Outcome.NOT_RUN.value:
            answer.release()
            raise BackendNotReached(f"{slot.instance} shed the request")
        body = await read_whole(answer, self.orders.node.config.max_order_bytes)
        kept = answer.headers.copy()
        headers.remove_hop_by_hop(kept)
        for name in ("Content-Length", headers.OUTCOME):
            kept.popall(name, None)
        fields = list(kept.items())
        fields.append((headers.INSTANCE, slot.instance))
        return RecordedResponse(status=answer.status, headers=tuple(fields), body=body)


async def read_whole(answer: ClientResponse, limit: int) -> bytes:
    """Return an answer's body; raises BackendBroken when it is cut or too long."""
    try:
        return await read_bounded(answer, limit)
    except (ClientError, OSError) as error:
        raise BackendBroken(f"{type(error).__name__}: {error}") from error


def is_order(call: Call) -> bool:
    """Return whether a call is an order: keyed, and of an unsafe method."""
    return call.idempotency_key is not None and call.method not in SAFE_METHODS
