"""A play of load on dispatchers in virtual time, without a network.

Nine entries share instances whose caches keep a few objects: a request for an
object that an instance handled lately takes 0.3 of the work. Virtual time makes
a play repeat exactly.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections import OrderedDict
from dataclasses import dataclass, field

import pytest

from masticdeck.coordination import dispatch
from masticdeck.coordination.dispatch import (
    Dispatcher,
    NoCapacity,
    NoInstance,
    PendingRequest,
)
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.run_times import RunTimes
from masticdeck.ids import InstanceId, ServiceId, ZoneId
from masticdeck.protocol.dialect import InstanceUse
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route
from testing.coordination.test_placement import REGION_OF, instance

SERVICE = ServiceId("s")
ENTRIES = 9
QUEUE_PER_SLOT = 3
WARM_PART = 0.3
KEPT_OBJECTS = 21
WAIT_PART = 0.6


class VirtualSelector(selectors.SelectSelector):
    """Lets time pass at once when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready, else advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is the selector's."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual.now


@dataclass
class PlayedInstance:
    """Slots, a bounded queue and a cache of objects."""

    known: FleetInstance
    running: int = 0
    waiting: int = 0
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    freed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def use(self) -> InstanceUse:
        """Return what the instance would tell of its load."""
        return InstanceUse(self.running, self.waiting, self.known.slots)

    async def run(self, key: str, work_s: float) -> bool:
        """Run a request; return False when it was shed.

        One that is cancelled leaves its slot, and its object stays unknown.
        """
        if self.waiting >= QUEUE_PER_SLOT * self.known.slots:
            return False
        self.waiting += 1
        try:
            async with self.freed:
                await self.freed.wait_for(lambda: self.running < self.known.slots)
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(work_s * (WARM_PART if key in self.cache else 1.0))
            self.keep(key)
        finally:
            self.running -= 1
            async with self.freed:
                self.freed.notify()
        return True

    def keep(self, key: str) -> None:
        """Put an object into the cache, at the expense of the oldest one."""
        self.cache[key] = None
        self.cache.move_to_end(key)
        while len(self.cache) > KEPT_OBJECTS:
            self.cache.popitem(last=False)


@dataclass
class Tally:
    """How the requests of one priority ended."""

    asked: int = 0
    served: int = 0
    in_objective: int = 0
    cut: int = 0

    @property
    def share_in_objective(self) -> float:
        """Return the part of the requests answered as callers want."""
        return self.in_objective / max(1, self.asked)

    @property
    def share_served(self) -> float:
        """Return the part of the requests that were answered."""
        return self.served / max(1, self.asked)


class Play:
    """Nine entries, some instances, and callers of some routes."""

    def __init__(self, seed: int, *, instances: int, slots: int) -> None:
        self.random = random.Random(seed)
        self.fleet = Fleet(dict(REGION_OF))
        zones = list(REGION_OF)
        self.played: dict[InstanceId, PlayedInstance] = {}
        for number in range(instances):
            known = instance(f"i{number}", zones[number % len(zones)], slots=slots)
            self.fleet.put_instance(known)
            self.played[known.id] = PlayedInstance(known)
        self.entries = [
            Dispatcher(
                self.fleet,
                Placement(self.fleet, zone=ZoneId(zones[number % len(zones)])),
                InstanceLoads(),
                RunTimes(),
                Health(seed=seed),
                entry_count=lambda: ENTRIES,
            )
            for number in range(ENTRIES)
        ]
        self.tallies: dict[int, Tally] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def offer(
        self, route: Route, *, per_s: float, work_s: float, keys: int, seconds: float
    ) -> None:
        """Offer requests at random times, then wait for their ends."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(per_s))
            key = str(self.random.randrange(keys))
            self.tasks.append(asyncio.create_task(self.call(route, key, work_s)))
        await asyncio.gather(*self.tasks)

    async def call(self, route: Route, key: str, work_s: float) -> None:
        """Send one request through an entry, and once more if it was shed."""
        loop = asyncio.get_running_loop()
        dispatcher = self.random.choice(self.entries)
        tally = self.tallies.setdefault(route.priority, Tally())
        tally.asked += 1
        began = loop.time()
        ticket = PendingRequest(
            route=route,
            service=SERVICE,
            key=key,
            soft_deadline=began + route.objective_s,
            deadline=began + route.timeout_s,
        )
        for _ in range(route.max_attempts):
            limit = began + WAIT_PART * route.objective_s
            try:
                chosen = await dispatcher.acquire(ticket, until=limit)
            except NoCapacity:
                full = dispatcher.try_acquire_queued(ticket)
                if full is None:
                    return
                chosen = full
            except NoInstance:
                return
            ticket.tried_instances.add(chosen.id)
            if await self.send(dispatcher, ticket, chosen, work_s):
                tally.served += 1
                tally.in_objective += loop.time() - began <= route.objective_s
                return
            if loop.time() >= ticket.deadline:
                tally.cut += 1
                return

    async def send(
        self,
        dispatcher: Dispatcher,
        ticket: PendingRequest,
        chosen: FleetInstance,
        work_s: float,
    ) -> bool:
        """Run a request at an instance until its deadline."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        room = dispatcher.loads.get(chosen)
        played = self.played[chosen.id]
        learned = ticket.route, chosen.id, ticket.key
        try:
            async with asyncio.timeout_at(ticket.deadline):
                ran = await played.run(f"{ticket.route.id}/{ticket.key}", work_s)
            dispatcher.loads.record_report(room, played.use(), loop.time())
            if ran:
                dispatcher.run_times.record_run(*learned, loop.time() - began)
            return ran
        except TimeoutError:
            dispatcher.run_times.record_unfinished(*learned, loop.time() - began)
            return False
        finally:
            dispatcher.release(room)


def run_play(play_body, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a coroutine function in virtual time."""
    loop = VirtualLoop()
    monkeypatch.setattr(dispatch, "boottime", loop.time)
    try:
        loop.run_until_complete(play_body())
    finally:
        loop.close()
