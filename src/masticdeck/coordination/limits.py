"""Adaptive concurrency limit per instance, adjusted by the outcome of requests.

The number of slots of an instance is an upper bound; its actual capacity may
be lower. A shed request lowers the limit and pauses the instance for a random
time, so that the entries do not all resume at once; successful responses raise
the limit again. A limit below one becomes a pause between requests. An instance
that returns after a failure starts at a limit of one, which doubles with each
response. The load reported by an instance's load endpoint only breaks ties, and
counts less the more often outcomes contradict it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from masticdeck.ids import InstanceId, ServiceId
from masticdeck.state.deployment import Instance

SHED_FACTOR = 0.7
MIN_LIMIT = 0.25
LIMIT_INCREMENT = 0.1
LATENCY_EWMA_WEIGHT = 0.3
SLOW_LATENCY_EWMA_WEIGHT = 0.7
SLOW_LATENCY_FACTOR = 2.0
LATENCY_VALID_S = 3.0
MAX_PAUSE_S = 2.0
HIGH_LOAD = 0.7
TRUST_DECAY_FACTOR = 0.5
TRUST_INCREMENT = 0.02


@dataclass(slots=True, eq=False)
class InstanceLimit:
    """Concurrency limit and observed latency of one instance, seen from this entry.

    ``nominal_latency_s`` is the configured service time, ``latency_s`` the
    smoothed response time, and ``paused_until`` the boot-time instant before
    which no request is sent. ``load_trust`` (0 to 1) weights ``reported_load``.
    """

    slots: int
    nominal_latency_s: float
    limit: float
    latency_s: float
    in_flight: int = 0
    consecutive_sheds: int = 0
    paused_until: float = 0.0
    is_ramping_up: bool = False
    updated_at: float = 0.0
    reported_load: float = 0.0
    load_trust: float = 0.5

    def allows_request(self, now: float) -> bool:
        """Return whether one more request may be sent now."""
        return now >= self.paused_until and self.in_flight < max(1.0, self.limit)

    def expected_latency_s(self, now: float) -> float:
        """Return the expected response time in seconds.

        Without new responses the estimate decays towards the nominal latency,
        so that an instance that was slow is tried again.
        """
        age_s = now - self.updated_at
        if age_s <= LATENCY_VALID_S:
            return self.latency_s
        return (
            self.nominal_latency_s
            + (self.latency_s - self.nominal_latency_s) * LATENCY_VALID_S / age_s
        )


class ConcurrencyLimits:
    """Concurrency limits of all instances, as observed by this entry."""

    def __init__(
        self,
        instances: tuple[Instance, ...],
        nominal_latency_s: dict[InstanceId, float],
        *,
        seed: int | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.by_instance = {
            instance.id: InstanceLimit(
                instance.slots,
                nominal_latency_s[instance.id],
                float(instance.slots),
                nominal_latency_s[instance.id],
            )
            for instance in instances
        }

        self.by_service: dict[ServiceId, list[InstanceLimit]] = {}
        for instance in instances:
            state = self.by_instance[instance.id]
            self.by_service.setdefault(instance.service, []).append(state)

    def for_service(self, service: ServiceId) -> list[InstanceLimit]:
        """Return the limits of all instances of a service."""
        return self.by_service[service]

    def record_start(self, instance: InstanceId) -> None:
        """Record that a request was sent."""
        self.by_instance[instance].in_flight += 1

    def record_end(self, instance: InstanceId, now: float) -> None:
        """Record that a request ended; a limit below one pauses the instance."""
        state = self.by_instance[instance]
        state.in_flight -= 1
        if state.limit < 1.0:
            pause_s = state.latency_s * (1.0 / state.limit - 1.0)
            paused_until = now + min(pause_s, MAX_PAUSE_S) * self.random.uniform(
                0.5, 1.5
            )
            state.paused_until = max(state.paused_until, paused_until)

    def record_response(
        self, instance: InstanceId, duration_s: float, now: float
    ) -> None:
        """Update latency, limit and load trust after a response."""
        state = self.by_instance[instance]
        state.consecutive_sheds = 0
        is_slow = duration_s > SLOW_LATENCY_FACTOR * state.nominal_latency_s
        weight = SLOW_LATENCY_EWMA_WEIGHT if is_slow else LATENCY_EWMA_WEIGHT
        state.latency_s += weight * (duration_s - state.latency_s)
        state.updated_at = now
        if state.is_ramping_up:
            state.limit = min(float(state.slots), state.limit * 2)
            state.is_ramping_up = state.limit < state.slots
        else:
            state.limit = min(float(state.slots), state.limit + LIMIT_INCREMENT)
        if (
            state.reported_load > HIGH_LOAD
            and duration_s < 1.5 * state.nominal_latency_s
        ):
            state.load_trust *= TRUST_DECAY_FACTOR
        else:
            state.load_trust = min(1.0, state.load_trust + TRUST_INCREMENT)

    def record_deadline_exceeded(
        self, instance: InstanceId, duration_s: float, now: float
    ) -> None:
        """Update latency and limit after a request that was cut off at its deadline."""
        state = self.by_instance[instance]
        state.latency_s = max(state.latency_s, duration_s)
        state.limit = max(MIN_LIMIT, state.limit * SHED_FACTOR)
        state.updated_at = now

    def record_shed(self, instance: InstanceId, now: float) -> None:
        """Lower the limit below the requests in flight and pause for a random time."""
        state = self.by_instance[instance]
        state.consecutive_sheds += 1
        state.limit = max(MIN_LIMIT, min(state.limit, state.in_flight) * SHED_FACTOR)
        pause_s = state.nominal_latency_s * 2 ** (min(state.consecutive_sheds, 4) - 1)
        paused_until = now + min(pause_s, MAX_PAUSE_S) * self.random.uniform(0.5, 1.5)
        state.paused_until = max(state.paused_until, paused_until)
        if state.reported_load < HIGH_LOAD:
            state.load_trust *= TRUST_DECAY_FACTOR

    def start_ramp_up(self, instance: InstanceId) -> None:
        """Limit an instance to one request, doubling the limit with each response."""
        state = self.by_instance[instance]
        state.limit = 1.0
        state.is_ramping_up = True
        state.consecutive_sheds = 0

    def record_load(self, instance: InstanceId, load: float) -> None:
        """Record the load that an instance reports: 0 is idle, 1 is full."""
        self.by_instance[instance].reported_load = min(max(load, 0.0), 1.0)
