"""Positions in the history of a store that may come back from an older copy.

A store that is restored from a copy gives out its counter's values again. The era that
it states with each answer tells the histories apart, so a position is the pair of era
and counter, ordered by era first. The pair is packed into one whole number below
2**63: everything that orders, stores or fences by a revision orders by era as well.
"""

from __future__ import annotations

import logging
import math
from typing import final

from masticdeck.clock import boottime
from masticdeck.errors import StoreConflict, StoreUnavailable
from masticdeck.events import Code, EventLog
from masticdeck.ids import Era, LeaseId, Revision
from masticdeck.metrics import Metrics

COUNTER_BITS = 48
MAX_COUNTER = (1 << COUNTER_BITS) - 1
MAX_ERA = (1 << 15) - 1

LEASE_SEPARATOR = "/"

NO_ERA = Era(0)
"""Era of a store, or of a message of an older version, that states none."""

FIRST_ERA = Era(1)
"""Era of a store that has never come back from a copy."""


def pack_position(era: Era, counter: int) -> Revision:
    """Return the position of a counter's value in an era, or raise ValueError.

    >>> pack_position(Era(2), 1) > pack_position(Era(1), 99)
    True
    """
    if not 0 <= era <= MAX_ERA or not 0 <= counter <= MAX_COUNTER:
        raise ValueError(f"position {era}/{counter} out of range")
    return Revision(era << COUNTER_BITS | counter)


def era_of(position: int) -> Era:
    """Return the era of a position.

    >>> era_of(pack_position(Era(3), 17))
    3
    """
    return Era(position >> COUNTER_BITS)


def counter_of(position: int) -> int:
    """Return the store's own counter at a position.

    >>> counter_of(pack_position(Era(3), 17))
    17
    """
    return position & MAX_COUNTER


def with_era(counter: int, stated: int, assumed: Era) -> Revision:
    """Return the position of a message's counter, or raise ValueError.

    A message of an older version states no era; its counter is taken to be of the
    ``assumed`` one. A counter of 0 stands for no position at all.
    """
    if not counter:
        return Revision(0)
    return pack_position(Era(stated) or assumed, counter)


def parse_era(text: str) -> Era:
    """Return the era that a store states as text, or raise ValueError."""
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))):
        raise ValueError(f"{text[:40]!r} is not an era")
    era = Era(int(text))
    if era > MAX_ERA:
        raise ValueError(f"era {era} out of range")
    return era


def lease_era(lease: LeaseId) -> Era:
    """Return the era in which a lease was granted.

    >>> lease_era(LeaseId("2/7001"))
    2
    """
    era, separator, _ = lease.partition(LEASE_SEPARATOR)
    return Era(int(era)) if separator else NO_ERA


@final
class EraTracker:
    """The newest era of a store that one of its clients has heard of.

    Answers on several connections overtake each other, so that one of an earlier era
    may arrive late. What it says has been undone, or will be.
    """

    def __init__(self, events: EventLog | None, metrics: Metrics | None = None) -> None:
        self.events = events
        self.metrics = metrics
        self.era = NO_ERA
        self.begun_at = -math.inf
        self.is_faulty = False

    def advance_to(self, era: Era) -> None:
        """Take in an era that the store has; the first one known has not begun now."""
        if era > self.era:
            self.begun_at = boottime() if self.era else -math.inf
            self.era = era

    def age_s(self) -> float | None:
        """Return the time since the present era was seen to begin, None if it was not.

        An entry that has started since then has not seen it.
        """
        age_s = boottime() - self.begun_at
        return None if age_s == math.inf else age_s

    def read(self, stated: str | None, sent_in: Era) -> Era:
        """Return the era of an answer to a call.

        ``sent_in`` was the known era when the call was sent. An era that cannot be
        read, or that went down, is counted and logged, and the answer belongs to the
        newest one. Raises StoreUnavailable for a late answer of an earlier era.
        """
        if stated is None:
            return self.era
        try:
            era = parse_era(stated)
        except ValueError as error:
            return self.ignore(str(error))
        if era < self.era:
            if sent_in < self.era:
                raise StoreUnavailable(f"answer of era {era} after {self.era}")
            return self.ignore(f"era {era} after {self.era}")
        self.is_faulty = False
        self.advance_to(era)
        return era

    def counter_expected(self, position: Revision) -> int:
        """Return the counter that a write expects, or raise StoreConflict.

        In another era the same counter stands for another write. The position of a
        record that came through an entry of an older version states no era.
        """
        self.advance_to(era_of(position))
        if NO_ERA < era_of(position) < self.era:
            raise StoreConflict(f"revision of era {era_of(position)}, now {self.era}")
        return counter_of(position)

    def check_condition(self, position: Revision, answered_in: Era) -> None:
        """Raise StoreUnavailable if a condition was met in a later era than it states.

        The write has been applied over an unknown value, so it has to be read back.
        """
        if NO_ERA < era_of(position) < answered_in:
            raise StoreUnavailable("the store came back from a copy during the write")

    def name_lease(self, number: str, era: Era) -> LeaseId:
        """Return the name of a lease, which includes the era that it was granted in."""
        return LeaseId(f"{era}{LEASE_SEPARATOR}{number}")

    def lease_number(self, lease: LeaseId) -> str:
        """Return what the store calls a lease; raises StoreConflict if it is void.

        Leases end with their era, and their numbers are given out again.
        """
        self.check_lease(lease, self.era)
        return lease.partition(LEASE_SEPARATOR)[2]

    def check_lease(self, lease: LeaseId, era: Era) -> None:
        """Raise StoreConflict if a lease was granted before an era."""
        granted_in = lease_era(lease)
        if granted_in < era:
            raise StoreConflict(f"lease of era {granted_in}, now {era}")

    def ignore(self, reason: str) -> Era:
        """Count a wrong era and return the known one; log the first in a row."""
        if self.metrics is not None:
            self.metrics.count("store_eras_ignored")
        if not self.is_faulty and self.events is not None:
            self.events.emit(
                Code.STORE_ERA_IGNORED,
                level=logging.WARNING,
                error=reason,
                era=self.era,
            )
        self.is_faulty = True
        return self.era
