"""Selects the instances that may serve a request, the best first.

An instance that has handled an object recently needs a third of the work for it,
and every instance caches only a few objects. A key therefore has
``INSTANCES_PER_KEY`` instances in the whole system, the same at every entry,
chosen by rendezvous hashing: when an instance is added or removed, only its own
keys move.

If a round trip to another region takes much of a route's latency objective, the
instances of a key lie in the caller's region, for as many keys as the region has
capacity for. Which keys these are depends only on the fleet, so that a burst does
not move keys between regions. Instances for requests without a key are ordered
by distance.

Large responses come from the nearest instances only, because traffic between
zones costs more than the work that a warm instance saves; such requests wait for
a slot there rather than use a more distant instance. A zone or region with a
small fraction of a service's slots serves a correspondingly small fraction of its
keys itself, since all of them would overload it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum
from itertools import islice
from typing import final

import xxhash

from masticdeck.coordination.instance_orders import RecentOrders, ServiceOrders
from masticdeck.ids import RegionId, ServiceId, ZoneId
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route, RouteKind

INSTANCES_PER_KEY = 2
"""Instances that serve one key; with more, most keys would meet cold caches."""

RTT_OBJECTIVE_FRACTION = 0.2
"""Cross-region RTT, relative to the objective, above which keys stay local."""

REGION_CAPACITY_FRACTION = 0.8
"""Fraction of a region's capacity ratio that is used for its own keys."""

MIN_CAPACITY_RATIO = 0.6
"""Capacity ratio below which a zone or region does not serve all its keys itself."""

HASH_RANGE = 1 << 64

NOT_ALLOWED_RANK = 9
"""Rank of the instances outside the home regions of a route, behind all others."""

InstanceFilter = Callable[[FleetInstance], bool]


class Distance(IntEnum):
    """Distance of an instance from this entry."""

    ZONE = 0
    REGION = 1
    OTHER_REGION = 2


class Scope(Enum):
    """Area in which the instances of a key are chosen."""

    ANYWHERE = "anywhere"
    REGION = "region"
    ZONE = "zone"


@final
@dataclass(frozen=True, slots=True)
class Area:
    """Which instances are preferred for a key: scope and allowed regions."""

    scope: Scope
    home_regions: frozenset[RegionId]


