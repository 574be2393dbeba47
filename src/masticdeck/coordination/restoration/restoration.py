"""Decides which records of a restored copy replace those known before it.

The store may come back from a copy some seconds old. What was written in between is
gone, and those who live write it again. Until then a replica knows more than the store:

- A record that is missing in the copy is not removed. It is kept until it is written
  again, or its writer had the time to do so.
- A record of the copy that is older than the known one does not replace it, and one
  that was removed since does not return. It is held back, and used if nobody has
  replaced or removed it after the time in which an ended writer's record expires.

Whether a record is older is decided by what its writer says of it. Where it says
nothing, the store's counter is compared: the copy repeats the counters of the history
that it was taken from, so a record with a greater counter than the known one is new.
So is everything that was written after the first listing of the era.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from masticdeck.coordination.restoration.rules import (
    RESTORE_S,
    RULES,
    RestorationRules,
    WriterOrder,
)
from masticdeck.ids import Revision
from masticdeck.protocol.positions import counter_of, era_of
from masticdeck.protocol.store import ABSENT, Change, KeyValue

MAX_REMOVED_RECORDS = 10_000
"""Removed records whose order is remembered; the first ones have long expired."""


class Verdict(Enum):
    """What is done with a value of a new era."""

    APPLY = "apply"
    ADOPT = "adopt"
    """Take over its revision only, as the known value is the same."""

    HOLD = "hold"


@final
@dataclass(frozen=True, slots=True)
class RemovedRecord:
    """What is remembered of a record that was removed.

    ``revision`` is that of its last value, or of its removal if that was never seen.
    """

    revision: Revision
    order: WriterOrder | None


@final
class Restoration:
    """Judges the records of a new era against those of the eras before it.

    ``held`` has the changes that were held back, by key. ``began_at`` is the boot time
    at which the present era was first seen, minus infinity without one, and
    ``listed_at`` the position of the first records that were seen of it. ``is_pending``
    states that records may still lapse or fall due.
    """

    def __init__(self, rules: RestorationRules = RULES) -> None:
        self.rules = rules
        self.began_at = float("-inf")
        self.listed_at = ABSENT
        self.is_pending = False
        self.held: dict[str, Change] = {}
        self.removed: dict[str, RemovedRecord] = {}

    def begin(self, listed_at: Revision, now: float) -> None:
        """Take in that a new era was seen; what was held of the last one is void."""
        self.began_at = now
        self.listed_at = listed_at
        self.is_pending = True
        self.held.clear()

    def extend(self, pause_s: float) -> None:
        """Do not count a time in which nothing was heard of the store.

        Nobody may have been able to write in it.
        """
        self.began_at += pause_s

    def record_removal(self, removal: Change, record: KeyValue | None) -> None:
        """Remember a record that was removed, or a removal of an unknown one."""
        earlier = self.removed.pop(removal.key, None)
        if record is None:
            order = None if earlier is None else earlier.order
            self.removed[removal.key] = RemovedRecord(removal.revision, order)
        else:
            order = self.rules.find(record.key).read_order(record.value)
            self.removed[removal.key] = RemovedRecord(record.revision, order)
        if len(self.removed) > MAX_REMOVED_RECORDS:
            del self.removed[next(iter(self.removed))]

    def judge(self, change: Change, record: KeyValue | None) -> Verdict:
        """Return what is done with a change that is of a later era than ``record``.

        ``record`` is the known record of the same key, None if it was removed.
        """
        if change.value is None:
            return Verdict.APPLY
        if record is not None:
            return self.judge_known(change.revision, change.value, record)
        removed = self.removed.get(change.key)
        if removed is None:
            return Verdict.APPLY
        return self.judge_removed(change, change.value, removed)

    def judge_known(
        self, revision: Revision, value: bytes, record: KeyValue
    ) -> Verdict:
        """Return what is done with a value of a record that is known."""
        if value == record.value:
            return Verdict.ADOPT
        rule = self.rules.find(record.key)
        order, known_order = rule.read_order(value), rule.read_order(record.value)
        if order is not None and known_order is not None:
            is_newer = order >= known_order
        else:
            is_newer = self.is_later_write(revision, record.revision)
        return Verdict.APPLY if is_newer else Verdict.HOLD

    def judge_removed(
        self, change: Change, value: bytes, removed: RemovedRecord
    ) -> Verdict:
        """Return what is done with a value of a record that was removed.

        A writer may write the same again, as a new record.
        """
        order = self.rules.find(change.key).read_order(value)
        if order is not None and removed.order is not None and order != removed.order:
            is_newer = order > removed.order
        elif order is not None and removed.order is not None:
            is_newer = counter_of(change.revision) != counter_of(removed.revision)
        else:
            is_newer = self.is_later_write(change.revision, removed.revision)
        return Verdict.APPLY if is_newer else Verdict.HOLD

    def is_later_write(self, revision: Revision, known: Revision) -> bool:
        """Return whether a write was certainly made after one of an earlier era."""
        return revision > self.listed_at or counter_of(revision) > counter_of(known)

    def due_changes(self, now: float) -> list[Change]:
        """Release and return the held changes that nobody has replaced in time."""
        age_s = now - self.began_at
        self.is_pending = age_s < self.rules.longest_held_s()
        due = [
            change
            for change in self.held.values()
            if age_s >= self.rules.find(change.key).held_s
        ]
        for change in due:
            del self.held[change.key]
        return due

    def has_lapsed(self, record: KeyValue, revision: Revision, now: float) -> bool:
        """Return whether a missing record's writer had the time to write it, in vain.

        A record of which the copy has an older value is not missing.
        """
        return (
            now - self.began_at >= RESTORE_S
            and record.key not in self.held
            and is_unrestored(record, revision)
            and not self.rules.find(record.key).keeps_missing
        )


def is_unrestored(record: KeyValue, revision: Revision) -> bool:
    """Return whether a record was not written in the era of a revision."""
    return era_of(record.revision) < era_of(revision)
