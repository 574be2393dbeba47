"""Sends a request to one instance and forwards its response to the caller."""

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
from masticdeck.transport.http1 import render_request_head
from masticdeck.transport.http1_client import (
    AnswerHead,
    ExchangeBroken,
    InstanceConnection,
)

if TYPE_CHECKING:
    from masticdeck.gateway.exchange import Exchange

MIN_SEND_TIME_S = 0.01
"""Shortest time to the deadline with which a request is still sent."""

MAX_BUFFERED_BYTES = 65_536
"""Largest response that is buffered completely before it is sent to the caller.

A buffered response that breaks off can be replaced by that of another attempt.
"""

MAX_STALE_RESET_S = 0.15
"""Longest time until a request on a dropped connection is reset.

Two round trips between distant regions.
"""

DISCARD_TIMEOUT_S = 0.05
"""Longest wait for the rest of a refusal, whose head has said all that matters."""


class AttemptStatus(Enum):
    """How an attempt at one instance ended."""

    ANSWERED = "answered"
    SHED = "shed"
    RESTING = "resting"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    EXPIRED = "expired before it was sent"
    OUTDATED = "route changed before it was sent"
    STALE = "stale connection"
    SILENT = "silent"
    BROKEN = "broken"
    FAILED = "failed"
    LATE = "late"
    CUT = "cut"

    @property
    def proves_not_run(self) -> bool:
        """Whether the instance certainly did not run the request."""
        return self in NOT_RUN_STATUSES


NOT_RUN_STATUSES = frozenset(
    {
        AttemptStatus.SHED,
        AttemptStatus.RESTING,
        AttemptStatus.MISDIRECTED,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.EXPIRED,
        AttemptStatus.OUTDATED,
    }
)

UNDELIVERED_STATUSES = frozenset(
    {AttemptStatus.UNREACHABLE, AttemptStatus.STALE, AttemptStatus.OUTDATED}
)
"""Statuses of attempts that did not reach an instance.

A retry after one of them is not counted against the retry budget.
"""

FINAL_STATUSES = frozenset({AttemptStatus.ANSWERED, AttemptStatus.CUT})
"""Statuses after which the caller has its response or its connection was reset."""


class DeadlinePassed(Exception):
    """The deadline passed before the request was sent."""


class RouteChanged(Exception):
    """Another route or workspace applies to the request than when it was placed."""


class InstanceSilent(Exception):
    """An instance sent no response within the silence timeout."""


@final
@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """An instance's complete response that has not been sent to the caller."""

    head: AnswerHead
    body: bytes


