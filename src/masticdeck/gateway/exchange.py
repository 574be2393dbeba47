"""One request's way: route, instance, attempts, answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import NoCapacity, NoInstance, PendingRequest
from masticdeck.errors import RequestInvalid
from masticdeck.events import Code
from masticdeck.gateway.attempt import (
    FINAL_ENDS,
    UNARRIVED_ENDS,
    Attempt,
    AttemptEnd,
    HeldAnswer,
)
from masticdeck.protocol.dialect import Headers
from masticdeck.state.fleet import FleetInstance
from masticdeck.state.routes import Route
from masticdeck.transport.http1_server import InboundRequest

if TYPE_CHECKING:
    from masticdeck.gateway.forwarder import Forwarder

LEAST_SEND_S = 0.01
"""Time left below which a request is no longer sent."""

LARGEST_WAIT_PART = 0.5
"""Part of a request's time that it may wait for room."""

OBJECTIVE_WAIT_PART = 0.6
"""Part of the wanted latency that a request may wait for room."""

UNSTATED_REMAINING_S = 10.0
"""Time that a caller has when it does not say."""

MOST_LOGGED_AGE_MS = 99_999
"""Largest age of a report in a log line; one that never came counts so too."""


class RouteGone(Exception):
    """No route matches the request any more."""


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
        self.ticket = PendingRequest(
            route=self.route,
            service=forwarder.split.choose(self.route),
            key=self.marks.affinity,
            soft_deadline=request.received_at + self.route.objective_s,
            deadline=self.deadline,
        )
        self.attempts = 0
        self.ends: list[AttemptEnd] = []
        self.fallback: HeldAnswer | None = None
        self.reserved: FleetInstance | None = None

    def find_route(self) -> Route:
        """Return the route in force now, or raise RouteGone."""
        routes = self.forwarder.fleet.routes
        route = None if routes is None else routes.match(self.host, self.path)
        if route is None:
            raise RouteGone
        return route

    async def run(self) -> None:
        """Try instances until one answers or no further attempt is allowed."""
        self.forwarder.budget.deposit(self.ticket.service)
        while True:
            instance = await self.find_instance()
            if instance is None:
                break
            end = await self.attempt(instance)
            if end in FINAL_ENDS:
                return
            self.ends.append(end)
            if not self.may_repeat(end):
                break
            self.events.emit(
                Code.REQUEST_REPEATED,
                request=self.marks.id,
                after=end.value,
                attempts=self.attempts,
                left_ms=self.left_ms(),
            )
        self.give_up()

    async def find_instance(self) -> FleetInstance | None:
        """Return an instance that may be sent the request now, or None."""
        if self.reserved is not None:
            instance, self.reserved = self.reserved, None
            return instance
        while self.deadline - boottime() >= LEAST_SEND_S:
            self.follow_configuration()
            epoch = self.forwarder.fleet.epoch
            try:
                instance = await self.forwarder.dispatcher.acquire(
                    self.ticket, until=self.wait_limit()
                )
            except NoCapacity:
                return self.forwarder.dispatcher.try_acquire_queued(self.ticket)
            except NoInstance:
                return None
            if epoch == self.forwarder.fleet.epoch or self.confirm(instance):
                return instance
        return None

    def reserve(self) -> bool:
        """Reserve another instance for the next attempt, if one has room now."""
        try:
            self.follow_configuration()
        except RouteGone:
            return False
        self.reserved = self.forwarder.dispatcher.try_acquire(self.ticket)
        return self.reserved is not None

    def confirm(self, instance: FleetInstance) -> bool:
        """Return whether the route still leads to an instance that was waited for.

        The slot is given back when it does not, or when there is no route.
        """
        confirmed = False
        try:
            confirmed = self.follow_configuration()
        finally:
            if not confirmed:
                room = self.forwarder.rooms.get(instance)
                self.forwarder.dispatcher.release(room)
        return confirmed

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

    async def attempt(self, instance: FleetInstance) -> AttemptEnd:
        """Send the request to an instance."""
        self.note_sent(instance)
        self.ticket.tried_instances.add(instance.id)
        attempt = Attempt(self, instance)
        end = await attempt.run()
        self.fallback = attempt.held or self.fallback
        if end is AttemptEnd.STALE:
            self.ticket.tried_instances.discard(instance.id)
        elif attempt.sent:
            self.attempts += 1
        return end

    def could_repeat(self) -> bool:
        """Return whether another attempt may follow the one being made."""
        return self.route.idempotent and self.attempts + 1 < self.route.max_attempts

    def may_repeat(self, end: AttemptEnd) -> bool:
        """Return whether another instance may be tried after a failed attempt."""
        if self.attempts >= self.ticket.route.max_attempts:
            return False
        if not self.route.idempotent and not end.proves_not_run:
            return False
        if self.deadline - boottime() < LEAST_SEND_S:
            return False
        return end in UNARRIVED_ENDS or self.forwarder.budget.try_withdraw(
            self.ticket.service
        )

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

    def give_up(self) -> None:
        """Answer for the system itself; a 503 vouches that nothing ran."""
        if self.reserved is not None:
            room = self.forwarder.rooms.get(self.reserved)
            self.forwarder.dispatcher.release(room)
        if self.fallback is not None:
            self.deliver(self.fallback)
            return
        if all(end.proves_not_run for end in self.ends):
            reason = self.ends[-1].value if self.ends else "no room"
            shortage = self.forwarder.dispatcher.describe_shortage(self.ticket)
            self.forwarder.refuse(
                self.request,
                self.marks.id,
                reason=reason,
                route=self.ticket.route.id,
                service=self.ticket.service,
                key=self.marks.affinity or "",
                left_ms=self.left_ms(),
                candidates=shortage.candidate_count,
                waiting=shortage.waiting_count,
                expected_ms=round(shortage.min_run_s * 1000),
            )
            return
        status = 504 if self.ends[-1] is AttemptEnd.LATE else 502
        self.events.emit(
            Code.REQUEST_UNKNOWN,
            request=self.marks.id,
            status=status,
            ends=",".join(end.value for end in self.ends),
        )
        self.forwarder.answer_plain(self.request, status)
        self.record("unknown")

    # Log lines and counts

    def record(self, end: str) -> None:
        """Count the end of the request."""
        self.forwarder.record(self.ticket, end, self.request.received_at)

    def left_ms(self) -> int:
        """Return the milliseconds until the deadline."""
        return round((self.deadline - boottime()) * 1000)

    def note_sent(self, instance: FleetInstance) -> None:
        """Log the choice of an instance with what decided it."""
        now = boottime()
        fleet = self.forwarder.fleet
        room = self.forwarder.rooms.get(instance)
        report_age_ms = min((now - room.reported_at) * 1000, MOST_LOGGED_AGE_MS)
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
            own=room.own_requests,
            others=room.other_requests,
            report_age_ms=round(report_age_ms),
            version=0 if fleet.routes is None else fleet.routes.version,
            epoch=fleet.epoch,
            view_age_ms=round(self.forwarder.view_age_s() * 1000),
        )

    def note_answered(self, status: int) -> None:
        """Log and count an answer that came from an instance."""
        self.events.emit(
            Code.REQUEST_ANSWERED,
            request=self.marks.id,
            status=status,
            attempts=len(self.ends) + 1,
            ms=round((boottime() - self.request.received_at) * 1000),
        )
        self.record("answered" if status < 500 else "failed")


def read_host(headers: Headers) -> str:
    """Return the host that a request names, without its port."""
    hosts = [value for key, value in headers if key.lower() == b"host"]
    if len(hosts) != 1:
        raise RequestInvalid("the request must name one host")
    return hosts[0].decode("latin-1").lower().partition(":")[0]


def read_path(target: bytes) -> str:
    """Return the path of a request target, without its query."""
    if not target.startswith(b"/"):
        raise RequestInvalid("the request target is not a path")
    return target.partition(b"?")[0].decode("latin-1")
