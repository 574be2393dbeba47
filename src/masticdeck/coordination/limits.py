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
GROWTH = 0.1
LATENCY_WEIGHT = 0.3
SLOWER_WEIGHT = 0.7
SLOW_FACTOR = 2.0
FORGET_S = 3.0
MAX_PAUSE_S = 2.0
CONTRADICTED_LOAD = 0.7
TRUST_LOSS = 0.5
TRUST_GAIN = 0.02


@dataclass(slots=True, eq=False)
class InstanceLimit:
    """What this entry has learnt of one instance.

    ``latency_s`` is the smoothed time of an answer, ``paused_until`` the
    boot-time instant before which nothing is sent.
    """

    slots: int
    usual_s: float
    limit: float
    latency_s: float
    used: int = 0
    sheds: int = 0
    paused_until: float = 0.0
    ramping: bool = False
    updated: float = 0.0
    load: float = 0.0
    trust: float = 0.5

    def allows(self, now: float) -> bool:
        """Return whether one more request may be sent now."""
        return now >= self.paused_until and self.used < max(1.0, self.limit)

    def expected_s(self, now: float) -> float:
        """Return the expected time of an answer.

        Without new answers the estimate returns to the usual time, so that an
        instance that was slow is tried again.
        """
        idle = now - self.updated
        if idle <= FORGET_S:
            return self.latency_s
        return self.usual_s + (self.latency_s - self.usual_s) * FORGET_S / idle


class Limits:
    """Limits of all instances as this entry sees them."""

    def __init__(
        self,
        instances: tuple[Instance, ...],
        usual_s: dict[InstanceId, float],
        *,
        seed: int | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.by_instance = {
            one.id: InstanceLimit(
                one.slots, usual_s[one.id], float(one.slots), usual_s[one.id]
            )
            for one in instances
        }

        self.services: dict[ServiceId, list[InstanceLimit]] = {}
        for one in instances:
            state = self.by_instance[one.id]
            self.services.setdefault(one.service, []).append(state)

    def of_service(self, service: ServiceId) -> list[InstanceLimit]:
        """Return the limits of a service's instances."""
        return self.services[service]

    def taken(self, instance: InstanceId) -> None:
        """Count a request sent."""
        self.by_instance[instance].used += 1

    def returned(self, instance: InstanceId, now: float) -> None:
        """Count a request ended; a limit below one pauses the instance."""
        state = self.by_instance[instance]
        state.used -= 1
        if state.limit < 1.0:
            pause = state.latency_s * (1.0 / state.limit - 1.0)
            until = now + min(pause, MAX_PAUSE_S) * self.random.uniform(0.5, 1.5)
            state.paused_until = max(state.paused_until, until)

    def answered(self, instance: InstanceId, seconds: float, now: float) -> None:
        """Learn from an answer that took ``seconds``."""
        state = self.by_instance[instance]
        state.sheds = 0
        slower = seconds > SLOW_FACTOR * state.usual_s
        weight = SLOWER_WEIGHT if slower else LATENCY_WEIGHT
        state.latency_s += weight * (seconds - state.latency_s)
        state.updated = now
        if state.ramping:
            state.limit = min(float(state.slots), state.limit * 2)
            state.ramping = state.limit < state.slots
        else:
            state.limit = min(float(state.slots), state.limit + GROWTH)
        if state.load > CONTRADICTED_LOAD and seconds < 1.5 * state.usual_s:
            state.trust *= TRUST_LOSS
        else:
            state.trust = min(1.0, state.trust + TRUST_GAIN)

    def late(self, instance: InstanceId, seconds: float, now: float) -> None:
        """Learn from a request that was cut off at its deadline."""
        state = self.by_instance[instance]
        state.latency_s = max(state.latency_s, seconds)
        state.limit = max(MIN_LIMIT, state.limit * SHED_FACTOR)
        state.updated = now

    def shed(self, instance: InstanceId, now: float) -> None:
        """Lower the limit below what is in use and pause for a random time."""
        state = self.by_instance[instance]
        state.sheds += 1
        state.limit = max(MIN_LIMIT, min(state.limit, state.used) * SHED_FACTOR)
        pause = state.usual_s * 2 ** (min(state.sheds, 4) - 1)
        until = now + min(pause, MAX_PAUSE_S) * self.random.uniform(0.5, 1.5)
        state.paused_until = max(state.paused_until, until)
        if state.load < CONTRADICTED_LOAD:
            state.trust *= TRUST_LOSS

    def restart(self, instance: InstanceId) -> None:
        """Ramp an instance up from one request at a time."""
        state = self.by_instance[instance]
        state.limit = 1.0
        state.ramping = True
        state.sheds = 0

    def hear(self, instance: InstanceId, load: float) -> None:
        """Note what the instance's load endpoint says: 0 is idle, 1 is full."""
        self.by_instance[instance].load = min(max(load, 0.0), 1.0)
