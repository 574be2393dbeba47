"""The live view of the fleet: instances, entries, evacuations and routes.

Everything here may change under load. ``epoch`` grows with each change that
may alter a placement, so that derived tables know when they are out of date.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import final

from masticdeck.ids import EntryId, InstanceId, RegionId, ServiceId, ZoneId
from masticdeck.state.routes import RouteTable

DEFAULT_CPU_CORES = 1.0
"""Processor of an entry's VM that states no size, in whole cores."""

DEFAULT_LINK_MBPS = 1000.0
"""Bandwidth of an entry's VM that states no size, in Mbit/s."""

MAX_KNOWN_INCARNATIONS = 10_000
"""Incarnations remembered as leaving or restarted; the first have ended by then."""

Incarnation = tuple[InstanceId, int]


class ColdSource(Enum):
    """What an entry concludes from that an instance is cold."""

    RECORD = "record"
    EVACUATION = "evacuation"
    REFUSED_CONNECTION = "refused connection"


class InstanceState(Enum):
    """What an instance reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """Boot time in seconds until which an instance is cold, and how that is known."""

    until: float
    source: ColdSource


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetInstance:
    """One incarnation of a backend instance.

    ``born_ms`` tells incarnations with the same id apart. ``cold_until`` is the
    boot time in seconds at which the instance bears its full rate.
    """

    id: InstanceId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    slots: int
    state: InstanceState
    born_ms: int
    cold_until: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells this start of the instance from others under its id."""
        return self.id, self.born_ms


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntry:
    """One running entry: where callers and where other entries reach it.

    ``cpu_cores`` and ``link_mbps`` tell the size of its VM: the processor in whole
    cores and the bandwidth in Mbit/s.
    """

    id: EntryId
    zone: ZoneId
    caller_address: str
    peer_host: str
    peer_port: int
    incarnation: int
    cpu_cores: float = DEFAULT_CPU_CORES
    link_mbps: float = DEFAULT_LINK_MBPS


