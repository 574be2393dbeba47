"""Forwarding of callers' requests to backend servers."""

from __future__ import annotations

import asyncio
import logging
import time

from aiohttp import ClientResponse, web
from multidict import CIMultiDict

from masticdeck.clock import boottime
from masticdeck.coordination.policy import AttemptOutcome, AttemptResult, Policy
from masticdeck.coordination.rollout import Rollout, parse_version
from masticdeck.coordination.shutdown_window import ShutdownWindow
from masticdeck.coordination.slots import Slot
from masticdeck.entry.broken_answers import record_broken_answer
from masticdeck.entry.delivery import SMALL_ANSWER_BYTES, Delivery
from masticdeck.entry.order_forward import OrderForwarder, is_order
from masticdeck.entry.problem import error_response
from masticdeck.errors import (
    BodyTooSlow,
    DeadlinePassed,
    EntryStopping,
    MasticdeckError,
    OutcomeUnknown,
    RequestInvalid,
    ServiceUnknown,
)
from masticdeck.events import Code
from masticdeck.ids import (
    CustomerId,
    InstanceId,
    Outcome,
    RequestId,
    ServiceId,
)
from masticdeck.metrics import Metrics
from masticdeck.node import Node
from masticdeck.protocol import headers
from masticdeck.protocol.backend import BackendBroken, BackendNotReached, Backends
from masticdeck.protocol.call import Call

SERVICE_PREFIX = "/service/"
MAX_TIMEOUT_MS = 120_000
MAX_RESUMPTIONS = 4
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})


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
        self.id_prefix = f"{node.id}-{node.incarnation:x}-"
        self.sequence = 0
        self.in_flight = 0
        self.leaving = False
        self.shutdown_window = ShutdownWindow()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request under ``/service/``."""
        self.in_flight += 1
        call: Call | None = None
        try:
            call = self.parse(request)
            self.check_shutdown(call)
            seen = parse_version(request.headers.get(headers.VERSION))
            if not self.rollout.can_serve(seen):
                await self.rollout.require_version(seen, deadline=call.deadline)
            self.node.events.emit(
                Code.REQUEST_RECEIVED,
                level=logging.DEBUG,
                request=call.id,
                service=call.service,
                rank=call.rank.value,
            )
            if is_order(call):
                fields = forward_fields(request, call)
                response = await self.orders.handle(request, call, fields)
                return self.mark(request, response, call)
            return await self.attempt(request, call)
        except MasticdeckError as error:
            self.note_error(call, error)
            return self.mark(request, error_response(error), call)
        finally:
            self.in_flight -= 1

    def check_shutdown(self, call: Call) -> None:
        """Raise EntryStopping for a call that may outlast the stop of the entry."""
        now = boottime()
        latest_start = self.shutdown_window.latest_start(
            received_at=now, deadline=call.deadline, objective_s=0.0, expected_run_s=0.0
        )
        if now > latest_start:
            raise EntryStopping()

    def mark(
        self, request: web.BaseRequest, response: web.Response, call: Call | None
    ) -> web.Response:
        """Name version and request, and repeat the caller's mark, in an answer."""
        response.headers[headers.VERSION] = str(self.rollout.version)
        if call is not None:
            response.headers[headers.REQUEST_ID] = call.id
        echo = request.headers.get(headers.ECHO)
        if echo is not None:
            response.headers[headers.ECHO] = echo
        return response

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
        check_request(request)
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
            id=RequestId(f"{self.id_prefix}{self.sequence}"),
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
        delivery = Delivery(
            request, call, self.policy, stall_s=self.node.config.answer_stall_s
        )
        tried: frozenset[InstanceId] = frozenset()
        attempts = 0
        try:
            while True:
                attempts += 1
                slot = await self.policy.acquire(call, avoid=tried)
                try:
                    return await self.send(delivery, call, slot)
                except (BackendNotReached, BackendBroken) as error:
                    tried |= {slot.instance}
                    if not self.may_go_on(delivery, call, error, attempts):
                        raise
        except MasticdeckError as error:
            if not delivery.begun:
                raise
            self.note_error(call, error)
            delivery.cut()
            raise ConnectionResetError(str(error)) from error
        except BaseException:
            if delivery.begun:
                delivery.cut()
            raise

    def may_go_on(
        self, delivery: Delivery, call: Call, error: MasticdeckError, attempts: int
    ) -> bool:
        """Return whether another instance may be tried after an error."""
        if delivery.begun:
            return delivery.resumable and attempts < MAX_RESUMPTIONS
        if delivery.request.body_exists:
            return False
        return self.policy.may_retry(call, error, attempts)

    async def send(
        self, delivery: Delivery, call: Call, slot: Slot
    ) -> web.StreamResponse:
        """Send the request with a slot held, and pass the answer on."""
        began = time.perf_counter()
        self.node.events.emit(
            Code.REQUEST_SENT,
            level=logging.DEBUG,
            request=call.id,
            instance=slot.instance,
        )
        end = AttemptOutcome.CANCELLED
        answer: ClientResponse | None = None
        try:
            async with asyncio.timeout(call.deadline - boottime()) as limit:
                answer = await self.ask(delivery, call, slot)
                if is_shed(answer):
                    end = AttemptOutcome.SHED
                    raise BackendNotReached(f"{slot.instance} shed the request")
                if not delivery.bounded and is_large(answer):
                    limit.reschedule(None)
                response = await delivery.pass_on(answer, slot, self.rollout.version)
                end = AttemptOutcome.ANSWERED
                return response
        except BackendNotReached:
            end = (
                AttemptOutcome.SHED
                if end is AttemptOutcome.SHED
                else AttemptOutcome.NOT_SENT
            )
            raise
        except BackendBroken as error:
            end = AttemptOutcome.INTERRUPTED
            record_broken_answer(self.node.events, self.metrics, call, slot, error)
            raise
        except TimeoutError:
            end = AttemptOutcome.DEADLINE_EXCEEDED
            raise timeout_error(delivery.request) from None
        finally:
            if answer is not None and end is not AttemptOutcome.ANSWERED:
                answer.close()
            self.finish(call, slot, end, answer, time.perf_counter() - began)

    async def ask(self, delivery: Delivery, call: Call, slot: Slot) -> ClientResponse:
        """Send the request, or ask for the rest of an answer that has begun."""
        request = delivery.request
        fields = forward_fields(request, call)
        if delivery.begun:
            delivery.add_range(fields)
        body = request.content if request.body_exists else None
        return await self.backends.send(slot.instance, call, fields, body)

    def finish(
        self,
        call: Call,
        slot: Slot,
        end: AttemptOutcome,
        answer: ClientResponse | None,
        seconds: float,
    ) -> None:
        """Give the slot back and record how an attempt ended."""
        status = 0 if answer is None else answer.status
        size = 0 if answer is None else answer.content_length or 0
        result = AttemptResult(
            outcome=end, duration_s=seconds, status=status, body_bytes=size
        )
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


