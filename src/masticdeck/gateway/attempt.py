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

WHOLE_BYTES = 65_536
"""Answers up to this size are read whole first, so that a cut one can be repeated."""

STALE_RESET_S = 0.15
"""Time within which a dropped connection resets a request: two long round trips."""


class AttemptEnd(Enum):
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
        return self in NOT_RUN_ENDS


NOT_RUN_ENDS = frozenset(
    {AttemptEnd.SHED, AttemptEnd.MISDIRECTED, AttemptEnd.UNREACHABLE}
)

UNARRIVED_ENDS = frozenset({AttemptEnd.UNREACHABLE, AttemptEnd.STALE})
"""Ends of attempts that did not arrive, so that another one costs no budget."""

FINAL_ENDS = frozenset({AttemptEnd.ANSWERED, AttemptEnd.CUT})
"""Ends after which the caller has its answer, or knows that it never will."""


class InstanceSilent(Exception):
    """An instance gave no sign of life for too long."""


@final
@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """An instance's complete answer that has not been passed on yet."""

    head: AnswerHead
    body: bytes


class Attempt:
    """Sends a request to an instance; ``held`` keeps a failure it answered."""

    def __init__(self, exchange: Exchange, instance: FleetInstance) -> None:
        self.exchange = exchange
        self.forwarder = exchange.forwarder
        self.request = exchange.request
        self.instance = instance
        self.room = self.forwarder.rooms.get(instance)
        self.began = boottime()
        self.connection: InstanceConnection | None = None
        self.held: HeldAnswer | None = None

    @property
    def sent(self) -> bool:
        """Return whether the instance may have received the request."""
        return self.connection is not None

    async def run(self) -> AttemptEnd:
        """Make the attempt; the slot that it holds is released at its end."""
        end: AttemptEnd | None = None
        try:
            end = await self.bounded()
        finally:
            if self.connection is not None and self.connection.finish():
                self.forwarder.pool.give_back(self.instance, self.connection)
            self.forwarder.dispatcher.release(self.room)
            if end is not None:
                self.forwarder.judge(self.instance, end)
        return end

    async def bounded(self) -> AttemptEnd:
        """Make the attempt within the deadline and classify its failure."""
        try:
            async with asyncio.timeout(self.exchange.deadline - self.began) as limit:
                return await self.exchange_messages(limit)
        except InstanceSilent as error:
            return self.failed(AttemptEnd.SILENT, error)
        except TimeoutError as error:
            if not self.sent:
                return self.failed(AttemptEnd.UNREACHABLE, error)
            self.learn_run(boottime() - self.began, finished=False)
            return self.failed(AttemptEnd.LATE, error)
        except ExchangeBroken as error:
            return self.failed(self.classify_broken(), error)
        except OSError as error:
            if self.sent:
                raise
            return self.failed(AttemptEnd.UNREACHABLE, error)

    def classify_broken(self) -> AttemptEnd:
        """Tell a connection dropped before its use from a broken answer."""
        connection = self.connection
        if connection is None or connection.uses == 1 or connection.head_bytes:
            return AttemptEnd.BROKEN
        quick = boottime() - self.began < STALE_RESET_S
        return AttemptEnd.STALE if quick else AttemptEnd.BROKEN

    def failed(self, end: AttemptEnd, error: Exception) -> AttemptEnd:
        """Log a failure; one in the middle of an answer resets the caller."""
        cut = self.request.connection.begun
        self.exchange.events.emit(
            Code.REQUEST_CUT if cut else Code.REQUEST_FAILED,
            level=logging.WARNING,
            request=self.exchange.marks.id,
            instance=self.instance.id,
            end=end.value,
            error=str(error) or type(error).__name__,
        )
        if not cut:
            return end
        self.exchange.record("cut")
        self.request.connection.abort()
        return AttemptEnd.CUT

    async def exchange_messages(self, limit: asyncio.Timeout) -> AttemptEnd:
        """Send the request and handle what comes back."""
        connection = self.connection = await self.connect()
        self.send(connection)
        head = await self.wait_for_head(connection)
        marks = self.take_marks(connection, head)
        if marks.not_run:
            if marks.use is None:
                self.forwarder.rooms.record_rejection(self.room, boottime())
            await read_whole(connection)
            return AttemptEnd.MISDIRECTED if marks.misdirected else AttemptEnd.SHED
        if not marks.signed or marks.request_id != self.exchange.marks.id:
            raise ExchangeBroken("the answer bears no signature or another id")
        return await self.receive(connection, head, limit)

    async def connect(self) -> InstanceConnection:
        """Return a kept or a new connection to the instance."""
        pool = self.forwarder.pool
        kept = None
        if AttemptEnd.STALE not in self.exchange.ends:
            kept = pool.take(self.instance, repeatable=self.exchange.route.idempotent)
        return kept if kept is not None else await pool.open(self.instance)

    def send(self, connection: InstanceConnection) -> None:
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
            message, bodyless=method == b"HEAD", accepts=self.answers_this_request
        )

    def answers_this_request(self, status: int, headers: Headers) -> bool:
        """Return whether an answer is not one to an earlier request."""
        marks = self.forwarder.dialect.read_answer(status, headers)
        return marks.request_id in (None, self.exchange.marks.id)

    async def wait_for_head(self, connection: InstanceConnection) -> AnswerHead:
        """Wait for the answer, unless another instance may give it sooner.

        An instance that answers other requests meanwhile is busy, not silent.
        """
        service = self.exchange.ticket.service
        sent_at = boottime()
        left_s = self.exchange.deadline - sent_at
        patience_s = self.forwarder.runs.silence_timeout_s(self.exchange.route, left_s)
        if patience_s is not None and self.exchange.could_repeat():
            arrived = await connection.wait_head(patience_s)
            silent = not arrived and self.room.last_response_at < sent_at
            if silent and self.may_leave(service):
                raise InstanceSilent(f"no answer in {boottime() - sent_at:.3f} s")
        return await connection.read_head()

    def may_leave(self, service: ServiceId) -> bool:
        """Return whether the instance may be left for another one, now reserved.

        An entry that is stopping leaves none: the run may be the last one to end.
        """
        if self.forwarder.is_leaving() or not self.forwarder.budget.can_retry(service):
            return False
        return self.exchange.reserve()

    def take_marks(
        self, connection: InstanceConnection, head: AnswerHead
    ) -> AnswerMarks:
        """Learn from an answer's head."""
        now = boottime()
        rooms = self.forwarder.rooms
        marks = self.forwarder.dialect.read_answer(head.status, head.headers)
        self.room.last_response_at = now
        if not marks.not_run:
            rooms.record_latency(self.room, now - self.began)
            self.learn_run(now - self.began)
        if marks.use is not None:
            rooms.record_report(self.room, marks.use, now)
        if marks.idle_s is not None:
            connection.idle_limit_s = marks.idle_s
        if marks.closes:
            connection.reusable = False
        return marks

    def learn_run(self, seconds: float, *, finished: bool = True) -> None:
        """Take in how long the request ran at the instance."""
        runs = self.forwarder.runs
        learn = runs.record_run if finished else runs.record_unfinished
        learn(self.exchange.route, self.instance.id, self.exchange.ticket.key, seconds)

    async def receive(
        self, connection: InstanceConnection, head: AnswerHead, limit: asyncio.Timeout
    ) -> AttemptEnd:
        """Read the answer and pass it on, unless it can be replaced."""
        parts: list[bytes] = []
        complete = False
        if head.length is None or head.length <= WHOLE_BYTES:
            parts, complete = await read_start(connection)
        if not complete:
            limit.reschedule(self.stream_limit())
            await self.stream(connection, head, parts)
            return AttemptEnd.ANSWERED
        answer = HeldAnswer(head, b"".join(parts))
        if head.status >= 500 and self.exchange.route.idempotent:
            self.held = answer
            return AttemptEnd.FAILED
        self.exchange.deliver(answer)
        return AttemptEnd.ANSWERED

    def stream_limit(self) -> float:
        """Return the loop time until which an answer that has begun may take."""
        left = self.exchange.caller_deadline - boottime()
        return asyncio.get_running_loop().time() + max(0.0, left)

    async def stream(
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
        self.exchange.note_answered(head.status)


async def read_start(connection: InstanceConnection) -> tuple[list[bytes], bool]:
    """Return the first parts of a body, and whether they are all of it."""
    parts: list[bytes] = []
    size = 0
    while part := await connection.read_chunk():
        parts.append(part)
        size += len(part)
        if size > WHOLE_BYTES:
            return parts, False
    return parts, True


async def read_whole(connection: InstanceConnection) -> None:
    """Read and drop a body."""
    while await connection.read_chunk():
        pass
