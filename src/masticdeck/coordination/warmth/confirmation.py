"""Tells whether this entry would know by now that an instance has become cold.

An instance says in its record that it is cold. While the store rejects this entry's
calls, or those of the entry that it follows, a record that says so may exist unseen, or
may not have been written at all.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import final

from masticdeck.coordination.feed import RecordReplica
from masticdeck.events import Code, EventLog

MAX_CURRENT_AGE_S = 1.5
"""Age of the records up to which they count as current; in calm they are younger."""

MIN_OUTAGE_S = 1.0
"""Length of an outage in which instances may have failed to write their records."""

REPORT_DELAY_S = 2.0
"""Seconds after such an outage in which instances write what they could not."""


class Doubt(Enum):
    """Why the records may not say that an instance is cold."""

    NONE = "none"
    STORE_FAILING = "store failing"
    OUTDATED = "outdated"
    RECENT_OUTAGE = "recent outage"


@final
class WarmthConfirmation:
    """Derives from the replica of the records whether they tell of cold instances.

    Times are boot times in seconds. ``failing_since`` is infinite while the store does
    not fail, ``began_at`` the beginning of the present doubt.
    """

    def __init__(self, replica: RecordReplica, events: EventLog) -> None:
        self.replica = replica
        self.events = events
        self.doubt = Doubt.NONE
        self.began_at = math.inf
        self.failing_since = math.inf
        self.outage_ended_at = -math.inf

    def is_confirmed(self, now: float) -> bool:
        """Return whether the records would tell of an instance that is cold now."""
        self.update(now)
        return self.doubt is Doubt.NONE

    def doubted_s(self, now: float) -> float:
        """Return for how long the present doubt has lasted, 0 without one."""
        return max(0.0, now - self.began_at)

    def update(self, now: float) -> None:
        """Take in the state of the replica."""
        doubt = self.find_doubt(now)
        if doubt is self.doubt:
            return
        if self.doubt is Doubt.NONE:
            self.began_at = now
        self.events.emit(
            Code.WARMTH_CONFIRMED if doubt is Doubt.NONE else Code.WARMTH_UNCONFIRMED,
            reason=doubt.value,
            age_ms=round(self.replica.age_s(now) * 1000),
            lasted_ms=round(self.doubted_s(now) * 1000),
        )
        if doubt is Doubt.NONE:
            self.began_at = math.inf
        self.doubt = doubt

    def find_doubt(self, now: float) -> Doubt:
        """Return why the records may not tell, ``NONE`` if they do.

        Before the first records there is nothing to doubt.
        """
        if self.replica.is_store_failing:
            self.failing_since = min(self.failing_since, now)
            return Doubt.STORE_FAILING
        age_s = self.replica.age_s(now)
        if MAX_CURRENT_AGE_S < age_s < math.inf:
            return Doubt.OUTDATED
        if now - self.failing_since >= MIN_OUTAGE_S:
            self.outage_ended_at = now
        self.failing_since = math.inf
        if now - self.outage_ended_at < REPORT_DELAY_S:
            return Doubt.RECENT_OUTAGE
        return Doubt.NONE
