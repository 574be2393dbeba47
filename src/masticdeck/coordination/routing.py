"""Choice of the instance for a call: latency, zone cost, link use, headroom."""

from __future__ import annotations

from collections.abc import Iterable

from masticdeck.coordination.health import Health
from masticdeck.coordination.limits import SLOW_FACTOR, InstanceLimit, Limits
from masticdeck.coordination.links import Links
from masticdeck.ids import InstanceId, Rank, RegionId, ServiceId, ZoneId
from masticdeck.protocol.call import Call
from masticdeck.state.deployment import Deployment

AVOID_S = 100.0
LOAD_S = 0.02
BUSY_S = 0.01
LARGE_ANSWER_BYTES = 65_536
BYTES_WEIGHT = 0.2
PATIENT_PART = 0.5


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
        limits: Limits,
        health: Health,
        links: Links,
    ) -> None:
        self.limits = limits
        self.health = health
        self.links = links
        self.answer_bytes: dict[ServiceId, float] = {}
        self.region: dict[InstanceId, RegionId] = {}
        self.other_zone: dict[InstanceId, ZoneId] = {}
        self.trip_s: dict[InstanceId, float] = {}
        for one in deployment.instances:
            self.region[one.id] = deployment.region_of[one.zone]
            self.other_zone[one.id] = one.zone
            self.trip_s[one.id] = 2 * deployment.delay_ms(zone, one.zone) / 1000
        self.leaving: set[InstanceId] = set()

    def choose(
        self,
        free: Iterable[InstanceId],
        call: Call,
        avoid: frozenset[InstanceId],
        now: float,
    ) -> InstanceId | None:
        """Return the best instance that may get a request now, or None."""
        zones = {self.other_zone[one] for one in avoid}
        remaining = call.deadline - now
        best: InstanceId | None = None
        least = float("inf")
        for instance in free:
            state = self.limits.by_instance[instance]
            if not self.usable(instance, state, call, now):
                continue
            score = self.score(instance, state, call, remaining, now)
            if avoid and self.other_zone[instance] in zones:
                score += AVOID_S * (2 if instance in avoid else 1)
            if score < least:
                best, least = instance, score
        if best is not None and self.better_to_wait(best, call, remaining, now):
            return None
        return best

    def better_to_wait(
        self, best: InstanceId, call: Call, remaining: float, now: float
    ) -> bool:
        """Return whether the best free instance is too slow and another is not.

        The other is in use by this entry, so its slot comes free soon.
        """
        state = self.limits.by_instance[best]
        if state.expected_s(now) <= max(remaining, SLOW_FACTOR * state.usual_s):
            return False
        return any(
            other.used and other.expected_s(now) < remaining
            for other in self.limits.of_service(call.service)
        )

    def usable(
        self, instance: InstanceId, state: InstanceLimit, call: Call, now: float
    ) -> bool:
        """Return whether the instance may get a request at all."""
        if not state.allows(now) or instance in self.leaving:
            return False
        urgent = call.rank is Rank.URGENT
        return self.health.allows(instance, state.used, now, urgent=urgent)

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
        expected = state.expected_s(now)
        slow = expected > SLOW_FACTOR * state.usual_s
        if (
            slow
            and call.rank is not Rank.URGENT
            and expected < PATIENT_PART * remaining
        ):
            expected = 0.0
        elif slow and expected > remaining:
            expected += AVOID_S / 2
        busy = state.used / max(1.0, state.limit)
        claimed = LOAD_S * state.trust * state.load
        return (
            expected
            + self.trip_s[instance]
            + self.link_s(instance, call.service)
            + BUSY_S * busy
            + claimed
        )

    def link_s(self, instance: InstanceId, service: ServiceId) -> float:
        """Return the time that the usual answer takes on the link."""
        size = self.answer_bytes.get(service, 0.0)
        if size < LARGE_ANSWER_BYTES:
            return 0.0
        return self.links.transfer_s(self.region[instance], size)

    def answered(self, service: ServiceId, size: int) -> None:
        """Learn the usual size of a service's answers, in bytes."""
        usual = self.answer_bytes.get(service, float(size))
        self.answer_bytes[service] = usual + BYTES_WEIGHT * (size - usual)
