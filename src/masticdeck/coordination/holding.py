"""What one entry holds of one region's units, as data."""

from __future__ import annotations

from collections import Counter

from masticdeck.clock import boottime
from masticdeck.coordination.units import Unit
from masticdeck.ids import FencingToken, InstanceId, RegionId, ServiceId

DRIFT_PART = 0.02
DRIFT_MIN_S = 0.05


class Holding:
    """Idle and busy units of a region, valid until a moment of boot time.

    A unit in use is never released before its request has ended, even when
    the grant lapses meanwhile; it then stays counted as held.
    """

    def __init__(self, region: RegionId, service_of: dict[InstanceId, ServiceId]):
        self.region = region
        self.service_of = service_of
        self.idle: dict[InstanceId, list[int]] = {name: [] for name in service_of}
        self.busy: set[Unit] = set()
        self.recalled: set[Unit] = set()
        self.released: set[Unit] = set()
        self.leaving: set[InstanceId] = set()
        self.recall_idle: Counter[ServiceId] = Counter()
        self.recall_next: Counter[ServiceId] = Counter()
        self.valid_until = 0.0
        self.token = FencingToken(0)

    def valid(self) -> bool:
        """Return whether the units may be used at this moment."""
        return boottime() < self.valid_until

    def units(self) -> set[Unit]:
        """Return every unit held, idle or busy."""
        idle = {Unit(name, index) for name, all_ in self.idle.items() for index in all_}
        return idle | self.busy

    def idle_by_service(self) -> Counter[ServiceId]:
        """Return the number of idle units of each service."""
        counts: Counter[ServiceId] = Counter()
        for name, indexes in self.idle.items():
            counts[self.service_of[name]] += len(indexes)
        return counts

    def take(self, instance: InstanceId) -> Unit | None:
        """Take an idle unit of an instance into use, or return None."""
        indexes = self.idle[instance]
        if not indexes or instance in self.leaving or not self.valid():
            return None
        unit = Unit(instance, indexes.pop())
        self.busy.add(unit)
        return unit

    def give_back(self, unit: Unit) -> bool:
        """End the use of a unit; return whether it was released."""
        service = self.service_of[unit.instance]
        self.busy.discard(unit)
        due = unit in self.recalled or unit.instance in self.leaving
        if not due and self.recall_next[service] > 0:
            self.recall_next[service] -= 1
            due = True
        if due:
            self.recalled.discard(unit)
            self.released.add(unit)
            return True
        self.idle[unit.instance].append(unit.index)
        return False

    def add(self, units: set[Unit]) -> set[ServiceId]:
        """Take granted units in; return the services that gained."""
        for unit in units:
            self.released.discard(unit)
            self.idle[unit.instance].append(unit.index)
        return {self.service_of[unit.instance] for unit in units}

    def recall(self, units: set[Unit]) -> None:
        """Release units at once when idle, else when their request ends."""
        for unit in units:
            if unit in self.busy:
                self.recalled.add(unit)
            else:
                self.drop(unit)

    def drop(self, unit: Unit) -> None:
        """Release an idle unit."""
        if unit.index in self.idle[unit.instance]:
            self.idle[unit.instance].remove(unit.index)
            self.released.add(unit)

    def release_idle(self, service: ServiceId) -> bool:
        """Release as many idle units of a service as are asked for."""
        released = False
        while self.recall_idle[service] > 0:
            fullest = max(
                (name for name, one in self.service_of.items() if one == service),
                key=lambda name: len(self.idle[name]),
            )
            if not self.idle[fullest]:
                break
            self.drop(Unit(fullest, self.idle[fullest][-1]))
            self.recall_idle[service] -= 1
            released = True
        return released

    def leave_instance(self, instance: InstanceId) -> None:
        """Release the idle units of an instance and take none into use."""
        self.leaving.add(instance)
        for index in list(self.idle[instance]):
            self.drop(Unit(instance, index))

    def drop_idle(self) -> None:
        """Release every idle unit."""
        for unit in self.units() - self.busy:
            self.drop(unit)

    def drop_lapsed(self) -> None:
        """Forget idle units whose grant has lapsed, before claiming the rest."""
        if not self.valid():
            for indexes in self.idle.values():
                indexes.clear()

    def extend(self, sent_at: float, valid_s: float) -> None:
        """Extend the validity, counted from when the report was sent."""
        margin = max(DRIFT_MIN_S, valid_s * DRIFT_PART)
        self.valid_until = max(self.valid_until, sent_at + valid_s - margin)
