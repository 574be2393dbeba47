"""Handles one request: route lookup, instance choice, attempts and response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import (
    NoCapacity,
    NoInstance,
    PendingRequest,
    queue_deadline,
)
from masticdeck.coordination.quotas.limiter import (
    Admission,
    QuotaExceeded,
    QuotaUnproved,
)
from masticdeck.coordination.workspaces.access import (
    Grant,
    KeyUnknown,
    KeyUnproved,
    RouteNotFound,
)
from masticdeck.errors import RequestInvalid
from masticdeck.events import Code
from masticdeck.gateway.attempt import (
    FINAL_STATUSES,
    MIN_SEND_TIME_S,
    UNDELIVERED_STATUSES,
    Attempt,
    AttemptStatus,
    BufferedResponse,
)
from masticdeck.ids import WorkspaceId
from masticdeck.protocol.dialect import Headers
from masticdeck.state.fleet import FleetInstance
from masticdeck.transport.http1_server import InboundRequest

if TYPE_CHECKING:
    from masticdeck.gateway.forwarder import Forwarder

DEFAULT_REMAINING_S = 10.0
"""Time to the deadline when the caller sends none."""

MAX_LOGGED_AGE_MS = 99_999
"""Upper bound of a report age in log lines, also logged without any report."""


PERMISSION_ERRORS = (
    RouteNotFound,
    KeyUnknown,
    KeyUnproved,
    QuotaExceeded,
    QuotaUnproved,
)
"""Raised when a request may not be sent under the configuration in force."""

UNTRIED_STATUSES = frozenset({AttemptStatus.STALE, AttemptStatus.OUTDATED})
"""Ends of attempts that say nothing about the instance, which may be tried again."""


class Exchange:
    """Handles one caller's request from its arrival to its response.

    ``failed_statuses`` lists the attempts that did not complete the request, in
    order. ``attempt_count`` counts only those that may have reached an instance.
    """

    def __init__(self, forwarder: Forwarder, request: InboundRequest) -> None:
        self.forwarder = forwarder
        self.events = forwarder.events
        self.request = request
        self.request_headers = forwarder.dialect.read_request(request.headers)
        self.host = read_host(request.headers)
        self.path = read_path(request.target)
        self.grant = self.find_grant()
        self.route = self.grant.route
        remaining_s = self.request_headers.remaining_s
        remaining_s = DEFAULT_REMAINING_S if remaining_s is None else remaining_s
        self.caller_deadline = request.received_at + remaining_s
        self.deadline = min(
            self.caller_deadline, request.received_at + self.route.timeout_s
        )
        self.pending_request = PendingRequest(
            route=self.route,
            service=forwarder.traffic_split.choose(self.route),
            key=self.request_headers.affinity,
            soft_deadline=request.received_at + self.route.objective_s,
            deadline=self.deadline,
            received_at=request.received_at,
            caller_deadline=self.caller_deadline,
            workspace=self.workspace_id,
        )
        self.queue_until = queue_deadline(request.received_at, self.deadline)
        self.pending_request.queue_until = self.queue_until
        if self.request_headers.remaining_s is not None:
            forwarder.dispatcher.note_arrival(self.pending_request)
        self.admission: Admission | None = None
        self.admitted_workspace: WorkspaceId | None = None
        self.is_attempt_open = False
        self.attempt_count = 0
        self.failed_statuses: list[AttemptStatus] = []
        self.fallback_response: BufferedResponse | None = None
        self.reserved_instance: FleetInstance | None = None

    @property
    def workspace_id(self) -> WorkspaceId | None:
        """Return the workspace of the request, None if it needs no key."""
        workspace = self.grant.workspace
        return None if workspace is None else workspace.id

    def find_grant(self) -> Grant:
        """Return the route and workspace in force now.

        Raises RouteNotFound, KeyUnknown and KeyUnproved.
        """
        return self.forwarder.access.find(
            self.host, self.path, self.request_headers.key
        )

    async def run(self) -> None:
        """Admit the request and try instances until one responds or none is left.

        A request that may have run, and may no longer be sent, ends as after its last
        attempt: a refusal would state that it did not run.
        """
        self.admit(self.grant)
        try:
            await self.run_attempts()
        except PERMISSION_ERRORS:
            self.take_back_admission()
            if self.has_certainly_not_run():
                raise
            self.finish_without_success()
        except BaseException:
            self.take_back_admission()
            raise

    def admit(self, grant: Grant) -> None:
        """Count the request against the quota of its workspace.

        Raises QuotaExceeded and QuotaUnproved.
        """
        workspace = grant.workspace
        if workspace is not None:
            self.admission = self.forwarder.quota_limiter.admit(workspace, boottime())
            self.admitted_workspace = workspace.id

    def take_back_admission(self) -> None:
        """Do not count the request if it certainly did not run."""
        self.admitted_workspace = None
        admission, self.admission = self.admission, None
        if (
            admission is not None
            and not self.is_attempt_open
            and self.has_certainly_not_run()
        ):
            self.forwarder.quota_limiter.take_back(admission)

    async def run_attempts(self) -> None:
        """Try instances until one responds or no further attempt is allowed."""
        self.forwarder.retry_budget.deposit(self.pending_request.service)
        while True:
            instance = await self.acquire_instance()
            if instance is None:
                break
            status = await self.run_attempt(instance)
            if status in FINAL_STATUSES:
                return
            self.failed_statuses.append(status)
            if not self.should_retry(status):
                break
            self.events.emit(
                Code.REQUEST_REPEATED,
                request=self.request_headers.id,
                after=status.value,
                attempts=self.attempt_count,
                left_ms=self.remaining_ms(),
            )
        self.finish_without_success()

    async def acquire_instance(self) -> FleetInstance | None:
        """Return an instance with an acquired slot, or None without one in time."""
        if self.reserved_instance is not None:
            instance, self.reserved_instance = self.reserved_instance, None
            return instance
        while self.deadline - boottime() >= MIN_SEND_TIME_S:
            self.refresh_route()
            epoch = self.forwarder.fleet.epoch
            try:
                instance = await self.forwarder.dispatcher.acquire(
                    self.pending_request, until=self.queue_until
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
        """Acquire a free slot of another instance for the next attempt.

        Returns False when none is free.
        """
        try:
            self.refresh_route()
        except PERMISSION_ERRORS:
            return False
        self.reserved_instance = self.forwarder.dispatcher.try_acquire(
            self.pending_request
        )
        return self.reserved_instance is not None

    def revalidate_instance(self, instance: FleetInstance) -> bool:
        """Return whether the route is unchanged since the wait for a slot began.

        Otherwise, or when no route matches any more, the slot is released.
        """
        is_valid = False
        try:
            is_valid = self.refresh_route()
        finally:
            if not is_valid:
                instance_load = self.forwarder.instance_loads.get(instance)
                self.forwarder.dispatcher.release(instance_load)
        return is_valid

    def refresh_route(self) -> bool:
        """Update the pending request to the route and the workspace in force.

        Returns whether the route is unchanged. Raises what ``find_grant`` and ``admit``
        raise, and changes nothing but the admission then.
        """
        grant = self.find_grant()
        workspace = grant.workspace
        if (None if workspace is None else workspace.id) != self.admitted_workspace:
            self.take_back_admission()
            self.admit(grant)
        self.grant = grant
        self.pending_request.workspace = self.workspace_id
        route = self.grant.route
        if route == self.pending_request.route:
            return True
        self.pending_request.route = route
        if all(
            weight.service != self.pending_request.service for weight in route.services
        ):
            self.pending_request.service = self.forwarder.traffic_split.choose(route)
        return False

    async def run_attempt(self, instance: FleetInstance) -> AttemptStatus:
        """Send the request to an instance and return how the attempt ended."""
        self.log_sent(instance)
        self.pending_request.tried_instances.add(instance.id)
        attempt = Attempt(self, instance)
        self.is_attempt_open = True
        try:
            status = await attempt.run()
        except PERMISSION_ERRORS:
            self.is_attempt_open = attempt.is_sent
            raise
        self.is_attempt_open = False
        self.fallback_response = attempt.failure_response or self.fallback_response
        if status in UNTRIED_STATUSES:
            self.pending_request.tried_instances.discard(instance.id)
        elif attempt.is_sent:
            self.attempt_count += 1
        return status

    def may_send(self) -> bool:
        """Return whether the request may still be sent as the instance was chosen.

        A key may have been removed, or moved to another workspace, since then, or the
        route may need a key now.
        """
        if self.workspace_id is None and not self.forwarder.access.needs_keys():
            return True
        return self.refresh_route()

    def has_certainly_not_run(self) -> bool:
        """Return whether no instance can have run the request."""
        return all(status.proves_not_run for status in self.failed_statuses)

    def is_retry_possible(self) -> bool:
        """Return whether the route allows an attempt after the current one."""
        return (
            self.route.idempotent and self.attempt_count + 1 < self.route.max_attempts
        )

    def should_retry(self, status: AttemptStatus) -> bool:
        """Return whether the request may be sent again after a failed attempt.

        A request that is not idempotent is sent again only when the attempt
        proves that it did not run.
        """
        if self.attempt_count >= self.pending_request.route.max_attempts:
            return False
        if not self.route.idempotent and not status.proves_not_run:
            return False
        if self.deadline - boottime() < MIN_SEND_TIME_S:
            return False
        return (
            status in UNDELIVERED_STATUSES
            or self.forwarder.retry_budget.try_withdraw(self.pending_request.service)
        )

    def send_response(self, response: BufferedResponse) -> None:
        """Send an instance's complete response to the caller."""
        headers = self.forwarder.dialect.answer_headers(response.head.headers)
        body_length = response.head.length if self.request.method == b"HEAD" else None
        self.request.connection.send_whole(
            response.head.status,
            headers,
            response.body,
            reason=response.head.reason,
            body_length=body_length,
        )
        self.record_response(response.head.status)

    def finish_without_success(self) -> None:
        """Respond after the last failed attempt.

        A complete 5xx response of an instance is sent on. Otherwise the entry
        responds with 503 only if no instance ran the request, and with 502 or 504
        if one may have run it.
        """
        if self.reserved_instance is not None:
            instance_load = self.forwarder.instance_loads.get(self.reserved_instance)
            self.forwarder.dispatcher.release(instance_load)
        if self.fallback_response is not None:
            self.send_response(self.fallback_response)
            return
        if self.has_certainly_not_run():
            self.take_back_admission()
            reason = self.describe_refusal()
            shortage = self.forwarder.dispatcher.describe_shortage(self.pending_request)
            self.forwarder.reject_unavailable(
                self.request,
                self.request_headers.id,
                reason=reason,
                retry_after_s=self.forwarder.retry_after_s(
                    max(shortage.rest_s, shortage.cold_s), self.pending_request
                ),
                route=self.pending_request.route.id,
                service=self.pending_request.service,
                key=self.request_headers.affinity or "",
                left_ms=self.remaining_ms(),
                candidates=shortage.candidate_count,
                waiting=shortage.waiting_count,
                expected_ms=round(shortage.min_run_s * 1000),
                rest_ms=round(shortage.rest_s * 1000),
                cold_ms=round(shortage.cold_s * 1000),
                **self.describe_estimate(),
            )
            return
        status_code = 504 if self.failed_statuses[-1] is AttemptStatus.LATE else 502
        self.events.emit(
            Code.REQUEST_UNKNOWN,
            request=self.request_headers.id,
            status=status_code,
            ends=",".join(status.value for status in self.failed_statuses),
        )
        self.forwarder.send_empty_response(self.request, status_code)
        self.record_outcome("unknown")

    def describe_refusal(self) -> str:
        """Return why the request is refused, for its log line."""
        if self.failed_statuses:
            return self.failed_statuses[-1].value
        if self.forwarder.is_leaving():
            return "entry stopping"
        is_early = self.pending_request.refusal is not None
        return "expected wait" if is_early else "no room"

    def describe_estimate(self) -> dict[str, float]:
        """Return the estimate for which the request was refused on arrival, if any."""
        refusal = self.pending_request.refusal
        if refusal is None:
            return {}
        estimate = refusal.estimate
        return {
            "expected_wait_ms": round(estimate.wait_s * 1000),
            "grants_per_s": round(estimate.rate_per_s, 2),
            "position": round(estimate.position, 1),
            "in_time_load": round(estimate.in_time_load, 2),
        }

    # Events and metrics

    def record_outcome(self, outcome: str) -> None:
        """Record the outcome and duration of the request in the metrics."""
        self.forwarder.record_outcome(
            self.pending_request, outcome, self.request.received_at
        )

    def remaining_ms(self) -> int:
        """Return the time to the deadline in milliseconds."""
        return round((self.deadline - boottime()) * 1000)

    def log_sent(self, instance: FleetInstance) -> None:
        """Log the chosen instance and the inputs of the choice."""
        now = boottime()
        fleet = self.forwarder.fleet
        load = self.forwarder.instance_loads.get(instance)
        report_age_ms = min((now - load.reported_at) * 1000, MAX_LOGGED_AGE_MS)
        cold_period = fleet.cold_period(instance)
        is_cold = cold_period.until > now
        if is_cold:
            self.forwarder.metrics.count("requests_to_cold_instances")
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
            own=load.own_requests,
            others=load.other_requests,
            report_age_ms=round(report_age_ms),
            version=0 if fleet.routes is None else fleet.routes.version,
            epoch=fleet.epoch,
            view_age_ms=round(self.forwarder.view_age_s() * 1000),
            born=instance.born_ms,
            cold_ms=round((cold_period.until - now) * 1000) if is_cold else 0,
            cold_source=cold_period.source.value if is_cold else "",
            doubt=self.forwarder.describe_doubt(),
            entries=len(self.forwarder.dispatcher.cold_turns.members()),
        )

    def record_response(self, status_code: int) -> None:
        """Log and count a response that came from an instance."""
        self.events.emit(
            Code.REQUEST_ANSWERED,
            request=self.request_headers.id,
            status=status_code,
            attempts=len(self.failed_statuses) + 1,
            ms=round((boottime() - self.request.received_at) * 1000),
        )
        self.record_outcome("answered" if status_code < 500 else "failed")


def read_host(headers: Headers) -> str:
    """Return the host of the Host header in lower case, without the port."""
    hosts = [value for name, value in headers if name.lower() == b"host"]
    if len(hosts) != 1:
        raise RequestInvalid(
            "the request has no or several Host headers; send exactly one"
        )
    return hosts[0].decode("latin-1").lower().partition(":")[0]


def read_path(target: bytes) -> str:
    """Return the path of a request target, without its query."""
    if not target.startswith(b"/"):
        raise RequestInvalid(
            "the request target is not a path; send one that starts with '/'"
        )
    return target.partition(b"?")[0].decode("latin-1")
