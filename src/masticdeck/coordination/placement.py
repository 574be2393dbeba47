"""Which instances may serve a request, the best first.

Load that it answers: an instance that has handled an object lately needs a
third of the work for it, and every instance keeps few objects. A key therefore
has ``INSTANCES_PER_KEY`` instances in the whole system, the same at every
entry, chosen by rendezvous hashing: when an instance comes or goes, only its
own keys move.

Requests that want an answer in little more than a round trip to another region
have their two instances in the caller's region, as far as its instances bear its
part of the requests; which keys these are changes only with the fleet, so that a
burst moves nothing between regions. Requests without a key go by distance. Large
answers come from the nearest instances only, because bytes between zones cost
more than the work that a warm instance saves; they wait for room there rather
than go further. A zone or region that has only a small part of a service's slots
keeps only such a part of its keys, since it would be full of them.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, IntEnum

import xxhash

from masticdeck.ids import InstanceId, RegionId, ServiceId, ZoneId
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route, RouteKind

INSTANCES_PER_KEY = 2
"""Instances that serve one key; more of them are cold for most keys."""

RTT_OBJECTIVE_FRACTION = 0.2
"""Part of the wanted latency from which a far round trip decides the choice."""

REGION_CAPACITY_FRACTION = 0.8
"""Part of a region's share of the slots that its own keys are given."""

MIN_CAPACITY_RATIO = 0.6
"""Part of an equal share of the slots below which a place cannot bear all its keys."""

HASH_RANGE = 1 << 64

MAX_CACHED_ORDERS = 20_000
"""Hash orders kept before the cache is emptied."""

InstanceFilter = Callable[[FleetInstance], bool]


class Distance(IntEnum):
    """How far an instance is from this entry."""

    ZONE = 0
    REGION = 1
    OTHER_REGION = 2


class Scope(Enum):
    """Where the instances of a key are chosen from."""

    ANYWHERE = "anywhere"
    REGION = "region"
    ZONE = "zone"


