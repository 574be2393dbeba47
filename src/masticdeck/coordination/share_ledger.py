"""The ledger of one region's slot units: who holds which, and until when.

Plain data without clocks or streams of its own: callers pass the boot time.
A unit is free, held, or unknown. After a change of owner all are unknown
until holders claim them, or until nobody can hold them any more.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from masticdeck.coordination.units import Unit
from masticdeck.ids import EntryId, Incarnation, InstanceId, RegionId, ServiceId, ZoneId
from masticdeck.state.deployment import Deployment

CLOCK_MARGIN_S = 0.5
DISCONNECT_NOTICE_S = 1.0


@dataclass(slots=True)
class HolderRecord:
    """What the owner knows of one entry that holds units.

    ``grants_valid_until`` is the latest moment at which a grant that was sent to
    the holder can still be valid by the holder's clock.
    """

    id: EntryId
    zone: ZoneId
    incarnation: Incarnation
    units: set[Unit] = field(default_factory=set)
    waiting: Counter[ServiceId] = field(default_factory=Counter)
    idle: Counter[ServiceId] = field(default_factory=Counter)
    grants_valid_until: float = 0.0
    connected: bool = False
    is_local: bool = True

    def count_units(self, ledger: UnitLedger, service: ServiceId) -> int:
        """Return how many units of a service the holder has."""
        return sum(1 for unit in self.units if ledger.service_of_unit(unit) == service)


class UnitLedger:
    """Units of the instances of one region.

    ``agreed_wait_s`` is the longest agreed wait of each service: how long a request
    may go on after the grant under which it began has lapsed. Units of ended
    processes are ``quarantined_until`` until the backend servers have noticed.
    """

    def __init__(self, deployment: Deployment, region: RegionId) -> None:
        self.deployment = deployment
        self.region = region
        self.service_of: dict[InstanceId, ServiceId] = {}
        self.zone_of: dict[InstanceId, ZoneId] = {}
        self.capacity: Counter[ServiceId] = Counter()
        self.unknown_units: set[Unit] = set()
        self.free_units: dict[ServiceId, set[Unit]] = {}
        self.holder_by_unit: dict[Unit, EntryId] = {}
        self.holders: dict[EntryId, HolderRecord] = {}
        self.leaving_instances: set[InstanceId] = set()
        self.quarantined_until: dict[Unit, float] = {}
        self.agreed_wait_s = {
            service.id: max(service.agreed_wait_ms.values()) / 1000
            for service in deployment.services
        }
        for instance in deployment.instances:
            if deployment.region_of[instance.zone] == region:
                self.service_of[instance.id] = instance.service
                self.zone_of[instance.id] = instance.zone
                self.capacity[instance.service] += instance.slots
                self.unknown_units |= {
                    Unit(instance.id, n) for n in range(instance.slots)
                }
        self.free_units = {service: set() for service in self.capacity}

    @property
    def max_agreed_wait_s(self) -> float:
        """Return the longest agreed wait of any service of the region."""
        return max((self.agreed_wait_s[one] for one in self.capacity), default=0.0)

    def service_of_unit(self, unit: Unit) -> ServiceId:
        """Return the service of a unit's instance."""
        return self.service_of[unit.instance]

    def get_or_create_holder(
        self, entry: EntryId, incarnation: Incarnation, now: float
    ) -> HolderRecord:
        """Return the record of a holder, a new one for a new incarnation."""
        known = self.holders.get(entry)
        if known is not None and known.incarnation == incarnation:
            return known
        if known is not None:
            self.quarantine_units(known, now)
        zone = self.deployment.entry_by_id[entry].zone
        near = self.deployment.region_of[zone] == self.region
        fresh = self.holders[entry] = HolderRecord(
            entry, zone, incarnation, is_local=near
        )
        return fresh

    def claim_units(self, holder: HolderRecord, units: set[Unit]) -> set[Unit]:
        """Replace what a holder has by what it reports; return what it must not have.

        Called with a holder's full report, after which the holder takes no
        earlier grant into account. Units that another holder has are refused.
        """
        for unit in holder.units - units:
            self.free_unit(holder, unit)
        refused = set()
        for unit in units - holder.units:
            if not self.is_claimable(unit):
                refused.add(unit)
                continue
            self.unknown_units.discard(unit)
            self.free_units[self.service_of_unit(unit)].discard(unit)
            self.assign_unit(holder, unit)
        return refused

    def is_claimable(self, unit: Unit) -> bool:
        """Return whether the region has the unit and no other holder does."""
        service = self.service_of.get(unit.instance)
        if service is None:
            return False
        return unit in self.unknown_units or unit in self.free_units[service]

    def assign_unit(self, holder: HolderRecord, unit: Unit) -> None:
        """Enter a holder for a unit."""
        self.holder_by_unit[unit] = holder.id
        holder.units.add(unit)

    def free_unit(self, holder: HolderRecord, unit: Unit) -> None:
        """Make a unit free that its holder no longer has."""
        holder.units.discard(unit)
        if self.holder_by_unit.get(unit) == holder.id:
            del self.holder_by_unit[unit]
            self.free_units[self.service_of_unit(unit)].add(unit)

    def free_returned(self, holder: HolderRecord, units: set[Unit]) -> None:
        """Make units free that a holder released."""
        for unit in units & holder.units:
            self.free_unit(holder, unit)

    def grant(self, holder: HolderRecord, service: ServiceId, count: int) -> set[Unit]:
        """Move up to ``count`` free units to a holder, its own zone's first."""
        usable = [
            unit
            for unit in self.free_units[service]
            if unit.instance not in self.leaving_instances
        ]
        load = Counter(unit.instance for unit in holder.units)
        usable.sort(
            key=lambda unit: (
                self.zone_of[unit.instance] != holder.zone,
                load[unit.instance],
                unit,
            )
        )
        chosen = set(usable[:count])
        for unit in chosen:
            self.free_units[service].discard(unit)
            self.assign_unit(holder, unit)
        return chosen

    def record_grant_validity(self, holder: HolderRecord, until: float) -> None:
        """Note before sending it how long a grant may be valid."""
        holder.grants_valid_until = max(holder.grants_valid_until, until)

    def quarantine_units(self, holder: HolderRecord, now: float) -> None:
        """Take back the units of a process that is known to have ended.

        The backend servers notice its closed connections within NOTICE_S.
        """
        holder.connected = False
        for unit in list(holder.units):
            holder.units.discard(unit)
            self.holder_by_unit.pop(unit, None)
            self.quarantined_until[unit] = now + DISCONNECT_NOTICE_S

    def expire_grants(self, now: float) -> list[HolderRecord]:
        """Free the units of holders whose promises and requests are over.

        Returns the holders that lost units; their sessions must be ended.
        """
        losers = []
        for holder in self.holders.values():
            base = holder.grants_valid_until + CLOCK_MARGIN_S
            over = {
                unit
                for unit in holder.units
                if now > base + self.agreed_wait_s[self.service_of_unit(unit)]
            }
            if over:
                self.free_returned(holder, over)
                losers.append(holder)
        for unit, until in list(self.quarantined_until.items()):
            if now > until:
                del self.quarantined_until[unit]
                self.free_units[self.service_of_unit(unit)].add(unit)
        return losers

    def free_unknown_units(self) -> None:
        """Free the units that nobody can hold any more."""
        for unit in self.unknown_units:
            self.free_units[self.service_of_unit(unit)].add(unit)
        self.unknown_units.clear()
