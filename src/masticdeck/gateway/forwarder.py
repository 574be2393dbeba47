"""State shared by all requests of an entry, and the entry's own responses."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import Dispatcher, PendingRequest
from masticdeck.coordination.feed import RecordReplica
from masticdeck.coordination.fleet_view import DEFAULT_COLD_S
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoad, InstanceLoads
from masticdeck.coordination.quotas.limiter import (
    QuotaExceeded,
    QuotaLimiter,
    QuotaUnproved,
)
from masticdeck.coordination.retries import SharedRetryBudget
from masticdeck.coordination.run_times import RunTimes
from masticdeck.coordination.split import TrafficSplit
from masticdeck.coordination.workspaces.access import (
    KeyUnknown,
    KeyUnproved,
    RouteNotFound,
    WorkspaceAccess,
)
from masticdeck.errors import RequestInvalid
from masticdeck.events import Code, EventLog
from masticdeck.gateway.attempt import AttemptStatus
from masticdeck.gateway.exchange import DEFAULT_REMAINING_S, Exchange
from masticdeck.metrics import Metrics
from masticdeck.protocol.dialect import AnswerMarks, Dialect, Headers
from masticdeck.state.fleet import ColdSource, Fleet, FleetInstance
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.http1_server import InboundRequest
from masticdeck.transport.instance_pool import InstancePool

RETRY_AFTER_S = 0.3
"""``Retry-After`` of a rejected request: about one run time at a warm instance."""

MAX_START_S = 1.5
"""Time after its creation in which an entry on a small VM has read its records.

An entry without a configuration after that cannot reach the store or other entries.
"""

MAX_CONFIGURATION_WAIT_FRACTION = 0.25
"""Longest wait for the first configuration, as a fraction of the caller's time."""

REST_SPREAD_FACTOR = 1.25
"""Latest return of a rejected caller, in multiples of the rest it waits for."""

STOPPING_RETRY_S = 0.0
"""``Retry-After`` of a stopping entry: the other entries can respond at once."""

UNPROVED_RETRY_S = 0.5
"""``Retry-After`` while keys cannot be checked; other entries mostly can."""

MAX_LOGGED_AGE_S = 1e6
"""Upper bound of an age in log lines, also logged without any."""

NO_CONFIGURATION_RETRY_S = 0.5
"""``Retry-After`` while this entry has no configuration."""

MAX_REFUSING_COLD_S = 10.0
"""Time for which an instance counts as cold that refuses connections.

The record of one that does not come back is gone by then.
"""

UNPROVED_REASONS = {
    KeyUnproved: "key cannot be checked",
    QuotaUnproved: "quota cannot be checked",
}

UNREACHABLE_STATUSES = frozenset({AttemptStatus.UNREACHABLE, AttemptStatus.MISDIRECTED})
FAILED_STATUSES = frozenset(
    {
        AttemptStatus.SHED,
        AttemptStatus.BROKEN,
        AttemptStatus.FAILED,
        AttemptStatus.LATE,
        AttemptStatus.CUT,
        AttemptStatus.SILENT,
    }
)