class Fleet:
    """What this process believes of the fleet.

    ``region_of`` comes from the settings and names every zone; an instance in
    a zone without a region is not used.
    """

    def __init__(self, region_of: dict[ZoneId, RegionId]) -> None:
        self.region_of = region_of
        self.routes: RouteTable | None = None
        self.instances: dict[InstanceId, FleetInstance] = {}
        self.of_service: dict[ServiceId, dict[InstanceId, FleetInstance]] = {}
        self.leaving: dict[Incarnation, None] = {}
        self.restart_cold_until: dict[Incarnation, float] = {}
        self.refusing: set[Incarnation] = set()
        self.entries: dict[EntryId, FleetEntry] = {}
        self.entries_epoch = 0
        self.evacuated: set[ZoneId] = set()
        self.zone_cold_until: dict[ZoneId, float] = {}
        self.epoch = 0
        self.instance_epochs: dict[ServiceId, int] = {}
        self.evacuation_epoch = 0

    def service_epoch(self, service: ServiceId) -> tuple[int, int]:
        """Return a value that changes whenever ``in_service`` may do so."""
        return self.instance_epochs.get(service, 0), self.evacuation_epoch

    def record_instance_change(self, service: ServiceId) -> None:
        """Note that the instances of a service have changed."""
        self.instance_epochs[service] = self.instance_epochs.get(service, 0) + 1
        self.epoch += 1

    def put_instance(self, instance: FleetInstance) -> None:
        """Add an instance or replace what was known of it."""
        self.remove_instance(instance.id)
        self.instances[instance.id] = instance
        self.of_service.setdefault(instance.service, {})[instance.id] = instance
        self.record_instance_change(instance.service)

    def remove_instance(self, instance: InstanceId) -> FleetInstance | None:
        """Forget an instance; return what was known of it."""
        known = self.instances.pop(instance, None)
        if known is not None:
            del self.of_service[known.service][instance]
            if not known.born_ms:
                # Nothing would tell a later start under the same id from this one.
                self.leaving.pop(known.incarnation, None)
            self.record_instance_change(known.service)
        return known

    def record_leaving(self, instance: FleetInstance) -> bool:
        """Give an incarnation no new requests, whatever its record says from now on.

        Returns False if that was known. Nothing ends the state: an instance that
        leaves only comes back as another incarnation.
        """
        if instance.incarnation in self.leaving:
            return False
        self.leaving[instance.incarnation] = None
        if len(self.leaving) > MAX_KNOWN_INCARNATIONS:
            del self.leaving[next(iter(self.leaving))]
        self.record_instance_change(instance.service)
        return True

    def record_refused_connection(
        self, instance: FleetInstance, *, cold_until: float
    ) -> None:
        """Count an instance as cold that does not listen, until it has accepted.

        Whatever listens there next has started since, and may do so under its former
        id before a record says so. If nothing does, ``cold_until`` ends the state.
        """
        self.refusing.add(instance.incarnation)
        self.restart_cold_until[instance.incarnation] = cold_until
        if len(self.restart_cold_until) > MAX_KNOWN_INCARNATIONS:
            oldest = next(iter(self.restart_cold_until))
            del self.restart_cold_until[oldest]
            self.refusing.discard(oldest)

    def record_accepted_connection(
        self, instance: FleetInstance, *, cold_until: float
    ) -> None:
        """Let the cold time of an instance end that listens again."""
        if instance.incarnation in self.refusing:
            self.refusing.remove(instance.incarnation)
            self.restart_cold_until[instance.incarnation] = cold_until

    def put_entry(self, entry: FleetEntry) -> FleetEntry | None:
        """Add an entry or replace what was known of it; return the latter."""
        previous = self.entries.get(entry.id)
        self.entries[entry.id] = entry
        self.entries_epoch += 1
        return previous

    def remove_entry(self, entry: EntryId) -> FleetEntry | None:
        """Forget an entry; return what was known of it."""
        self.entries_epoch += 1
        return self.entries.pop(entry, None)

    def begin_evacuation(self, zone: ZoneId) -> None:
        """Stop using the instances of a zone."""
        self.evacuated.add(zone)
        self.evacuation_epoch += 1
        self.epoch += 1

    def end_evacuation(self, zone: ZoneId, *, cold_until: float) -> None:
        """Use a zone's instances again, with the care that cold ones need."""
        self.evacuated.discard(zone)
        self.zone_cold_until[zone] = cold_until
        self.evacuation_epoch += 1
        self.epoch += 1

    def extend_zone_cold_time(self, zone: ZoneId, cold_until: float) -> None:
        """Count a zone's instances as cold at least until a boot time."""
        known_until = self.zone_cold_until.get(zone, 0.0)
        self.zone_cold_until[zone] = max(known_until, cold_until)

    def use_routes(self, routes: RouteTable) -> bool:
        """Put a newer configuration in force; return False for an older one."""
        if self.routes is not None and routes.version <= self.routes.version:
            return False
        self.routes = routes
        self.epoch += 1
        return True

    def in_service(self, service: ServiceId) -> Iterable[FleetInstance]:
        """Return the instances of a service that may get new requests."""
        for instance in self.of_service.get(service, {}).values():
            if (
                instance.state is InstanceState.READY
                and instance.incarnation not in self.leaving
                and instance.zone not in self.evacuated
                and instance.zone in self.region_of
            ):
                yield instance

    def cold_until(self, instance: FleetInstance) -> float:
        """Return the boot time until which an instance counts as cold."""
        return max(
            instance.cold_until,
            self.zone_cold_until.get(instance.zone, 0.0),
            self.restart_cold_until.get(instance.incarnation, 0.0),
        )

    def cold_period(self, instance: FleetInstance) -> ColdPeriod:
        """Return until when an instance counts as cold, and from which source."""
        zone_until = self.zone_cold_until.get(instance.zone, 0.0)
        restart_until = self.restart_cold_until.get(instance.incarnation, 0.0)
        return max(
            ColdPeriod(instance.cold_until, ColdSource.RECORD),
            ColdPeriod(zone_until, ColdSource.EVACUATION),
            ColdPeriod(restart_until, ColdSource.REFUSED_CONNECTION),
            key=lambda period: period.until,
        )
