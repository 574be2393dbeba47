"""Choice of the instance for a call: latency, zone cost, link use, headroom."""

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
    """Scores instances as seen from one entry; the least seconds win.

    The score is the expected time of the answer with the round trip to the
    zone, the time that the service's usual answer takes on the link, and a
    little for what is in use and for the load that the instance claims.
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
        for one in deployment.instances:
            self.region_by_instance[one.id] = deployment.region_of[one.zone]
            self.zone_by_instance[one.id] = one.zone
            self.round_trip_s[one.id] = 2 * deployment.delay_ms(zone, one.zone) / 1000
        self.leaving_instances: set[InstanceId] = set()

    def choose(
        self,
        free: Iterable[InstanceId],
        call: Call,
        avoid: frozenset[InstanceId],
        now: float,
    ) -> InstanceId | None:
        """Return the best instance that may get a request now, or None."""
        zones = {self.zone_by_instance[one] for one in avoid}
        remaining = call.deadline - now
        best: InstanceId | None = None
        least = float("inf")
        for instance in free:
            state = self.limits.by_instance[instance]
            if not self.is_usable(instance, state, call, now):
                continue
            score = self.score(instance, state, call, remaining, now)
            if avoid and self.zone_by_instance[instance] in zones:
                score += AVOIDED_PENALTY_S * (2 if instance in avoid else 1)
            if score < least:
                best, least = instance, score
        if best is not None and self.should_wait(best, call, remaining, now):
            return None
        return best

    def should_wait(
        self, best: InstanceId, call: Call, remaining: float, now: float
    ) -> bool:
        """Return whether the best free instance is too slow and another is not.

        The other is in use by this entry, so its slot comes free soon.
        """
        state = self.limits.by_instance[best]
        if state.expected_latency_s(now) <= max(
            remaining, SLOW_LATENCY_FACTOR * state.nominal_latency_s
        ):
            return False
        return any(
            other.in_flight and other.expected_latency_s(now) < remaining
            for other in self.limits.for_service(call.service)
        )

    def is_usable(
        self, instance: InstanceId, state: InstanceLimit, call: Call, now: float
    ) -> bool:
        """Return whether the instance may get a request at all."""
        if not state.allows_request(now) or instance in self.leaving_instances:
            return False
        urgent = call.rank is Rank.URGENT
        return self.health.allows(instance, state.in_flight, now, urgent=urgent)

    def score(
        self,
        instance: InstanceId,
        state: InstanceLimit,
        call: Call,
        remaining: float,
        now: float,
    ) -> float:
        """Return the seconds that an instance is expected to cost the call.

        Work that can wait goes to slow instances first, which warms them and
        leaves the others to urgent work.
        """
        expected = state.expected_latency_s(now)
        slow = expected > SLOW_LATENCY_FACTOR * state.nominal_latency_s
        if (
            slow
            and call.rank is not Rank.URGENT
            and expected < MAX_SLOW_TIME_FRACTION * remaining
        ):
            expected = 0.0
        elif slow and expected > remaining:
            expected += AVOIDED_PENALTY_S / 2
        busy = state.in_flight / max(1.0, state.limit)
        claimed = LOAD_PENALTY_S * state.load_trust * state.reported_load
        return (
            expected
            + self.round_trip_s[instance]
            + self.link_transfer_s(instance, call.service)
            + UTILIZATION_PENALTY_S * busy
            + claimed
        )

    def link_transfer_s(self, instance: InstanceId, service: ServiceId) -> float:
        """Return the time that the usual answer takes on the link."""
        size = self.response_bytes.get(service, 0.0)
        if size < LARGE_RESPONSE_BYTES:
            return 0.0
        return self.links.transfer_s(self.region_by_instance[instance], size)

    def record_response_size(self, service: ServiceId, size: int) -> None:
        """Learn the usual size of a service's answers, in bytes."""
        usual = self.response_bytes.get(service, float(size))
        self.response_bytes[service] = usual + RESPONSE_SIZE_EWMA_WEIGHT * (
            size - usual
        )
