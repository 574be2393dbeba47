"""Which instances may serve a request, the best first.

Load that it answers: an instance that has handled an object lately needs a
third of the work for it, and every instance keeps few objects. A key therefore
has ``COPIES`` instances in the whole system, the same at every entry, chosen by
rendezvous hashing: when an instance comes or goes, only its own keys move.

Requests that want an answer in little more than a round trip to another region
take the nearer of the two. Requests without a key go by distance. Large answers
come from the nearest instances only, because bytes between zones cost more than
the work that a warm instance saves; they wait for room there rather than go
further.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import xxhash

from masticdeck.ids import InstanceId, RegionId, ServiceId, ZoneId
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route, RouteKind

COPIES = 2
"""Instances that serve one key; more of them are cold for most keys."""

TIGHT_PART = 0.2
"""Part of the wanted latency from which a far round trip decides the choice."""

TRIP_WEIGHT = 0.1
"""Weight of a new round trip in the moving average."""

MAX_CACHED_ORDERS = 20_000
"""Hash orders kept before the cache is emptied."""

Usable = Callable[[FleetInstance], bool]


class Distance(IntEnum):
    """How far an instance is from this entry."""

    ZONE = 0
    REGION = 1
    FAR = 2


class Placement:
    """Orders the instances of a service for one request."""

    def __init__(self, fleet: Fleet, *, zone: ZoneId) -> None:
        self.fleet = fleet
        self.zone = zone
        self.region = fleet.region_of[zone]
        self.far_trip_s = 0.0
        self.epoch = -1
        self.orders: dict[tuple[ServiceId, str, bool], list[FleetInstance]] = {}

    def distance(self, instance: FleetInstance) -> Distance:
        """Return how far an instance is from this entry."""
        if instance.zone == self.zone:
            return Distance.ZONE
        same = self.fleet.region_of[instance.zone] == self.region
        return Distance.REGION if same else Distance.FAR

    def candidates(
        self, route: Route, service: ServiceId, key: str | None, usable: Usable
    ) -> list[FleetInstance]:
        """Return the instances that may serve a request, the best first."""
        if key is None or not route.sticky:
            return self.by_distance(route, service, usable)
        ordered = self.by_key(route, service, f"{route.prefix}{key}")
        found = [
            instance
            for instance in ordered
            if may_serve(route, self.fleet.region_of[instance.zone])
            and usable(instance)
        ]
        if route.kind is RouteKind.DOWNLOAD:
            return self.nearest(found)[:COPIES]
        if self.far_trip_s > TIGHT_PART * route.objective_s:
            return sorted(found[:COPIES], key=self.distance)
        return found[:COPIES]

    def learn_trip(self, instance: FleetInstance, seconds: float) -> None:
        """Take in the round trip that opening a connection took."""
        if self.distance(instance) is not Distance.FAR:
            return
        if not self.far_trip_s:
            self.far_trip_s = seconds
        self.far_trip_s += TRIP_WEIGHT * (seconds - self.far_trip_s)

    def nearest(self, instances: list[FleetInstance]) -> list[FleetInstance]:
        """Return the first instances that are equally near."""
        if not instances:
            return instances
        nearest = self.distance(instances[0])
        return [one for one in instances if self.distance(one) is nearest]

    def by_distance(
        self, route: Route, service: ServiceId, usable: Usable
    ) -> list[FleetInstance]:
        """Return every usable instance, the nearest first."""
        found = [
            instance
            for instance in self.fleet.in_service(service)
            if may_serve(route, self.fleet.region_of[instance.zone])
            and usable(instance)
        ]
        return sorted(found, key=self.distance)

    def by_key(self, route: Route, service: ServiceId, key: str) -> list[FleetInstance]:
        """Return a service's instances in the hash order of a key.

        For large answers the instances of this zone, or else of this region,
        come first.
        """
        if self.epoch != self.fleet.epoch or len(self.orders) > MAX_CACHED_ORDERS:
            self.orders.clear()
            self.epoch = self.fleet.epoch
        near = route.kind is RouteKind.DOWNLOAD
        order = self.orders.get((service, key, near))
        if order is None:
            order = sorted(
                self.fleet.in_service(service),
                key=lambda instance: (
                    self.distance(instance) if near else Distance.ZONE,
                    -rendezvous_weight(key, instance.id),
                ),
            )
            self.orders[service, key, near] = order
        return order


def may_serve(route: Route, region: RegionId) -> bool:
    """Return whether a route's requests may run in a region."""
    return not route.home_regions or region in route.home_regions


def rendezvous_weight(key: str, instance: InstanceId) -> int:
    """Return the weight of an instance for a key; the highest one serves it.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return xxhash.xxh64_intdigest(f"{key}/{instance}".encode())
