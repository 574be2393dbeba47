"""Keeps a local replica of the platform's records up to date.

One listing and one watch cover all keys, so that the number of calls does not
grow with the number of records. Each record has a revision; a late or repeated
change never replaces a newer one. An entry that the store rejects follows the
replica of another entry instead.

Revisions order by the store's era first. A write that was delayed on its way to the
store, and a store that has come back from an older copy, put an older value behind a
newer one; ``record_order`` decides which of the two is in use.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol, final

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.record_order.order import (
    RecordOrder,
    Verdict,
    is_unrestored,
)
from masticdeck.coordination.record_order.rules import RecordRules
from masticdeck.errors import StoreHistoryLost
from masticdeck.events import Code, EventLog
from masticdeck.ids import Era, Revision
from masticdeck.protocol.positions import FIRST_ERA, counter_of, era_of
from masticdeck.protocol.store import ABSENT, Change, Changes, KeyValue, Listing, Store

WATCH_WAIT_S = 1.2
"""Longest wait of a watch; keeps the age of the replica below two seconds."""

SHORT_WATCH_WAIT_S = 0.5
"""Longest wait of a watch while decisions depend on how current the replica is.

A watch only proves that the replica was current when the call was sent, and a store
that fails may show it only when the watch ends.
"""

MIN_WATCH_INTERVAL_S = 0.4
"""Minimum time between two watches, so that changes are batched."""

INITIAL_RETRY_S = 0.3
"""Delay before the first retry of a failed call of the store."""

MAX_RETRY_S = 2.4
"""Maximum delay between retries, which doubles with each failure."""

STANDBY_CHECK_INTERVAL_S = 0.2
"""Seconds between checks whether an entry has to follow the store again."""

MAX_REPLICA_AGE_S = 2.0
"""Age of a replica above which another source is tried, including the store."""

MIN_OUTAGE_S = 2.5
"""Time without contact to the store after which records may have expired."""

MAX_UNHEARD_S = WATCH_WAIT_S + 2 * MIN_WATCH_INTERVAL_S
"""Time between two confirmations beyond which writers may have been cut off as well.

