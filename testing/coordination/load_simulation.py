"""Simulates load on dispatchers in virtual time, without a network.

Entries, nine unless stated, share instances that cache a few objects: a request for
a cached object takes 0.3 of the work. Virtual time makes a simulation reproducible.
"""

from __future__ import annotations

import asyncio
import math
import random
import selectors
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import pytest

from masticdeck.coordination import dispatch
from masticdeck.coordination.cold_turns import ColdTurns
from masticdeck.coordination.dispatch import (
    Dispatcher,
    NoCapacity,
    NoInstance,
    PendingRequest,
)
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.placement import Distance, Placement
from masticdeck.coordination.queueing.returns import ReturnSchedule
from masticdeck.coordination.run_times import RunTimes
from masticdeck.gateway.forwarder import RETRY_AFTER_S
from masticdeck.ids import EntryId, InstanceId, ServiceId, WorkspaceId, ZoneId
from masticdeck.protocol.dialect import InstanceUse
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route
from testing.coordination.test_placement import REGION_OF, build_instance

SERVICE = ServiceId("s")
ENTRIES = 9
QUEUE_PER_SLOT = 3
WARM_WORK_FRACTION = 0.3
CACHED_OBJECTS = 21

SLOWDOWN = 2.5
"""Factor by which work takes longer while the machine of an instance is disturbed."""

MEAN_CALM_S = 4.0
MEAN_DISTURBED_S = 0.5
"""Mean duration of the times without and with a slowdown, in seconds."""

MIN_RETURN_S = 0.05
"""Least time that a refused caller must have left to return."""

MAX_RETURN_FRACTION = 1 / 3
"""Longest wait of a refused caller, as a fraction of the time that it has left."""

LATE_REFUSAL_S = 0.1
"""Wait after which a refusal counts as late, in seconds."""


class VirtualSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready events; without any, advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the clock of its selector."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now


@dataclass
class Interference:
    """Slows down the machine of an instance at random times.

    ``changes_at`` is the virtual time at which the current state ends.
    """

    random: random.Random
    is_disturbed: bool = False
    changes_at: float = 0.0

    def slowdown(self, now: float) -> float:
        """Return the factor by which work takes longer than usual."""
        while self.changes_at <= now:
            self.is_disturbed = not self.is_disturbed and self.changes_at > 0
            mean_s = MEAN_DISTURBED_S if self.is_disturbed else MEAN_CALM_S
            self.changes_at += self.random.expovariate(1 / mean_s)
        return SLOWDOWN if self.is_disturbed else 1.0


@dataclass
class SimulatedInstance:
    """Simulates an instance with slots, a bounded queue and an object cache."""

    instance: FleetInstance
    interference: Interference | None = None
    reports_slowdown: bool = True
    running: int = 0
    waiting: int = 0
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    freed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def use(self) -> InstanceUse:
        """Return the load that the instance reports."""
        return InstanceUse(
            self.running,
            self.waiting,
            self.instance.slots,
            self.slowdown() if self.reports_slowdown else 1.0,
        )

    def slowdown(self) -> float:
        """Return the factor by which work takes longer than usual now."""
        if self.interference is None:
            return 1.0
        return self.interference.slowdown(asyncio.get_running_loop().time())

    async def run(self, key: str, work_s: float) -> bool:
        """Run a request; return False when it was shed.

        A cancelled request frees its slot, and its object is not cached.
        """
        if self.waiting >= QUEUE_PER_SLOT * self.instance.slots:
            return False
        self.waiting += 1
        try:
            async with self.freed:
                await self.freed.wait_for(lambda: self.running < self.instance.slots)
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            cache_factor = WARM_WORK_FRACTION if key in self.cache else 1.0
            await asyncio.sleep(work_s * cache_factor * self.slowdown())
            self.cache_object(key)
        finally:
            self.running -= 1
            async with self.freed:
                self.freed.notify()
        return True

    def cache_object(self, key: str) -> None:
        """Put an object into the cache and evict the least recently used one."""
        self.cache[key] = None
        self.cache.move_to_end(key)
        while len(self.cache) > CACHED_OBJECTS:
            self.cache.popitem(last=False)


class Outcome(Enum):
    """How an attempt of a caller ended."""

    SERVED = "served"
    REFUSED = "refused"
    TIMED_OUT = "timed out"


