"""Slots of backend instances that this node may use.

A slot is the right to have one request in flight at one instance. Over all
entries, no more slots of an instance are in use than it has. ``SlotSource`` is
the interface to a node's slots: ``StaticSlots`` assigns them evenly by position
and never moves them, while the leased shares of
``masticdeck.coordination.shares`` move to the entries that have requests.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Protocol, final

from masticdeck.ids import EntryId, InstanceId, ServiceId
from masticdeck.state.deployment import Deployment


@final
@dataclass(frozen=True, slots=True)
class Slot:
    """The right to have one request in flight at an instance, until released."""

    instance: InstanceId
    service: ServiceId
    index: int


class SlotSource(Protocol):
    """Interface to the slots that a node may use.

    ``try_acquire`` checks the lease at the time of the call. ``release`` must
    be called exactly once per slot, when the request has ended. When new slots
    become available, the source calls the hook ``slots_available``.
    """

    def free_slots(self, service: ServiceId) -> dict[InstanceId, int]:
        """Return the number of free slots per instance, omitting zeros."""

    def try_acquire(self, instance: InstanceId) -> Slot | None:
        """Acquire a slot of an instance, or return None if none is usable."""

    def release(self, slot: Slot) -> None:
        """Release a slot whose request has ended."""

    def report_waiting(self, service: ServiceId, waiting: int) -> None:
        """Report how many requests of this node wait for a slot."""


class StaticSlots:
    """Slots assigned statically, by the position of the entry in the deployment."""

    def __init__(self, deployment: Deployment, entry: EntryId) -> None:
        self.deployment = deployment
        self.assigned: Counter[InstanceId] = Counter()
        self.in_use: Counter[InstanceId] = Counter()
        self.instances_by_service: dict[ServiceId, list[InstanceId]] = {}
        position = [node.id for node in deployment.entries].index(entry)
        self.assign(position, len(deployment.entries))

    def assign(self, position: int, entry_count: int) -> None:
        """Assign every ``entry_count``-th slot, starting with number ``position``."""
        slot_number = 0
        for instance in self.deployment.instances:
            for _ in range(instance.slots):
                if slot_number % entry_count == position:
                    self.assigned[instance.id] += 1
                slot_number += 1
        for instance_id in self.assigned:
            service = self.deployment.instance_by_id[instance_id].service
            self.instances_by_service.setdefault(service, []).append(instance_id)

    def free_slots(self, service: ServiceId) -> dict[InstanceId, int]:
        """Return the number of free slots per instance, omitting zeros."""
        counts = {
            instance: self.assigned[instance] - self.in_use[instance]
            for instance in self.instances_by_service.get(service, [])
        }
        return {instance: count for instance, count in counts.items() if count > 0}

    def try_acquire(self, instance: InstanceId) -> Slot | None:
        """Acquire a slot of an instance, or return None if none is usable."""
        if self.assigned[instance] <= self.in_use[instance]:
            return None
        self.in_use[instance] += 1
        service = self.deployment.instance_by_id[instance].service
        return Slot(instance, service, self.in_use[instance])

    def release(self, slot: Slot) -> None:
        """Release a slot whose request has ended."""
        self.in_use[slot.instance] -= 1

    def report_waiting(self, service: ServiceId, waiting: int) -> None:
        """Do nothing: static slots do not move between entries."""