class Forwarder:
    """Forwards callers' requests to instances."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        replica: RecordReplica,
        dialect: Dialect,
        access: WorkspaceAccess,
        dispatcher: Dispatcher,
        instance_loads: InstanceLoads,
        run_times: RunTimes,
        health: Health,
        retry_budget: SharedRetryBudget,
        quota_limiter: QuotaLimiter,
        traffic_split: TrafficSplit,
        pool: InstancePool,
        events: EventLog,
        metrics: Metrics,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self.fleet = fleet
        self.replica = replica
        self.dialect = dialect
        self.access = access
        self.dispatcher = dispatcher
        self.instance_loads = instance_loads
        self.run_times = run_times
        self.health = health
        self.retry_budget = retry_budget
        self.quota_limiter = quota_limiter
        self.traffic_split = traffic_split
        self.pool = pool
        self.events = events
        self.metrics = metrics
        self.is_leaving = is_leaving
        self.awaits_configuration_until = boottime() + MAX_START_S

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers in the configuration in force."""
        routes = self.fleet.routes
        return CallerLimits() if routes is None else routes.limits

    def view_age_s(self) -> float:
        """Return the seconds since the records were last confirmed as current."""
        return self.replica.age_s(boottime())

    def describe_doubt(self) -> str:
        """Return why the records may not tell which instances are cold."""
        limiter = self.dispatcher.unconfirmed_limiter
        return "" if limiter is None else limiter.confirmation.doubt.value

    def retry_after_s(
        self, rest_s: float = 0.0, request: PendingRequest | None = None
    ) -> float:
        """Return the time after which a rejected caller may retry, in seconds.

        ``rest_s`` is the time until the first of the resting instances accepts
        requests again; callers return at different times after it. A request that
        was refused for its expected wait is given a time with room.
        """
        if self.is_leaving():
            return STOPPING_RETRY_S
        spread_rest_s = rest_s * random.uniform(1.0, REST_SPREAD_FACTOR)
        min_s = max(RETRY_AFTER_S, spread_rest_s)
        if request is None:
            return round(min_s, 3)
        return round(self.dispatcher.retry_after_s(request, min_s), 3)

    async def handle(self, request: InboundRequest) -> None:
        """Respond to one request."""
        exchange: Exchange | None = None
        try:
            if not await self.wait_for_configuration(request):
                self.reject_unavailable(
                    request,
                    "",
                    reason="no configuration",
                    retry_after_s=NO_CONFIGURATION_RETRY_S,
                )
                return
            exchange = Exchange(self, request)
            await exchange.run()
        except RequestInvalid as error:
            self.reject_invalid(request, 400, error.detail)
        except RouteNotFound:
            self.reject_invalid(request, 404, "no route matches host and path")
        except (KeyUnknown, KeyUnproved, QuotaUnproved, QuotaExceeded) as error:
            self.reject_workspace(request, exchange, error)
        except asyncio.CancelledError:
            if exchange is not None:
                self.events.emit(
                    Code.REQUEST_ABANDONED,
                    request=exchange.request_headers.id,
                    attempts=exchange.attempt_count,
                    left_ms=exchange.remaining_ms(),
                )
                exchange.record_outcome("abandoned")
            raise
        except ConnectionError:
            raise
        except Exception as error:
            self.events.emit(
                Code.REQUEST_FAILED,
                level=logging.ERROR,
                request="" if exchange is None else exchange.request_headers.id,
                error=repr(error),
            )
            self.handle_internal_error(request)

    async def wait_for_configuration(self, request: InboundRequest) -> bool:
        """Return whether a configuration is in force, for which a request may wait.

        Callers connect as soon as an entry listens, some tenths of a second before it
        has read its records. After a restart of all entries there is no other one that
        they could use.
        """
        if self.fleet.routes is not None:
            return True
        remaining_s = self.dialect.read_request(request.headers).remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_REMAINING_S
        wait_until = min(
            self.awaits_configuration_until,
            request.received_at + MAX_CONFIGURATION_WAIT_FRACTION * remaining_s,
        )
        while self.fleet.routes is None and boottime() < wait_until:
            revision = self.replica.revision
            await self.replica.wait_newer(revision, wait_until - boottime())
        return self.fleet.routes is not None

    def reject_unavailable(
        self,
        request: InboundRequest,
        request_id: str,
        *,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
        **fields: Any,
    ) -> None:
        """Respond with 503, which states that the request did not run.

        ``Retry-After`` has the seconds until the caller may retry. ``fields`` are
        added to the event and give the inputs of the decision.
        """
        self.events.emit(
            Code.REQUEST_REFUSED,
            request=request_id,
            reason=reason,
            retry_after_s=retry_after_s,
            waited_ms=round((boottime() - request.received_at) * 1000),
            view_age_ms=round(min(self.view_age_s(), MAX_LOGGED_AGE_S) * 1000),
            **fields,
        )
        self.metrics.count("refusals")
        self.send_empty_response(
            request, 503, [(b"Retry-After", f"{retry_after_s:g}".encode())]
        )

    def reject_workspace(
        self,
        request: InboundRequest,
        exchange: Exchange | None,
        error: KeyUnknown | KeyUnproved | QuotaUnproved | QuotaExceeded,
    ) -> None:
        """Respond to a request that its workspace, if any, may not send now."""
        if isinstance(error, KeyUnknown):
            self.reject_invalid(request, 401, "no workspace has the key")
        elif isinstance(error, QuotaExceeded):
            self.reject_over_quota(request, exchange, error)
        else:
            self.reject_unproved(request, error)

    def reject_unproved(
        self, request: InboundRequest, error: KeyUnproved | QuotaUnproved
    ) -> None:
        """Respond to a request whose key or quota cannot be checked at present."""
        self.metrics.count("unproved_refusals")
        self.reject_unavailable(
            request,
            self.dialect.read_request(request.headers).id,
            reason=UNPROVED_REASONS[type(error)],
            retry_after_s=UNPROVED_RETRY_S,
            proof_age_ms=round(
                min(self.replica.proof_age_s(boottime()), MAX_LOGGED_AGE_S) * 1000
            ),
        )

    def reject_over_quota(
        self,
        request: InboundRequest,
        exchange: Exchange | None,
        error: QuotaExceeded,
    ) -> None:
        """Respond with 429, which states that the request did not run.

        A request that was sent before its key got another workspace may have run.
        """
        if exchange is not None and not exchange.has_certainly_not_run():
            self.send_empty_response(request, 502)
            exchange.record_outcome("unknown")
            return
        workspace = None if exchange is None else exchange.workspace_id
        self.events.emit(
            Code.REQUEST_REFUSED,
            request=self.dialect.read_request(request.headers).id,
            status=429,
            reason="over quota",
            workspace=workspace or "",
            allowance=error.allowance,
            used=error.used,
            retry_after_s=error.retry_after_s,
        )
        self.metrics.count("quota_refusals")
        retry_after = f"{error.retry_after_s:g}".encode()
        self.send_empty_response(request, 429, [(b"Retry-After", retry_after)])

    def reject_invalid(self, request: InboundRequest, status: int, detail: str) -> None:
        """Respond to a malformed request or one that matches no route."""
        routes = self.fleet.routes
        self.events.emit(
            Code.REQUEST_REFUSED,
            status=status,
            reason=detail,
            target=request.target.decode("latin-1"),
            version=0 if routes is None else routes.version,
        )
        self.metrics.count("rejections")
        self.send_empty_response(request, status)

    def handle_internal_error(self, request: InboundRequest) -> None:
        """End a request after an internal error: with 502, or a reset once begun."""
        if request.connection.begun:
            request.connection.cut()
        else:
            self.send_empty_response(request, 502)

    def send_empty_response(
        self, request: InboundRequest, status: int, headers: Headers | None = None
    ) -> None:
        """Send a response without a body."""
        request.connection.send_whole(status, headers or [], b"")

    def record_attempt(self, instance: FleetInstance, status: AttemptStatus) -> None:
        """Update an instance's health from the status of an attempt."""
        if instance.id not in self.health.by_instance:
            return
        if status is AttemptStatus.ANSWERED:
            if self.health.record_success(instance.id):
                self.events.emit(Code.INSTANCE_RESTORED, instance=instance.id)
            return
        unreachable = status in UNREACHABLE_STATUSES
        if not unreachable and status not in FAILED_STATUSES:
            return
        ejection = self.health.record_failure(
            instance.id, boottime(), unreachable=unreachable
        )
        if ejection is not None:
            self.events.emit(
                Code.INSTANCE_EJECTED,
                level=logging.WARNING,
                instance=instance.id,
                after=status.value,
                seconds=round(ejection.duration_s, 3),
            )

    def record_refused_connection(self, instance: FleetInstance) -> None:
        """Count an instance as cold at which no process listens."""
        now = boottime()
        was_cold = self.fleet.cold_until(instance) > now
        self.fleet.record_refused_connection(
            instance, cold_until=now + MAX_REFUSING_COLD_S
        )
        if not was_cold:
            self.events.emit(
                Code.INSTANCE_COLD,
                instance=instance.id,
                born=instance.born_ms,
                cold_ms=round(MAX_REFUSING_COLD_S * 1000),
                source=ColdSource.REFUSED_CONNECTION.value,
            )

    def record_accepted_connection(self, instance: FleetInstance) -> None:
        """Let the cold time begin of an instance that had refused connections."""
        routes = self.fleet.routes
        service = None if routes is None else routes.services.get(instance.service)
        cold_s = DEFAULT_COLD_S if service is None else service.cold_start_s
        self.fleet.record_accepted_connection(instance, cold_until=boottime() + cold_s)

    def record_invalid_report(
        self, instance: FleetInstance, instance_load: InstanceLoad
    ) -> None:
        """Count an unreadable load report; log the first one of an incarnation."""
        self.metrics.count("invalid_load_reports")
        if not instance_load.has_sent_invalid_report:
            instance_load.has_sent_invalid_report = True
            self.events.emit(
                Code.LOAD_REPORT_INVALID, level=logging.WARNING, instance=instance.id
            )

    def record_notices(
        self,
        instance: FleetInstance,
        instance_load: InstanceLoad,
        response_headers: AnswerMarks,
        request_id: str,
    ) -> None:
        """Take in that an instance leaves, or rests; log the first such notice."""
        if response_headers.is_leaving and self.fleet.record_leaving(instance):
            self.metrics.count("leaving_notices")
            self.events.emit(
                Code.INSTANCE_LEAVING, request=request_id, instance=instance.id
            )
        if response_headers.rest_s is not None:
            self.metrics.count("rest_notices")
            self.instance_loads.record_rest(
                instance_load,
                response_headers.rest_s,
                boottime(),
                delay_s=self.instance_loads.return_delay_s(instance),
            )
            self.events.emit(
                Code.INSTANCE_RESTING,
                request=request_id,
                instance=instance.id,
                rest_s=response_headers.rest_s,
            )
        if response_headers.has_invalid_notice:
            self.metrics.count("invalid_notices")
            if not instance_load.has_sent_invalid_notice:
                instance_load.has_sent_invalid_notice = True
                self.events.emit(
                    Code.NOTICE_INVALID,
                    level=logging.WARNING,
                    request=request_id,
                    instance=instance.id,
                )

    def remove_instance(self, instance: FleetInstance) -> None:
        """Discard the state and connections of an instance's former incarnation."""
        self.instance_loads.remove(instance.id)
        self.run_times.remove(instance.id)
        self.health.remove(instance.id)
        self.pool.drop(instance)

    def record_outcome(
        self, pending_request: PendingRequest, outcome: str, received_at: float
    ) -> None:
        """Record a request's outcome and duration in the metrics."""
        priority = f"p{pending_request.route.priority}"
        self.metrics.record(
            pending_request.service, priority, outcome, boottime() - received_at
        )
