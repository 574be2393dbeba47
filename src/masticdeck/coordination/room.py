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

UNKNOWN_PART = 0.5
"""Part of an instance's slots that one entry uses before the first report."""

LATENCY_WEIGHT = 0.2
"""Weight of a new latency in the moving average."""

FULL_FACTOR = 2
"""Requests at an instance, in slots, from which its own queue is too long."""

SHED_FACTOR = 3
"""Requests at an instance that turns one away, in slots, at the least.

The estimate falls to ``FULL_FACTOR`` after about 0.7 s.
"""

COLD_BURST = 1.0
"""Requests that one entry may send to a cold instance at once."""


@dataclass(slots=True, eq=False)
class InstanceRoom:
    """What one entry knows of the use of one instance.

    ``own`` counts this entry's requests there; ``others`` those of other
    entries at ``reported_at``, ``usual_others`` the average of all reports.
    ``heard_at`` is the boot time of the latest answer of any kind.
    ``cold_credit`` is the number of requests that a cold instance may get from
    this entry.
    """

    slots: int
    own: int = 0
    others: int = 0
    usual_others: float = 0.0
    reported_at: float = float("-inf")
    latency_s: float | None = None
    heard_at: float = float("-inf")
    cold_credit: float = COLD_BURST
    cold_at: float = 0.0

    def used(self, now: float) -> float:
        """Return the estimated number of requests at the instance.

        What others have there is taken from the last report, and the more from
        the average of all reports the older that one is.
        """
        weight = math.exp2((self.reported_at - now) / REPORT_HALF_LIFE_S)
        latest = self.others - self.usual_others
        return self.own + self.usual_others + weight * latest

    def has_room(self, now: float) -> bool:
        """Return whether one more request would find a slot.

        An entry always has one request at an instance: its answer is a report.
        The estimate is taken to the nearest whole request.
        """
        if self.reported_at == float("-inf"):
            return self.own < max(1, int(self.slots * UNKNOWN_PART))
        outdated = now - self.reported_at > REPORT_HALF_LIFE_S
        return (outdated and self.own == 0) or self.used(now) < self.slots - 0.5

    def has_queue(self, now: float) -> bool:
        """Return whether one more request would find a short queue at most."""
        return self.used(now) < FULL_FACTOR * self.slots


class Rooms:
    """The use of every instance, as this entry sees it."""

    def __init__(self) -> None:
        self.by_instance: dict[InstanceId, InstanceRoom] = {}

    def get(self, instance: FleetInstance) -> InstanceRoom:
        """Return what is known of an instance."""
        room = self.by_instance.get(instance.id)
        if room is None:
            room = self.by_instance[instance.id] = InstanceRoom(instance.slots)
        return room

    def forget(self, instance: InstanceId) -> None:
        """Drop what is known of an instance that is gone."""
        self.by_instance.pop(instance, None)

    def begin(self, instance: FleetInstance) -> InstanceRoom:
        """Count a request that is sent to an instance."""
        room = self.get(instance)
        room.own += 1
        return room

    def report(self, room: InstanceRoom, use: InstanceUse, now: float) -> None:
        """Take in what an answer says of its instance's load.

        The instance counts the request that it answers, which this entry
        counts as its own until ``end``.
        """
        room.slots = use.slots
        room.others = max(0, use.running + use.waiting - room.own)
        room.usual_others = average(room.usual_others, room.others)
        room.reported_at = now

    def report_full(self, room: InstanceRoom, now: float) -> None:
        """Take in that an instance turned a request away."""
        room.others = max(room.others, SHED_FACTOR * room.slots)
        room.reported_at = now

    def end(self, room: InstanceRoom) -> None:
        """Count a request's end.

        The room may be that of a later incarnation, which has none of them.
        """
        room.own = max(0, room.own - 1)

    def learn(self, room: InstanceRoom, latency_s: float) -> None:
        """Take in how long an answer took."""
        room.latency_s = average(room.latency_s, latency_s)

    def bears_cold(self, room: InstanceRoom, per_s: float, now: float) -> bool:
        """Return whether a cold instance bears one more request from this entry.

        ``per_s`` is this entry's part of the instance's rate, in requests a
        second.
        """
        grown = room.cold_credit + per_s * max(0.0, now - room.cold_at)
        room.cold_credit = min(COLD_BURST, grown)
        room.cold_at = max(room.cold_at, now)
        return room.cold_credit >= 1.0

    def spend_cold(self, room: InstanceRoom) -> None:
        """Count a request that goes to a cold instance."""
        room.cold_credit -= 1.0


def average(known: float | None, value: float) -> float:
    """Return the moving average after one more value."""
    return value if known is None else known + LATENCY_WEIGHT * (value - known)
