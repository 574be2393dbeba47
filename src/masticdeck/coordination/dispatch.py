"""Queueing for room at instances, the most urgent request first.

Load that it answers: when a service is full, requests wait here rather than in
the instances' own queues, where nobody can overtake. A request waits for one of
the instances that placement allows it; each end of a request, and each report
of a free slot, serves the waiting requests in the order of rank and deadline.
What gets no room in time is refused, with a hint of when room is likely. A
request that can no longer end in time at an instance is not sent there: the run
would be cut, and its slot would serve nobody.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

from masticdeck.clock import boottime
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoad, InstanceLoads
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.run_times import RunTimes
from masticdeck.ids import InstanceId, ServiceId
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route

RECHECK_INTERVAL_S = 0.02
"""Seconds between checks while requests wait: reports of load run out too."""

MAX_UTILIZATION_FOR_NEW_KEYS = 0.5
"""Part of an instance's slots in use from which it is not given new keys."""

MAX_EXPECTED_RUN_FRACTION = 0.75
"""Part of a route's timeout that a run is expected to take at most.

Requests of a route whose timeout is shorter than its runs are still tried while
they are new, since the expectation may be outdated.
"""

FAILOVER_LATENCY_RATIO = 2.5
"""How much slower than the next instance the first one must be to lose its turn."""


class NoCapacity(Exception):
    """No instance had room in time; the request was not sent."""


class NoInstance(Exception):
    """No instance can serve the request at present."""


