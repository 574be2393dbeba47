"""One request's way: route, instance, attempts, answer."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, final

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import NoInstance, NoRoom, Ticket
from masticdeck.coordination.room import InstanceRoom
from masticdeck.errors import RequestInvalid
from masticdeck.events import Code
from masticdeck.protocol.dialect import AnswerMarks, Headers, find_header
from masticdeck.state.fleet import FleetInstance
from masticdeck.state.routes import Route
from masticdeck.transport.http1 import render_request
from masticdeck.transport.http1_client import (
    AnswerHead,
    ExchangeBroken,
    InstanceConnection,
)
from masticdeck.transport.http1_server import InboundRequest

if TYPE_CHECKING:
    from masticdeck.gateway.forwarder import Forwarder

WHOLE_BYTES = 65_536
"""Answers up to this size are read whole first, so that a cut one can be repeated."""

LEAST_SEND_S = 0.01
"""Time left below which a request is no longer sent."""

LARGEST_WAIT_PART = 0.5
"""Part of a request's time that it may wait for room."""

OBJECTIVE_WAIT_PART = 0.6
"""Part of the wanted latency that a request may wait for room."""

STALE_RESET_S = 0.15
"""Time within which a dropped connection resets a request: two long round trips."""

UNSTATED_REMAINING_S = 10.0
"""Time that a caller has when it does not say."""


class AttemptEnd(Enum):
    """How one attempt at an instance ended."""

    ANSWERED = "answered"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    STALE = "stale connection"
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


class RouteGone(Exception):
    """No route matches the request any more."""


@final
@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """An instance's complete answer that has not been passed on yet."""

    head: AnswerHead
    body: bytes


