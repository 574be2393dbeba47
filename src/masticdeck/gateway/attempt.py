"""One sending of a request to one instance, and its answer's way back."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, final

from masticdeck.clock import boottime
from masticdeck.events import Code
from masticdeck.ids import ServiceId
from masticdeck.protocol.dialect import AnswerMarks, Headers
from masticdeck.state.fleet import FleetInstance
from masticdeck.transport.http1 import render_request
from masticdeck.transport.http1_client import (
    AnswerHead,
    ExchangeBroken,
    InstanceConnection,
)

if TYPE_CHECKING:
    from masticdeck.gateway.exchange import Exchange

MAX_BUFFERED_BYTES = 65_536
"""Answers up to this size are read whole first, so that a cut one can be repeated."""

MAX_STALE_RESET_S = 0.15
"""Time within which a dropped connection resets a request: two long round trips."""


class AttemptStatus(Enum):
    """How one attempt at an instance ended."""

    ANSWERED = "answered"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    STALE = "stale connection"
    SILENT = "silent"
    BROKEN = "broken"
    FAILED = "failed"
    LATE = "late"
    CUT = "cut"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the instance certainly did not run the request."""
        return self in NOT_RUN_STATUSES


NOT_RUN_STATUSES = frozenset(
    {AttemptStatus.SHED, AttemptStatus.MISDIRECTED, AttemptStatus.UNREACHABLE}
)

UNDELIVERED_STATUSES = frozenset({AttemptStatus.UNREACHABLE, AttemptStatus.STALE})
"""Ends of attempts that did not arrive, so that another one costs no budget."""

FINAL_STATUSES = frozenset({AttemptStatus.ANSWERED, AttemptStatus.CUT})
"""Ends after which the caller has its answer, or knows that it never will."""


class InstanceSilent(Exception):
    """An instance gave no sign of life for too long."""


@final
@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """An instance's complete answer that has not been passed on yet."""

    head: AnswerHead
    body: bytes


