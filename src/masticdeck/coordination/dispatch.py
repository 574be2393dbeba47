"""Queues requests for free slots of instances, the most urgent one first.

When all instances of a service are busy, requests wait here rather than in the
queues of the instances, which are served in order of arrival. A request waits
for a slot of any instance that its placement allows. Whenever a request ends,
and at short intervals because load reports become outdated, waiting requests
get free slots in the order of priority; those that can still meet their soft
deadline go before those of the same priority that cannot. If late requests kept
their place in an overload, every request would wait until it is late as well. A
request that gets no slot in time is rejected.

A request is not sent to an instance where it cannot finish before its deadline:
its run would be cancelled, and the slot would do no useful work.

When a service has only cold instances, its requests wait for this entry's turns there.
Those for which there are not enough turns are rejected at once.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any, final

from masticdeck.clock import boottime
from masticdeck.coordination.cold_services import ColdService, ColdServices
from masticdeck.coordination.cold_turns import ColdTurns
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoad, InstanceLoads
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.queueing.fair_queue import FairQueue
from masticdeck.coordination.queueing.returns import ReturnSchedule
from masticdeck.coordination.queueing.wait_estimate import (
    Pool,
    WaitEstimate,
    WaitEstimates,
)
from masticdeck.coordination.run_times import RunTimes
from masticdeck.coordination.shutdown_window import ShutdownWindow
from masticdeck.coordination.warmth.limiter import UnconfirmedLimiter
from masticdeck.ids import InstanceId, ServiceId, WorkspaceId
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route

RECHECK_INTERVAL_S = 0.02
"""Seconds between checks for free slots while requests wait.

The estimated load also falls without an event, as load reports become outdated.
"""

MAX_WAIT_FRACTION = 0.5
"""Longest wait for a free slot, as a fraction of the time to the deadline.

The rest is left for the run, or for another try after a rejection.
"""

MAX_UTILIZATION_FOR_NEW_KEYS = 0.5
"""Fraction of slots in use from which an instance gets no new keys."""

MAX_EXPECTED_RUN_FRACTION = 0.75
"""Upper bound of an expected run time, as a fraction of the route's timeout.

Without it no request would be sent on a route whose runs have taken longer than
its timeout, and an outdated expectation would never be corrected.
"""

FAILOVER_LATENCY_RATIO = 2.5
"""Factor by which a key's first instance must be slower to use the second one."""

DISTURBANCE_RATIO = 1.5
"""Factor by which a run at the first instance must be expected to take longer.

It is smaller than ``FAILOVER_LATENCY_RATIO``, because a reported slowdown is known at
once, whereas latencies of single requests differ for many reasons.
"""


class NoCapacity(Exception):
    """No instance had a free slot in time; the request was not sent."""


class NoInstance(Exception):
    """No usable instance exists for the request."""


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """The estimate for which a request was refused on arrival, and its pools."""

    pools: list[Pool]
    estimate: WaitEstimate


@final
@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that needs an instance, queued or not.

    ``tried_instances`` have already failed to serve it. ``soft_deadline`` is the
    boot time by which a response is wanted; after the boot time ``deadline`` a
    response is of no use. ``received_at`` and ``caller_deadline`` are the boot times
    at which the request arrived and at which its caller leaves. ``expected_run_s`` is
    the shortest expected run time at its instances. ``queue_until`` is the boot time
    until which the request may wait for a slot. ``workspace`` is the one that the
    request belongs to, None without workspaces. ``refusal`` is the estimate for which
    the request was refused on arrival, if it was.
    """

    route: Route
    service: ServiceId
    key: str | None
    soft_deadline: float
    deadline: float
    received_at: float = -math.inf
    caller_deadline: float = math.inf
    queue_until: float = math.inf
    expected_run_s: float = 0.0
    workspace: WorkspaceId | None = None
    tried_instances: set[InstanceId] = field(default_factory=set)
    waiter: asyncio.Future[FleetInstance] | None = None
    refusal: Refusal | None = None

    @property
    def late_at(self) -> float:
        """Return the boot time after which a run would miss the soft deadline."""
        return self.soft_deadline - self.expected_run_s

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the key that orders waiting requests, the most urgent first."""
        is_late = now > self.late_at
        due_at = self.deadline if is_late else self.soft_deadline
        return self.route.priority, is_late, due_at

    def group(self) -> tuple[Hashable, ...]:
        """Return what the instances that may serve the request depend on."""
        key = self.key if self.route.sticky else None
        tried_instances = frozenset(self.tried_instances)
        return self.route.id, self.route.home_regions, key, tried_instances