class Exchange:
    """Handles one request of a caller from its arrival to its answer."""

    def __init__(self, forwarder: Forwarder, request: InboundRequest) -> None:
        self.forwarder = forwarder
        self.events = forwarder.events
        self.request = request
        self.marks = forwarder.dialect.read_request(request.headers)
        self.host = read_host(request.headers)
        self.path = read_path(request.target)
        self.route = self.find_route()
        remaining = self.marks.remaining_s
        remaining = UNSTATED_REMAINING_S if remaining is None else remaining
        self.caller_deadline = request.received_at + remaining
        self.deadline = min(
            self.caller_deadline, request.received_at + self.route.timeout_s
        )
        self.ticket = Ticket(
            route=self.route,
            service=forwarder.split.choose(self.route),
            key=self.marks.affinity,
            due=request.received_at + self.route.objective_s,
        )
        self.attempts = 0
        self.ends: list[AttemptEnd] = []
        self.fallback: HeldAnswer | None = None

    def find_route(self) -> Route:
        """Return the route in force now, or raise RouteGone."""
        routes = self.forwarder.fleet.routes
        route = None if routes is None else routes.match(self.host, self.path)
        if route is None:
            raise RouteGone
        return route

    async def run(self) -> None:
        """Try instances until one answers or no further attempt is allowed."""
        self.forwarder.budget.earn(self.ticket.service)
        while True:
            instance = await self.find_instance()
            if instance is None:
                self.give_up()
                return
            end = await self.attempt(instance)
            if end in FINAL_ENDS:
                return
            self.ends.append(end)
            if not self.may_repeat(end):
                self.give_up()
                return
            self.events.emit(
                Code.REQUEST_REPEATED,
                request=self.marks.id,
                after=end.value,
                attempts=self.attempts,
                left_ms=self.left_ms(),
            )

    async def find_instance(self) -> FleetInstance | None:
        """Return an instance that may be sent the request now, or None."""
        while True:
            now = boottime()
            if self.deadline - now < LEAST_SEND_S:
                return None
            self.follow_configuration()
            epoch = self.forwarder.fleet.epoch
            try:
                instance = await self.forwarder.dispatcher.acquire(
                    self.ticket, until=self.wait_limit()
                )
            except NoRoom:
                return self.forwarder.dispatcher.take_full(self.ticket)
            except NoInstance:
                return None
            if epoch == self.forwarder.fleet.epoch or self.follow_configuration():
                return instance
            self.forwarder.dispatcher.release(self.forwarder.rooms.get(instance), None)

    def follow_configuration(self) -> bool:
        """Take over the route now in force; return whether it is unchanged."""
        route = self.find_route()
        if route == self.ticket.route:
            return True
        self.ticket.route = route
        if all(part.service != self.ticket.service for part in route.services):
            self.ticket.service = self.forwarder.split.choose(route)
        return False

    def wait_limit(self) -> float:
        """Return the boot time until which the request waits for room."""
        received = self.request.received_at
        return received + min(
            LARGEST_WAIT_PART * (self.deadline - received),
            OBJECTIVE_WAIT_PART * self.route.objective_s,
        )

    def may_repeat(self, end: AttemptEnd) -> bool:
        """Return whether another instance may be tried after a failed attempt."""
        if end is AttemptEnd.STALE:
            self.attempts -= 1
            self.ticket.tried.clear()
        if self.attempts >= self.ticket.route.max_attempts:
            return False
        if not self.route.idempotent and not end.proves_not_run:
            return False
        if self.deadline - boottime() < LEAST_SEND_S:
            return False
        if end in UNARRIVED_ENDS:
            return True
        return self.forwarder.budget.spend(self.ticket.service)

    async def attempt(self, instance: FleetInstance) -> AttemptEnd:
        """Send the request to an instance and pass its answer on."""
        began = boottime()
        room = self.forwarder.rooms.get(instance)
        self.note_sent(instance, room, began)
        self.ticket.tried.add(instance.id)
        connection: InstanceConnection | None = None
        end: AttemptEnd | None = None
        latency: float | None = None
        try:
            async with asyncio.timeout(self.deadline - began) as limit:
                connection = await self.connect(instance)
                self.attempts += 1
                head, marks = await self.ask(connection, instance, room)
                latency = boottime() - began
                end = await self.receive(connection, head, marks, limit)
        except TimeoutError as error:
            if self.request.connection.begun:
                self.cut(instance, error)
                end = AttemptEnd.CUT
            else:
                late = connection is not None
                end = AttemptEnd.LATE if late else AttemptEnd.UNREACHABLE
                self.note_failed(instance, end, error)
        except OSError as error:
            if connection is not None:
                raise
            end = AttemptEnd.UNREACHABLE
            self.note_failed(instance, end, error)
        except ExchangeBroken as error:
            if self.request.connection.begun:
                self.cut(instance, error)
                end = AttemptEnd.CUT
            else:
                end = AttemptEnd.BROKEN
                if connection is not None and was_stale(connection, boottime() - began):
                    end = AttemptEnd.STALE
                self.note_failed(instance, end, error)
        finally:
            if connection is not None:
                self.put_back(instance, connection)
            self.forwarder.dispatcher.release(room, latency)
            if end is not None:
                self.forwarder.judge(instance, end)
        return end

    async def connect(self, instance: FleetInstance) -> InstanceConnection:
        """Return a kept or a new connection to the instance."""
        pool = self.forwarder.pool
        kept = None
        if AttemptEnd.STALE not in self.ends:
            kept = pool.take(instance, repeatable=self.route.idempotent)
        return kept if kept is not None else await pool.open(instance)

    async def ask(
        self,
        connection: InstanceConnection,
        instance: FleetInstance,
        room: InstanceRoom,
    ) -> tuple[AnswerHead, AnswerMarks]:
        """Send the request; return the head of the answer to it."""
        dialect = self.forwarder.dialect
        headers = dialect.forward_headers(
            self.request.headers,
            remaining_s=self.deadline - boottime(),
            instance=instance.id,
        )
        method = self.request.method
        message = render_request(
            method, self.request.target, headers, self.request.body
        )
        connection.begin(
            message, bodyless=method == b"HEAD", accepts=self.answers_this_request
        )
        head = await connection.read_head()
        marks = dialect.read_answer(head.status, head.headers)
        if marks.use is not None:
            self.forwarder.rooms.report(room, marks.use, boottime())
        if marks.idle_s is not None:
            connection.idle_limit_s = marks.idle_s
        if marks.closes:
            connection.reusable = False
        return head, marks

    def answers_this_request(self, status: int, headers: Headers) -> bool:
        """Return whether an answer is not one to an earlier request."""
        marks = self.forwarder.dialect.read_answer(status, headers)
        return marks.request_id is None or marks.request_id == self.marks.id

    async def receive(
        self,
        connection: InstanceConnection,
        head: AnswerHead,
        marks: AnswerMarks,
        limit: asyncio.Timeout,
    ) -> AttemptEnd:
        """Read the answer and pass it on, unless it can be replaced."""
        if marks.not_run:
            await read_whole(connection)
            return AttemptEnd.MISDIRECTED if marks.misdirected else AttemptEnd.SHED
        if not marks.signed or marks.request_id != self.marks.id:
            raise ExchangeBroken("the answer bears no signature or another id")
        if head.length is not None and head.length > WHOLE_BYTES:
            limit.reschedule(self.stream_limit())
            await self.stream(connection, head, [])
            return AttemptEnd.ANSWERED
        parts, complete = await read_start(connection)
        if not complete:
            limit.reschedule(self.stream_limit())
            await self.stream(connection, head, parts)
            return AttemptEnd.ANSWERED
        answer = HeldAnswer(head, b"".join(parts))
        if head.status >= 500 and self.route.idempotent:
            self.fallback = answer
            return AttemptEnd.FAILED
        self.deliver(answer)
        return AttemptEnd.ANSWERED

    def stream_limit(self) -> float:
        """Return the loop time until which an answer that has begun may take."""
        loop = asyncio.get_running_loop()
        return loop.time() + max(0.0, self.caller_deadline - boottime())

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
        self.note_answered(head.status)

    def deliver(self, answer: HeldAnswer) -> None:
        """Pass a complete answer on."""
        headers = self.forwarder.dialect.answer_headers(answer.head.headers)
        stated = answer.head.length if self.request.method == b"HEAD" else None
        self.request.connection.send_whole(
            answer.head.status,
            headers,
            answer.body,
            reason=answer.head.reason,
            body_length=stated,
        )
        self.note_answered(answer.head.status)

    def put_back(self, instance: FleetInstance, connection: InstanceConnection) -> None:
        """Keep a connection whose answer was read to its end, close others."""
        if connection.finish():
            self.forwarder.pool.give_back(instance, connection)

    # Ends without an instance's answer

    def give_up(self) -> None:
        """Answer for the system itself; a 503 vouches that nothing ran."""
        if self.fallback is not None:
            self.deliver(self.fallback)
        elif all(end.proves_not_run for end in self.ends):
            self.forwarder.refuse(
                self.request, self.marks.id, reason=self.refusal_reason()
            )
        else:
            status = 504 if self.ends[-1] is AttemptEnd.LATE else 502
            self.events.emit(
                Code.REQUEST_UNKNOWN,
                request=self.marks.id,
                status=status,
                ends=",".join(end.value for end in self.ends),
            )
            self.forwarder.answer_plain(self.request, status)
            self.forwarder.record(self.ticket, "unknown", self.request.received_at)

    def refusal_reason(self) -> str:
        """Return why nothing was sent or accepted."""
        return self.ends[-1].value if self.ends else "no room"

    def cut(self, instance: FleetInstance, error: Exception) -> None:
        """Reset the caller's connection in the middle of an answer."""
        self.events.emit(
            Code.REQUEST_CUT,
            level=logging.WARNING,
            request=self.marks.id,
            instance=instance.id,
            error=error,
        )
        self.forwarder.record(self.ticket, "cut", self.request.received_at)
        self.request.connection.abort()

    # Log lines

    def left_ms(self) -> int:
        """Return the milliseconds until the deadline."""
        return round((self.deadline - boottime()) * 1000)

    def note_sent(
        self, instance: FleetInstance, room: InstanceRoom, now: float
    ) -> None:
        """Log the choice of an instance with what decided it."""
        fleet = self.forwarder.fleet
        self.events.emit(
            Code.REQUEST_SENT,
            request=self.marks.id,
            route=self.ticket.route.id,
            service=self.ticket.service,
            key=self.marks.affinity or "",
            instance=instance.id,
            zone=instance.zone,
            waited_ms=round((now - self.request.received_at) * 1000),
            left_ms=self.left_ms(),
            own=room.own,
            others=room.others,
            report_age_ms=min(99_999, round((now - room.reported_at) * 1000))
            if room.reported_at > 0
            else "",
            version=0 if fleet.routes is None else fleet.routes.version,
            epoch=fleet.epoch,
            view_age_ms=round(self.forwarder.view_age_s() * 1000),
        )

    def note_failed(
        self, instance: FleetInstance, end: AttemptEnd, error: Exception
    ) -> None:
        """Log a failed attempt."""
        self.events.emit(
            Code.REQUEST_FAILED,
            level=logging.WARNING,
            request=self.marks.id,
            instance=instance.id,
            end=end.value,
            error=str(error) or type(error).__name__,
        )

    def note_answered(self, status: int) -> None:
        """Log and count an answer that came from an instance."""
        self.events.emit(
            Code.REQUEST_ANSWERED,
            request=self.marks.id,
            status=status,
            attempts=self.attempts,
            ms=round((boottime() - self.request.received_at) * 1000),
        )
        end = "answered" if status < 500 else "failed"
        self.forwarder.record(self.ticket, end, self.request.received_at)


def was_stale(connection: InstanceConnection, seconds: float) -> bool:
    """Return whether a kept connection had been dropped before it was used."""
    unanswered = connection.uses > 1 and not connection.head_bytes
    return unanswered and seconds < STALE_RESET_S


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


def read_host(headers: Headers) -> str:
    """Return the host that a request names, without its port."""
    hosts = [value for key, value in headers if key.lower() == b"host"]
    if len(hosts) != 1:
        raise RequestInvalid("the request must name one host")
    name = find_header(headers, b"host") or b""
    return name.decode("latin-1").lower().partition(":")[0]


def read_path(target: bytes) -> str:
    """Return the path of a request target, without its query."""
    if not target.startswith(b"/"):
        raise RequestInvalid("the request target is not a path")
    return target.partition(b"?")[0].decode("latin-1")
