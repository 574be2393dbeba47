"""The ledger of one region's slot units: their holders and validity.

The ledger reads no clock; callers pass the boot time. A unit is free, held,
unknown or quarantined. After a change of owner all units are unknown until
holders claim them or no entry can hold them any more.
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
    """The owner's record of one entry that holds units.

    ``grants_valid_until`` is the latest time at which a grant that was sent
    to the holder can still be valid by the holder's clock.
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
        """Return the number of units of a service that the holder has."""
        return sum(1 for unit in self.units if ledger.service_of_unit(unit) == service)


class UnitLedger:
    """Units of the instances of one region.

    ``agreed_wait_s`` is the maximum agreed wait of each service: how long a
    request may run on after the grant under which it began has expired. The
    units of ended processes stay unused until ``quarantined_until``, by when
    the backend servers have noticed the closed connections.
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
        """Return the maximum agreed wait of all services of the region."""
        return max(
            (self.agreed_wait_s[service] for service in self.capacity), default=0.0
        )

    def service_of_unit(self, unit: Unit) -> ServiceId:
        """Return the service that a unit belongs to."""
        return self.service_of[unit.instance]

    def get_or_create_holder(
        self, entry: EntryId, incarnation: Incarnation, now: float
    ) -> HolderRecord:
        """Return the record of a holder; a new incarnation gets a new record."""
        record = self.holders.get(entry)
        if record is not None and record.incarnation == incarnation:
            return record
        if record is not None:
            self.quarantine_units(record, now)
        zone = self.deployment.entry_by_id[entry].zone
        is_local = self.deployment.region_of[zone] == self.region
        new_record = self.holders[entry] = HolderRecord(
            entry, zone, incarnation, is_local=is_local
        )
        return new_record

    def claim_units(self, holder: HolderRecord, units: set[Unit]) -> set[Unit]:
        """Replace the units of a holder by those it reports; return the refused.

        Called with a holder's full report, after which the holder ignores
        earlier grants. Units that another holder has are refused.
        """
        for unit in holder.units - units:
            self.free_unit(holder, unit)
        refused_units = set()
        for unit in units - holder.units:
            if not self.is_claimable(unit):
                refused_units.add(unit)
                continue
            self.unknown_units.discard(unit)
            self.free_units[self.service_of_unit(unit)].discard(unit)
            self.assign_unit(holder, unit)
        return refused_units

    def is_claimable(self, unit: Unit) -> bool:
        """Return whether the unit belongs to the region and is unknown or free."""
        service = self.service_of.get(unit.instance)
        if service is None:
            return False
        return unit in self.unknown_units or unit in self.free_units[service]

    def assign_unit(self, holder: HolderRecord, unit: Unit) -> None:
        """Assign a unit to a holder."""
        self.holder_by_unit[unit] = holder.id
        holder.units.add(unit)

    def free_unit(self, holder: HolderRecord, unit: Unit) -> None:
        """Free a unit that its holder no longer has."""
        holder.units.discard(unit)
        if self.holder_by_unit.get(unit) == holder.id:
            del self.holder_by_unit[unit]
            self.free_units[self.service_of_unit(unit)].add(unit)

    def free_returned(self, holder: HolderRecord, units: set[Unit]) -> None:
        """Free the units that a holder returned."""
        for unit in units & holder.units:
            self.free_unit(holder, unit)

    def grant(self, holder: HolderRecord, service: ServiceId, count: int) -> set[Unit]:
        """Assign up to ``count`` free units to a holder; return them.

        Instances in the holder's zone come first, then those of which the
        holder has the fewest units.
        """
        grantable = [
            unit
            for unit in self.free_units[service]
            if unit.instance not in self.leaving_instances
        ]
        held_counts = Counter(unit.instance for unit in holder.units)
        grantable.sort(
            key=lambda unit: (
                self.zone_of[unit.instance] != holder.zone,
                held_counts[unit.instance],
                unit,
            )
        )
        granted = set(grantable[:count])
        for unit in granted:
            self.free_units[service].discard(unit)
            self.assign_unit(holder, unit)
        return granted

    def record_grant_validity(self, holder: HolderRecord, until: float) -> None:
        """Record the validity of a grant; called before the grant is sent."""
        holder.grants_valid_until = max(holder.grants_valid_until, until)

    def quarantine_units(self, holder: HolderRecord, now: float) -> None:
        """Quarantine the units of a process that is known to have ended.

        Its requests may run on until the backend servers notice the closed
        connections, which takes up to DISCONNECT_NOTICE_S.
        """
        holder.connected = False
        for unit in list(holder.units):
            holder.units.discard(unit)
            self.holder_by_unit.pop(unit, None)
            self.quarantined_until[unit] = now + DISCONNECT_NOTICE_S

    def expire_grants(self, now: float) -> list[HolderRecord]:
        """Free the units whose grants and requests must have ended by now.

        Also frees units whose quarantine is over. Returns the holders that
        lost units; the caller must end their sessions.
        """
        expired_holders = []
        for holder in self.holders.values():
            grants_end_at = holder.grants_valid_until + CLOCK_MARGIN_S
            expired_units = {
                unit
                for unit in holder.units
                if now > grants_end_at + self.agreed_wait_s[self.service_of_unit(unit)]
            }
            if expired_units:
                self.free_returned(holder, expired_units)
                expired_holders.append(holder)
        for unit, until in list(self.quarantined_until.items()):
            if now > until:
                del self.quarantined_until[unit]
                self.free_units[self.service_of_unit(unit)].add(unit)
        return expired_holders

    def free_unknown_units(self) -> None:
        """Free the unknown units, which no entry can hold any more."""
        for unit in self.unknown_units:
            self.free_units[self.service_of_unit(unit)].add(unit)
        self.unknown_units.clear()
