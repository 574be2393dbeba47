"""Adaptive concurrency limit of each instance, learnt from outcomes.

The slots of an instance are an upper bound; what it can really bear may be
less. A shed answer lowers the limit and pauses the instance for a random time,
so that the entries do not return together; answers raise it again. A limit
below one becomes a pause between requests. An instance that returns after a
failure starts at one request at a time and doubles with each answer. What a
load endpoint says only breaks ties, and less the more often outcomes
contradict it.
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
    """What this entry has learnt of one instance.

    ``latency_s`` is the smoothed time of an answer, ``paused_until`` the
    boot-time instant before which nothing is sent.
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
        """Return the expected time of an answer.

        Without new answers the estimate returns to the usual time, so that an
        instance that was slow is tried again.
        """
        idle = now - self.updated_at
        if idle <= LATENCY_VALID_S:
            return self.latency_s
        return (
            self.nominal_latency_s
            + (self.latency_s - self.nominal_latency_s) * LATENCY_VALID_S / idle
        )


class ConcurrencyLimits:
    """Limits of all instances as this entry sees them."""

    def __init__(
        self,
        instances: tuple[Instance, ...],
        nominal_latency_s: dict[InstanceId, float],
        *,
        seed: int | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.by_instance = {
            one.id: InstanceLimit(
                one.slots,
                nominal_latency_s[one.id],
                float(one.slots),
                nominal_latency_s[one.id],
            )
            for one in instances
        }

        self.by_service: dict[ServiceId, list[InstanceLimit]] = {}
        for one in instances:
            state = self.by_instance[one.id]
            self.by_service.setdefault(one.service, []).append(state)

    def for_service(self, service: ServiceId) -> list[InstanceLimit]:
        """Return the limits of a service's instances."""
        return self.by_service[service]

    def record_start(self, instance: InstanceId) -> None:
        """Count a request sent."""
        self.by_instance[instance].in_flight += 1

    def record_end(self, instance: InstanceId, now: float) -> None:
        """Count a request ended; a limit below one pauses the instance."""
        state = self.by_instance[instance]
        state.in_flight -= 1
        if state.limit < 1.0:
            pause = state.latency_s * (1.0 / state.limit - 1.0)
            until = now + min(pause, MAX_PAUSE_S) * self.random.uniform(0.5, 1.5)
            state.paused_until = max(state.paused_until, until)

    def record_response(self, instance: InstanceId, seconds: float, now: float) -> None:
        """Learn from an answer that took ``seconds``."""
        state = self.by_instance[instance]
        state.consecutive_sheds = 0
        slower = seconds > SLOW_LATENCY_FACTOR * state.nominal_latency_s
        weight = SLOW_LATENCY_EWMA_WEIGHT if slower else LATENCY_EWMA_WEIGHT
        state.latency_s += weight * (seconds - state.latency_s)
        state.updated_at = now
        if state.is_ramping_up:
            state.limit = min(float(state.slots), state.limit * 2)
            state.is_ramping_up = state.limit < state.slots
        else:
            state.limit = min(float(state.slots), state.limit + LIMIT_INCREMENT)
        if state.reported_load > HIGH_LOAD and seconds < 1.5 * state.nominal_latency_s:
            state.load_trust *= TRUST_DECAY_FACTOR
        else:
            state.load_trust = min(1.0, state.load_trust + TRUST_INCREMENT)

    def record_deadline_exceeded(
        self, instance: InstanceId, seconds: float, now: float
    ) -> None:
        """Learn from a request that was cut off at its deadline."""
        state = self.by_instance[instance]
        state.latency_s = max(state.latency_s, seconds)
        state.limit = max(MIN_LIMIT, state.limit * SHED_FACTOR)
        state.updated_at = now

    def record_shed(self, instance: InstanceId, now: float) -> None:
        """Lower the limit below what is in use and pause for a random time."""
        state = self.by_instance[instance]
        state.consecutive_sheds += 1
        state.limit = max(MIN_LIMIT, min(state.limit, state.in_flight) * SHED_FACTOR)
        pause = state.nominal_latency_s * 2 ** (min(state.consecutive_sheds, 4) - 1)
        until = now + min(pause, MAX_PAUSE_S) * self.random.uniform(0.5, 1.5)
        state.paused_until = max(state.paused_until, until)
        if state.reported_load < HIGH_LOAD:
            state.load_trust *= TRUST_DECAY_FACTOR

    def start_ramp_up(self, instance: InstanceId) -> None:
        """Ramp an instance up from one request at a time."""
        state = self.by_instance[instance]
        state.limit = 1.0
        state.is_ramping_up = True
        state.consecutive_sheds = 0

    def record_load(self, instance: InstanceId, load: float) -> None:
        """Note what the instance's load endpoint says: 0 is idle, 1 is full."""
        self.by_instance[instance].reported_load = min(max(load, 0.0), 1.0)
