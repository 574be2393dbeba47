"""Slots of backend instances as this node may use them.

A slot is the right to have one request in flight at one instance. The sum of
the slots in use over all entries never exceeds what an instance has. Where a
node's slots come from is behind ``SlotSource``: ``StaticSlots`` deals them out
evenly by position and never moves them; the leased shares of
``masticdeck.coordination.shares`` follow the work.
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
    """The right to one request in flight, until it is given back."""

    instance: InstanceId
    service: ServiceId
    index: int


class SlotSource(Protocol):
    """Where a node's slots come from.

    ``free`` maps each instance of a service to the number of slots that could
    be taken now. ``try_acquire`` checks the lease at the moment of use and returns
    None when there is no usable slot. ``release`` is called exactly once
    when the request has ended. ``report_waiting`` tells how many requests
    wait for a slot. When slots arrive the source calls the hook
    ``slots_available``.
    """

    def free(self, service: ServiceId) -> dict[InstanceId, int]:
        """Return the number of free slots by instance, without zeros."""

    def try_acquire(self, instance: InstanceId) -> Slot | None:
        """Take a slot of an instance, or return None."""

    def release(self, slot: Slot) -> None:
        """Return a slot whose request has ended."""

    def report_waiting(self, service: ServiceId, waiting: int) -> None:
        """Tell how many requests of this node wait for a slot."""


class StaticSlots:
    """Slots dealt out over the entries by position in the deployment."""

    def __init__(self, deployment: Deployment, entry: EntryId) -> None:
        self.deployment = deployment
        self.held: Counter[InstanceId] = Counter()
        self.used: Counter[InstanceId] = Counter()
        self.by_service: dict[ServiceId, list[InstanceId]] = {}
        position = [node.id for node in deployment.entries].index(entry)
        self.deal(position, len(deployment.entries))

    def deal(self, position: int, entries: int) -> None:
        """Take every slot whose running number falls on this position."""
        number = 0
        for instance in self.deployment.instances:
            for _ in range(instance.slots):
                if number % entries == position:
                    self.held[instance.id] += 1
                number += 1
        for instance_id in self.held:
            service = self.deployment.instance_by_id[instance_id].service
            self.by_service.setdefault(service, []).append(instance_id)

    def free(self, service: ServiceId) -> dict[InstanceId, int]:
        """Return the number of free slots by instance, without zeros."""
        counts = {
            instance: self.held[instance] - self.used[instance]
            for instance in self.by_service.get(service, [])
        }
        return {instance: count for instance, count in counts.items() if count > 0}

    def try_acquire(self, instance: InstanceId) -> Slot | None:
        """Take a slot of an instance, or return None."""
        if self.held[instance] <= self.used[instance]:
            return None
        self.used[instance] += 1
        service = self.deployment.instance_by_id[instance].service
        return Slot(instance, service, self.used[instance])

    def release(self, slot: Slot) -> None:
        """Return a slot whose request has ended."""
        self.used[slot.instance] -= 1

    def report_waiting(self, service: ServiceId, waiting: int) -> None:
        """Do nothing; static slots do not follow the work."""