@dataclass
class OutcomeCounts:
    """Counts of the outcomes of requests of one priority."""

    sent: int = 0
    served: int = 0
    in_objective: int = 0
    timed_out: int = 0
    refused: int = 0
    refused_late: int = 0
    returned_refused: int = 0

    @property
    def fraction_in_objective(self) -> float:
        """Return the fraction of requests answered within the latency objective."""
        return self.in_objective / max(1, self.sent)

    @property
    def fraction_served(self) -> float:
        """Return the fraction of requests that were answered."""
        return self.served / max(1, self.sent)


class SimulatedConnections:
    """Idle connections of entries to instances, which close them after a time.

    Without a timeout every pair is connected from the start.
    """

    def __init__(self, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.idle_since: dict[tuple[Dispatcher, InstanceId], list[float]] = {}

    def take(self, pair: tuple[Dispatcher, InstanceId], now: float) -> bool:
        """Return whether an idle connection could be taken."""
        if self.idle_timeout_s == math.inf:
            return True
        idle = self.idle_since.get(pair, [])
        return bool(idle) and now - idle.pop() < self.idle_timeout_s

    def give_back(self, pair: tuple[Dispatcher, InstanceId], now: float) -> None:
        """Keep a connection for a later request."""
        self.idle_since.setdefault(pair, []).append(now)


class LoadSimulation:
    """Simulates entries, some instances, and callers of some routes."""

    def __init__(
        self,
        seed: int,
        *,
        instances: int,
        slots: int,
        interference: bool = False,
        reports_slowdown: bool = True,
        cross_region_rtt_s: float = 0.0,
        entries: int = ENTRIES,
        idle_timeout_s: float = math.inf,
    ) -> None:
        self.connections = SimulatedConnections(idle_timeout_s)
        self.random = random.Random(seed)
        self.fleet = Fleet(dict(REGION_OF))
        zones = list(REGION_OF)
        self.simulated_instances: dict[InstanceId, SimulatedInstance] = {}
        for number in range(instances):
            fleet_instance = build_instance(
                f"i{number}", zones[number % len(zones)], slots=slots
            )
            self.fleet.put_instance(fleet_instance)
            self.simulated_instances[fleet_instance.id] = SimulatedInstance(
                fleet_instance,
                Interference(random.Random(f"{seed}/{number}"))
                if interference
                else None,
                reports_slowdown=reports_slowdown,
            )
        members = [EntryId(f"entry-{number}") for number in range(entries)]
        self.entries = [
            Dispatcher(
                self.fleet,
                Placement(self.fleet, zone=ZoneId(zones[number % len(zones)])),
                InstanceLoads(),
                RunTimes(),
                Health(seed=seed),
                cold_turns=ColdTurns(entry, members=lambda: members),
            )
            for number, entry in enumerate(members)
        ]
        for entry in self.entries:
            entry.placement.cross_region_rtt_s = cross_region_rtt_s
            entry.return_schedule = ReturnSchedule(seed)
        self.counts_by_priority: dict[int, OutcomeCounts] = {}
        self.counts_by_workspace: dict[str | None, OutcomeCounts] = {}
        self.counts_by_second: dict[int, OutcomeCounts] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def offer(self, route: Route, **load: Any) -> None:
        """Send requests as ``send_for`` does, then wait until all have ended."""
        await self.send_for(route, **load)
        await asyncio.gather(*self.tasks)

    async def send_for(
        self,
        route: Route,
        *,
        per_s: float,
        work_s: float,
        keys: int,
        duration_s: float,
        workspace: str | None = None,
        returns: bool = False,
    ) -> None:
        """Send requests at random times.

        Callers that are refused return after ``Retry-After`` if ``returns`` is set.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(per_s))
            key = str(self.random.randrange(keys))
            self.tasks.append(
                asyncio.create_task(
                    self.call(route, key, work_s, workspace=workspace, returns=returns)
                )
            )

    async def call(
        self,
        route: Route,
        key: str,
        work_s: float,
        *,
        workspace: str | None = None,
        returns: bool = False,
    ) -> None:
        """Send a request through a random entry, returning if ``returns`` is set."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        counts = [
            self.counts_by_priority.setdefault(route.priority, OutcomeCounts()),
            self.counts_by_workspace.setdefault(workspace, OutcomeCounts()),
            self.counts_by_second.setdefault(int(started_at), OutcomeCounts()),
        ]
        for count in counts:
            count.sent += 1
        deadline = started_at + route.timeout_s
        has_returned = False
        while True:
            sent_at = loop.time()
            dispatcher = self.random.choice(self.entries)
            request = PendingRequest(
                route=route,
                service=SERVICE,
                key=key,
                soft_deadline=sent_at + route.objective_s,
                deadline=deadline,
                received_at=sent_at,
                caller_deadline=deadline,
                workspace=None if workspace is None else WorkspaceId(workspace),
            )
            dispatcher.note_arrival(request)
            outcome = await self.attempt(dispatcher, request, sent_at, work_s)
            if outcome is not Outcome.REFUSED:
                break
            now = loop.time()
            for count in counts:
                count.refused += 1
                count.refused_late += now - sent_at > LATE_REFUSAL_S
                count.returned_refused += has_returned
            left_s = deadline - now
            wait_s = min(
                self.retry_after_s(dispatcher, request), MAX_RETURN_FRACTION * left_s
            )
            if not returns or left_s - wait_s < MIN_RETURN_S:
                return
            has_returned = True
            await asyncio.sleep(wait_s)
        for count in counts:
            if outcome is Outcome.SERVED:
                count.served += 1
                count.in_objective += loop.time() - started_at <= route.objective_s
            else:
                count.timed_out += 1

    def retry_after_s(self, dispatcher: Dispatcher, request: PendingRequest) -> float:
        """Return the time after which a refused caller returns, in seconds."""
        return dispatcher.retry_after_s(request, RETRY_AFTER_S)

    async def attempt(
        self,
        dispatcher: Dispatcher,
        request: PendingRequest,
        sent_at: float,
        work_s: float,
    ) -> Outcome:
        """Send a request once, with the retries that its route allows."""
        loop = asyncio.get_running_loop()
        for _ in range(request.route.max_attempts):
            wait_until = dispatch.queue_deadline(sent_at, request.deadline)
            try:
                instance = await dispatcher.acquire(request, until=wait_until)
            except NoCapacity:
                queued_instance = dispatcher.try_acquire_queued(request)
                if queued_instance is None:
                    return Outcome.REFUSED
                instance = queued_instance
            except NoInstance:
                return Outcome.REFUSED
            request.tried_instances.add(instance.id)
            if await self.send(dispatcher, request, instance, work_s):
                return Outcome.SERVED
            if loop.time() >= request.deadline:
                return Outcome.TIMED_OUT
        return Outcome.REFUSED

    def one_way_s(self, placement: Placement, instance: FleetInstance) -> float:
        """Return the time that a message takes from an entry to an instance."""
        is_far = placement.distance(instance) is Distance.OTHER_REGION
        return placement.cross_region_rtt_s / 2 if is_far else 0.0

    async def send(
        self,
        dispatcher: Dispatcher,
        request: PendingRequest,
        instance: FleetInstance,
        work_s: float,
    ) -> bool:
        """Run a request at an instance until it ends or its deadline passes."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        load = dispatcher.loads.get(instance)
        simulated = self.simulated_instances[instance.id]
        run_key = request.route, instance.id, request.key
        one_way_s = self.one_way_s(dispatcher.placement, instance)
        pair = dispatcher, instance.id
        try:
            async with asyncio.timeout_at(request.deadline):
                if not self.connections.take(pair, started_at):
                    await asyncio.sleep(2 * one_way_s)
                await asyncio.sleep(one_way_s)
                was_run = await simulated.run(
                    f"{request.route.id}/{request.key}", work_s
                )
                report = simulated.use()
                await asyncio.sleep(one_way_s)
            self.connections.give_back(pair, loop.time())
            dispatcher.loads.record_report(load, report, loop.time())
            if was_run:
                dispatcher.loads.record_latency(load, loop.time() - started_at)
                dispatcher.run_times.record_run(*run_key, loop.time() - started_at)
            return was_run
        except TimeoutError:
            dispatcher.run_times.record_unfinished(*run_key, loop.time() - started_at)
            return False
        finally:
            dispatcher.release(load)


def run_in_virtual_time(body, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a coroutine function in virtual time."""
    loop = VirtualLoop()
    monkeypatch.setattr(dispatch, "boottime", loop.time)
    try:
        loop.run_until_complete(body())
    finally:
        loop.close()