def is_large(answer: ClientResponse) -> bool:
    """Return whether an answer is passed on piece by piece."""
    size = answer.content_length
    return size is None or size > SMALL_ANSWER_BYTES


def timeout_error(request: web.BaseRequest) -> MasticdeckError:
    """Return the error for a deadline that passed while the request ran."""
    if request.body_exists and not request.content.is_eof():
        return BodyTooSlow()
    return OutcomeUnknown("the deadline passed while the request ran")


def forward_fields(request: web.BaseRequest, call: Call) -> CIMultiDict[str]:
    """Return the request's end-to-end headers."""
    fields = request.headers.copy()
    headers.remove_hop_by_hop(fields)
    if "Expect" in fields:
        del fields["Expect"]
    fields[headers.REQUEST_ID] = call.id
    return fields


def check_request(request: web.BaseRequest) -> None:
    """Refuse methods and header values that cannot be passed on.

    Raises RequestInvalid.
    """
    if request.method in REFUSED_METHODS:
        raise RequestInvalid(f"the method {request.method} is not forwarded")
    if not request.raw_path.isascii() or not request.raw_path.isprintable():
        raise RequestInvalid("the path holds bytes that must be percent-encoded")
    values = "".join(request.headers.values())
    if values.isascii():
        return
    try:
        values.encode()
    except UnicodeEncodeError:
        raise RequestInvalid("a header value is not UTF-8") from None
