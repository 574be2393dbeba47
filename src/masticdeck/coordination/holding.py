"""The slot units of one region that are granted to one entry."""

from __future__ import annotations

from collections import Counter

from masticdeck.clock import boottime
from masticdeck.coordination.units import Unit
from masticdeck.ids import FencingToken, InstanceId, RegionId, ServiceId

DRIFT_FRACTION = 0.02
MIN_DRIFT_MARGIN_S = 0.05


class HeldUnits:
    """Idle and busy units of a region, valid until a point in boot time.

    A busy unit is returned to the owner only after its request has ended,
    even when the grant expires before that; until then it counts as held.
    ``returned_units`` are reported to the owner with the next report.
    ``idle_recalls`` and ``busy_recalls`` count, by service, the units that
    the owner requests back: idle ones, and ones whose request ends next.
    """

    def __init__(self, region: RegionId, service_of: dict[InstanceId, ServiceId]):
        self.region = region
        self.service_of = service_of
        self.idle_indexes: dict[InstanceId, list[int]] = {
            instance: [] for instance in service_of
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
        """Return whether the grant is valid at this moment."""
        return boottime() < self.valid_until

    def units(self) -> set[Unit]:
        """Return all held units, idle and busy."""
        idle = {
            Unit(instance, index)
            for instance, indexes in self.idle_indexes.items()
            for index in indexes
        }
        return idle | self.busy_units

    def count_idle_by_service(self) -> Counter[ServiceId]:
        """Return the number of idle units of each service."""
        counts: Counter[ServiceId] = Counter()
        for instance, indexes in self.idle_indexes.items():
            counts[self.service_of[instance]] += len(indexes)
        return counts

    def try_acquire(self, instance: InstanceId) -> Unit | None:
        """Mark an idle unit of an instance busy and return it, or return None."""
        indexes = self.idle_indexes[instance]
        if not indexes or instance in self.leaving_instances or not self.is_valid():
            return None
        unit = Unit(instance, indexes.pop())
        self.busy_units.add(unit)
        return unit

    def release(self, unit: Unit) -> bool:
        """Mark a unit idle, or return it to the owner if it was recalled.

        Returns whether the unit went back to the owner.
        """
        service = self.service_of[unit.instance]
        self.busy_units.discard(unit)
        must_return = (
            unit in self.recalled_units or unit.instance in self.leaving_instances
        )
        if not must_return and self.busy_recalls[service] > 0:
            self.busy_recalls[service] -= 1
            must_return = True
        if must_return:
            self.recalled_units.discard(unit)
            self.returned_units.add(unit)
            return True
        self.idle_indexes[unit.instance].append(unit.index)
        return False

    def add_granted(self, units: set[Unit]) -> set[ServiceId]:
        """Add granted units; return the services that they belong to."""
        for unit in units:
            self.returned_units.discard(unit)
            self.idle_indexes[unit.instance].append(unit.index)
        return {self.service_of[unit.instance] for unit in units}

    def recall(self, units: set[Unit]) -> None:
        """Return idle units at once and busy ones when their request ends."""
        for unit in units:
            if unit in self.busy_units:
                self.recalled_units.add(unit)
            else:
                self.return_idle_unit(unit)

    def return_idle_unit(self, unit: Unit) -> None:
        """Return an idle unit to the owner with the next report."""
        if unit.index in self.idle_indexes[unit.instance]:
            self.idle_indexes[unit.instance].remove(unit.index)
            self.returned_units.add(unit)

    def return_recalled_idle(self, service: ServiceId) -> bool:
        """Return as many idle units of a service as the owner has recalled."""
        any_returned = False
        while self.idle_recalls[service] > 0:
            donor = max(
                (
                    instance
                    for instance, instance_service in self.service_of.items()
                    if instance_service == service
                ),
                key=lambda instance: len(self.idle_indexes[instance]),
            )
            if not self.idle_indexes[donor]:
                break
            self.return_idle_unit(Unit(donor, self.idle_indexes[donor][-1]))
            self.idle_recalls[service] -= 1
            any_returned = True
        return any_returned

    def mark_leaving(self, instance: InstanceId) -> None:
        """Return the idle units of a leaving instance and stop using it."""
        self.leaving_instances.add(instance)
        for index in list(self.idle_indexes[instance]):
            self.return_idle_unit(Unit(instance, index))

    def return_all_idle(self) -> None:
        """Return every idle unit to the owner."""
        for unit in self.units() - self.busy_units:
            self.return_idle_unit(unit)

    def discard_expired_idle(self) -> None:
        """Remove the idle units if the grant has expired.

        Called before the remaining units are claimed in a full report.
        """
        if not self.is_valid():
            for indexes in self.idle_indexes.values():
                indexes.clear()

    def extend_validity(self, sent_at: float, valid_s: float) -> None:
        """Extend the validity, measured from when the report was sent.

        A margin is subtracted for the drift between the two clocks.
        """
        margin_s = max(MIN_DRIFT_MARGIN_S, valid_s * DRIFT_FRACTION)
        self.valid_until = max(self.valid_until, sent_at + valid_s - margin_s)