def queue_deadline(received_at: float, deadline: float) -> float:
    """Return the boot time until which a request waits for a free slot."""
    return received_at + MAX_WAIT_FRACTION * (deadline - received_at)


@final
@dataclass(frozen=True, slots=True)
class Shortage:
    """Why a request got no instance.

    ``candidate_count`` is the number of instances that might have served it,
    ``waiting_count`` the number of requests queued for its service, and
    ``min_run_s`` the shortest expected run time at a candidate. ``rest_s`` is the time
    after which the first resting instance accepts requests again, 0 if candidates are
    left. ``cold_s`` is the time after which the first cold instance accepts a request
    beside those that wait, 0 if some instance is not cold.
    """

    candidate_count: int
    waiting_count: int
    min_run_s: float
    rest_s: float
    cold_s: float


class Dispatcher:
    """Assigns requests to instances and queues those that find no free slot."""

    def __init__(
        self,
        fleet: Fleet,
        placement: Placement,
        loads: InstanceLoads,
        run_times: RunTimes,
        health: Health,
        *,
        cold_turns: ColdTurns,
        shutdown_window: ShutdownWindow | None = None,
        unconfirmed_limiter: UnconfirmedLimiter | None = None,
    ) -> None:
        self.fleet = fleet
        self.placement = placement
        self.loads = loads
        self.run_times = run_times
        self.health = health
        self.cold_turns = cold_turns
        self.cold_services = ColdServices(fleet, cold_turns)
        self.shutdown_window = shutdown_window or ShutdownWindow()
        self.unconfirmed_limiter = unconfirmed_limiter
        self.fair_queues: dict[ServiceId, FairQueue[PendingRequest]] = {}
        self.wait_estimates = WaitEstimates()
        self.return_schedule = ReturnSchedule()
        self.recheck_task: asyncio.Task[None] | None = None

    async def acquire(self, request: PendingRequest, *, until: float) -> FleetInstance:
        """Return an instance on which a slot is acquired for the request.

        Raises NoCapacity at boot time ``until``, or earlier when the request could
        no longer finish in time, also because the entry is stopping, and NoInstance
        when no instance may serve it.
        """
        request.refusal = None
        has_more_urgent = self.has_more_urgent_waiter(request)
        if not has_more_urgent:
            instance = self.try_acquire(request)
            if instance is not None:
                self.record_direct_grant(request)
                return instance
        candidates = self.candidates(request)
        if not candidates:
            raise NoInstance
        request.expected_run_s = min(
            self.expected_s(request, instance) for instance in candidates
        )
        latest_start = max(
            self.latest_start(request, instance) for instance in candidates
        )
        until = min(until, latest_start)
        pools = self.pools(request, candidates)
        self.refuse_if_hopeless(request, pools, until)
        return await self.wait_for_slot(
            request, until, pools, is_overtaken=has_more_urgent
        )

    @property
    def queues(self) -> dict[ServiceId, list[PendingRequest]]:
        """Return the waiting requests of each service, in no particular order."""
        return {service: list(queue) for service, queue in self.fair_queues.items()}

    def total_waiting_count(self) -> int:
        """Return the number of requests that wait for any service."""
        return sum(map(len, self.fair_queues.values()))

    def waiting_count(self, service: ServiceId) -> int:
        """Return the number of requests that wait for a service."""
        queue = self.fair_queues.get(service)
        return 0 if queue is None else len(queue)

    def has_more_urgent_waiter(self, request: PendingRequest) -> bool:
        """Return whether a more urgent request waits for the same service."""
        queue = self.fair_queues.get(request.service)
        if not queue:
            return False
        now = boottime()
        queue.rekey(now, order_in_flow)
        return queue.has_more_urgent(
            request.route.priority, request.workspace, order_in_flow(request, now)
        )

    def note_arrival(self, request: PendingRequest) -> None:
        """Count the objective of a caller that returns from its first try.

        Such a caller thereby goes before those that were never refused, while it can
        still meet its objective.
        """
        request.soft_deadline -= self.return_schedule.spent_s(
            request.route.id,
            request.caller_deadline - request.received_at,
            request.received_at,
        )

    def retry_after_s(self, request: PendingRequest, min_s: float) -> float:
        """Return the time after which a refused caller may return, in seconds."""
        now = boottime()
        self.return_schedule.record_refusal(request.route.id, now)
        left_s = request.caller_deadline - now
        refusal = request.refusal
        if refusal is None:
            return min_s
        return self.return_schedule.book_s(
            refusal.pools, refusal.estimate, now, min_s=min_s, left_s=left_s
        )

    def record_direct_grant(self, request: PendingRequest) -> None:
        """Count a slot that a request got without a wait, while others wait."""
        queue = self.fair_queues.get(request.service)
        if queue:
            queue.record_direct_grant(
                request.route.priority, request.workspace, boottime()
            )

    def pools(
        self, request: PendingRequest, candidates: list[FleetInstance]
    ) -> list[Pool]:
        """Return what the request waits for: its instances, or any of its service."""
        if request.key is None or not request.route.sticky:
            return [(request.service, None)]
        return [(request.service, instance.id) for instance in candidates]

    def refuse_if_hopeless(
        self, request: PendingRequest, pools: list[Pool], until: float
    ) -> None:
        """Raise NoCapacity if the expected wait ends too late for the request.

        A request that is late, or would be before its turn, waits for what those in
        time leave. Nothing is refused while the rate is unknown, nor what a floor or
        fairness puts among the next.
        """
        now = boottime()
        estimate = self.wait_estimates.estimate(
            pools, request.route.priority, request.workspace, now
        )
        if estimate is None or self.has_claim(request):
            return
        starts_at = now + estimate.wait_s
        in_time_key = request.sort_key(-math.inf)
        is_late = request.sort_key(now) > in_time_key
        if not is_late:
            self.wait_estimates.record_arrival(pools, now)
        if is_late or request.sort_key(starts_at) > in_time_key:
            starts_at = now + estimate.late_wait_s
        if starts_at > until:
            request.refusal = Refusal(pools, estimate)
            queue = self.fair_queues.get(request.service)
            if queue is not None:
                queue.record_refusal(request.route.priority, now)
            raise NoCapacity("expected wait too long")

    def has_claim(self, request: PendingRequest) -> bool:
        """Return whether floors or fairness put a new request among the next."""
        queue = self.fair_queues.get(request.service)
        return queue is not None and queue.has_claim(
            request.route.priority, request.workspace
        )

    async def wait_for_slot(
        self,
        request: PendingRequest,
        until: float,
        pools: list[Pool],
        *,
        is_overtaken: bool,
    ) -> FleetInstance:
        """Queue a request until it gets a slot; raise NoCapacity at ``until``.

        A request that ``is_overtaken`` was not asked, as a more urgent one waits that
        perhaps cannot use the free slot; the queue is asked in order instead.
        """
        now = boottime()
        request.waiter = asyncio.get_running_loop().create_future()
        queue = self.fair_queues.get(request.service)
        if queue is None:
            queue = self.fair_queues[request.service] = FairQueue()
        ticket = queue.push(
            request,
            priority=request.route.priority,
            key=order_in_flow(request, now),
            now=now,
            flow=request.workspace,
            group=request.group(),
            changes_at=request.late_at if request.late_at >= now else math.inf,
        )
        wait = self.wait_estimates.begin(
            pools, request.route.priority, request.workspace, now
        )
        self.reject_beyond_turns(request)
        if is_overtaken:
            self.serve_queue(request.service, now)
        if self.recheck_task is None:
            self.recheck_task = asyncio.create_task(self.recheck_periodically())
        try:
            async with asyncio.timeout(max(0.0, until - boottime())):
                instance = await request.waiter
        except TimeoutError:
            if request.waiter.done() and not request.waiter.cancelled():
                return request.waiter.result()
            raise NoCapacity from None
        except asyncio.CancelledError:
            if has_result(request.waiter):
                self.release(self.loads.get(request.waiter.result()))
            raise
        finally:
            queue.remove(ticket)
            granted = request.waiter.result() if has_result(request.waiter) else None
            self.wait_estimates.end(
                wait, None if granted is None else granted.id, boottime()
            )
        return instance

    def try_acquire_queued(self, request: PendingRequest) -> FleetInstance | None:
        """Return the least loaded instance whose own queue is short, or None.

        The queue of an instance is served in order of arrival, so it is not used
        while a more urgent request waits here, nor for one that was refused on arrival
        in an overload, nor for a request that has to end before a stop of the entry but
        may not do so.
        """
        if (
            (request.refusal is not None and request.refusal.estimate.is_overloaded)
            or self.has_more_urgent_waiter(request)
            or not self.shutdown_window.covers(request.caller_deadline)
        ):
            return None
        now = boottime()
        candidates = [
            instance
            for instance in self.exclude_busy_without_key(request, now)
            if self.loads.get(instance).has_queue_capacity(now)
            and self.is_open(instance, now)
            and now + self.expected_queue_s(request, instance, now)
            <= self.latest_start(request, instance)
        ]
        if not candidates:
            return None
        chosen = min(candidates, key=lambda instance: self.utilization(instance, now))
        return chosen if self.take_slot(chosen, now) else None

    def describe_shortage(self, request: PendingRequest) -> Shortage:
        """Return why a request got no instance, for its log line."""
        candidates = self.candidates(request)
        waiting_count = self.waiting_count(request.service)
        now = boottime()
        openings = self.cold_services.openings_for(request.route, request.service, now)
        cold_s = (
            0.0
            if openings is None
            else max(0.0, openings.next_time(waiting_count) - now)
        )
        return Shortage(
            candidate_count=len(candidates),
            waiting_count=waiting_count,
            min_run_s=min(
                (self.expected_s(request, instance) for instance in candidates),
                default=0.0,
            ),
            rest_s=0.0 if candidates else self.min_rest_s(request.service),
            cold_s=cold_s,
        )

    def min_rest_s(self, service: ServiceId) -> float:
        """Return the seconds to the first end of a rest in a service, 0 without one."""
        now = boottime()
        rests = [
            self.loads.get(instance).resting_until - now
            for instance in self.fleet.in_service(service)
        ]
        return min((rest_s for rest_s in rests if rest_s > 0), default=0.0)

    def expected_s(self, request: PendingRequest, instance: FleetInstance) -> float:
        """Return the expected run time at an instance, 0 when it is unknown."""
        expected_s = self.run_times.expected_s(request.route, instance.id, request.key)
        return min(
            expected_s or 0.0, MAX_EXPECTED_RUN_FRACTION * request.route.timeout_s
        )

    def latest_start(self, request: PendingRequest, instance: FleetInstance) -> float:
        """Return the latest boot time to start a run that ends in time.

        It has to end by the deadline of the request, and before a stop of the entry.
        """
        expected_s = self.expected_s(request, instance)
        return min(
            request.deadline - expected_s,
            self.shutdown_window.latest_start(
                received_at=request.received_at,
                deadline=request.caller_deadline,
                objective_s=request.route.objective_s,
                expected_run_s=expected_s,
            ),
        )

    def expected_queue_s(
        self, request: PendingRequest, instance: FleetInstance, now: float
    ) -> float:
        """Return the expected wait in an instance's own queue, in seconds."""
        load = self.loads.get(instance)
        requests_ahead = max(0.0, load.estimate_requests(now) - load.slots + 1)
        return requests_ahead / load.slots * self.expected_s(request, instance)

    def release(self, load: InstanceLoad) -> None:
        """Record the end of a request and give free slots to waiting ones."""
        self.loads.record_end(load)
        self.serve_queues()

    def serve_queues(self) -> None:
        """Give free slots to waiting requests, the most urgent first."""
        now = boottime()
        for service in self.fair_queues:
            self.serve_queue(service, now)

    def serve_queue(self, service: ServiceId, now: float) -> None:
        """Give free slots of a service to its waiting requests."""
        queue = self.fair_queues[service]
        if not queue or self.cold_services.is_closed(service, now):
            return
        queue.rekey(now, order_in_flow)
        for ticket in queue.in_turn():
            waiter = ticket.item.waiter
            if waiter is None or waiter.done():
                queue.remove(ticket)
                continue
            instance = self.try_acquire(ticket.item)
            if instance is not None:
                queue.pop(ticket, now)
                waiter.set_result(instance)

    def reject_late_requests(self) -> None:
        """Reject waiting requests that would not end before a stop of the entry."""
        now = boottime()
        for queue in self.fair_queues.values():
            for request in queue:
                self.reject_if_late(request, now)

    def reject_if_late(self, request: PendingRequest, now: float) -> None:
        """End a request's wait if no instance could serve it in time any more."""
        waiter = request.waiter
        if waiter is None or waiter.done():
            return
        if all(
            now > self.latest_start(request, instance)
            for instance in self.candidates(request)
        ):
            waiter.set_exception(NoCapacity())

    def reject_beyond_turns(self, newcomer: PendingRequest) -> None:
        """Reject waiting requests for which cold instances have no turn in time.

        The most urgent ones get the turns. Only those that may use the same instances
        as the newcomer are considered, and other requests are not counted, so one may
        still wait in vain.
        """
        now = boottime()
        openings = self.cold_services.openings_for(
            newcomer.route, newcomer.service, now
        )
        if openings is None:
            return
        rivals = [
            queued
            for queued in self.fair_queues[newcomer.service]
            if queued.route.home_regions == newcomer.route.home_regions
        ]
        rivals.sort(key=lambda queued: queued.sort_key(now))
        for position, request in enumerate(rivals):
            waiter = request.waiter
            if waiter is None or waiter.done():
                continue
            wait_until = min(request.queue_until, request.deadline)
            if position >= openings.count(wait_until):
                waiter.set_exception(NoCapacity("no turn in time"))

    async def recheck_periodically(self) -> None:
        """Serve the queues at intervals, as load reports become outdated."""
        try:
            while any(self.fair_queues.values()):
                await asyncio.sleep(RECHECK_INTERVAL_S)
                self.serve_queues()
                if self.shutdown_window.has_begun:
                    self.reject_late_requests()
        finally:
            self.recheck_task = None

    def try_acquire(self, request: PendingRequest) -> FleetInstance | None:
        """Acquire a slot of the best instance that has a free one, or return None."""
        now = boottime()
        free_instances = [
            instance
            for instance in self.exclude_busy_without_key(request, now)
            if self.loads.get(instance).has_free_slot(now)
            and self.is_open(instance, now)
            and now <= self.latest_start(request, instance)
        ]
        if not free_instances:
            return None
        chosen = self.choose_instance(request, free_instances, now)
        return chosen if self.take_slot(chosen, now) else None

    def exclude_busy_without_key(
        self, request: PendingRequest, now: float
    ) -> list[FleetInstance]:
        """Return the usable candidates without busy ones that have not served the key.

        The first run for a key takes several times the work of a later one, so
        another instance than the first gets the key only while it is lightly
        loaded. Otherwise moving keys away from busy instances would increase an
        overload.
        """
        candidates = self.candidates(request, may_wait=False)
        if request.key is None or not request.route.sticky:
            return candidates
        return candidates[:1] + [
            instance
            for instance in candidates[1:]
            if self.run_times.has_answered(request.route, instance.id, request.key)
            or self.utilization(instance, now) < MAX_UTILIZATION_FOR_NEW_KEYS
        ]

    def choose_instance(
        self, request: PendingRequest, free_instances: list[FleetInstance], now: float
    ) -> FleetInstance:
        """Return the free instance to use.

        Of a key's instances this is the first one unless it is slow; without a key
        it is the least loaded of the nearest instances.
        """
        if request.key is not None and request.route.sticky:
            return self.choose_by_latency(request, free_instances, now)
        min_distance = self.placement.distance(free_instances[0])
        nearest = [
            instance
            for instance in free_instances
            if self.placement.distance(instance) is min_distance
        ]
        return min(nearest, key=lambda instance: self.utilization(instance, now))

    def choose_by_latency(
        self, request: PendingRequest, free_instances: list[FleetInstance], now: float
    ) -> FleetInstance:
        """Return the first instance unless it is much slower than the second.

        It is slower when its latest responses took longer, or when its machine is
        disturbed at the moment and the run would end earlier at the second one.
        """
        first_instance = free_instances[0]
        if len(free_instances) == 1:
            return first_instance
        second_instance = free_instances[1]
        first_latency_s = self.loads.get(first_instance).mean_latency_s
        second_latency_s = self.loads.get(second_instance).mean_latency_s
        if (
            first_latency_s is not None
            and second_latency_s is not None
            and first_latency_s > FAILOVER_LATENCY_RATIO * second_latency_s
        ):
            return second_instance
        first_run_s = self.expected_run_s(request, first_instance, now)
        second_run_s = self.expected_run_s(request, second_instance, now)
        if first_run_s > DISTURBANCE_RATIO * second_run_s > 0:
            return second_instance
        return first_instance

    def expected_run_s(
        self, request: PendingRequest, instance: FleetInstance, now: float
    ) -> float:
        """Return the expected run time with the present slowdown, 0 when unknown."""
        slowdown = self.loads.get(instance).estimate_slowdown(now)
        return slowdown * self.expected_s(request, instance)

    def utilization(self, instance: FleetInstance, now: float) -> float:
        """Return the estimated requests at an instance per slot; may exceed 1."""
        load = self.loads.get(instance)
        return load.estimate_requests(now) / load.slots

    def candidates(
        self, request: PendingRequest, *, may_wait: bool = True
    ) -> list[FleetInstance]:
        """Return the instances that may serve a request, full ones included.

        Cold and ejected instances are returned only when there is no other. Those
        whose rest ends in time count as full, and keep their keys; others are left out.
        If the request may wait, cold instances that open to it in time are returned,
        else those at which this entry has a turn now.
        """
        now = boottime()

        def is_warm(instance: FleetInstance) -> bool:
            return (
                self.fleet.cold_until(instance) <= now
                and instance.id not in request.tried_instances
                and self.rests_end_in_time(request, instance, now)
                and self.is_healthy(instance, now)
            )

        cold = self.cold_services.get_kept(request.service, now)
        if cold is None or not cold.is_all_cold:
            warm_instances = self.filter_candidates(request, is_warm)
            if warm_instances:
                return warm_instances
            cold = self.cold_services.get(request.service, now)
        return self.filter_candidates(
            request,
            lambda instance: self.is_last_resort(
                request, instance, now, cold, may_wait=may_wait
            ),
        )

    def filter_candidates(
        self, request: PendingRequest, is_usable: Callable[[FleetInstance], bool]
    ) -> list[FleetInstance]:
        """Return the usable instances for a request, the best first."""
        return self.placement.candidates(
            request.route, request.service, request.key, is_usable
        )

    def is_healthy(self, instance: FleetInstance, now: float) -> bool:
        """Return whether an instance is not ejected; start tracking an unknown one."""
        if instance.id not in self.health.by_instance:
            self.health.add(instance.id, instance.service)
        in_flight = self.loads.get(instance).own_requests
        return self.health.allows(instance.id, in_flight, now)

    def rests_end_in_time(
        self, request: PendingRequest, instance: FleetInstance, now: float
    ) -> bool:
        """Return whether an instance does not rest, or not for too long to wait."""
        resting_until = self.loads.get(instance).resting_until
        return resting_until <= now or resting_until <= min(
            request.queue_until, self.latest_start(request, instance)
        )

    def is_last_resort(
        self,
        request: PendingRequest,
        instance: FleetInstance,
        now: float,
        cold: ColdService,
        *,
        may_wait: bool,
    ) -> bool:
        """Return whether an instance may be used when no healthy warm one exists."""
        return (
            self.opens_in_time(request, instance, now, cold, may_wait=may_wait)
            and instance.id not in request.tried_instances
            and self.rests_end_in_time(request, instance, now)
        )

    def opens_in_time(
        self,
        request: PendingRequest,
        instance: FleetInstance,
        now: float,
        cold: ColdService,
        *,
        may_wait: bool,
    ) -> bool:
        """Return whether an instance is not cold, or accepts the request in time.

        That is before its wait ends if it may wait, and now otherwise.
        """
        if not may_wait:
            return cold.opens(instance, now) or self.fleet.cold_until(instance) <= now
        wait_until = min(request.queue_until, self.latest_start(request, instance))
        return (
            cold.opens(instance, wait_until)
            or self.fleet.cold_until(instance) <= wait_until
        )

    def is_open(self, instance: FleetInstance, now: float) -> bool:
        """Return whether an instance that may have become cold accepts a request."""
        limiter = self.unconfirmed_limiter
        return limiter is None or limiter.accepts(instance, now)

    def take_slot(self, instance: FleetInstance, now: float) -> bool:
        """Count a request that is about to be sent to an instance.

        Returns False, and counts nothing, if the turn at a cold instance has ended.
        """
        if self.fleet.cold_until(instance) > now:
            if not self.cold_services.has_turn(instance):
                return False
            self.cold_services.record_sent(instance)
        if self.unconfirmed_limiter is not None:
            self.unconfirmed_limiter.record_sent(instance, now)
        self.loads.record_sent(instance)
        return True


def order_in_flow(request: PendingRequest, now: float) -> tuple[Any, ...]:
    """Return the key that orders requests of one priority and one workspace."""
    return request.sort_key(now)[1:]


def has_result(waiter: asyncio.Future[FleetInstance]) -> bool:
    """Return whether a waiting request was given an instance."""
    return waiter.done() and not waiter.cancelled() and waiter.exception() is None
