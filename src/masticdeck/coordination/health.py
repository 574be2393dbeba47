"""Ejection of failing instances with a cap, and their staggered return.

Consecutive failures eject an instance for a time that doubles with each
ejection and varies at random. At most a part of a service's instances may be
ejected for answers that failed, because the rest has to bear their work; one
that refuses connections serves nothing and is not counted. A returning
instance gets one request at a time until one is answered.
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
    """An instance that gets no work for ``duration_s``."""

    instance: InstanceId
    duration_s: float


@dataclass(slots=True, eq=False)
class InstanceHealth:
    """Failures of one instance and the boot-time end of its ejection."""

    service: ServiceId
    consecutive_failures: int = 0
    ejection_count: int = 0
    ejected_until: float = 0.0
    on_probation: bool = False
    is_unreachable: bool = False


class Health:
    """Which instances this entry may use."""

    def __init__(
        self, instances: tuple[Instance, ...] = (), *, seed: int | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.by_instance: dict[InstanceId, InstanceHealth] = {}
        self.by_service: defaultdict[ServiceId, list[InstanceHealth]] = defaultdict(
            list
        )
        for one in instances:
            self.add(one.id, one.service)

    def add(self, instance: InstanceId, service: ServiceId) -> None:
        """Begin to judge an instance, or begin anew after its restart."""
        self.remove(instance)
        state = self.by_instance[instance] = InstanceHealth(service)
        self.by_service[service].append(state)

    def remove(self, instance: InstanceId) -> None:
        """Forget an instance."""
        state = self.by_instance.pop(instance, None)
        if state is not None:
            self.by_service[state.service].remove(state)

    def allows(
        self, instance: InstanceId, in_flight: int, now: float, *, urgent: bool = False
    ) -> bool:
        """Return whether the instance may get a request.

        Trials are left to work that can wait; urgent work makes one only when
        none was made for a while.
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
        """Note an answer; return whether it ended the instance's trial."""
        state = self.by_instance[instance]
        ended = state.on_probation
        state.consecutive_failures = 0
        state.on_probation = state.is_unreachable = False
        if ended:
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
        """Note a failure; return the ejection when it led to one.

        A ``decisive`` failure ejects alone, but within the cap.
        """
        state = self.by_instance[instance]
        state.consecutive_failures += 1
        state.is_unreachable = unreachable
        enough = (
            state.on_probation
            or unreachable
            or decisive
            or state.consecutive_failures >= FAILURES_TO_EJECT
        )
        if now < state.ejected_until or not enough:
            return None
        if not unreachable and not self.may_eject(state.service, now):
            return None
        seconds = min(INITIAL_EJECTION_S * 2**state.ejection_count, MAX_EJECTION_S)
        seconds *= self.random.uniform(0.75, 1.25)
        state.ejected_until = now + seconds
        state.on_probation = True
        state.ejection_count += 1
        return Ejection(instance, seconds)

    def may_eject(self, service: ServiceId, now: float) -> bool:
        """Return whether one more ejection leaves enough instances."""
        states = self.by_service[service]
        ejected = sum(
            now < one.ejected_until and not one.is_unreachable for one in states
        )
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(states)
