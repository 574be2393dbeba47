"""Decides which written value of a record is in use.

The store orders writes by their arrival. A writer's own order may be another one, in
two cases:

- A write is delayed on its way, and reaches the store after a later one of the same
  writer, or after the removal of the record. The older report is held back.
- The store comes back from a copy some seconds old. What was written in between is
  gone, and those who live write it again. Until then a replica knows more than the
  store: a record that is missing in the copy is not removed, a record of the copy that
  is older than the known one does not replace it, and one that was removed does not
  return.

A value that is held back is used if nobody has replaced or removed it after the time in
which its writer would have done so. No writer is ignored for longer, whatever its clock
says.

Whether a value is older is decided by what its writer says of it. Where it says
nothing, values of one era count in the order of their arrival. Between two eras the
store's counter is compared: the copy repeats the counters of the history that it was
taken from, so a record with a greater counter than the known one is new. So is
everything that was written after the first listing of the era.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from masticdeck.coordination.record_order.rules import (
    RESTORE_S,
    RULES,
    RecordRule,
    RecordRules,
    WriterOrder,
    start_of,
)
from masticdeck.ids import Revision
from masticdeck.protocol.positions import counter_of, era_of
from masticdeck.protocol.store import ABSENT, Change, KeyValue

MAX_REMOVED_RECORDS = 10_000
"""Removed records whose order is remembered; the first ones have long expired."""


class Verdict(Enum):
    """What is done with a written value."""

    APPLY = "apply"
    ADOPT = "adopt"
    """Take over its revision only, as the known value is the same."""

    HOLD_COPY = "hold copy"
    """Hold it back until writers had their time to write again in a new era."""

    HOLD_LATE = "hold late"
    """Hold it back until a living writer would have replaced it."""


@final
@dataclass(frozen=True, slots=True)
class RemovedRecord:
    """What is remembered of a record that was removed.

    ``revision`` is that of its last value, or of its removal if that was never seen.
    ``removed_at`` is in heard time. ``may_have_expired`` states that its writer may
    live on, and has only been unable to write.
    """

    revision: Revision
    order: WriterOrder | None
    removed_at: float
    may_have_expired: bool


@final
@dataclass(frozen=True, slots=True)
class HeldChange:
    """A change that is held back since ``held_at``, in heard time."""

    change: Change
    verdict: Verdict
    held_at: float


@final
class RecordOrder:
    """Judges written values against what is known of their keys.

    ``held`` has the changes that are held back, by key, and ``orders`` the order of the
    last readable value in use of each key whose writes may be delayed. ``began_at`` is
    when the present era was first seen, minus infinity without one, and ``listed_at``
    the position of the first records that were seen of it. ``is_restoring`` states that
    records of an earlier era may still lapse.

    Times are kept in heard time: boot time without the pauses in which nothing was
    heard of the store.
    """

    def __init__(self, rules: RecordRules = RULES) -> None:
        self.rules = rules
        self.began_at = float("-inf")
        self.listed_at = ABSENT
        self.is_restoring = False
        self.unheard_s = 0.0
        self.held: dict[str, HeldChange] = {}
        self.orders: dict[str, WriterOrder] = {}
        self.removed: dict[str, RemovedRecord] = {}

    @property
    def is_pending(self) -> bool:
        """Return whether records may lapse or held changes fall due."""
        return self.is_restoring or bool(self.held)

    def heard_time(self, now: float) -> float:
        """Return the heard time at a boot time, in seconds."""
        return now - self.unheard_s

    def begin_era(self, listed_at: Revision, now: float) -> None:
        """Take in that a new era was seen; what was held of the last one is void."""
        self.began_at = self.heard_time(now)
        self.listed_at = listed_at
        self.is_restoring = True
        self.held.clear()

    def extend(self, pause_s: float) -> None:
        """Do not count a time in which nothing was heard of the store.

        Nobody may have been able to write in it.
        """
        self.unheard_s += pause_s

    def record_use(self, change: Change) -> None:
        """Remember the order of a value that is in use from now on.

        A value that states none leaves the order of the last one in force, so that an
        unreadable write does not let an older one through.
        """
        self.held.pop(change.key, None)
        rule = self.rules.find(change.key)
        if change.value is None or not rule.late_write_s:
            return
        order = rule.read_order(change.value)
        if order is not None:
            self.orders[change.key] = order

    def record_removal(
        self,
        removal: Change,
        record: KeyValue | None,
        now: float,
        *,
        may_have_expired: bool,
    ) -> None:
        """Remember a record that was removed, or a removal of an unknown one."""
        self.held.pop(removal.key, None)
        earlier = self.removed.pop(removal.key, None)
        order = self.orders.pop(removal.key, None)
        revision = removal.revision
        if record is not None:
            revision = record.revision
            order = order or self.rules.find(record.key).read_order(record.value)
        elif earlier is not None:
            order = earlier.order
            may_have_expired = may_have_expired and earlier.may_have_expired
        self.removed[removal.key] = RemovedRecord(
            revision, order, self.heard_time(now), may_have_expired
        )
        if len(self.removed) > MAX_REMOVED_RECORDS:
            del self.removed[next(iter(self.removed))]

    def judge(
        self, change: Change, record: KeyValue | None, known: Revision, now: float
    ) -> Verdict:
        """Return what is done with a change that follows another one of its key.

        ``record`` is the known record, None if it was removed; ``known`` is the
        revision at which it was written or removed.
        """
        if change.value is None:
            return Verdict.APPLY
        rule = self.rules.find(change.key)
        if rule.late_write_s and self.is_late(change.key, change.value, rule, now):
            return Verdict.HOLD_LATE
        if era_of(change.revision) <= era_of(known):
            return Verdict.APPLY
        if record is not None:
            return self.judge_known(change.revision, change.value, record)
        removed = self.removed.get(change.key)
        if removed is None:
            return Verdict.APPLY
        return self.judge_removed(change, change.value, removed)

    def is_late(self, key: str, value: bytes, rule: RecordRule, now: float) -> bool:
        """Return whether a value was written before what is known of its key.

        A record may be unchanged in the store while its writer goes on counting, so a
        count above that of a removed record may still be from before the removal.
        """
        order = rule.read_order(value)
        if order is None:
            return False
        known_order = self.orders.get(key)
        if known_order is not None:
            return order < known_order
        removed = self.removed.get(key)
        if removed is None or removed.order is None:
            return False
        if self.heard_time(now) - removed.removed_at >= rule.late_write_s:
            return False
        if start_of(order) > start_of(removed.order):
            return False
        return order < removed.order or not removed.may_have_expired

    def judge_known(
        self, revision: Revision, value: bytes, record: KeyValue
    ) -> Verdict:
        """Return what is done with a new era's value of a record that is known."""
        if value == record.value:
            return Verdict.ADOPT
        rule = self.rules.find(record.key)
        order, known_order = rule.read_order(value), rule.read_order(record.value)
        if order is not None and known_order is not None:
            is_newer = order >= known_order
        else:
            is_newer = self.is_later_write(revision, record.revision)
        return Verdict.APPLY if is_newer else Verdict.HOLD_COPY

    def judge_removed(
        self, change: Change, value: bytes, removed: RemovedRecord
    ) -> Verdict:
        """Return what is done with a new era's value of a record that was removed.

        A writer may write the same again, as a new record.
        """
        order = self.rules.find(change.key).read_order(value)
        if order is not None and removed.order is not None and order != removed.order:
            is_newer = order > removed.order
        elif order is not None and removed.order is not None:
            is_newer = counter_of(change.revision) != counter_of(removed.revision)
        else:
            is_newer = self.is_later_write(change.revision, removed.revision)
        return Verdict.APPLY if is_newer else Verdict.HOLD_COPY

    def is_later_write(self, revision: Revision, known: Revision) -> bool:
        """Return whether a write was certainly made after one of an earlier era."""
        return revision > self.listed_at or counter_of(revision) > counter_of(known)

    def hold(self, change: Change, verdict: Verdict, now: float) -> None:
        """Hold a change back.

        The time of a writer that goes on writing counts from its first held report.
        """
        held_at = self.heard_time(now)
        earlier = self.held.get(change.key)
        if earlier is not None and earlier.verdict is verdict:
            read_order = self.rules.find(change.key).read_order
            order = read_order(change.value or b"")
            earlier_order = read_order(earlier.change.value or b"")
            if order is not None and earlier_order is not None:
                held_at = earlier.held_at if order >= earlier_order else held_at
        self.held[change.key] = HeldChange(change, verdict, held_at)

    def held_changes(self) -> list[Change]:
        """Return the changes that are held back."""
        return [held.change for held in self.held.values()]

    def release_due(self, now: float) -> list[Change]:
        """Release and return the held changes that nobody has replaced in time."""
        heard = self.heard_time(now)
        age_s = heard - self.began_at
        self.is_restoring = age_s < self.rules.longest_held_s()
        due = [
            held.change
            for key, held in self.held.items()
            if is_due(held, self.rules.find(key), heard - held.held_at, age_s)
        ]
        for change in due:
            del self.held[change.key]
        return due

    def had_time_to_write(self, now: float) -> bool:
        """Return whether living writers had the time to write again in this era."""
        return self.heard_time(now) - self.began_at >= RESTORE_S

    def has_lapsed(self, record: KeyValue, revision: Revision, now: float) -> bool:
        """Return whether a missing record's writer had the time to write it, in vain.

        A record of which the copy has an older value is not missing.
        """
        return (
            self.had_time_to_write(now)
            and record.key not in self.held
            and is_unrestored(record, revision)
            and not self.rules.find(record.key).keeps_missing
        )


def is_due(held: HeldChange, rule: RecordRule, held_s: float, era_age_s: float) -> bool:
    """Return whether a change has been held back for long enough, times in seconds."""
    if held.verdict is Verdict.HOLD_LATE:
        return held_s >= rule.late_write_s
    return era_age_s >= rule.held_s


def is_unrestored(record: KeyValue, revision: Revision) -> bool:
    """Return whether a record was not written in the era of a revision."""
    return era_of(record.revision) < era_of(revision)
