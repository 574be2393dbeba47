"""Tells which cold instances of a service accept requests of this entry, and when.

While a service has only cold instances, each waiting request looks at all of them at
short intervals. What they accept is therefore worked out once for a service and kept
for a moment, or until a request is sent to one of them.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from typing import final

from masticdeck.coordination.cold_turns import ColdTurns
from masticdeck.coordination.placement import is_region_allowed
from masticdeck.ids import InstanceId, ServiceId
from masticdeck.state.fleet import Fleet, FleetInstance
from masticdeck.state.routes import Route

KEPT_S = 0.02
"""Time for which the openings of a service are kept: that between checks of queues."""

LOOKAHEAD_S = 5.0
"""Time for which openings are worked out; most cold times are shorter."""

DEFAULT_COLD_REQUESTS_PER_S = 1.0
"""Rate of a cold instance whose service the configuration does not describe."""


@final
@dataclass(frozen=True, slots=True)
class ColdOpenings:
    """When cold instances accept requests of this entry.

    ``times`` are the boot times, in order, from which one more request may be sent.
    From ``warm_at`` on there is no such limit.
    """

    times: list[float]
    warm_at: float

    def count(self, until: float) -> float:
        """Return the number of requests that may be sent until a boot time."""
        return math.inf if until >= self.warm_at else bisect_right(self.times, until)

    def next_time(self, waiting_count: int) -> float:
        """Return the boot time at which a request behind waiting ones may be sent."""
        if waiting_count < len(self.times):
            return min(self.times[waiting_count], self.warm_at)
        return self.warm_at


@final
@dataclass(frozen=True, slots=True)
class ColdService:
    """The openings of a service's cold instances as of boot time ``made_at``.

    ``openings`` has the instances with any. ``is_all_cold`` states that no instance of
    the service accepts requests without a turn.
    """

    made_at: float
    is_all_cold: bool
    openings: dict[InstanceId, list[float]]

    def opens(self, instance: FleetInstance, until: float) -> bool:
        """Return whether a cold instance accepts a request until a boot time."""
        times = self.openings.get(instance.id)
        return times is not None and times[0] <= until

    def is_closed(self, now: float) -> bool:
        """Return whether no instance of the service accepts a request now."""
        return self.is_all_cold and all(
            times[0] > now for times in self.openings.values()
        )


class ColdServices:
    """What the cold instances of each service accept."""

    def __init__(self, fleet: Fleet, turns: ColdTurns) -> None:
        self.fleet = fleet
        self.turns = turns
        self.kept: dict[ServiceId, ColdService] = {}

    def get(self, service: ServiceId, now: float) -> ColdService:
        """Return the openings of a service's cold instances."""
        kept = self.get_kept(service, now)
        if kept is None:
            kept = self.kept[service] = self.work_out(service, now)
        return kept

    def get_kept(self, service: ServiceId, now: float) -> ColdService | None:
        """Return the openings of a service if they have just been worked out."""
        kept = self.kept.get(service)
        if kept is None or not 0 <= now - kept.made_at < KEPT_S:
            return None
        return kept

    def work_out(self, service: ServiceId, now: float) -> ColdService:
        """Return the openings of the instances of a service that are cold now."""
        rate_per_s = self.rate_per_s(service)
        openings = {}
        instance_count = cold_count = 0
        for instance in self.fleet.in_service(service):
            instance_count += 1
            cold_until = self.fleet.cold_until(instance)
            if cold_until <= now:
                continue
            cold_count += 1
            until = min(cold_until, now + LOOKAHEAD_S)
            times = self.turns.openings(instance, rate_per_s, until)
            if times:
                openings[instance.id] = times
        is_all_cold = 0 < cold_count == instance_count
        return ColdService(now, is_all_cold, openings)

    def is_closed(self, service: ServiceId, now: float) -> bool:
        """Return whether no instance of a service accepts a request now.

        Full instances are not closed.
        """
        kept = self.get_kept(service, now)
        if kept is None:
            instances = self.fleet.in_service(service)
            if any(self.fleet.cold_until(instance) <= now for instance in instances):
                return False
            kept = self.get(service, now)
        return kept.is_closed(now)

    def openings_for(
        self, route: Route, service: ServiceId, now: float
    ) -> ColdOpenings | None:
        """Return when the cold instances of a route's homes accept requests.

        Returns None if one of the instances is not cold, or if there are none.
        """
        region_of = self.fleet.region_of
        instances = [
            instance
            for instance in self.fleet.in_service(service)
            if is_region_allowed(route, region_of[instance.zone])
        ]
        warm_at = min(map(self.fleet.cold_until, instances), default=now)
        if warm_at <= now:
            return None
        openings = self.get(service, now).openings
        times = sorted(
            time for instance in instances for time in openings.get(instance.id, ())
        )
        return ColdOpenings(times, warm_at)

    def has_turn(self, instance: FleetInstance) -> bool:
        """Return whether this entry may send a cold instance a request now."""
        return self.turns.has_turn(instance, self.rate_per_s(instance.service))

    def record_sent(self, instance: FleetInstance) -> None:
        """Use this entry's turn at a cold instance."""
        self.turns.record_sent(instance, self.rate_per_s(instance.service))
        self.kept.pop(instance.service, None)

    def rate_per_s(self, service: ServiceId) -> float:
        """Return the requests per second that a service's cold instances bear."""
        return cold_rate_per_s(self.fleet, service)


def cold_rate_per_s(fleet: Fleet, service: ServiceId) -> float:
    """Return the requests per second that a service's cold instances bear."""
    routes = fleet.routes
    known_service = None if routes is None else routes.services.get(service)
    if known_service is None:
        return DEFAULT_COLD_REQUESTS_PER_S
    return known_service.cold_requests_per_s
