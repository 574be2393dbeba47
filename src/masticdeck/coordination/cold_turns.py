"""Divides the request rate of a cold instance among the entries, by turns.

A cold instance fails if it gets many requests in a second, whichever entries send
them. A token bucket in each entry does not bound the sum: with many entries, the
first tokens alone are too many. Instead, time is divided into turns. Each turn
belongs to one entry, which may send in it what the instance bears for its length, in
most cases one request. The sum follows from the length of the turns and not from the
number of entries.

The entries need no messages to agree. The owner of a turn is the entry with the
highest hash of entry, incarnation and turn among those that callers are directed to.
Two entries that see different members choose the same owner unless the member that
only one of them sees has the highest hash. While the views differ in ``m`` of ``n``
members, a turn therefore has ``m / n`` additional owners on average, for any number of
entries. Turns do not accumulate, so a restart or a pause gains nothing.

This holds for entries that see each other. An entry that has just started, or that the
others may no longer count, has no turns until it and all others that have any certainly
see each other.

Source: rendezvous hashing, Thaler and Ravishankar, 1998, applied to time slots.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import cache
from typing import final

import xxhash

from masticdeck.clock import boottime, walltime
from masticdeck.ids import EntryId
from masticdeck.state.fleet import FleetInstance, Incarnation

MIN_TURN_S = 0.1
"""Shortest turn: longer than an entry takes to notice that its turn has begun."""

MAX_LOOKAHEAD_TURNS = 100
"""Turns that are examined in advance."""


@final
@dataclass(frozen=True, slots=True)
class TurnLength:
    """Division of a request rate into turns of ``seconds`` with ``requests`` each."""

    seconds: float
    requests: int

    def turn_at(self, wall_s: float) -> int:
        """Return the number of the turn at a time of day in seconds."""
        return math.floor(wall_s / self.seconds)


@cache
def turn_length(rate_per_s: float) -> TurnLength:
    """Return the turns that use a rate without exceeding it.

    >>> turn_length(4.0)
    TurnLength(seconds=0.25, requests=1)
    >>> turn_length(39.0)
    TurnLength(seconds=0.10256410256410256, requests=4)
    """
    if rate_per_s <= 0:
        return TurnLength(math.inf, 0)
    requests = max(1, math.ceil(rate_per_s * MIN_TURN_S))
    return TurnLength(requests / rate_per_s, requests)


@final
@dataclass(slots=True, eq=False)
class TurnSchedule:
    """Own turns at one incarnation that are known, in order.

    ``own_turns`` are the numbers of this entry's turns that have not ended, of those
    before ``examined_until``. ``used_requests`` is the number of requests sent in turn
    ``used_turn``, the last one at boot time ``used_at``.
    """

    own_turns: deque[int] = field(default_factory=deque)
    examined_until: int = 0
    used_turn: int = 0
    used_requests: int = 0
    used_at: float = -math.inf


class ColdTurns:
    """Tells when this entry may send requests to cold instances.

    ``members`` returns the entries that share the turns, and ``usable_from`` the boot
    time from which this entry and the others certainly count each other, infinite if
    that is not known.
    """

    def __init__(
        self,
        entry: EntryId,
        *,
        members: Callable[[], Collection[EntryId]],
        usable_from: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.entry = entry
        self.members = members
        self.usable_from = usable_from
        self.known_members: Collection[EntryId] = ()
        self.rivals: list[bytes] = []
        self.schedules: dict[Incarnation, TurnSchedule] = {}

    def remove(self, instance: FleetInstance) -> None:
        """Remove the schedule of an incarnation that no longer exists."""
        self.schedules.pop(instance.incarnation, None)

    def has_turn(self, instance: FleetInstance, rate_per_s: float) -> bool:
        """Return whether this entry may send the instance a request now."""
        if self.usable_from() > boottime():
            return False
        length = turn_length(rate_per_s)
        turn = length.turn_at(walltime())
        return turn in self.usable_turns(instance, length, turn, turn)

    def record_sent(self, instance: FleetInstance, rate_per_s: float) -> None:
        """Count a request that is being sent in the current turn."""
        schedule = self.schedule_of(instance)
        turn = turn_length(rate_per_s).turn_at(walltime())
        if turn != schedule.used_turn:
            schedule.used_turn = turn
            schedule.used_requests = 0
        schedule.used_requests += 1
        schedule.used_at = boottime()

    def openings(
        self, instance: FleetInstance, rate_per_s: float, until: float
    ) -> list[float]:
        """Return the boot times from which requests may be sent, one for each request.

        Those of the current turn are in the past or now; none is after ``until``.
        """
        length = turn_length(rate_per_s)
        wall_s = walltime()
        now = boottime()
        usable_from = self.usable_from()
        if usable_from > until:
            return []
        wall_offset_s = wall_s - now
        first = length.turn_at(wall_s)
        last = length.turn_at(until + wall_offset_s)
        turns = self.usable_turns(instance, length, first, last)
        if not turns:
            return []
        starts = [turn * length.seconds - wall_offset_s for turn in turns]
        return [
            start
            for start in starts
            if usable_from <= max(start, now)
            for _ in range(length.requests)
        ]

    def usable_turns(
        self, instance: FleetInstance, length: TurnLength, first: int, last: int
    ) -> list[int]:
        """Return this entry's turns from ``first``, the current one, to ``last``."""
        if not length.requests:
            return []
        self.update_members()
        schedule = self.schedule_of(instance)
        last = min(last, first + MAX_LOOKAHEAD_TURNS)
        self.examine_turns(schedule, instance, first, last)
        if not schedule.own_turns or schedule.own_turns[0] > last:
            return []
        is_used = self.is_used_up(schedule, length, first)
        return [
            turn
            for turn in schedule.own_turns
            if turn <= last and not (is_used and turn == first)
        ]

    def is_used_up(self, schedule: TurnSchedule, length: TurnLength, turn: int) -> bool:
        """Return whether nothing may be sent in the current turn any more.

        After the time of day has jumped back, turns come again; the last request then
        has to be one turn ago.
        """
        if turn == schedule.used_turn:
            return schedule.used_requests >= length.requests
        has_jumped_back = turn < schedule.used_turn
        return has_jumped_back and boottime() - schedule.used_at < length.seconds

    def schedule_of(self, instance: FleetInstance) -> TurnSchedule:
        """Return the schedule of an incarnation."""
        incarnation = instance.incarnation
        schedule = self.schedules.get(incarnation)
        if schedule is None:
            schedule = self.schedules[incarnation] = TurnSchedule()
        return schedule

    def examine_turns(
        self, schedule: TurnSchedule, instance: FleetInstance, first: int, last: int
    ) -> None:
        """Extend the known own turns of an incarnation to a range of turns.

        What was known is discarded if the time of day has jumped.
        """
        if not first <= schedule.examined_until <= first + MAX_LOOKAHEAD_TURNS + 1:
            schedule.own_turns.clear()
            schedule.examined_until = first
        while schedule.own_turns and schedule.own_turns[0] < first:
            schedule.own_turns.popleft()
        while schedule.examined_until <= last:
            if self.owns_turn(instance, schedule.examined_until):
                schedule.own_turns.append(schedule.examined_until)
            schedule.examined_until += 1

    def owns_turn(self, instance: FleetInstance, turn: int) -> bool:
        """Return whether this entry has the highest hash of all members for a turn."""
        if self.entry not in self.known_members:
            return False
        name = f"{instance.id}/{instance.born_ms}/{turn}"
        seed = xxhash.xxh64_intdigest(name.encode())
        own_hash = xxhash.xxh64_intdigest(self.entry.encode(), seed)
        return all(
            xxhash.xxh64_intdigest(rival, seed) < own_hash for rival in self.rivals
        )

    def update_members(self) -> None:
        """Take over changed members, which changes the owners of turns."""
        members = self.members()
        if members is self.known_members or members == self.known_members:
            return
        self.known_members = members
        self.rivals = [entry.encode() for entry in members if entry != self.entry]
        for schedule in self.schedules.values():
            schedule.own_turns.clear()
            schedule.examined_until = 0
