"""Instance selection by expected latency, zone, link use and utilization."""

from __future__ import annotations

from collections.abc import Iterable

from masticdeck.coordination.health import Health
from masticdeck.coordination.limits import (
    SLOW_LATENCY_FACTOR,
    ConcurrencyLimits,
    InstanceLimit,
)
from masticdeck.coordination.links import Links
from masticdeck.ids import InstanceId, Rank, RegionId, ServiceId, ZoneId
from masticdeck.protocol.call import Call
from masticdeck.state.deployment import Deployment

AVOIDED_PENALTY_S = 100.0
LOAD_PENALTY_S = 0.02
UTILIZATION_PENALTY_S = 0.01
LARGE_RESPONSE_BYTES = 65_536
RESPONSE_SIZE_EWMA_WEIGHT = 0.2
MAX_SLOW_TIME_FRACTION = 0.5


class Router:
    """Scores instances as seen from one entry; the lowest score in seconds wins.

    The score is the expected response time, plus the round trip to the zone,
    the transfer time of a typical response over the link, and small penalties
    for the instance's utilization and reported load.
    """

    def __init__(
        self,
        deployment: Deployment,
        zone: ZoneId,
        limits: ConcurrencyLimits,
        health: Health,
        links: Links,
    ) -> None:
        self.limits = limits
        self.health = health
        self.links = links
        self.response_bytes: dict[ServiceId, float] = {}
        self.region_by_instance: dict[InstanceId, RegionId] = {}
        self.zone_by_instance: dict[InstanceId, ZoneId] = {}
        self.round_trip_s: dict[InstanceId, float] = {}
        for instance in deployment.instances:
            self.region_by_instance[instance.id] = deployment.region_of[instance.zone]
            self.zone_by_instance[instance.id] = instance.zone
            self.round_trip_s[instance.id] = (
                2 * deployment.delay_ms(zone, instance.zone) / 1000
            )
        self.leaving_instances: set[InstanceId] = set()

    def choose(
        self,
        free_instances: Iterable[InstanceId],
        call: Call,
        avoid: frozenset[InstanceId],
        now: float,
    ) -> InstanceId | None:
        """Return the best instance that may get a request now, or None.

        Instances in ``avoid``, and to a lesser degree other instances in their
        zones, are used only as a last resort.
        """
        avoided_zones = {self.zone_by_instance[instance] for instance in avoid}
        remaining_s = call.deadline - now
        best: InstanceId | None = None
        best_score = float("inf")
        for instance in free_instances:
            state = self.limits.by_instance[instance]
            if not self.is_usable(instance, state, call, now):
                continue
            score = self.score(instance, state, call, remaining_s, now)
            if avoid and self.zone_by_instance[instance] in avoided_zones:
                score += AVOIDED_PENALTY_S * (2 if instance in avoid else 1)
            if score < best_score:
                best, best_score = instance, score
        if best is not None and self.should_wait(best, call, remaining_s, now):
            return None
        return best

    def should_wait(
        self, best: InstanceId, call: Call, remaining_s: float, now: float
    ) -> bool:
        """Return whether to wait because the best free instance is too slow.

        This is the case when an instance with requests of this entry in flight
        is fast enough: one of its slots will soon be free.
        """
        state = self.limits.by_instance[best]
        if state.expected_latency_s(now) <= max(
            remaining_s, SLOW_LATENCY_FACTOR * state.nominal_latency_s
        ):
            return False
        return any(
            limit.in_flight and limit.expected_latency_s(now) < remaining_s
            for limit in self.limits.for_service(call.service)
        )

    def is_usable(
        self, instance: InstanceId, state: InstanceLimit, call: Call, now: float
    ) -> bool:
        """Return whether the instance may get a request now."""
        if not state.allows_request(now) or instance in self.leaving_instances:
            return False
        is_urgent = call.rank is Rank.URGENT
        return self.health.allows(instance, state.in_flight, now, urgent=is_urgent)

    def score(
        self,
        instance: InstanceId,
        state: InstanceLimit,
        call: Call,
        remaining_s: float,
        now: float,
    ) -> float:
        """Return the expected cost in seconds of sending the call to an instance.

        Non-urgent calls that have the time go to slow instances first, which
        warms these up and leaves the fast ones to urgent calls.
        """
        expected_s = state.expected_latency_s(now)
        is_slow = expected_s > SLOW_LATENCY_FACTOR * state.nominal_latency_s
        if (
            is_slow
            and call.rank is not Rank.URGENT
            and expected_s < MAX_SLOW_TIME_FRACTION * remaining_s
        ):
            expected_s = 0.0
        elif is_slow and expected_s > remaining_s:
            expected_s += AVOIDED_PENALTY_S / 2
        utilization = state.in_flight / max(1.0, state.limit)
        load_penalty_s = LOAD_PENALTY_S * state.load_trust * state.reported_load
        return (
            expected_s
            + self.round_trip_s[instance]
            + self.link_transfer_s(instance, call.service)
            + UTILIZATION_PENALTY_S * utilization
            + load_penalty_s
        )

    def link_transfer_s(self, instance: InstanceId, service: ServiceId) -> float:
        """Return the link transfer time of an average response, or 0 if it is small."""
        size_bytes = self.response_bytes.get(service, 0.0)
        if size_bytes < LARGE_RESPONSE_BYTES:
            return 0.0
        return self.links.transfer_s(self.region_by_instance[instance], size_bytes)

    def record_response_size(self, service: ServiceId, size_bytes: int) -> None:
        """Update the average response size of a service."""
        average = self.response_bytes.get(service, float(size_bytes))
        self.response_bytes[service] = average + RESPONSE_SIZE_EWMA_WEIGHT * (
            size_bytes - average
        )
