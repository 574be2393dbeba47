"""Ejects failing instances up to a cap and readmits them one request at a time.

Consecutive failures eject an instance for a time that doubles with each ejection
and is randomized, so that instances return at different times. At most a fraction
of a service's instances may be ejected for failed responses, because the others
have to take over their load; an unreachable instance serves nothing and does not
count towards this cap. After its ejection an instance is on probation: it gets
one request at a time until one succeeds.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from masticdeck.ids import InstanceId, ServiceId

if TYPE_CHECKING:
    from masticdeck.state.deployment import Instance

FAILURES_TO_EJECT = 3
MAX_EJECTED_FRACTION = 0.34
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
URGENT_PROBE_DELAY_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class Ejection:
    """An instance that gets no requests for ``duration_s``."""

    instance: InstanceId
    duration_s: float


@dataclass(slots=True, eq=False)
class InstanceHealth:
    """Failures of one instance and the boot time at which its ejection ends."""

    service: ServiceId
    consecutive_failures: int = 0
    ejection_count: int = 0
    ejected_until: float = 0.0
    on_probation: bool = False
    is_unreachable: bool = False


class Health:
    """Tracks the health of instances and decides which ones this entry may use."""

    def __init__(
        self, instances: tuple[Instance, ...] = (), *, seed: int | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.by_instance: dict[InstanceId, InstanceHealth] = {}
        self.by_service: defaultdict[ServiceId, list[InstanceHealth]] = defaultdict(
            list
        )
        for instance in instances:
            self.add(instance.id, instance.service)

    def add(self, instance: InstanceId, service: ServiceId) -> None:
        """Start tracking an instance, without the failures before a restart."""
        self.remove(instance)
        state = self.by_instance[instance] = InstanceHealth(service)
        self.by_service[service].append(state)

    def remove(self, instance: InstanceId) -> None:
        """Stop tracking an instance."""
        state = self.by_instance.pop(instance, None)
        if state is not None:
            self.by_service[state.service].remove(state)

    def allows(
        self, instance: InstanceId, in_flight: int, now: float, *, urgent: bool = False
    ) -> bool:
        """Return whether the instance may get a request.

        Only requests that are not urgent probe an instance on probation. If none
        has done so for ``URGENT_PROBE_DELAY_S``, urgent ones may, too.
        """
        state = self.by_instance[instance]
        if now < state.ejected_until:
            return False
        if not state.on_probation:
            return True
        return in_flight == 0 and not (
            urgent and now < state.ejected_until + URGENT_PROBE_DELAY_S
        )

    def record_success(self, instance: InstanceId) -> bool:
        """Record a successful response; return whether it ended the probation."""
        state = self.by_instance[instance]
        was_on_probation = state.on_probation
        state.consecutive_failures = 0
        state.on_probation = state.is_unreachable = False
        if was_on_probation:
            return True
        state.ejection_count = max(0, state.ejection_count - 1)
        return False

    def record_failure(
        self,
        instance: InstanceId,
        now: float,
        *,
        unreachable: bool,
        decisive: bool = False,
    ) -> Ejection | None:
        """Record a failure; return the ejection if it caused one.

        A single ``decisive`` failure causes an ejection, within the cap.
        """
        state = self.by_instance[instance]
        state.consecutive_failures += 1
        state.is_unreachable = unreachable
        ejects = (
            state.on_probation
            or unreachable
            or decisive
            or state.consecutive_failures >= FAILURES_TO_EJECT
        )
        if now < state.ejected_until or not ejects:
            return None
        if not unreachable and not self.may_eject(state.service, now):
            return None
        duration_s = min(INITIAL_EJECTION_S * 2**state.ejection_count, MAX_EJECTION_S)
        duration_s *= self.random.uniform(0.75, 1.25)
        state.ejected_until = now + duration_s
        state.on_probation = True
        state.ejection_count += 1
        return Ejection(instance, duration_s)

    def may_eject(self, service: ServiceId, now: float) -> bool:
        """Return whether one more ejection stays within the cap of a service."""
        states = self.by_service[service]
        ejected_count = sum(
            now < state.ejected_until and not state.is_unreachable for state in states
        )
        return ejected_count + 1 <= MAX_EJECTED_FRACTION * len(states)
