"""What one entry holds of one region's units, as data."""

from __future__ import annotations

from collections import Counter

from masticdeck.clock import boottime
from masticdeck.coordination.units import Unit
from masticdeck.ids import FencingToken, InstanceId, RegionId, ServiceId

DRIFT_FRACTION = 0.02
MIN_DRIFT_MARGIN_S = 0.05


class HeldUnits:
    """Idle and busy units of a region, valid until a moment of boot time.

    A unit in use is never released before its request has ended, even when
    the grant lapses meanwhile; it then stays counted as held.
    """

    def __init__(self, region: RegionId, service_of: dict[InstanceId, ServiceId]):
        self.region = region
        self.service_of = service_of
        self.idle_indexes: dict[InstanceId, list[int]] = {
            name: [] for name in service_of
        }
        self.busy_units: set[Unit] = set()
        self.recalled_units: set[Unit] = set()
        self.returned_units: set[Unit] = set()
        self.leaving_instances: set[InstanceId] = set()
        self.idle_recalls: Counter[ServiceId] = Counter()
        self.busy_recalls: Counter[ServiceId] = Counter()
        self.valid_until = 0.0
        self.token = FencingToken(0)

    def is_valid(self) -> bool:
        """Return whether the units may be used at this moment."""
        return boottime() < self.valid_until

    def units(self) -> set[Unit]:
        """Return every unit held, idle or busy."""
        idle = {
            Unit(name, index)
            for name, all_ in self.idle_indexes.items()
            for index in all_
        }
        return idle | self.busy_units

    def count_idle_by_service(self) -> Counter[ServiceId]:
        """Return the number of idle units of each service."""
        counts: Counter[ServiceId] = Counter()
        for name, indexes in self.idle_indexes.items():
            counts[self.service_of[name]] += len(indexes)
        return counts

    def try_acquire(self, instance: InstanceId) -> Unit | None:
        """Take an idle unit of an instance into use, or return None."""
        indexes = self.idle_indexes[instance]
        if not indexes or instance in self.leaving_instances or not self.is_valid():
            return None
        unit = Unit(instance, indexes.pop())
        self.busy_units.add(unit)
        return unit

    def release(self, unit: Unit) -> bool:
        """End the use of a unit; return whether it was released."""
        service = self.service_of[unit.instance]
        self.busy_units.discard(unit)
        due = unit in self.recalled_units or unit.instance in self.leaving_instances
        if not due and self.busy_recalls[service] > 0:
            self.busy_recalls[service] -= 1
            due = True
        if due:
            self.recalled_units.discard(unit)
            self.returned_units.add(unit)
            return True
        self.idle_indexes[unit.instance].append(unit.index)
        return False

    def add_granted(self, units: set[Unit]) -> set[ServiceId]:
        """Take granted units in; return the services that gained."""
        for unit in units:
            self.returned_units.discard(unit)
            self.idle_indexes[unit.instance].append(unit.index)
        return {self.service_of[unit.instance] for unit in units}

    def recall(self, units: set[Unit]) -> None:
        """Release units at once when idle, else when their request ends."""
        for unit in units:
            if unit in self.busy_units:
                self.recalled_units.add(unit)
            else:
                self.return_idle_unit(unit)

    def return_idle_unit(self, unit: Unit) -> None:
        """Release an idle unit."""
        if unit.index in self.idle_indexes[unit.instance]:
            self.idle_indexes[unit.instance].remove(unit.index)
            self.returned_units.add(unit)

    def return_recalled_idle(self, service: ServiceId) -> bool:
        """Release as many idle units of a service as are asked for."""
        released = False
        while self.idle_recalls[service] > 0:
            fullest = max(
                (name for name, one in self.service_of.items() if one == service),
                key=lambda name: len(self.idle_indexes[name]),
            )
            if not self.idle_indexes[fullest]:
                break
            self.return_idle_unit(Unit(fullest, self.idle_indexes[fullest][-1]))
            self.idle_recalls[service] -= 1
            released = True
        return released

    def mark_leaving(self, instance: InstanceId) -> None:
        """Release the idle units of an instance and take none into use."""
        self.leaving_instances.add(instance)
        for index in list(self.idle_indexes[instance]):
            self.return_idle_unit(Unit(instance, index))

    def return_all_idle(self) -> None:
        """Release every idle unit."""
        for unit in self.units() - self.busy_units:
            self.return_idle_unit(unit)

    def discard_expired_idle(self) -> None:
        """Forget idle units whose grant has lapsed, before claiming the rest."""
        if not self.is_valid():
            for indexes in self.idle_indexes.values():
                indexes.clear()

    def extend_validity(self, sent_at: float, valid_s: float) -> None:
        """Extend the validity, counted from when the report was sent."""
        margin = max(MIN_DRIFT_MARGIN_S, valid_s * DRIFT_FRACTION)
        self.valid_until = max(self.valid_until, sent_at + valid_s - margin)
