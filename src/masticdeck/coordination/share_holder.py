"""The holder's side of shares: leased slots for the policy of this entry."""

from __future__ import annotations

import asyncio
from collections import Counter

from masticdeck.clock import boottime
from masticdeck.coordination.holding import Holding
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.ownership import CANDIDATES, Fence, rank_candidates
from masticdeck.coordination.share_session import HolderSession, report_interval_s
from masticdeck.coordination.slots import Slot
from masticdeck.coordination.units import Unit, encode_units
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, FencingToken, InstanceId, RegionId, ServiceId
from masticdeck.node import Node
from masticdeck.protocol.generated.shares_pb2 import ReadBackAnswer

FAR_DELAY_S = 0.1
FAR_KEEP_S = 30.0
RETRY_S = 0.1
IDLE_CHECK_S = 1.0
GROWTH = 1.25


class ShareHolder:
    """Slots of all regions as this entry holds them.

    Implements ``SlotSource``. The entry always keeps a session with the owner
    of its own region, and with others while work waits that its own region
    cannot take.
    """

    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.membership = membership
        self.fence = Fence()
        self.region = node.deployment.region_of[node.entry.zone]
        self.holdings: dict[RegionId, Holding] = {}
        self.region_of: dict[InstanceId, RegionId] = {}
        self.waiting: Counter[ServiceId] = Counter()
        self.reported: Counter[ServiceId] = Counter()
        self.waiting_since: dict[ServiceId, float] = {}
        self.wanted_until: dict[RegionId, float] = {}
        self.hints: dict[RegionId, EntryId] = {}
        self.sessions: dict[RegionId, HolderSession] = {}
        self.wakes: dict[RegionId, asyncio.Event] = {}
        self.near_services: set[ServiceId] = set()
        self.numbers = 0
        self.attempts = dict.fromkeys(node.deployment.regions, -1)
        self.joined = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = False
        self.by_service: dict[ServiceId, list[InstanceId]] = {}
        self.report_s = self.choose_interval()
        self.place_instances()
        node.hooks.register(self)

    def choose_interval(self) -> float:
        """Return the seconds between reports while nothing changes."""
        region_of = self.node.deployment.region_of
        zones = [entry.zone for entry in self.node.deployment.entries]
        return report_interval_s(
            sum(1 for zone in zones if region_of[zone] == self.region),
            minimum_s=self.node.config.share_report_s,
            share_ttl_s=self.node.config.share_ttl_s,
        )

    def place_instances(self) -> None:
        """Prepare a holding for each region that has instances."""
        deployment = self.node.deployment
        services: dict[RegionId, dict[InstanceId, ServiceId]] = {}
        for instance in deployment.instances:
            region = deployment.region_of[instance.zone]
            services.setdefault(region, {})[instance.id] = instance.service
            self.region_of[instance.id] = region
            self.by_service.setdefault(instance.service, []).append(instance.id)
        self.near_services = set(services.get(self.region, {}).values())
        for region, found in services.items():
            self.holdings[region] = Holding(region, found)
            self.wakes[region] = asyncio.Event()

    async def start(self) -> None:
        """Begin to ask the owners for shares."""
        if self.region not in self.holdings:
            self.joined.set()
        self.tasks = [
            asyncio.create_task(self.run(region), name=f"shares {region}")
            for region in self.holdings
        ]

    async def stop(self) -> None:
        """Release what is idle and end the sessions."""
        self.stopping = True
        for holding in self.holdings.values():
            holding.leaving.update(holding.service_of)
            holding.drop_idle()
        for session in list(self.sessions.values()):
            await session.send_last()
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def free_slots(self, service: ServiceId) -> dict[InstanceId, int]:
        """Return the number of free slots by instance, without zeros."""
        valid = {region for region, one in self.holdings.items() if one.valid()}
        counts: dict[InstanceId, int] = {}
        for instance in self.by_service.get(service, []):
            region = self.region_of[instance]
            holding = self.holdings[region]
            if region in valid and instance not in holding.leaving:
                counts[instance] = len(holding.idle[instance])
        return {instance: count for instance, count in counts.items() if count}

    def try_acquire(self, instance: InstanceId) -> Slot | None:
        """Take a slot whose grant is valid at this moment, or return None."""
        holding = self.holdings[self.region_of[instance]]
        unit = holding.take(instance)
        if unit is None:
            return None
        if holding.region != self.region:
            self.wanted_until[holding.region] = boottime() + FAR_KEEP_S
        return Slot(instance, holding.service_of[instance], unit.index)

    def release(self, slot: Slot) -> None:
        """Return a slot whose request has ended, and release it if asked to."""
        region = self.region_of[slot.instance]
        holding = self.holdings[region]
        if holding.give_back(Unit(slot.instance, slot.index)):
            self.wakes[region].set()
        elif holding.recall_idle[slot.service] > 0:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.release_idle, region, slot.service)

    def release_idle(self, region: RegionId, service: ServiceId) -> None:
        """Release idle units that the owner asked for, unless work waits here."""
        if self.waiting[service]:
            return
        if self.holdings[region].release_idle(service):
            self.wakes[region].set()

    def report_waiting(self, service: ServiceId, waiting: int) -> None:
        """Tell the owners when the number of waiting requests changes much."""
        before, self.waiting[service] = self.reported[service], waiting
        if waiting and service not in self.waiting_since:
            self.waiting_since[service] = boottime()
            loop = asyncio.get_running_loop()
            loop.call_later(FAR_DELAY_S, self.look_far, service)
        if not waiting:
            self.waiting_since.pop(service, None)
        if bool(before) != bool(waiting) or waiting > before * GROWTH:
            self.reported[service] = waiting
            for region, wake in self.wakes.items():
                if region in self.sessions and self.demand(region, service) == waiting:
                    wake.set()

    def look_far(self, service: ServiceId) -> None:
        """Ask other regions once work has waited for a while."""
        if not self.waiting[service]:
            return
        for region, holding in self.holdings.items():
            if service in holding.service_of.values():
                self.wanted_until[region] = boottime() + FAR_KEEP_S
                self.wakes[region].set()
        loop = asyncio.get_running_loop()
        loop.call_later(FAR_KEEP_S / 2, self.look_far, service)

    def demand(self, region: RegionId, service: ServiceId) -> int:
        """Return how many waiting requests a region is told of."""
        since = self.waiting_since.get(service)
        if since is None:
            return 0
        if region == self.region or service not in self.near_services:
            return self.waiting[service]
        return self.waiting[service] if boottime() - since >= FAR_DELAY_S else 0

    def wanted(self, region: RegionId) -> bool:
        """Return whether a session with a region's owner is needed now."""
        if region == self.region or self.holdings[region].units():
            return True
        return boottime() < self.wanted_until.get(region, 0.0)

    def tidy(self, region: RegionId) -> None:
        """Release a far region's idle units after long disuse."""
        if region != self.region and boottime() > self.wanted_until.get(region, 0.0):
            self.holdings[region].drop_idle()

    async def run(self, region: RegionId) -> None:
        """Keep a session with the region's owner while one is wanted."""
        wake = self.wakes[region]
        while True:
            if not self.wanted(region):
                try:
                    async with asyncio.timeout(IDLE_CHECK_S):
                        await wake.wait()
                except TimeoutError:
                    pass
                wake.clear()
                continue
            session = HolderSession(self, region, self.choose_owner(region))
            await session.run()
            await asyncio.sleep(RETRY_S)

    def choose_owner(self, region: RegionId) -> EntryId:
        """Return whom to ask: the last known owner, else the first candidate."""
        hint = self.hints.pop(region, None)
        if hint is not None:
            return hint
        order = rank_candidates(self.membership, f"region/{region}", region)
        self.attempts[region] += 1
        return order[self.attempts[region] % min(CANDIDATES, len(order))]

    def read_back(self, region: RegionId, token: FencingToken) -> ReadBackAnswer:
        """Tell a new owner what is held, and refuse older owners from now on."""
        holding = self.holdings.get(region)
        if holding is None or not self.fence.accept(f"region/{region}", token):
            return ReadBackAnswer(accepted=False)
        session = self.sessions.get(region)
        if session is not None and holding.token < token:
            session.end()
        holding.drop_lapsed()
        return ReadBackAnswer(
            accepted=True,
            incarnation=self.node.incarnation,
            valid_ms=max(0, round((holding.valid_until - boottime()) * 1000)),
            units=encode_units(holding.units()),
        )

    def announce(self, services: set[ServiceId]) -> None:
        """Tell the policy that slots have arrived."""
        for service in services:
            self.node.hooks.hook.slots_available(service=service)

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Take no slot of a leaving instance and release the idle ones."""
        region = self.region_of.get(instance)
        if region is not None:
            self.holdings[region].leave_instance(instance)
            self.wakes[region].set()

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Use slots of an instance again."""
        region = self.region_of.get(instance)
        if region is not None:
            self.holdings[region].leaving.discard(instance)

    def note_joined(self, region: RegionId, owner: EntryId) -> None:
        """Record that an owner has answered with a grant."""
        self.attempts[region] = -1
        if region == self.region:
            self.joined.set()
        self.node.events.emit(Code.SHARES_JOINED, region=region, entry=owner)