Without changes, they are a whole watch and the time between two watches apart.
"""

MAX_RECENT_CHANGES = 2_000
"""Recent changes kept for followers; one that lacks more gets a snapshot."""


class FeedListener(Protocol):
    """Receives the changes of records."""

    def record_changed(
        self, key: str, value: bytes | None, *, maybe_expired: bool
    ) -> None:
        """Handle a new value, None for a deleted key.

        ``maybe_expired`` states that the record may have been deleted only because
        its lease expired during an outage of the store.
        """


@final
@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """Records for a follower: a snapshot, or the changes that it lacks.

    ``age_s`` is the time since the replica of the sender was last known to be
    current, ``outage_ended_s`` the time since the sender observed the end of an
    outage of the store, and ``hops`` the number of entries between the sender and the
    store. ``is_store_failing`` states that the store fails where the records come from.
    ``proof_age_s`` is the time since that replica was last provably current, and
    ``probe`` the newest probe that the sender had received before.
    """

    is_snapshot: bool
    changes: tuple[Change, ...]
    revision: Revision
    age_s: float
    outage_ended_s: float = math.inf
    hops: int = 0
    proof_age_s: float = math.inf
    probe: int = 0
    is_store_failing: bool = False


Recall = Callable[[Mapping[str, bytes]], Awaitable[FeedUpdate | None]]
"""Returns the replica of another entry among some records of the store, if any."""


class RecordReplica:
    """Replica of the platform's records by key, each at its newest revision.

    A time of ``MIN_OUTAGE_S`` without contact counts as an outage of the store only
    if calls of the store failed in this time, here or at the source of the
    replica. If an entry has merely lost its source, removed records were really
    removed and have not expired.

    ``hops`` is the number of entries between the replica and the store, and
    ``is_store_failing`` states that the store rejected the last call, here or at the
    source of the replica.

    ``proved_at`` is the latest boot time at which the replica was provably current. It
    is never later than the truth, whatever was delayed on the way.

    ``lacks_past`` states that the store may have come back from a copy before this
    replica knew anything, and that nobody could tell what the copy lacks. Nothing is
    proved then until the writers had their time to write again.

    Of changes that follow each other quickly, or come during an outage, only the last
    one is applied, unless their writers state an order. ``on_unseen_record_deleted``
    handlers get the keys of records that existed meanwhile and never reached the
    listener, ``on_record_held`` handlers each change that is held back and why.

    ``on_era_begun`` handlers get the era when the first records of a new one arrive,
    ``on_record_lapsed`` handlers the key of each record that was not written again in
    time, and what became of it.
    """

    def __init__(
        self, listener: FeedListener, order: RecordOrder | None = None
    ) -> None:
        self.listener = listener
        self.order = order or RecordOrder()
        self.records: dict[str, KeyValue] = {}
        self.deletion_revisions: dict[str, Revision] = {}
        self.revision = Revision(0)
        self.hops = 0
        self.recent_changes: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)
        self.recent_changes_after = Revision(0)
        self.confirmed_at = float("-inf")
        self.proved_at = float("-inf")
        self.lacks_past = False
        self.store_failed_at = float("-inf")
        self.is_store_failing = False
        self.outage_ended_at = float("-inf")
        self.waiters: set[asyncio.Future[None]] = set()
        self.on_unseen_record_deleted: list[Callable[[str], None]] = []
        self.on_era_begun: list[Callable[[Era], None]] = []
        self.on_record_lapsed: list[Callable[[str, str], None]] = []
        self.on_record_held: list[Callable[[Change, Verdict], None]] = []

    @property
    def era(self) -> Era:
        """Return the era of the store that the replica is of."""
        return era_of(self.revision)

    def is_unrestored(self, key: str) -> bool:
        """Return whether a known record was not written in the present era yet."""
        record = self.records.get(key)
        return record is not None and is_unrestored(record, self.revision)

    def revision_in_store(self, key: str) -> Revision:
        """Return the revision that the store is known to have of a key, 0 without one.

        It differs from that of the record in use while a value is held back.
        """
        held = self.order.held.get(key)
        if held is not None:
            return held.change.revision
        if key not in self.records or self.is_unrestored(key):
            return ABSENT
        return self.records[key].revision

    async def wait_newer(self, revision: Revision, timeout_s: float) -> None:
        """Wait until the replica is newer than ``revision``, or for ``timeout_s``.

        A confirmation that it is current ends the wait as well: passed on at once, it
        keeps a replica several entries away from the store from looking outdated.
        """
        if self.revision > revision:
            return
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)

    def advance_to(self, revision: Revision) -> None:
        """Record that the replica has all changes up to ``revision``."""
        if revision <= self.revision:
            return
        self.revision = revision
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """End the waits for news of the replica."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    def set_hops(self, hops: int) -> None:
        """Record how many entries are between the replica and the store."""
        if hops != self.hops:
            self.hops = hops
            self.wake_waiters()

    def age_s(self, now: float) -> float:
        """Return the time since the replica was last known to be current."""
        return now - self.confirmed_at

    def proof_age_s(self, now: float) -> float:
        """Return the time since the replica was last provably current."""
        return now - self.proved_at

    def prove(self, proved_at: float) -> None:
        """Record that the replica was provably current at a boot time.

        A later proof wakes followers, whose own proofs depend on it.
        """
        if self.lacks_past:
            if not self.order.had_time_to_write(proved_at):
                return
            self.lacks_past = False
        if proved_at > self.proved_at:
            self.proved_at = proved_at
            self.wake_waiters()

    def record_store_failure(self, now: float) -> None:
        """Record that a call of the store failed.

        An entry that follows another one meanwhile goes by what that one says.
        """
        self.store_failed_at = now
        if not self.hops:
            self.set_store_failing(is_failing=True)

    def set_store_failing(self, *, is_failing: bool) -> None:
        """Record whether the store fails, and tell followers at once."""
        if is_failing is not self.is_store_failing:
            self.is_store_failing = is_failing
            self.wake_waiters()

    def confirm(
        self, current_at: float, now: float, *, outage_ended_s: float = math.inf
    ) -> None:
        """Record that the replica was current at boot time ``current_at``.

        ``outage_ended_s`` is the time since its source observed the end of an outage.
        """
        if current_at <= self.confirmed_at:
            return
        if MAX_UNHEARD_S < now - self.confirmed_at < math.inf:
            self.order.extend(now - self.confirmed_at)
        if MIN_OUTAGE_S < now - self.confirmed_at < math.inf:
            if self.store_failed_at > self.confirmed_at:
                self.outage_ended_at = now
            elif outage_ended_s < MIN_OUTAGE_S:
                self.outage_ended_at = now - outage_ended_s
        self.confirmed_at = current_at
        self.is_store_failing = False
        self.wake_waiters()

    def replace(self, items: Iterable[KeyValue], revision: Revision) -> None:
        """Replace all records by a full listing as of ``revision``.

        Records of an earlier era that are not listed remain for the time in which they
        may be written again. The listing of another entry may have a record twice: the
        one in use, and then the older one of the copy that it holds back.
        """
        self.begin_era_of(revision)
        listed_records = list(items)
        listed_keys = {item.key for item in listed_records}
        removed_keys = [
            key
            for key, item in self.records.items()
            if key not in listed_keys
            and item.revision <= revision
            and not is_unrestored(item, revision)
        ]
        for key in removed_keys:
            self.apply_change(Change(key, None, revision))
        for item in listed_records:
            self.apply_change(Change(item.key, item.value, item.revision))
        self.advance_to(revision)
        self.recent_changes.clear()
        self.recent_changes_after = self.revision
        self.apply_due_changes(boottime())

    def begin_era_of(self, revision: Revision) -> None:
        """Prepare for the first records of a new era.

        Leases may end in the moments after it, as after an outage, although those who
        held them live. To a replica without records it is no new one, but its source
        may pass on records of the era before.
        """
        if era_of(revision) <= self.era:
            return
        now = boottime()
        self.order.begin_era(revision, now)
        if not self.revision:
            return
        self.outage_ended_at = now
        for handler in self.on_era_begun:
            handler(era_of(revision))

    def apply_due_changes(self, now: float) -> None:
        """Apply what has become of records that nobody has written again in time.

        Followers do the same by themselves.
        """
        if not self.order.is_pending:
            return
        if self.order.is_restoring:
            self.remove_lapsed_records(now)
        for change in self.order.release_due(now):
            self.use_change(change)
            self.notify_lapsed(change.key, "older value used")

    def remove_lapsed_records(self, now: float) -> None:
        """Remove the records of an earlier era that nobody has written again in time.

        Their writers may only have been unable to write.
        """
        lapsed = [
            record
            for record in self.records.values()
            if self.order.has_lapsed(record, self.revision, now)
        ]
        for record in lapsed:
            removal = Change(record.key, None, record.revision)
            self.remove_record(removal, maybe_expired=False, may_return=True)
            self.notify_lapsed(record.key, "removed")

    def notify_lapsed(self, key: str, reason: str) -> None:
        """Notify listeners of what became of a record that was not written again."""
        for handler in self.on_record_lapsed:
            handler(key, reason)

    def apply_changes(self, changes: Iterable[Change], revision: Revision) -> None:
        """Apply the changes up to ``revision``.

        The replica includes all changes up to its own revision. A source that is
        behind replays some of them, and a record that has been removed since would
        be in use again.
        """
        self.begin_era_of(revision)
        known_revision = self.revision
        for change in effective_changes(changes, self.order.rules):
            if change.revision > known_revision:
                self.apply_change(change)
        self.advance_to(revision)
        self.apply_due_changes(boottime())

    def apply_change(self, change: Change) -> None:
        """Apply one change unless a newer one of its key was applied.

        A value may be held back, or one of a new era only confirm the known one.
        """
        record = self.records.get(change.key)
        applied_revision = self.deletion_revisions.get(change.key, Revision(0))
        applied_revision = applied_revision if record is None else record.revision
        if change.revision <= applied_revision:
            return
        self.note_recent_change(change)
        if applied_revision:
            now = boottime()
            verdict = self.order.judge(change, record, applied_revision, now)
            if verdict in (Verdict.HOLD_COPY, Verdict.HOLD_LATE):
                self.hold_change(change, verdict, now)
                return
            if verdict is Verdict.ADOPT and record is not None:
                self.order.held.pop(change.key, None)
                self.records[change.key] = replace(record, revision=change.revision)
                return
        self.use_change(change)

    def hold_change(self, change: Change, verdict: Verdict, now: float) -> None:
        """Hold a change back, which may have been seen before in another listing."""
        held = self.order.held.get(change.key)
        if held is not None and held.change.revision >= change.revision:
            return
        self.order.hold(change, verdict, now)
        for handler in self.on_record_held:
            handler(change, verdict)

    def use_change(self, change: Change) -> None:
        """Apply a change, whatever was known of its key."""
        maybe_expired = boottime() - self.outage_ended_at < MIN_OUTAGE_S
        if change.value is None:
            self.remove_record(
                change, maybe_expired=maybe_expired, may_return=maybe_expired
            )
            return
        self.order.record_use(change)
        self.deletion_revisions.pop(change.key, None)
        self.records[change.key] = KeyValue(change.key, change.value, change.revision)
        self.listener.record_changed(
            change.key, change.value, maybe_expired=maybe_expired
        )

    def note_recent_change(self, change: Change) -> None:
        """Keep a change for followers that lack it."""
        if len(self.recent_changes) == self.recent_changes.maxlen:
            self.recent_changes_after = self.recent_changes[0].revision
        self.recent_changes.append(change)

    def remove_record(
        self, removal: Change, *, maybe_expired: bool, may_return: bool
    ) -> None:
        """Remove a record, which may never have been seen.

        ``may_return`` states that its writer may live on and write it again.
        """
        record = self.records.pop(removal.key, None)
        self.deletion_revisions[removal.key] = removal.revision
        self.order.record_removal(
            removal, record, boottime(), may_have_expired=may_return
        )
        if record is None:
            for handler in self.on_unseen_record_deleted:
                handler(removal.key)
            return
        self.listener.record_changed(removal.key, None, maybe_expired=maybe_expired)

    def update_after(self, revision: Revision, now: float) -> FeedUpdate:
        """Return the records that a follower at ``revision`` lacks."""
        age_s = self.age_s(now)
        if revision < self.recent_changes_after:
            records = self.records.values()
            changes = (
                *(Change(one.key, one.value, one.revision) for one in records),
                *self.order.held_changes(),
            )
            return FeedUpdate(
                True,
                changes,
                self.revision,
                age_s,
                now - self.outage_ended_at,
                self.hops,
                self.proof_age_s(now),
                is_store_failing=self.is_store_failing,
            )
        newer_changes = effective_changes(
            (change for change in self.recent_changes if change.revision > revision),
            self.order.rules,
        )
        return FeedUpdate(
            False,
            newer_changes,
            self.revision,
            age_s,
            now - self.outage_ended_at,
            self.hops,
            self.proof_age_s(now),
            is_store_failing=self.is_store_failing,
        )

    def apply_update(self, update: FeedUpdate, now: float) -> None:
        """Apply an update from the replica of another entry."""
        is_current = update.revision >= self.revision
        if is_current:
            current_at = now - update.age_s
            self.confirm(current_at, now, outage_ended_s=update.outage_ended_s)
            self.set_store_failing(is_failing=update.is_store_failing)
        if update.is_snapshot:
            if is_current:
                items = [
                    KeyValue(change.key, change.value, change.revision)
                    for change in update.changes
                    if change.value is not None
                ]
                self.replace(items, update.revision)
        else:
            self.apply_changes(update.changes, update.revision)


