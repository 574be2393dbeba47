"""Keeps the instances of a service in the order in which they serve each key.

Ordering a service's instances for a key takes a hash of each of them. The result is
kept and changed in place when an instance comes or goes, so that a release of a
large service does not make every request compute it again. Only the first
``KEPT_INSTANCES`` are kept, because a key is served by the first few that are usable.
"""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from heapq import nsmallest
from typing import Any, Generic, TypeVar, final

import xxhash

from masticdeck.ids import InstanceId, ServiceId
from masticdeck.state.fleet import Fleet, FleetInstance

KEPT_INSTANCES = 16
"""Instances kept for a key; more are computed if these are not usable."""

MAX_KEPT_ORDERS = 6_000
"""Orders of all services that are kept; one of 16 instances takes about 2.5 KB."""

MAX_PENDING_CHANGES = 64
"""Changes of a service that are kept before all its orders are discarded."""

Area = TypeVar("Area", bound=Hashable)
"""What an order prefers beside the key, such as the own region."""

Position = tuple[int, int, InstanceId]
"""Place of an instance in an order: area rank, negative weight for the key, id."""


@final
@dataclass(slots=True)
class KeptOrder:
    """The first positions of an order, as of ``change_count`` changes."""

    positions: list[Position]
    is_whole: bool
    change_count: int


@final
@dataclass(frozen=True, slots=True)
class MembershipChange:
    """Instances that left and joined a service."""

    left: frozenset[InstanceId]
    joined: tuple[FleetInstance, ...]


@final
class RecentOrders:
    """Bounds the orders that all services keep: the least recently used one goes.

    Callers choose how many keys there are, and how long each of them is.
    """

    def __init__(self) -> None:
        self.owners: OrderedDict[tuple[ServiceId, Hashable], dict[Any, KeptOrder]] = (
            OrderedDict()
        )

    def use(
        self, service: ServiceId, name: Hashable, kept: dict[Any, KeptOrder]
    ) -> None:
        """Take in that a service uses an order, which it keeps under a name."""
        self.owners[service, name] = kept
        self.owners.move_to_end((service, name))
        if len(self.owners) > MAX_KEPT_ORDERS:
            (_, oldest), owner = self.owners.popitem(last=False)
            owner.pop(oldest, None)


@final
class ServiceOrders(Generic[Area]):
    """Orders of the instances of one service that may get new requests.

    ``area_rank`` ranks an instance for an area: 0 if it lies inside, and the more the
    less it is preferred. ``recent`` bounds the orders that are kept; services that
    share it share the bound.
    """

    def __init__(
        self,
        fleet: Fleet,
        service: ServiceId,
        area_rank: Callable[[Area, FleetInstance], int],
        recent: RecentOrders | None = None,
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.area_rank = area_rank
        self.epoch: tuple[int, int] | None = None
        self.instances: dict[InstanceId, FleetInstance] = {}
        self.changes: list[MembershipChange] = []
        self.kept: dict[tuple[int, Area], KeptOrder] = {}
        self.recent = recent or RecentOrders()

    def refresh(self) -> None:
        """Note which instances have left and joined since the last call."""
        epoch = self.fleet.service_epoch(self.service)
        if epoch == self.epoch:
            return
        self.epoch = epoch
        previous, self.instances = (
            self.instances,
            {instance.id: instance for instance in self.fleet.in_service(self.service)},
        )
        left = frozenset(
            instance.id
            for instance in previous.values()
            if instance.id not in self.instances
            or self.instances[instance.id].zone != instance.zone
        )
        joined = tuple(
            instance
            for instance in self.instances.values()
            if instance.id not in previous or instance.id in left
        )
        if left or joined:
            self.changes.append(MembershipChange(left, joined))
        if len(self.changes) > MAX_PENDING_CHANGES:
            self.kept.clear()
            self.changes.clear()

    def iterate(self, key: str, area: Area) -> Iterator[FleetInstance]:
        """Return the instances in the order in which they serve a key."""
        self.refresh()
        order = self.keep_order(key, area)
        for _, _, instance_id in order.positions:
            yield self.instances[instance_id]
        if order.is_whole:
            return
        kept_count = len(order.positions)
        positions = sorted(self.positions(key, area))
        for _, _, instance_id in positions[kept_count:]:
            yield self.instances[instance_id]

    def keep_order(self, key: str, area: Area) -> KeptOrder:
        """Return the kept order of a key, brought up to date."""
        name = xxhash.xxh3_128_intdigest(key.encode()), area
        self.recent.use(self.service, name, self.kept)
        order = self.kept.get(name)
        if order is not None:
            self.apply_changes(order, key, area)
            if order.is_whole or 2 * len(order.positions) >= KEPT_INSTANCES:
                return order
        first = nsmallest(KEPT_INSTANCES, self.positions(key, area))
        order = KeptOrder(first, len(first) == len(self.instances), len(self.changes))
        self.kept[name] = order
        return order

    def apply_changes(self, order: KeptOrder, key: str, area: Area) -> None:
        """Remove the instances that left since and insert those that joined."""
        for change in self.changes[order.change_count :]:
            if change.left:
                order.positions = [
                    position
                    for position in order.positions
                    if position[2] not in change.left
                ]
            for instance in change.joined:
                position = self.position(key, area, instance)
                if order.is_whole or (
                    order.positions and position < order.positions[-1]
                ):
                    insort(order.positions, position)
        order.change_count = len(self.changes)
        if len(order.positions) > 2 * KEPT_INSTANCES:
            del order.positions[KEPT_INSTANCES:]
            order.is_whole = False

    def positions(self, key: str, area: Area) -> Iterator[Position]:
        """Return the position of every instance for a key."""
        return (
            self.position(key, area, instance) for instance in self.instances.values()
        )

    def position(self, key: str, area: Area, instance: FleetInstance) -> Position:
        """Return the position of an instance for a key."""
        rank = self.area_rank(area, instance)
        return rank, -rendezvous_weight(key, instance.id), instance.id


def rendezvous_weight(key: str, instance: InstanceId) -> int:
    """Return the weight of an instance for a key; the highest weight serves it.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return xxhash.xxh64_intdigest(f"{key}/{instance}".encode())