class Placement:
    """Orders the instances of a service for a request."""

    def __init__(self, fleet: Fleet, *, zone: ZoneId) -> None:
        self.fleet = fleet
        self.zone = zone
        self.region = fleet.region_of[zone]
        self.cross_region_rtt_s = 0.0
        self.orders: dict[ServiceId, ServiceOrders[Area]] = {}
        self.recent_orders = RecentOrders()
        self.capacity_ratios: dict[
            tuple[ServiceId, Scope], tuple[tuple[int, int], float]
        ] = {}

    def distance(self, instance: FleetInstance) -> Distance:
        """Return the distance of an instance from this entry."""
        if instance.zone == self.zone:
            return Distance.ZONE
        is_same_region = self.fleet.region_of[instance.zone] == self.region
        return Distance.REGION if is_same_region else Distance.OTHER_REGION

    def candidates(
        self,
        route: Route,
        service: ServiceId,
        key: str | None,
        is_usable: InstanceFilter,
    ) -> list[FleetInstance]:
        """Return the instances that may serve a request, the best first."""
        if key is None or not route.sticky:
            return self.instances_by_distance(route, service, is_usable)
        route_key = f"{route.prefix}{key}"
        scope = self.select_scope(route, service, route_key)
        instances = self.first_usable(
            self.instances_by_hash(route, service, route_key, scope), route, is_usable
        )
        if scope is Scope.ZONE:
            return self.keep_nearest(instances)
        if self.is_latency_sensitive(route):
            return sorted(instances, key=self.distance)
        return instances

    def first_usable(
        self,
        instances: Iterator[FleetInstance],
        route: Route,
        is_usable: InstanceFilter,
    ) -> list[FleetInstance]:
        """Return the first ``INSTANCES_PER_KEY`` usable instances."""
        usable_instances = (
            instance
            for instance in instances
            if is_region_allowed(route, self.fleet.region_of[instance.zone])
            and is_usable(instance)
        )
        return list(islice(usable_instances, INSTANCES_PER_KEY))

    def is_latency_sensitive(self, route: Route) -> bool:
        """Return whether a cross-region round trip takes much of the objective."""
        return self.cross_region_rtt_s > RTT_OBJECTIVE_FRACTION * route.objective_s

    def select_scope(self, route: Route, service: ServiceId, key: str) -> Scope:
        """Return the area in which the instances of a key are chosen."""
        position = xxhash.xxh64_intdigest(key.encode()) / HASH_RANGE
        if route.kind is RouteKind.DOWNLOAD:
            for scope in (Scope.ZONE, Scope.REGION):
                if position < self.local_key_fraction(service, scope):
                    return scope
            return Scope.ANYWHERE
        if not self.is_latency_sensitive(route):
            return Scope.ANYWHERE
        return (
            Scope.REGION
            if position < self.region_key_fraction(service)
            else Scope.ANYWHERE
        )

    def region_key_fraction(self, service: ServiceId) -> float:
        """Return the fraction of its keys that this entry's region serves itself.

        It falls in proportion when the region has less than an equal share of all
        slots.
        """
        return min(
            1.0, REGION_CAPACITY_FRACTION * self.capacity_ratio(service, Scope.REGION)
        )

    def local_key_fraction(self, service: ServiceId, scope: Scope) -> float:
        """Return the fraction of keys whose large responses stay inside a scope."""
        ratio = self.capacity_ratio(service, scope)
        return ratio if ratio < MIN_CAPACITY_RATIO else 1.0

    def capacity_ratio(self, service: ServiceId, scope: Scope) -> float:
        """Return the ratio of a service's slots inside a scope to an equal share.

        All zones, and all regions, are assumed to have the same demand.
        """
        epoch = self.fleet.service_epoch(service)
        known_epoch, ratio = self.capacity_ratios.get((service, scope), (None, 0.0))
        if known_epoch != epoch:
            ratio = self.compute_capacity_ratio(service, scope)
            self.capacity_ratios[service, scope] = epoch, ratio
        return ratio

    def compute_capacity_ratio(self, service: ServiceId, scope: Scope) -> float:
        """Return the ratio of a service's slots inside a scope to an equal share."""
        scope_slots = total_slots = 0
        for instance in self.fleet.in_service(service):
            total_slots += instance.slots
            if self.scope_rank(instance, scope) == 0:
                scope_slots += instance.slots
        region_of = self.fleet.region_of
        areas = region_of if scope is Scope.ZONE else set(region_of.values())
        return len(areas) * scope_slots / max(1, total_slots)

    def keep_nearest(self, instances: list[FleetInstance]) -> list[FleetInstance]:
        """Return the instances that are as near as the first one."""
        if not instances:
            return instances
        min_distance = self.distance(instances[0])
        return [
            instance
            for instance in instances
            if self.distance(instance) is min_distance
        ]

    def instances_by_distance(
        self, route: Route, service: ServiceId, is_usable: InstanceFilter
    ) -> list[FleetInstance]:
        """Return all is_usable instances, the nearest first."""
        instances = [
            instance
            for instance in self.fleet.in_service(service)
            if is_region_allowed(route, self.fleet.region_of[instance.zone])
            and is_usable(instance)
        ]
        return sorted(instances, key=self.distance)

    def instances_by_hash(
        self, route: Route, service: ServiceId, key: str, scope: Scope
    ) -> Iterator[FleetInstance]:
        """Return a service's instances by scope, then in the hash order of a key."""
        orders = self.orders.get(service)
        if orders is None:
            orders = ServiceOrders(
                self.fleet, service, self.area_rank, self.recent_orders
            )
            self.orders[service] = orders
        return orders.iterate(key, Area(scope, route.home_regions))

    def area_rank(self, area: Area, instance: FleetInstance) -> int:
        """Return the rank of an instance for an area, the lowest one first."""
        region = self.fleet.region_of[instance.zone]
        if area.home_regions and region not in area.home_regions:
            return NOT_ALLOWED_RANK
        return self.scope_rank(instance, area.scope)

    def scope_rank(self, instance: FleetInstance, scope: Scope) -> int:
        """Return 0 for an instance inside a scope, and more for one outside."""
        if scope is Scope.ANYWHERE:
            return 0
        distance = self.distance(instance)
        return (
            distance if scope is Scope.ZONE else int(distance is Distance.OTHER_REGION)
        )


def is_region_allowed(route: Route, region: RegionId) -> bool:
    """Return whether requests of a route may run in a region."""
    return not route.home_regions or region in route.home_regions
