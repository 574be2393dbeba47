"""Forwarding of callers' requests to backend servers."""

from __future__ import annotations

import asyncio
import logging
import time

from aiohttp import ClientError, ClientResponse, web
from multidict import CIMultiDict

from masticdeck.clock import boottime
from masticdeck.coordination.policy import AttemptEnd, AttemptResult, Policy
from masticdeck.coordination.rollout import Rollout, parse_version
from masticdeck.coordination.slots import Slot
from masticdeck.entry.order_forward import OrderForwarder, is_order
from masticdeck.entry.problem import error_response
from masticdeck.errors import (
    DeadlinePassed,
    MasticdeckError,
    OutcomeUnknown,
    RequestInvalid,
    ServiceUnknown,
)
from masticdeck.events import Code
from masticdeck.ids import CustomerId, InstanceId, Outcome, RequestId, ServiceId
from masticdeck.metrics import Metrics
from masticdeck.node import Node
from masticdeck.protocol import headers
from masticdeck.protocol.backend import BackendBroken, BackendNotReached, Backends
from masticdeck.protocol.call import Call

SERVICE_PREFIX = "/service/"
MAX_TIMEOUT_MS = 120_000
SMALL_ANSWER_BYTES = 65_536


class Forwarder:
    """Takes a caller's request to an instance and the answer back."""

    def __init__(
        self,
        node: Node,
        policy: Policy,
        backends: Backends,
        metrics: Metrics,
        orders: OrderForwarder,
        rollout: Rollout,
    ) -> None:
        self.node = node
        self.policy = policy
        self.backends = backends
        self.metrics = metrics
        self.orders = orders
        self.rollout = rollout
        self.sequence = 0
        self.in_flight = 0
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request under ``/service/``."""
        self.in_flight += 1
        call: Call | None = None
        try:
            call = self.parse(request)
            seen = parse_version(request.headers.get(headers.VERSION))
            if not self.rollout.serves(seen):
                await self.rollout.require(seen, deadline=call.deadline)
            self.node.events.emit(
                Code.REQUEST_RECEIVED,
                level=logging.DEBUG,
                request=call.id,
                service=call.service,
                rank=call.rank.value,
            )
            if is_order(call):
                fields = forward_fields(request, call)
                return await self.orders.handle(request, call, fields)
            return await self.attempt(request, call)
        except MasticdeckError as error:
            self.note_error(call, error)
            return error_response(error)
        finally:
            self.in_flight -= 1

    def note_error(self, call: Call | None, error: MasticdeckError) -> None:
        """Record a request that ends without a backend's answer."""
        refused = error.outcome is Outcome.NOT_RUN
        self.node.events.emit(
            Code.REQUEST_REFUSED if refused else Code.REQUEST_UNKNOWN,
            level=logging.DEBUG,
            request="" if call is None else call.id,
            error=error.code,
        )

    def parse(self, request: web.BaseRequest) -> Call:
        """Return the call that a request asks for."""
        service_text, _, rest = request.raw_path[len(SERVICE_PREFIX) :].partition("/")
        service = self.node.deployment.service_by_id.get(ServiceId(service_text))
        if service is None:
            raise ServiceUnknown(repr(service_text[:64]))
        fields = request.headers
        customer_text = fields.get(headers.CUSTOMER)
        customer = None if customer_text is None else CustomerId(customer_text)
        rank = headers.parse_priority(fields.get(headers.PRIORITY, "")) or service.rank
        rank = self.policy.allowed_rank(customer, rank)
        wait_ms = parse_timeout(fields.get(headers.TIMEOUT_MS))
        if wait_ms is None:
            wait_ms = service.agreed_wait_ms[rank]
        self.sequence += 1
        return Call(
            id=RequestId(f"{self.node.id}-{self.node.incarnation:x}-{self.sequence}"),
            service=service.id,
            method=request.method,
            path=f"/{rest}",
            rank=rank,
            deadline=boottime() + wait_ms / 1000,
            customer=customer,
            idempotency_key=fields.get(headers.IDEMPOTENCY_KEY),
            attempt=1 if fields.get(headers.ATTEMPT, "1") == "1" else 2,
        )

    async def attempt(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        """Try instances until one answers or no further try is allowed."""
        tried: frozenset[InstanceId] = frozenset()
        attempts = 0
        while True:
            attempts += 1
            slot = await self.policy.acquire(call, avoid=tried)
            try:
                return await self.send(request, call, slot)
            except (BackendNotReached, BackendBroken) as error:
                tried |= {slot.instance}
                if request.body_exists:
                    raise
                if not self.policy.may_retry(call, error, attempts):
                    raise

    async def send(
        self, request: web.BaseRequest, call: Call, slot: Slot
    ) -> web.StreamResponse:
        """Send the request with a slot held, and pass the answer on."""
        began = time.perf_counter()
        self.node.events.emit(
            Code.REQUEST_SENT,
            level=logging.DEBUG,
            request=call.id,
            instance=slot.instance,
        )
        end = AttemptEnd.CANCELLED
        status = 0
        size = 0
        try:
            async with asyncio.timeout(call.deadline - boottime()):
                body = request.content if request.body_exists else None
                answer = await self.backends.send(
                    slot.instance, call, forward_fields(request, call), body
                )
                status = answer.status
                size = answer.content_length or 0
                if is_shed(answer):
                    end = AttemptEnd.SHED
                    answer.release()
                    raise BackendNotReached(f"{slot.instance} shed the request")
                response = await self.pass_on(request, answer, slot)
                end = AttemptEnd.ANSWERED
                return response
        except BackendNotReached:
            end = AttemptEnd.SHED if end is AttemptEnd.SHED else AttemptEnd.NOT_SENT
            raise
        except BackendBroken:
            end = AttemptEnd.BROKEN
            raise
        except TimeoutError:
            end = AttemptEnd.LATE
            raise OutcomeUnknown("the deadline passed while the request ran") from None
        finally:
            seconds = time.perf_counter() - began
            result = AttemptResult(end=end, seconds=seconds, status=status, bytes=size)
            self.policy.release(slot, call, result)
            self.node.events.emit(
                Code.REQUEST_ANSWERED,
                level=logging.DEBUG,
                request=call.id,
                instance=slot.instance,
                end=end.value,
                status=status,
            )
            self.metrics.record(call.service, call.rank.value, end.value, seconds)

    async def pass_on(
        self, request: web.BaseRequest, answer: ClientResponse, slot: Slot
    ) -> web.StreamResponse:
        """Copy a backend's answer to the caller without buffering large bodies."""
        fields = CIMultiDict(
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() not in headers.HOP_BY_HOP
        )
        fields[headers.INSTANCE] = slot.instance
        length = answer.content_length
        if length is not None and length <= SMALL_ANSWER_BYTES:
            self.policy.count_small(slot, length)
            return await self.pass_small(answer, fields)
        response = web.StreamResponse(status=answer.status, headers=fields)
        if self.leaving:
            response.force_close()
        await response.prepare(request)
        try:
            async for chunk in answer.content.iter_any():
                await self.policy.pace_large(slot, len(chunk))
                await response.write(chunk)
            await response.write_eof()
        except BaseException:
            answer.close()
            if request.transport is not None:
                request.transport.abort()
            raise
        return response

    async def pass_small(
        self, answer: ClientResponse, fields: CIMultiDict[str]
    ) -> web.Response:
        """Read a small answer whole and return it in one piece."""
        try:
            body = await answer.read()
        except (ClientError, OSError) as error:
            raise BackendBroken(type(error).__name__) from error
        fields.popall("Content-Length", None)
        return web.Response(status=answer.status, body=body, headers=fields)


def parse_timeout(value: str | None) -> float | None:
    """Return a timeout header in milliseconds, or None when it is absent."""
    if value is None:
        return None
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        raise RequestInvalid(f"{headers.TIMEOUT_MS} is not a number of milliseconds")
    if int(value) == 0:
        raise DeadlinePassed()
    return float(min(int(value), MAX_TIMEOUT_MS))


def is_shed(answer: ClientResponse) -> bool:
    """Return whether the backend vouches that it did not run the request."""
    return answer.headers.get(headers.OUTCOME) == Outcome.NOT_RUN.value


def forward_fields(request: web.BaseRequest, call: Call) -> CIMultiDict[str]:
    """Return the request's end-to-end headers."""
    named = {
        name.strip().lower()
        for name in request.headers.get("Connection", "").split(",")
    }
    skip = headers.HOP_BY_HOP | named | {"host", "expect"}
    fields = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in skip
    )
    fields[headers.REQUEST_ID] = call.id
    return fields