def effective_changes(
    changes: Iterable[Change], rules: RecordRules
) -> tuple[Change, ...]:
    """Return the changes that may decide what is in use, ordered by revision.

    A value that is already replaced need not be sent or decoded: configurations may
    follow each other faster than a small VM decodes them. Where a write may be late,
    the last change of a key need not be the one that counts, and all of them remain.
    """
    newest: dict[str, Change] = {}
    ordered: list[Change] = []
    for change in changes:
        if rules.find(change.key).late_write_s:
            ordered.append(change)
            continue
        known = newest.get(change.key)
        if known is None or known.revision < change.revision:
            newest[change.key] = change
    effective = (*newest.values(), *ordered)
    return tuple(sorted(effective, key=lambda change: change.revision))


class StoreFeed(BackgroundTask):
    """Keeps a replica up to date from the store.

    ``recall`` is asked once, before the first listing of a store that may have come
    back from a copy is used.
    """

    def __init__(
        self,
        store: Store,
        replica: RecordReplica,
        events: EventLog,
        *,
        should_follow: Callable[[], bool] = lambda: True,
        needs_short_watch: Callable[[], bool] = lambda: False,
        recall: Recall | None = None,
    ) -> None:
        super().__init__(events)
        self.recall = recall
        self.needs_short_watch = needs_short_watch
        self.store = store
        self.replica = replica
        self.should_follow = should_follow
        self.has_listing = False
        self.is_failing = False
        self.retry_s = INITIAL_RETRY_S

    async def run(self) -> None:
        """Follow the store until cancelled; failures are retried."""
        while True:
            try:
                if not self.should_follow() and self.replica.confirmed_at > 0:
                    self.is_failing = False
                    await asyncio.sleep(STANDBY_CHECK_INTERVAL_S)
                    continue
                started_at = boottime()
                await self.poll_once()
                self.replica.set_hops(0)
                self.is_failing, self.retry_s = False, INITIAL_RETRY_S
                await asyncio.sleep(
                    max(0.0, MIN_WATCH_INTERVAL_S - (boottime() - started_at))
                )
            except StoreHistoryLost:
                self.has_listing = False
            except Exception as error:
                # An unexpected response must not end the feed.
                self.record_failure(error)
                await asyncio.sleep(self.retry_s * random.uniform(0.5, 1.0))
                self.retry_s = min(MAX_RETRY_S, 2 * self.retry_s)

    async def poll_once(self) -> None:
        """Make one call of the store and apply its response, or load all records."""
        if not self.has_listing:
            await self.load()
            return
        sent_at = boottime()
        wait_s = SHORT_WATCH_WAIT_S if self.needs_short_watch() else WATCH_WAIT_S
        changes = await self.store.watch("", self.replica.revision, wait_s=wait_s)
        self.replica.confirm(
            max(sent_at, boottime() - MIN_WATCH_INTERVAL_S), boottime()
        )
        self.replica.apply_changes(changes.changes, changes.revision)
        self.replica.prove(sent_at)

    async def load(self) -> None:
        """Replace the replica by the present records.

        In a large fleet most calls of the store are the pages that each entry reads
        when it starts. Stale pages cost a fraction of a current one; the changes since
        then are applied first, so that no outdated record is ever used.
        """
        sent_at = boottime()
        changes: Changes | None = None
        if not self.replica.revision:
            listing, changes = await self.read_stale()
        if changes is None:
            sent_at = boottime()
            listing = await self.store.list("")
        if self.recall is not None and not self.replica.revision:
            await self.recall_past(self.recall, listing, changes)
        self.replica.confirm(sent_at, boottime())
        if changes is not None:
            self.replica.apply_changes(changes.changes, changes.revision)
        self.replica.replace(listing.items, listing.revision)
        self.replica.prove(sent_at)
        self.has_listing = True
        self.events.emit(
            Code.FEED_LOADED,
            era=self.replica.era,
            revision=counter_of(self.replica.revision),
            records=len(self.replica.records),
            held=len(self.replica.order.held),
            is_stale=changes is not None,
        )

    async def recall_past(
        self, recall: Recall, listing: Listing, changes: Changes | None
    ) -> None:
        """Take over what other entries knew before the store came back from a copy."""
        if era_of(listing.revision) <= FIRST_ERA:
            return
        records = {item.key: item.value for item in listing.items}
        for change in () if changes is None else changes.changes:
            records.pop(change.key, None)
            if change.value is not None:
                records[change.key] = change.value
        update = await recall(records)
        self.replica.lacks_past = update is None
        if update is not None:
            self.replica.apply_update(update, boottime())

    async def read_stale(self) -> tuple[Listing, Changes | None]:
        """Return a stale listing and the changes since then, None if they are lost."""
        listing = await self.store.list("", allow_stale=True)
        try:
            return listing, await self.store.watch("", listing.revision, wait_s=0.0)
        except StoreHistoryLost:
            return listing, None

    def record_failure(self, error: Exception) -> None:
        """Record a failure; log only the first of consecutive ones."""
        self.replica.record_store_failure(boottime())
        if not self.is_failing:
            self.is_failing = True
            self.events.emit(
                Code.FEED_FAILED,
                level=logging.WARNING,
                error=type(error).__name__,
                detail=error,
                era=self.replica.era,
                revision=counter_of(self.replica.revision),
                age_s=round(self.replica.age_s(boottime()), 3),
            )