@final
@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that needs an instance, queued or not.

    ``tried_instances`` have already failed to serve it. ``soft_deadline`` is the
    boot time by which a response is wanted and orders requests of the same
    priority; after the boot time ``deadline`` a response is of no use.
    """

    route: Route
    service: ServiceId
    key: str | None
    soft_deadline: float
    deadline: float
    tried_instances: set[InstanceId] = field(default_factory=set)
    waiter: asyncio.Future[FleetInstance] | None = None

    @property
    def sort_key(self) -> tuple[int, float]:
        """Return the sort key among waiting requests."""
        return self.route.priority, self.soft_deadline


@final
@dataclass(frozen=True, slots=True)
class Shortage:
    """Why a request got no instance.

    ``candidate_count`` is the number of instances that might have served it,
    ``waiting_count`` the number of requests queued for its service, and
    ``min_run_s`` the shortest expected run time at a candidate.
    """

    candidate_count: int
    waiting_count: int
    min_run_s: float


class Dispatcher:
    """Gives requests to instances."""

    def __init__(
        self,
        fleet: Fleet,
        placement: Placement,
        loads: InstanceLoads,
        run_times: RunTimes,
        health: Health,
        *,
        entry_count: Callable[[], int],
    ) -> None:
        self.fleet = fleet
        self.placement = placement
        self.loads = loads
        self.run_times = run_times
        self.health = health
        self.entry_count = entry_count
        self.queues: dict[ServiceId, list[PendingRequest]] = {}
        self.recheck_task: asyncio.Task[None] | None = None

    async def acquire(self, ticket: PendingRequest, *, until: float) -> FleetInstance:
        """Return an instance with room, counted as used by the request.

        Raises NoRoom at boot time ``until`` and NoInstance when nothing that
        exists may serve the request.
        """
        if not self.has_more_urgent_waiter(ticket):
            instance = self.try_acquire(ticket)
            if instance is not None:
                return instance
        candidates = self.candidates(ticket)
        if not candidates:
            raise NoInstance
        latest = max(self.latest_start(ticket, one) for one in candidates)
        return await self.wait_for_slot(ticket, min(until, latest))

    def has_more_urgent_waiter(self, ticket: PendingRequest) -> bool:
        """Return whether a more urgent request waits for the same service."""
        waiting = self.queues.get(ticket.service, [])
        return any(one.sort_key < ticket.sort_key for one in waiting)

    async def wait_for_slot(
        self, ticket: PendingRequest, until: float
    ) -> FleetInstance:
        """Queue a request until it gets room."""
        ticket.waiter = asyncio.get_running_loop().create_future()
        queue = self.queues.setdefault(ticket.service, [])
        queue.append(ticket)
        if self.recheck_task is None:
            self.recheck_task = asyncio.create_task(self.recheck_periodically())
        try:
            async with asyncio.timeout(max(0.0, until - boottime())):
                return await ticket.waiter
        except TimeoutError:
            if ticket.waiter.done() and not ticket.waiter.cancelled():
                return ticket.waiter.result()
            raise NoCapacity from None
        except asyncio.CancelledError:
            if ticket.waiter.done() and not ticket.waiter.cancelled():
                self.release(self.loads.get(ticket.waiter.result()))
            raise
        finally:
            if ticket in queue:
                queue.remove(ticket)

    def try_acquire_queued(self, ticket: PendingRequest) -> FleetInstance | None:
        """Return the emptiest instance for its own queue, if that is short.

        Nobody can overtake there, so it is not used past a more urgent request.
        """
        if self.has_more_urgent_waiter(ticket):
            return None
        now = boottime()
        candidates = [
            instance
            for instance in self.filter_busy_without_key(ticket, now)
            if self.loads.get(instance).has_queue_capacity(now)
            and now + self.expected_queue_s(ticket, instance, now)
            <= self.latest_start(ticket, instance)
        ]
        if not candidates:
            return None
        chosen = min(candidates, key=lambda one: self.utilization(one, now))
        self.record_cold_request(chosen, now)
        self.loads.record_sent(chosen)
        return chosen

    def describe_shortage(self, ticket: PendingRequest) -> Shortage:
        """Return what stands in the way of a request, for its log line."""
        candidates = self.candidates(ticket)
        return Shortage(
            candidate_count=len(candidates),
            waiting_count=len(self.queues.get(ticket.service, [])),
            min_run_s=min(
                (self.expected_s(ticket, one) for one in candidates), default=0.0
            ),
        )

    def expected_s(self, ticket: PendingRequest, instance: FleetInstance) -> float:
        """Return how long a request runs at an instance, 0 when that is unknown."""
        expected = self.run_times.expected_s(ticket.route, instance.id, ticket.key)
        return min(expected or 0.0, MAX_EXPECTED_RUN_FRACTION * ticket.route.timeout_s)

    def latest_start(self, ticket: PendingRequest, instance: FleetInstance) -> float:
        """Return the boot time until which a run at an instance ends in time."""
        return ticket.deadline - self.expected_s(ticket, instance)

    def expected_queue_s(
        self, ticket: PendingRequest, instance: FleetInstance, now: float
    ) -> float:
        """Return the expected wait in an instance's own queue, in seconds."""
        room = self.loads.get(instance)
        ahead = max(0.0, room.estimate_requests(now) - room.slots + 1)
        return ahead / room.slots * self.expected_s(ticket, instance)

    def release(self, load: InstanceLoad) -> None:
        """Count the end of a request and serve those that wait."""
        self.loads.record_end(load)
        self.serve_queues()

    def serve_queues(self) -> None:
        """Give room to waiting requests, the most urgent first."""
        for queue in self.queues.values():
            for ticket in sorted(queue, key=lambda one: one.sort_key):
                waiter = ticket.waiter
                if waiter is None or waiter.done():
                    continue
                instance = self.try_acquire(ticket)
                if instance is not None:
                    waiter.set_result(instance)

    async def recheck_periodically(self) -> None:
        """Serve waiting requests when reports of load have run out."""
        while any(self.queues.values()):
            await asyncio.sleep(RECHECK_INTERVAL_S)
            self.serve_queues()
        self.recheck_task = None

    def try_acquire(self, ticket: PendingRequest) -> FleetInstance | None:
        """Return the best instance with room, counted as used, or None."""
        now = boottime()
        free = [
            instance
            for instance in self.filter_busy_without_key(ticket, now)
            if self.loads.get(instance).has_free_slot(now)
            and now <= self.latest_start(ticket, instance)
        ]
        if not free:
            return None
        chosen = self.choose_instance(ticket, free, now)
        self.record_cold_request(chosen, now)
        self.loads.record_sent(chosen)
        return chosen

    def filter_busy_without_key(
        self, ticket: PendingRequest, now: float
    ) -> list[FleetInstance]:
        """Return the candidates without the busy ones that would learn a new key.

        A first run for a key takes several times the work of a later one, so a
        second instance gets the key only while it has slots to spare. Otherwise
        an overload grows by its own spilling over.
        """
        candidates = self.candidates(ticket)
        if ticket.key is None or not ticket.route.sticky:
            return candidates
        return candidates[:1] + [
            one
            for one in candidates[1:]
            if self.run_times.has_answered(ticket.route, one.id, ticket.key)
            or self.utilization(one, now) < MAX_UTILIZATION_FOR_NEW_KEYS
        ]

    def choose_instance(
        self, ticket: PendingRequest, free: list[FleetInstance], now: float
    ) -> FleetInstance:
        """Return the first free instance, or a much faster or emptier one."""
        if ticket.key is not None and ticket.route.sticky:
            return self.choose_by_latency(free)
        nearest = self.placement.distance(free[0])
        near = [one for one in free if self.placement.distance(one) is nearest]
        return min(near, key=lambda one: self.utilization(one, now))

    def choose_by_latency(self, free: list[FleetInstance]) -> FleetInstance:
        """Return the first of two instances unless it is much slower."""
        first = free[0]
        if len(free) == 1:
            return first
        slow = self.loads.get(first).mean_latency_s
        fast = self.loads.get(free[1]).mean_latency_s
        if (
            slow is not None
            and fast is not None
            and slow > FAILOVER_LATENCY_RATIO * fast
        ):
            return free[1]
        return first

    def utilization(self, instance: FleetInstance, now: float) -> float:
        """Return the part of an instance's slots that is in use."""
        room = self.loads.get(instance)
        return room.estimate_requests(now) / room.slots

    def candidates(self, ticket: PendingRequest) -> list[FleetInstance]:
        """Return the instances that may get a request, full ones included.

        Cold instances serve only when no other is left.
        """
        now = boottime()

        def warm(instance: FleetInstance) -> bool:
            return (
                instance.id not in ticket.tried_instances
                and self.fleet.cold_until(instance) <= now
                and self.is_healthy(instance, now)
            )

        found = self.filter_candidates(ticket, warm)
        if found:
            return found
        return self.filter_candidates(
            ticket, lambda one: self.is_last_resort(ticket, one, now)
        )

    def filter_candidates(
        self, ticket: PendingRequest, is_usable: Callable[[FleetInstance], bool]
    ) -> list[FleetInstance]:
        """Return the usable instances for a request, the best first."""
        return self.placement.candidates(
            ticket.route, ticket.service, ticket.key, is_usable
        )

    def is_healthy(self, instance: FleetInstance, now: float) -> bool:
        """Return whether an instance is not ejected; unknown ones are judged anew."""
        if instance.id not in self.health.by_instance:
            self.health.add(instance.id, instance.service)
        own = self.loads.get(instance).own_requests
        return self.health.allows(instance.id, own, now)

    def is_last_resort(
        self, ticket: PendingRequest, instance: FleetInstance, now: float
    ) -> bool:
        """Return whether an instance may be used when no warm one is left."""
        if instance.id in ticket.tried_instances:
            return False
        if self.fleet.cold_until(instance) <= now:
            return True
        room = self.loads.get(instance)
        return self.loads.allows_cold_request(room, self.cold_rate_per_s(instance), now)

    def record_cold_request(self, instance: FleetInstance, now: float) -> None:
        """Count a request that goes to a cold instance."""
        if self.fleet.cold_until(instance) > now:
            self.loads.record_cold_request(self.loads.get(instance))

    def cold_rate_per_s(self, instance: FleetInstance) -> float:
        """Return this entry's part of a cold instance's rate, in requests/s."""
        routes = self.fleet.routes
        service = None if routes is None else routes.services.get(instance.service)
        rate = 1.0 if service is None else service.cold_requests_per_s
        return rate / max(1, self.entry_count())
