"""Room at instances: which of them can take one more request now.

Load that it answers: several entries send to the same instances without asking
each other, so an instance fills up although no single entry sends much. Each
answer tells how many requests of all entries run and wait there; between
answers an entry knows only its own. The estimate is the entry's own requests
plus what others had there. An old report fades into the average of all
reports rather than into nothing, since an instance that was full is usually
still full.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from masticdeck.ids import InstanceId
from masticdeck.protocol.dialect import InstanceUse
from masticdeck.state.fleet import FleetInstance

REPORT_HALF_LIFE_S = 1.2
"""Time in seconds in which a report loses half of its weight: a long service time."""

UNREPORTED_SLOT_FRACTION = 0.5
"""Part of an instance's slots that one entry uses before the first report."""

MOVING_AVERAGE_WEIGHT = 0.2
"""Weight of a new latency in the moving average."""

MAX_REQUESTS_PER_SLOT = 2
"""Requests at an instance, in slots, from which its own queue is too long."""

SHED_REQUESTS_PER_SLOT = 3
"""Requests at an instance that turns one away, in slots, at the least.

The estimate falls to ``MAX_REQUESTS_PER_SLOT`` after about 0.7 s.
"""

COLD_BURST_REQUESTS = 1.0
"""Requests that one entry may send to a cold instance at once."""


@dataclass(slots=True, eq=False)
class InstanceLoad:
    """Load of one instance as known to this entry.

    ``own_requests`` counts this entry's requests there and ``other_requests``
    those of the other entries at boot time ``reported_at``;
    ``mean_other_requests`` is the moving average over all reports.
    ``last_response_at`` is the boot time of the latest response of any kind.
    ``cold_tokens`` is the number of requests that this entry may send to the
    instance while it is cold, as of boot time ``cold_refilled_at``.
    """

    slots: int
    own_requests: int = 0
    other_requests: int = 0
    mean_other_requests: float = 0.0
    reported_at: float = float("-inf")
    mean_latency_s: float | None = None
    last_response_at: float = float("-inf")
    cold_tokens: float = COLD_BURST_REQUESTS
    cold_refilled_at: float = 0.0

    def estimate_requests(self, now: float) -> float:
        """Return the estimated number of requests at the instance.

        What others have there is taken from the last report, and the more from
        the average of all reports the older that one is.
        """
        weight = math.exp2((self.reported_at - now) / REPORT_HALF_LIFE_S)
        latest = self.other_requests - self.mean_other_requests
        return self.own_requests + self.mean_other_requests + weight * latest

    def has_free_slot(self, now: float) -> bool:
        """Return whether one more request would find a slot.

        An entry always has one request at an instance: its answer is a report.
        The estimate is taken to the nearest whole request.
        """
        if self.reported_at == float("-inf"):
            return self.own_requests < max(
                1, int(self.slots * UNREPORTED_SLOT_FRACTION)
            )
        outdated = now - self.reported_at > REPORT_HALF_LIFE_S
        return (outdated and self.own_requests == 0) or self.estimate_requests(
            now
        ) < self.slots - 0.5

    def has_queue_capacity(self, now: float) -> bool:
        """Return whether one more request would find a short queue at most."""
        return self.estimate_requests(now) < MAX_REQUESTS_PER_SLOT * self.slots


class InstanceLoads:
    """The use of every instance, as this entry sees it."""

    def __init__(self) -> None:
        self.by_instance: dict[InstanceId, InstanceLoad] = {}

    def get(self, instance: FleetInstance) -> InstanceLoad:
        """Return what is known of an instance."""
        room = self.by_instance.get(instance.id)
        if room is None:
            room = self.by_instance[instance.id] = InstanceLoad(instance.slots)
        return room

    def remove(self, instance: InstanceId) -> None:
        """Drop what is known of an instance that is gone."""
        self.by_instance.pop(instance, None)

    def record_sent(self, instance: FleetInstance) -> InstanceLoad:
        """Count a request that is sent to an instance."""
        room = self.get(instance)
        room.own_requests += 1
        return room

    def record_report(self, load: InstanceLoad, use: InstanceUse, now: float) -> None:
        """Take in what an answer says of its instance's load.

        The instance counts the request that it answers, which this entry
        counts as its own until ``record_end``.
        """
        load.slots = use.slots
        load.other_requests = max(0, use.running + use.waiting - load.own_requests)
        load.mean_other_requests = moving_average(
            load.mean_other_requests, load.other_requests
        )
        load.reported_at = now

    def record_rejection(self, load: InstanceLoad, now: float) -> None:
        """Take in that an instance turned a request away."""
        load.other_requests = max(
            load.other_requests, SHED_REQUESTS_PER_SLOT * load.slots
        )
        load.reported_at = now

    def record_end(self, load: InstanceLoad) -> None:
        """Count a request's end.

        The room may be that of a later incarnation, which has none of them.
        """
        load.own_requests = max(0, load.own_requests - 1)

    def record_latency(self, load: InstanceLoad, latency_s: float) -> None:
        """Take in how long an answer took."""
        load.mean_latency_s = moving_average(load.mean_latency_s, latency_s)

    def allows_cold_request(self, load: InstanceLoad, per_s: float, now: float) -> bool:
        """Return whether a cold instance bears one more request from this entry.

        ``per_s`` is this entry's part of the instance's rate, in requests a
        second.
        """
        grown = load.cold_tokens + per_s * max(0.0, now - load.cold_refilled_at)
        load.cold_tokens = min(COLD_BURST_REQUESTS, grown)
        load.cold_refilled_at = max(load.cold_refilled_at, now)
        return load.cold_tokens >= 1.0

    def record_cold_request(self, load: InstanceLoad) -> None:
        """Count a request that goes to a cold instance."""
        load.cold_tokens -= 1.0


def moving_average(known: float | None, value: float) -> float:
    """Return the moving average after one more value."""
    return value if known is None else known + MOVING_AVERAGE_WEIGHT * (value - known)