class Placement:
    """Orders the instances of a service for one request."""

    def __init__(self, fleet: Fleet, *, zone: ZoneId) -> None:
        self.fleet = fleet
        self.zone = zone
        self.region = fleet.region_of[zone]
        self.cross_region_rtt_s = 0.0
        self.cached_epoch = -1
        self.cached_orders: dict[tuple[ServiceId, str, Scope], list[FleetInstance]] = {}
        self.cached_capacity_ratios: dict[tuple[ServiceId, Scope], float] = {}

    def distance(self, instance: FleetInstance) -> Distance:
        """Return how far an instance is from this entry."""
        if instance.zone == self.zone:
            return Distance.ZONE
        same = self.fleet.region_of[instance.zone] == self.region
        return Distance.REGION if same else Distance.OTHER_REGION

    def candidates(
        self, route: Route, service: ServiceId, key: str | None, usable: InstanceFilter
    ) -> list[FleetInstance]:
        """Return the instances that may serve a request, the best first."""
        if key is None or not route.sticky:
            return self.instances_by_distance(route, service, usable)
        self.discard_outdated()
        name = f"{route.prefix}{key}"
        scope = self.select_scope(route, service, name)
        found = [
            instance
            for instance in self.instances_by_hash(service, name, scope)
            if is_region_allowed(route, self.fleet.region_of[instance.zone])
            and usable(instance)
        ]
        if scope is Scope.ZONE:
            return self.keep_nearest(found)[:INSTANCES_PER_KEY]
        if self.is_latency_sensitive(route):
            return sorted(found[:INSTANCES_PER_KEY], key=self.distance)
        return found[:INSTANCES_PER_KEY]

    def is_latency_sensitive(self, route: Route) -> bool:
        """Return whether a far round trip takes much of the wanted latency."""
        return self.cross_region_rtt_s > RTT_OBJECTIVE_FRACTION * route.objective_s

    def select_scope(self, route: Route, service: ServiceId, key: str) -> Scope:
        """Return where the instances of a key are chosen from."""
        place = xxhash.xxh64_intdigest(key.encode()) / HASH_RANGE
        if route.kind is RouteKind.DOWNLOAD:
            for scope in (Scope.ZONE, Scope.REGION):
                if place < self.local_key_fraction(service, scope):
                    return scope
            return Scope.ANYWHERE
        if not self.is_latency_sensitive(route):
            return Scope.ANYWHERE
        return (
            Scope.REGION
            if place < self.region_key_fraction(service)
            else Scope.ANYWHERE
        )

    def region_key_fraction(self, service: ServiceId) -> float:
        """Return the part of its keys that this entry's region serves itself.

        A region whose slots are fewer than an equal part of all serves fewer.
        """
        return min(
            1.0, REGION_CAPACITY_FRACTION * self.capacity_ratio(service, Scope.REGION)
        )

    def local_key_fraction(self, service: ServiceId, scope: Scope) -> float:
        """Return the part of the keys of large answers that stay inside a scope."""
        share = self.capacity_ratio(service, scope)
        return share if share < MIN_CAPACITY_RATIO else 1.0

    def capacity_ratio(self, service: ServiceId, scope: Scope) -> float:
        """Return a service's slots inside a scope, as a part of an equal share.

        Zones and regions are taken to have equal demand.
        """
        share = self.cached_capacity_ratios.get((service, scope))
        if share is None:
            slots = total = 0
            for instance in self.fleet.in_service(service):
                total += instance.slots
                if self.scope_rank(instance, scope) == 0:
                    slots += instance.slots
            region_of = self.fleet.region_of
            places = region_of if scope is Scope.ZONE else set(region_of.values())
            share = len(places) * slots / max(1, total)
            self.cached_capacity_ratios[service, scope] = share
        return share

    def discard_outdated(self) -> None:
        """Forget what was worked out for another state of the fleet."""
        if (
            self.cached_epoch != self.fleet.epoch
            or len(self.cached_orders) > MAX_CACHED_ORDERS
        ):
            self.cached_orders.clear()
            self.cached_capacity_ratios.clear()
            self.cached_epoch = self.fleet.epoch

    def keep_nearest(self, instances: list[FleetInstance]) -> list[FleetInstance]:
        """Return the first instances that are equally near."""
        if not instances:
            return instances
        nearest = self.distance(instances[0])
        return [one for one in instances if self.distance(one) is nearest]

    def instances_by_distance(
        self, route: Route, service: ServiceId, usable: InstanceFilter
    ) -> list[FleetInstance]:
        """Return every usable instance, the nearest first."""
        found = [
            instance
            for instance in self.fleet.in_service(service)
            if is_region_allowed(route, self.fleet.region_of[instance.zone])
            and usable(instance)
        ]
        return sorted(found, key=self.distance)

    def instances_by_hash(
        self, service: ServiceId, key: str, scope: Scope
    ) -> list[FleetInstance]:
        """Return a service's instances in the hash order of a key, by scope first."""
        order = self.cached_orders.get((service, key, scope))
        if order is None:
            order = sorted(
                self.fleet.in_service(service),
                key=lambda instance: (
                    self.scope_rank(instance, scope),
                    -rendezvous_weight(key, instance.id),
                ),
            )
            self.cached_orders[service, key, scope] = order
        return order

    def scope_rank(self, instance: FleetInstance, scope: Scope) -> int:
        """Return 0 for instances inside a scope and more for those outside."""
        if scope is Scope.ANYWHERE:
            return 0
        distance = self.distance(instance)
        return (
            distance if scope is Scope.ZONE else int(distance is Distance.OTHER_REGION)
        )


def is_region_allowed(route: Route, region: RegionId) -> bool:
    """Return whether a route's requests may run in a region."""
    return not route.home_regions or region in route.home_regions


def rendezvous_weight(key: str, instance: InstanceId) -> int:
    """Return the weight of an instance for a key; the highest one serves it.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return xxhash.xxh64_intdigest(f"{key}/{instance}".encode())
