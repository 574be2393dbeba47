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
MOST_EJECTED = 0.34
EJECTION_S = 1.0
MOST_EJECTION_S = 8.0
URGENT_TRIAL_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class Ejection:
    """An instance that gets no work for ``seconds``."""

    instance: InstanceId
    seconds: float


@dataclass(slots=True, eq=False)
class InstanceHealth:
    """Failures of one instance and the boot-time end of its ejection."""

    service: ServiceId
    failures: int = 0
    ejections: int = 0
    until: float = 0.0
    trial: bool = False
    unreachable: bool = False


class Health:
    """Which instances this entry may use."""

    def __init__(
        self, instances: tuple[Instance, ...] = (), *, seed: int | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.by_instance: dict[InstanceId, InstanceHealth] = {}
        self.of_service: defaultdict[ServiceId, list[InstanceHealth]] = defaultdict(
            list
        )
        for one in instances:
            self.add(one.id, one.service)

    def add(self, instance: InstanceId, service: ServiceId) -> None:
        """Begin to judge an instance, or begin anew after its restart."""
        self.remove(instance)
        state = self.by_instance[instance] = InstanceHealth(service)
        self.of_service[service].append(state)

    def remove(self, instance: InstanceId) -> None:
        """Forget an instance."""
        state = self.by_instance.pop(instance, None)
        if state is not None:
            self.of_service[state.service].remove(state)

    def allows(
        self, instance: InstanceId, used: int, now: float, *, urgent: bool = False
    ) -> bool:
        """Return whether the instance may get a request.

        Trials are left to work that can wait; urgent work makes one only when
        none was made for a while.
        """
        state = self.by_instance[instance]
        if now < state.until:
            return False
        if not state.trial:
            return True
        return used == 0 and not (urgent and now < state.until + URGENT_TRIAL_S)

    def succeeded(self, instance: InstanceId) -> bool:
        """Note an answer; return whether it ended the instance's trial."""
        state = self.by_instance[instance]
        ended = state.trial
        state.failures = 0
        state.trial = state.unreachable = False
        if ended:
            return True
        state.ejections = max(0, state.ejections - 1)
        return False

    def failed(
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
        state.failures += 1
        state.unreachable = unreachable
        enough = (
            state.trial
            or unreachable
            or decisive
            or state.failures >= FAILURES_TO_EJECT
        )
        if now < state.until or not enough:
            return None
        if not unreachable and not self.may_eject(state.service, now):
            return None
        seconds = min(EJECTION_S * 2**state.ejections, MOST_EJECTION_S)
        seconds *= self.random.uniform(0.75, 1.25)
        state.until = now + seconds
        state.trial = True
        state.ejections += 1
        return Ejection(instance, seconds)

    def may_eject(self, service: ServiceId, now: float) -> bool:
        """Return whether one more ejection leaves enough instances."""
        states = self.of_service[service]
        ejected = sum(now < one.until and not one.unreachable for one in states)
        return ejected + 1 <= MOST_EJECTED * len(states)