class Attempt:
    """Sends a request to one instance and returns its response to the caller.

    ``is_sent`` is set once the instance may have received the request.
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
        self.is_sent = False
        self.failure_response: BufferedResponse | None = None

    async def run(self) -> AttemptStatus:
        """Run the attempt and release its slot at the end."""
        status: AttemptStatus | None = None
        try:
            status = await self.run_until_deadline()
        finally:
            if self.connection is not None and self.connection.finish():
                self.forwarder.pool.give_back(self.instance, self.connection)
            self.forwarder.dispatcher.release(self.instance_load)
            if status is not None:
                self.forwarder.record_attempt(self.instance, status)
        return status

    async def run_until_deadline(self) -> AttemptStatus:
        """Run the attempt until the deadline and classify its failure."""
        try:
            async with asyncio.timeout(
                self.exchange.deadline - self.started_at
            ) as timeout:
                return await self.send_and_receive(timeout)
        except DeadlinePassed as error:
            return self.handle_failure(AttemptStatus.EXPIRED, error)
        except RouteChanged as error:
            return self.handle_failure(AttemptStatus.OUTDATED, error)
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
            if isinstance(error, ConnectionRefusedError):
                self.forwarder.record_refused_connection(self.instance)
            return self.handle_failure(AttemptStatus.UNREACHABLE, error)

    def classify_broken(self) -> AttemptStatus:
        """Distinguish a connection dropped before its use from a broken response.

        A reused connection that breaks early and without a byte of the response
        was dropped by the instance while it was idle.
        """
        connection = self.connection
        if connection is None or connection.uses == 1 or connection.head_bytes:
            return AttemptStatus.BROKEN
        is_early = boottime() - self.started_at < MAX_STALE_RESET_S
        return AttemptStatus.STALE if is_early else AttemptStatus.BROKEN

    def handle_failure(self, status: AttemptStatus, error: Exception) -> AttemptStatus:
        """Log a failure and return the final status of the attempt.

        When part of the response has already been sent, the caller's connection
        is reset, so that the response does not look complete.
        """
        if status is AttemptStatus.BROKEN:
            self.forwarder.metrics.count("broken_responses")
        has_started = self.request.connection.begun
        self.exchange.events.emit(
            Code.REQUEST_CUT if has_started else Code.REQUEST_FAILED,
            level=logging.WARNING,
            request=self.exchange.request_headers.id,
            instance=self.instance.id,
            end=status.value,
            link=self.connection.link_state.value if self.connection else "none",
            error=str(error) or type(error).__name__,
        )
        if not has_started:
            return status
        self.exchange.record_outcome("cut")
        self.request.connection.cut()
        return AttemptStatus.CUT

    async def send_and_receive(self, timeout: asyncio.Timeout) -> AttemptStatus:
        """Send the request and handle the response; ``timeout`` ends the attempt."""
        connection = self.connection = await self.connect()
        self.send_request(connection)
        head = await self.wait_for_head(connection)
        response_headers = self.process_head(connection, head)
        if response_headers.not_run:
            if response_headers.use is None and response_headers.rest_s is None:
                self.forwarder.instance_loads.record_rejection(
                    self.instance_load, boottime()
                )
            await discard_body(connection)
            return classify_refusal(response_headers)
        if (
            not response_headers.signed
            or response_headers.request_id != self.exchange.request_headers.id
        ):
            raise ExchangeBroken("the response is unsigned or has another request id")
        return await self.receive_response(connection, head, timeout)

    async def connect(self) -> InstanceConnection:
        """Return an idle connection from the pool or a new one.

        After an attempt failed on a stale connection, a new one is opened.
        """
        pool = self.forwarder.pool
        connection = None
        if AttemptStatus.STALE not in self.exchange.failed_statuses:
            connection = pool.take(
                self.instance, repeatable=self.exchange.route.idempotent
            )
        if connection is None:
            connection = await pool.open(self.instance)
            self.forwarder.record_accepted_connection(self.instance)
        return connection

    def send_request(self, connection: InstanceConnection) -> None:
        """Send the request with the remaining time and the instance's id.

        Nothing is sent if it raises: DeadlinePassed if the process was paused until the
        deadline, RouteChanged, KeyUnknown and KeyUnproved if the request may no longer
        be sent like this.
        """
        remaining_s = self.exchange.deadline - boottime()
        if remaining_s < MIN_SEND_TIME_S:
            raise DeadlinePassed(f"{-remaining_s:.3f} s ago")
        if not self.exchange.may_send():
            raise RouteChanged("the route or the workspace has changed")
        self.is_sent = True
        headers = self.forwarder.dialect.forward_headers(
            self.request.headers,
            remaining_s=remaining_s,
            instance=self.instance.id,
            workspace=self.exchange.workspace_id,
        )
        method = self.request.method
        body = self.request.body
        head = render_request_head(method, self.request.target, headers, len(body))
        connection.begin(
            head, body, bodyless=method == b"HEAD", accepts=self.matches_request
        )

    def matches_request(self, status: int, headers: Headers) -> bool:
        """Return whether a response may be the one to this request.

        A faulty instance may repeat an earlier response on a kept connection. A
        refusal must therefore have the id of this request; without it, it does not
        prove that this request did not run.
        """
        own_id = self.exchange.request_headers.id
        response_headers = self.forwarder.dialect.read_answer(status, headers)
        if response_headers.request_id is None:
            return not own_id or not response_headers.not_run
        return response_headers.request_id == own_id

    async def wait_for_head(self, connection: InstanceConnection) -> AnswerHead:
        """Wait for the response head, or raise InstanceSilent.

        The latter happens after the silence timeout, if another instance may be
        tried. An instance that responds to other requests meanwhile is busy, not
        silent.
        """
        service = self.exchange.pending_request.service
        sent_at = boottime()
        remaining_s = self.exchange.deadline - sent_at
        silence_timeout_s = self.forwarder.run_times.silence_timeout_s(
            self.exchange.route, remaining_s
        )
        if silence_timeout_s is not None and self.exchange.is_retry_possible():
            has_head = await connection.wait_head(silence_timeout_s)
            is_silent = not has_head and self.instance_load.last_response_at < sent_at
            if is_silent and self.try_reserve_other_instance(service):
                raise InstanceSilent(f"no response within {boottime() - sent_at:.3f} s")
        return await connection.read_head()

    def try_reserve_other_instance(self, service: ServiceId) -> bool:
        """Reserve another instance, if the request may be sent to one instead.

        Returns False when none is reserved. An entry that is stopping stays with the
        instance, because this request may be the last one that its stop waits for.
        """
        if self.forwarder.is_leaving() or not self.forwarder.retry_budget.can_retry(
            service
        ):
            return False
        return self.exchange.reserve_instance()

    def process_head(
        self, connection: InstanceConnection, head: AnswerHead
    ) -> AnswerMarks:
        """Record the instance's load and latency from a response head."""
        now = boottime()
        loads = self.forwarder.instance_loads
        response_headers = self.forwarder.dialect.read_answer(head.status, head.headers)
        self.instance_load.last_response_at = now
        if not response_headers.not_run:
            loads.record_latency(self.instance_load, now - self.started_at)
            loads.record_run(self.instance_load, now)
            self.record_run_time(now - self.started_at)
        request_id = self.exchange.request_headers.id
        if not response_headers.misdirected and request_id == (
            response_headers.request_id
        ):
            self.forwarder.record_notices(
                self.instance, self.instance_load, response_headers, request_id
            )
        if response_headers.use is not None:
            loads.record_report(self.instance_load, response_headers.use, now)
        elif response_headers.has_invalid_use:
            self.forwarder.record_invalid_report(self.instance, self.instance_load)
        if response_headers.idle_s is not None:
            connection.idle_limit_s = response_headers.idle_s
        if response_headers.closes:
            connection.reusable = False
        return response_headers

    def record_run_time(self, run_time_s: float, *, finished: bool = True) -> None:
        """Record how long the request ran at the instance.

        For an unfinished run ``run_time_s`` is a lower bound.
        """
        run_times = self.forwarder.run_times
        record = run_times.record_run if finished else run_times.record_unfinished
        record(
            self.exchange.route,
            self.instance.id,
            self.exchange.pending_request.key,
            run_time_s,
        )

    async def receive_response(
        self, connection: InstanceConnection, head: AnswerHead, timeout: asyncio.Timeout
    ) -> AttemptStatus:
        """Read the response and send it to the caller.

        A complete 5xx response to an idempotent request is kept in
        ``failure_response`` instead, because another attempt may succeed.
        """
        chunks: list[bytes] = []
        is_complete = False
        if head.length is None or head.length <= MAX_BUFFERED_BYTES:
            chunks, is_complete = await read_first_chunks(connection)
        if not is_complete:
            timeout.reschedule(self.stream_deadline())
            await self.stream_response(connection, head, chunks)
            return AttemptStatus.ANSWERED
        response = BufferedResponse(head, b"".join(chunks))
        if head.status >= 500 and self.exchange.route.idempotent:
            self.failure_response = response
            return AttemptStatus.FAILED
        self.exchange.send_response(response)
        return AttemptStatus.ANSWERED

    def stream_deadline(self) -> float:
        """Return the event loop time by which a streamed response must end."""
        remaining_s = self.exchange.caller_deadline - boottime()
        return asyncio.get_running_loop().time() + max(0.0, remaining_s)

    async def stream_response(
        self, connection: InstanceConnection, head: AnswerHead, chunks: list[bytes]
    ) -> None:
        """Send the chunks read so far and the rest of the body as it arrives."""
        caller = self.request.connection
        headers = self.forwarder.dialect.answer_headers(head.headers)
        caller.start_stream(
            head.status, headers, reason=head.reason, length=head.length
        )
        for chunk in chunks:
            await caller.send_part(chunk)
        while chunk := await connection.read_chunk():
            await caller.send_part(chunk)
        caller.end_stream()
        self.exchange.record_response(head.status)


def classify_refusal(response_headers: AnswerMarks) -> AttemptStatus:
    """Return the status of an attempt whose request certainly did not run."""
    if response_headers.misdirected:
        return AttemptStatus.MISDIRECTED
    if response_headers.rest_s is not None:
        return AttemptStatus.RESTING
    return AttemptStatus.SHED


async def read_first_chunks(connection: InstanceConnection) -> tuple[list[bytes], bool]:
    """Return the first chunks of a body and whether the body is complete.

    Stops once more than ``MAX_BUFFERED_BYTES`` are read.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    while chunk := await connection.read_chunk():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > MAX_BUFFERED_BYTES:
            return chunks, False
    return chunks, True


async def discard_body(connection: InstanceConnection) -> None:
    """Read a body to its end and discard it.

    The connection is not used again if the body is long, breaks off or does not end
    within ``DISCARD_TIMEOUT_S``.
    """
    size_bytes = 0
    try:
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            while chunk := await connection.read_chunk():
                size_bytes += len(chunk)
                if size_bytes > MAX_BUFFERED_BYTES:
                    break
            else:
                return
    except (TimeoutError, ExchangeBroken):
        pass
    connection.reusable = False