class Attempt:
    """Sends a request to one instance and returns its response to the caller.

    ``failure_response`` holds a complete 5xx response that has not been sent to
    the caller, because another instance may be tried first.
    """

    def __init__(self, exchange: Exchange, instance: FleetInstance) -> None:
        self.exchange = exchange
        self.forwarder = exchange.forwarder
        self.request = exchange.request
        self.instance = instance
        self.instance_load = self.forwarder.instance_loads.get(instance)
        self.started_at = boottime()
        self.connection: InstanceConnection | None = None
        self.failure_response: BufferedResponse | None = None

    @property
    def is_sent(self) -> bool:
        """Return whether the instance may have received the request."""
        return self.connection is not None

    async def run(self) -> AttemptStatus:
        """Make the attempt; the slot that it holds is released at its end."""
        end: AttemptStatus | None = None
        try:
            end = await self.run_until_deadline()
        finally:
            if self.connection is not None and self.connection.finish():
                self.forwarder.pool.give_back(self.instance, self.connection)
            self.forwarder.dispatcher.release(self.instance_load)
            if end is not None:
                self.forwarder.record_attempt(self.instance, end)
        return end

    async def run_until_deadline(self) -> AttemptStatus:
        """Make the attempt within the deadline and classify its failure."""
        try:
            async with asyncio.timeout(
                self.exchange.deadline - self.started_at
            ) as limit:
                return await self.send_and_receive(limit)
        except InstanceSilent as error:
            return self.handle_failure(AttemptStatus.SILENT, error)
        except TimeoutError as error:
            if not self.is_sent:
                return self.handle_failure(AttemptStatus.UNREACHABLE, error)
            self.record_run_time(boottime() - self.started_at, finished=False)
            return self.handle_failure(AttemptStatus.LATE, error)
        except ExchangeBroken as error:
            return self.handle_failure(self.classify_broken(), error)
        except OSError as error:
            if self.is_sent:
                raise
            return self.handle_failure(AttemptStatus.UNREACHABLE, error)

    def classify_broken(self) -> AttemptStatus:
        """Tell a connection dropped before its use from a broken answer."""
        connection = self.connection
        if connection is None or connection.uses == 1 or connection.head_bytes:
            return AttemptStatus.BROKEN
        quick = boottime() - self.started_at < MAX_STALE_RESET_S
        return AttemptStatus.STALE if quick else AttemptStatus.BROKEN

    def handle_failure(self, end: AttemptStatus, error: Exception) -> AttemptStatus:
        """Log a failure; one in the middle of an answer resets the caller."""
        cut = self.request.connection.begun
        self.exchange.events.emit(
            Code.REQUEST_CUT if cut else Code.REQUEST_FAILED,
            level=logging.WARNING,
            request=self.exchange.request_headers.id,
            instance=self.instance.id,
            end=end.value,
            error=str(error) or type(error).__name__,
        )
        if not cut:
            return end
        self.exchange.record_outcome("cut")
        self.request.connection.abort()
        return AttemptStatus.CUT

    async def send_and_receive(self, limit: asyncio.Timeout) -> AttemptStatus:
        """Send the request and handle what comes back."""
        connection = self.connection = await self.connect()
        self.send_request(connection)
        head = await self.wait_for_head(connection)
        marks = self.process_head(connection, head)
        if marks.not_run:
            if marks.use is None:
                self.forwarder.instance_loads.record_rejection(
                    self.instance_load, boottime()
                )
            await discard_body(connection)
            return (
                AttemptStatus.MISDIRECTED if marks.misdirected else AttemptStatus.SHED
            )
        if not marks.signed or marks.request_id != self.exchange.request_headers.id:
            raise ExchangeBroken("the answer bears no signature or another id")
        return await self.receive_response(connection, head, limit)

    async def connect(self) -> InstanceConnection:
        """Return a kept or a new connection to the instance."""
        pool = self.forwarder.pool
        kept = None
        if AttemptStatus.STALE not in self.exchange.failed_statuses:
            kept = pool.take(self.instance, repeatable=self.exchange.route.idempotent)
        return kept if kept is not None else await pool.open(self.instance)

    def send_request(self, connection: InstanceConnection) -> None:
        """Send the request with the time left and the instance's id."""
        headers = self.forwarder.dialect.forward_headers(
            self.request.headers,
            remaining_s=self.exchange.deadline - boottime(),
            instance=self.instance.id,
        )
        method = self.request.method
        message = render_request(
            method, self.request.target, headers, self.request.body
        )
        connection.begin(
            message, bodyless=method == b"HEAD", accepts=self.matches_request
        )

    def matches_request(self, status: int, headers: Headers) -> bool:
        """Return whether an answer is not one to an earlier request."""
        marks = self.forwarder.dialect.read_answer(status, headers)
        return marks.request_id in (None, self.exchange.request_headers.id)

    async def wait_for_head(self, connection: InstanceConnection) -> AnswerHead:
        """Wait for the answer, unless another instance may give it sooner.

        An instance that answers other requests meanwhile is busy, not silent.
        """
        service = self.exchange.pending_request.service
        sent_at = boottime()
        left_s = self.exchange.deadline - sent_at
        patience_s = self.forwarder.run_times.silence_timeout_s(
            self.exchange.route, left_s
        )
        if patience_s is not None and self.exchange.is_retry_possible():
            arrived = await connection.wait_head(patience_s)
            silent = not arrived and self.instance_load.last_response_at < sent_at
            if silent and self.can_switch_instance(service):
                raise InstanceSilent(f"no answer in {boottime() - sent_at:.3f} s")
        return await connection.read_head()

    def can_switch_instance(self, service: ServiceId) -> bool:
        """Return whether the instance may be left for another one, now reserved.

        An entry that is stopping leaves none: the run may be the last one to end.
        """
        if self.forwarder.is_leaving() or not self.forwarder.retry_budget.can_retry(
            service
        ):
            return False
        return self.exchange.reserve_instance()

    def process_head(
        self, connection: InstanceConnection, head: AnswerHead
    ) -> AnswerMarks:
        """Learn from an answer's head."""
        now = boottime()
        rooms = self.forwarder.instance_loads
        marks = self.forwarder.dialect.read_answer(head.status, head.headers)
        self.instance_load.last_response_at = now
        if not marks.not_run:
            rooms.record_latency(self.instance_load, now - self.started_at)
            self.record_run_time(now - self.started_at)
        if marks.use is not None:
            rooms.record_report(self.instance_load, marks.use, now)
        if marks.idle_s is not None:
            connection.idle_limit_s = marks.idle_s
        if marks.closes:
            connection.reusable = False
        return marks

    def record_run_time(self, run_time_s: float, *, finished: bool = True) -> None:
        """Take in how long the request ran at the instance."""
        runs = self.forwarder.run_times
        learn = runs.record_run if finished else runs.record_unfinished
        learn(
            self.exchange.route,
            self.instance.id,
            self.exchange.pending_request.key,
            run_time_s,
        )

    async def receive_response(
        self, connection: InstanceConnection, head: AnswerHead, limit: asyncio.Timeout
    ) -> AttemptStatus:
        """Read the answer and pass it on, unless it can be replaced."""
        parts: list[bytes] = []
        complete = False
        if head.length is None or head.length <= MAX_BUFFERED_BYTES:
            parts, complete = await read_first_chunks(connection)
        if not complete:
            limit.reschedule(self.stream_deadline())
            await self.stream_response(connection, head, parts)
            return AttemptStatus.ANSWERED
        answer = BufferedResponse(head, b"".join(parts))
        if head.status >= 500 and self.exchange.route.idempotent:
            self.failure_response = answer
            return AttemptStatus.FAILED
        self.exchange.send_response(answer)
        return AttemptStatus.ANSWERED

    def stream_deadline(self) -> float:
        """Return the loop time until which an answer that has begun may take."""
        left = self.exchange.caller_deadline - boottime()
        return asyncio.get_running_loop().time() + max(0.0, left)

    async def stream_response(
        self, connection: InstanceConnection, head: AnswerHead, parts: list[bytes]
    ) -> None:
        """Pass a large answer on as it arrives."""
        caller = self.request.connection
        headers = self.forwarder.dialect.answer_headers(head.headers)
        caller.start_stream(
            head.status, headers, reason=head.reason, length=head.length
        )
        for part in parts:
            await caller.send_part(part)
        while part := await connection.read_chunk():
            await caller.send_part(part)
        caller.end_stream()
        self.exchange.record_response(head.status)


async def read_first_chunks(connection: InstanceConnection) -> tuple[list[bytes], bool]:
    """Return the first parts of a body, and whether they are all of it."""
    parts: list[bytes] = []
    size = 0
    while part := await connection.read_chunk():
        parts.append(part)
        size += len(part)
        if size > MAX_BUFFERED_BYTES:
            return parts, False
    return parts, True


async def discard_body(connection: InstanceConnection) -> None:
    """Read and drop a body."""
    while await connection.read_chunk():
        pass
