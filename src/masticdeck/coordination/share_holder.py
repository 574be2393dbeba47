"""The holder's side of shares: the leased slots of this entry."""

from __future__ import annotations

import asyncio
from collections import Counter

from masticdeck.clock import boottime
from masticdeck.coordination.holding import HeldUnits
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.ownership import MAX_CANDIDATES, Fence, rank_candidates
from masticdeck.coordination.share_session import HolderSession, report_interval_s
from masticdeck.coordination.slots import Slot
from masticdeck.coordination.units import Unit, encode_units
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, FencingToken, InstanceId, RegionId, ServiceId
from masticdeck.node import Node
from masticdeck.protocol.generated.shares_pb2 import ReadBackAnswer

REMOTE_DELAY_S = 0.1
REMOTE_RETENTION_S = 30.0
RETRY_DELAY_S = 0.1
IDLE_CHECK_INTERVAL_S = 1.0
REPORT_GROWTH_FACTOR = 1.25


class ShareHolder:
    """The slots that this entry holds in all regions.

    Implements ``SlotSource``. The entry always keeps a session with the owner
    of its own region. It opens sessions with owners of other regions while
    requests wait that its own region cannot serve.
    """

    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.membership = membership
        self.fence = Fence()
        self.region = node.deployment.region_of[node.entry.zone]
        self.units_by_region: dict[RegionId, HeldUnits] = {}
        self.region_of: dict[InstanceId, RegionId] = {}
        self.waiting: Counter[ServiceId] = Counter()
        self.reported_waiting: Counter[ServiceId] = Counter()
        self.waiting_since: dict[ServiceId, float] = {}
        self.session_needed_until: dict[RegionId, float] = {}
        self.owner_hints: dict[RegionId, EntryId] = {}
        self.sessions: dict[RegionId, HolderSession] = {}
        self.report_needed: dict[RegionId, asyncio.Event] = {}
        self.local_services: set[ServiceId] = set()
        self.session_count = 0
        self.owner_attempts = dict.fromkeys(node.deployment.regions, -1)
        self.joined = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = False
        self.instances_by_service: dict[ServiceId, list[InstanceId]] = {}
        self.report_interval_s = self.compute_report_interval_s()
        self.create_held_units()
        node.hooks.register(self)

    def compute_report_interval_s(self) -> float:
        """Return the interval between reports while nothing changes."""
        region_of = self.node.deployment.region_of
        zones = [entry.zone for entry in self.node.deployment.entries]
        return report_interval_s(
            sum(1 for zone in zones if region_of[zone] == self.region),
            minimum_s=self.node.config.share_report_s,
            share_ttl_s=self.node.config.share_ttl_s,
        )

    def create_held_units(self) -> None:
        """Create the held units of each region that has instances."""
        deployment = self.node.deployment
        services: dict[RegionId, dict[InstanceId, ServiceId]] = {}
        for instance in deployment.instances:
            region = deployment.region_of[instance.zone]
            services.setdefault(region, {})[instance.id] = instance.service
            self.region_of[instance.id] = region
            self.instances_by_service.setdefault(instance.service, []).append(
                instance.id
            )
        self.local_services = set(services.get(self.region, {}).values())
        for region, service_of in services.items():
            self.units_by_region[region] = HeldUnits(region, service_of)
            self.report_needed[region] = asyncio.Event()

    async def start(self) -> None:
        """Start the sessions with the owners."""
        if self.region not in self.units_by_region:
            self.joined.set()
        self.tasks = [
            asyncio.create_task(self.maintain_session(region), name=f"shares {region}")
            for region in self.units_by_region
        ]

    async def stop(self) -> None:
        """Return all idle units and end the sessions."""
        self.stopping = True
        for held_units in self.units_by_region.values():
            held_units.leaving_instances.update(held_units.service_of)
            held_units.return_all_idle()
        for session in list(self.sessions.values()):
            await session.send_final_report()
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def free_slots(self, service: ServiceId) -> dict[InstanceId, int]:
        """Return the number of free slots by instance, without zeros."""
        valid_regions = {
            region
            for region, region_units in self.units_by_region.items()
            if region_units.is_valid()
        }
        counts: dict[InstanceId, int] = {}
        for instance in self.instances_by_service.get(service, []):
            region = self.region_of[instance]
            held_units = self.units_by_region[region]
            if region in valid_regions and instance not in held_units.leaving_instances:
                counts[instance] = len(held_units.idle_indexes[instance])
        return {instance: count for instance, count in counts.items() if count}

    def try_acquire(self, instance: InstanceId) -> Slot | None:
        """Acquire a slot whose grant is valid now, or return None."""
        held_units = self.units_by_region[self.region_of[instance]]
        unit = held_units.try_acquire(instance)
        if unit is None:
            return None
        if held_units.region != self.region:
            self.session_needed_until[held_units.region] = (
                boottime() + REMOTE_RETENTION_S
            )
        return Slot(instance, held_units.service_of[instance], unit.index)

    def release(self, slot: Slot) -> None:
        """Release a slot whose request has ended; return it if it was recalled."""
        region = self.region_of[slot.instance]
        held_units = self.units_by_region[region]
        if held_units.release(Unit(slot.instance, slot.index)):
            self.report_needed[region].set()
        elif held_units.idle_recalls[slot.service] > 0:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.return_recalled_idle, region, slot.service)

    def return_recalled_idle(self, region: RegionId, service: ServiceId) -> None:
        """Return idle units that the owner recalled, unless requests wait here."""
        if self.waiting[service]:
            return
        if self.units_by_region[region].return_recalled_idle(service):
            self.report_needed[region].set()

    def report_waiting(self, service: ServiceId, waiting: int) -> None:
        """Report the number of waiting requests to the owners if it changed much.

        That is when waiting begins or ends, or when the number has grown by
        more than REPORT_GROWTH_FACTOR.
        """
        previous, self.waiting[service] = self.reported_waiting[service], waiting
        if waiting and service not in self.waiting_since:
            self.waiting_since[service] = boottime()
            loop = asyncio.get_running_loop()
            loop.call_later(REMOTE_DELAY_S, self.request_remote_regions, service)
        if not waiting:
            self.waiting_since.pop(service, None)
        if bool(previous) != bool(waiting) or waiting > previous * REPORT_GROWTH_FACTOR:
            self.reported_waiting[service] = waiting
            for region, report_needed in self.report_needed.items():
                if region in self.sessions and self.demand(region, service) == waiting:
                    report_needed.set()

    def request_remote_regions(self, service: ServiceId) -> None:
        """Open sessions with other regions once requests have waited a while."""
        if not self.waiting[service]:
            return
        for region, held_units in self.units_by_region.items():
            if service in held_units.service_of.values():
                self.session_needed_until[region] = boottime() + REMOTE_RETENTION_S
                self.report_needed[region].set()
        loop = asyncio.get_running_loop()
        loop.call_later(REMOTE_RETENTION_S / 2, self.request_remote_regions, service)

    def demand(self, region: RegionId, service: ServiceId) -> int:
        """Return how many waiting requests are reported to a region's owner.

        If this entry's own region has instances of the service, other regions
        get them only after REMOTE_DELAY_S.
        """
        waiting_since = self.waiting_since.get(service)
        if waiting_since is None:
            return 0
        if region == self.region or service not in self.local_services:
            return self.waiting[service]
        return (
            self.waiting[service] if boottime() - waiting_since >= REMOTE_DELAY_S else 0
        )

    def needs_session(self, region: RegionId) -> bool:
        """Return whether a session with a region's owner is needed now."""
        if region == self.region or self.units_by_region[region].units():
            return True
        return boottime() < self.session_needed_until.get(region, 0.0)

    def return_unused_remote(self, region: RegionId) -> None:
        """Return another region's idle units once they are no longer needed."""
        if region != self.region and boottime() > self.session_needed_until.get(
            region, 0.0
        ):
            self.units_by_region[region].return_all_idle()

    async def maintain_session(self, region: RegionId) -> None:
        """Keep a session with the region's owner while one is needed."""
        report_needed = self.report_needed[region]
        while True:
            if not self.needs_session(region):
                try:
                    async with asyncio.timeout(IDLE_CHECK_INTERVAL_S):
                        await report_needed.wait()
                except TimeoutError:
                    pass
                report_needed.clear()
                continue
            session = HolderSession(self, region, self.choose_owner(region))
            await session.run()
            await asyncio.sleep(RETRY_DELAY_S)

    def choose_owner(self, region: RegionId) -> EntryId:
        """Return the owner that was last hinted, else the next candidate."""
        hint = self.owner_hints.pop(region, None)
        if hint is not None:
            return hint
        candidates = rank_candidates(self.membership, f"region/{region}", region)
        self.owner_attempts[region] += 1
        return candidates[
            self.owner_attempts[region] % min(MAX_CANDIDATES, len(candidates))
        ]

    def answer_read_back(self, region: RegionId, token: FencingToken) -> ReadBackAnswer:
        """Report the held units to a new owner and refuse earlier owners."""
        held_units = self.units_by_region.get(region)
        if held_units is None or not self.fence.accept(f"region/{region}", token):
            return ReadBackAnswer(accepted=False)
        session = self.sessions.get(region)
        if session is not None and held_units.token < token:
            session.end()
        held_units.discard_expired_idle()
        return ReadBackAnswer(
            accepted=True,
            incarnation=self.node.incarnation,
            valid_ms=max(0, round((held_units.valid_until - boottime()) * 1000)),
            units=encode_units(held_units.units()),
        )

    def notify_slots_available(self, services: set[ServiceId]) -> None:
        """Call the hook ``slots_available`` for each service."""
        for service in services:
            self.node.hooks.hook.slots_available(service=service)

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Stop using a leaving instance and return its idle units."""
        region = self.region_of.get(instance)
        if region is not None:
            self.units_by_region[region].mark_leaving(instance)
            self.report_needed[region].set()

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Allow the slots of an instance again."""
        region = self.region_of.get(instance)
        if region is not None:
            self.units_by_region[region].leaving_instances.discard(instance)

    def record_joined(self, region: RegionId, owner: EntryId) -> None:
        """Record the first grant of an owner in a session."""
        self.owner_attempts[region] = -1
        if region == self.region:
            self.joined.set()
        self.node.events.emit(Code.SHARES_JOINED, region=region, entry=owner)
