"""One request's way: route, instance, attempts, answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import NoCapacity, NoInstance, PendingRequest
from masticdeck.errors import RequestInvalid
from masticdeck.events import Code
from masticdeck.gateway.attempt import (
    FINAL_STATUSES,
    UNDELIVERED_STATUSES,
    Attempt,
    AttemptStatus,
    BufferedResponse,
)
from masticdeck.protocol.dialect import Headers
from masticdeck.state.fleet import FleetInstance
from masticdeck.state.routes import Route
from masticdeck.transport.http1_server import InboundRequest

if TYPE_CHECKING:
    from masticdeck.gateway.forwarder import Forwarder

MIN_SEND_TIME_S = 0.01
"""Time left below which a request is no longer sent."""

MAX_WAIT_FRACTION = 0.5
"""Part of a request's time that it may wait for room."""

OBJECTIVE_WAIT_FRACTION = 0.6
"""Part of the wanted latency that a request may wait for room."""

DEFAULT_REMAINING_S = 10.0
"""Time that a caller has when it does not say."""

MAX_LOGGED_AGE_MS = 99_999
"""Largest age of a report in a log line; one that never came counts so too."""


class RouteNotFound(Exception):
    """No route matches the request any more."""


class Exchange:
    """Handles one request of a caller from its arrival to its answer."""

    def __init__(self, forwarder: Forwarder, request: InboundRequest) -> None:
        self.forwarder = forwarder
        self.events = forwarder.events
        self.request = request
        self.request_headers = forwarder.dialect.read_request(request.headers)
        self.host = read_host(request.headers)
        self.path = read_path(request.target)
        self.route = self.find_route()
        remaining = self.request_headers.remaining_s
        remaining = DEFAULT_REMAINING_S if remaining is None else remaining
        self.caller_deadline = request.received_at + remaining
        self.deadline = min(
            self.caller_deadline, request.received_at + self.route.timeout_s
        )
        self.pending_request = PendingRequest(
            route=self.route,
            service=forwarder.traffic_split.choose(self.route),
            key=self.request_headers.affinity,
            soft_deadline=request.received_at + self.route.objective_s,
            deadline=self.deadline,
        )
        self.attempt_count = 0
        self.failed_statuses: list[AttemptStatus] = []
        self.fallback_response: BufferedResponse | None = None
        self.reserved_instance: FleetInstance | None = None

    def find_route(self) -> Route:
        """Return the route in force now, or raise RouteNotFound."""
        routes = self.forwarder.fleet.routes
        route = None if routes is None else routes.match(self.host, self.path)
        if route is None:
            raise RouteNotFound
        return route

    async def run(self) -> None:
        """Try instances until one answers or no further attempt is allowed."""
        self.forwarder.retry_budget.deposit(self.pending_request.service)
        while True:
            instance = await self.acquire_instance()
            if instance is None:
                break
            end = await self.run_attempt(instance)
            if end in FINAL_STATUSES:
                return
            self.failed_statuses.append(end)
            if not self.should_retry(end):
                break
            self.events.emit(
                Code.REQUEST_REPEATED,
                request=self.request_headers.id,
                after=end.value,
                attempts=self.attempt_count,
                left_ms=self.remaining_ms(),
            )
        self.finish_without_success()

    async def acquire_instance(self) -> FleetInstance | None:
        """Return an instance that may be sent the request now, or None."""
        if self.reserved_instance is not None:
            instance, self.reserved_instance = self.reserved_instance, None
            return instance
        while self.deadline - boottime() >= MIN_SEND_TIME_S:
            self.refresh_route()
            epoch = self.forwarder.fleet.epoch
            try:
                instance = await self.forwarder.dispatcher.acquire(
                    self.pending_request, until=self.queue_deadline()
                )
            except NoCapacity:
                return self.forwarder.dispatcher.try_acquire_queued(
                    self.pending_request
                )
            except NoInstance:
                return None
            if epoch == self.forwarder.fleet.epoch or self.revalidate_instance(
                instance
            ):
                return instance
        return None

    def reserve_instance(self) -> bool:
        """Reserve another instance for the next attempt, if one has room now."""
        try:
            self.refresh_route()
        except RouteNotFound:
            return False
        self.reserved_instance = self.forwarder.dispatcher.try_acquire(
            self.pending_request
        )
        return self.reserved_instance is not None

    def revalidate_instance(self, instance: FleetInstance) -> bool:
        """Return whether the route still leads to an instance that was waited for.

        The slot is given back when it does not, or when there is no route.
        """
        confirmed = False
        try:
            confirmed = self.refresh_route()
        finally:
            if not confirmed:
                room = self.forwarder.instance_loads.get(instance)
                self.forwarder.dispatcher.release(room)
        return confirmed

    def refresh_route(self) -> bool:
        """Take over the route now in force; return whether it is unchanged."""
        route = self.find_route()
        if route == self.pending_request.route:
            return True
        self.pending_request.route = route
        if all(part.service != self.pending_request.service for part in route.services):
            self.pending_request.service = self.forwarder.traffic_split.choose(route)
        return False

    def queue_deadline(self) -> float:
        """Return the boot time until which the request waits for room."""
        received = self.request.received_at
        return received + min(
            MAX_WAIT_FRACTION * (self.deadline - received),
            OBJECTIVE_WAIT_FRACTION * self.route.objective_s,
        )

    async def run_attempt(self, instance: FleetInstance) -> AttemptStatus:
        """Send the request to an instance."""
        self.log_sent(instance)
        self.pending_request.tried_instances.add(instance.id)
        attempt = Attempt(self, instance)
        end = await attempt.run()
        self.fallback_response = attempt.failure_response or self.fallback_response
        if end is AttemptStatus.STALE:
            self.pending_request.tried_instances.discard(instance.id)
        elif attempt.is_sent:
            self.attempt_count += 1
        return end

    def is_retry_possible(self) -> bool:
        """Return whether another attempt may follow the one being made."""
        return (
            self.route.idempotent and self.attempt_count + 1 < self.route.max_attempts
        )

    def should_retry(self, end: AttemptStatus) -> bool:
        """Return whether another instance may be tried after a failed attempt."""
        if self.attempt_count >= self.pending_request.route.max_attempts:
            return False
        if not self.route.idempotent and not end.proves_not_run:
            return False
        if self.deadline - boottime() < MIN_SEND_TIME_S:
            return False
        return end in UNDELIVERED_STATUSES or self.forwarder.retry_budget.try_withdraw(
            self.pending_request.service
        )

    def send_response(self, answer: BufferedResponse) -> None:
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
        self.record_response(answer.head.status)

    def finish_without_success(self) -> None:
        """Answer for the system itself; a 503 vouches that nothing ran."""
        if self.reserved_instance is not None:
            room = self.forwarder.instance_loads.get(self.reserved_instance)
            self.forwarder.dispatcher.release(room)
        if self.fallback_response is not None:
            self.send_response(self.fallback_response)
            return
        if all(end.proves_not_run for end in self.failed_statuses):
            reason = (
                self.failed_statuses[-1].value if self.failed_statuses else "no room"
            )
            shortage = self.forwarder.dispatcher.describe_shortage(self.pending_request)
            self.forwarder.reject_unavailable(
                self.request,
                self.request_headers.id,
                reason=reason,
                route=self.pending_request.route.id,
                service=self.pending_request.service,
                key=self.request_headers.affinity or "",
                left_ms=self.remaining_ms(),
                candidates=shortage.candidate_count,
                waiting=shortage.waiting_count,
                expected_ms=round(shortage.min_run_s * 1000),
            )
            return
        status = 504 if self.failed_statuses[-1] is AttemptStatus.LATE else 502
        self.events.emit(
            Code.REQUEST_UNKNOWN,
            request=self.request_headers.id,
            status=status,
            ends=",".join(end.value for end in self.failed_statuses),
        )
        self.forwarder.send_empty_response(self.request, status)
        self.record_outcome("unknown")

    # Log lines and counts

    def record_outcome(self, end: str) -> None:
        """Count the end of the request."""
        self.forwarder.record_outcome(
            self.pending_request, end, self.request.received_at
        )

    def remaining_ms(self) -> int:
        """Return the milliseconds until the deadline."""
        return round((self.deadline - boottime()) * 1000)

    def log_sent(self, instance: FleetInstance) -> None:
        """Log the choice of an instance with what decided it."""
        now = boottime()
        fleet = self.forwarder.fleet
        room = self.forwarder.instance_loads.get(instance)
        report_age_ms = min((now - room.reported_at) * 1000, MAX_LOGGED_AGE_MS)
        self.events.emit(
            Code.REQUEST_SENT,
            request=self.request_headers.id,
            route=self.pending_request.route.id,
            service=self.pending_request.service,
            key=self.request_headers.affinity or "",
            instance=instance.id,
            zone=instance.zone,
            waited_ms=round((now - self.request.received_at) * 1000),
            left_ms=self.remaining_ms(),
            own=room.own_requests,
            others=room.other_requests,
            report_age_ms=round(report_age_ms),
            version=0 if fleet.routes is None else fleet.routes.version,
            epoch=fleet.epoch,
            view_age_ms=round(self.forwarder.view_age_s() * 1000),
        )

    def record_response(self, status: int) -> None:
        """Log and count an answer that came from an instance."""
        self.events.emit(
            Code.REQUEST_ANSWERED,
            request=self.request_headers.id,
            status=status,
            attempts=len(self.failed_statuses) + 1,
            ms=round((boottime() - self.request.received_at) * 1000),
        )
        self.record_outcome("answered" if status < 500 else "failed")


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
