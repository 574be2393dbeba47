"""Keeps this process's copy of the platform's records up to date.

One listing and one watch over all keys serve everything, so that the number of
calls does not grow with what is watched. Each record has a revision; a late or
repeated change never replaces a newer one. Another entry's copy serves when
the store turns this entry away.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, final

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.errors import StoreHistoryLost
from masticdeck.events import Code, EventLog
from masticdeck.ids import Revision
from masticdeck.protocol.store import Change, KeyValue, Store

WATCH_WAIT_S = 1.2
"""Longest wait of a watch, so that the age of the copy stays below two seconds."""

MIN_WATCH_INTERVAL_S = 0.4
"""Least seconds between two answers of a watch, so that changes are batched."""

INITIAL_RETRY_S = 0.3
"""Seconds before the second attempt while the store does not answer."""

MAX_RETRY_S = 2.4
"""Longest wait between attempts; each doubles the one before."""

STANDBY_CHECK_INTERVAL_S = 0.2
"""Seconds between checks of an entry that leaves following to others."""

MIN_OUTAGE_S = 2.5
"""Time without an answer of the store after which records may have lapsed."""

MAX_RECENT_CHANGES = 2_000
"""Latest changes kept for other entries, before they need a full copy."""


class FeedListener(Protocol):
    """What is told of records."""

    def record_changed(
        self, key: str, value: bytes | None, *, maybe_expired: bool
    ) -> None:
        """Take a new value, None for a deleted key.

        ``lapsed`` tells that the deletion may come from the store's absence.
        """


@final
@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """Records for another entry: all of them, or the changes it lacks.

    ``age_s`` is how long ago the sender last heard from the store, and
    ``outage_ended_s`` how long ago it saw an outage of the store end.
    """

    is_snapshot: bool
    changes: tuple[Change, ...]
    revision: Revision
    age_s: float
    outage_ended_s: float = math.inf


class RecordReplica:
    """A copy of the platform's records by key, each at its newest revision.

    Without contact for ``MIN_OUTAGE_S`` the copy has seen an outage of the store only
    if calls of the store failed meanwhile, here or at the source of the copy. An
    entry that has merely lost its source takes removed records for removed.
    """

    def __init__(self, listener: FeedListener) -> None:
        self.listener = listener
        self.records: dict[str, KeyValue] = {}
        self.deletion_revisions: dict[str, Revision] = {}
        self.revision = Revision(0)
        self.recent_changes: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)
        self.recent_changes_after = Revision(0)
        self.confirmed_at = float("-inf")
        self.store_failed_at = float("-inf")
        self.outage_ended_at = float("-inf")
        self.waiters: set[asyncio.Future[None]] = set()

    async def wait_newer(self, revision: Revision, timeout_s: float) -> None:
        """Return when the copy is newer than ``revision``, or after a time."""
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
        """Note that the copy has every change up to ``revision``."""
        if revision <= self.revision:
            return
        self.revision = revision
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    def age_s(self, now: float) -> float:
        """Return the seconds since the copy was last known to be current."""
        return now - self.confirmed_at

    def record_store_failure(self, now: float) -> None:
        """Note that a call of the store failed."""
        self.store_failed_at = now

    def confirm(
        self, at: float, now: float, *, outage_ended_s: float = math.inf
    ) -> None:
        """Note that the copy was current at boot time ``at``.

        ``outage_ended_s`` is how long ago its source saw an outage end.
        """
        if at <= self.confirmed_at:
            return
        if MIN_OUTAGE_S < now - self.confirmed_at < math.inf:
            if self.store_failed_at > self.confirmed_at:
                self.outage_ended_at = now
            elif outage_ended_s < MIN_OUTAGE_S:
                self.outage_ended_at = now - outage_ended_s
        self.confirmed_at = at

    def replace(self, items: Iterable[KeyValue], revision: Revision) -> None:
        """Take a full listing that was current at ``revision``."""
        listed = {item.key: item for item in items}
        missing = [
            key
            for key, item in self.records.items()
            if key not in listed and item.revision <= revision
        ]
        for key in missing:
            self.apply_change(Change(key, None, revision))
        for item in listed.values():
            self.apply_change(Change(item.key, item.value, item.revision))
        self.advance_to(revision)
        self.recent_changes.clear()
        self.recent_changes_after = self.revision

    def apply_changes(self, changes: Iterable[Change], revision: Revision) -> None:
        """Take the changes up to ``revision``."""
        for change in changes:
            self.apply_change(change)
        self.advance_to(revision)

    def apply_change(self, change: Change) -> None:
        """Take one change unless a newer one of its key is known."""
        known = self.records.get(change.key)
        seen = self.deletion_revisions.get(change.key, Revision(0))
        seen = seen if known is None else known.revision
        if change.revision <= seen:
            return
        if len(self.recent_changes) == self.recent_changes.maxlen:
            self.recent_changes_after = self.recent_changes[0].revision
        self.recent_changes.append(change)
        if change.value is None:
            self.deletion_revisions[change.key] = change.revision
            if self.records.pop(change.key, None) is None:
                return
        else:
            self.deletion_revisions.pop(change.key, None)
            self.records[change.key] = KeyValue(
                change.key, change.value, change.revision
            )
        lapsed = boottime() - self.outage_ended_at < MIN_OUTAGE_S
        self.listener.record_changed(change.key, change.value, maybe_expired=lapsed)

    def update_after(self, revision: Revision, now: float) -> FeedUpdate:
        """Return what another entry that stands at ``revision`` lacks."""
        age = self.age_s(now)
        if revision < self.recent_changes_after:
            items = self.records.values()
            changes = tuple(Change(one.key, one.value, one.revision) for one in items)
            return FeedUpdate(
                True, changes, self.revision, age, now - self.outage_ended_at
            )
        newer = tuple(one for one in self.recent_changes if one.revision > revision)
        return FeedUpdate(False, newer, self.revision, age, now - self.outage_ended_at)

    def apply_update(self, update: FeedUpdate, now: float) -> None:
        """Take records from another entry's copy."""
        current = update.revision >= self.revision
        if current:
            at = now - update.age_s
            self.confirm(at, now, outage_ended_s=update.outage_ended_s)
        if update.is_snapshot:
            if current:
                items = [
                    KeyValue(one.key, one.value, one.revision)
                    for one in update.changes
                    if one.value is not None
                ]
                self.replace(items, update.revision)
        else:
            self.apply_changes(update.changes, update.revision)


class StoreFeed(BackgroundTask):
    """Follows the store itself."""

    def __init__(
        self,
        store: Store,
        replica: RecordReplica,
        events: EventLog,
        *,
        should_follow: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.store = store
        self.replica = replica
        self.events = events
        self.should_follow = should_follow
        self.has_listing = False
        self.is_failing = False
        self.retry_s = INITIAL_RETRY_S

    async def run(self) -> None:
        """Follow for as long as the process runs, through every failure."""
        while True:
            try:
                if not self.should_follow() and self.replica.confirmed_at > 0:
                    self.is_failing = False
                    await asyncio.sleep(STANDBY_CHECK_INTERVAL_S)
                    continue
                began = boottime()
                await self.poll_once()
                self.is_failing, self.retry_s = False, INITIAL_RETRY_S
                await asyncio.sleep(
                    max(0.0, MIN_WATCH_INTERVAL_S - (boottime() - began))
                )
            except StoreHistoryLost:
                self.has_listing = False
            except Exception as error:
                # The feed outlives every answer, also one that nobody foresaw.
                self.record_failure(error)
                await asyncio.sleep(self.retry_s * random.uniform(0.5, 1.0))
                self.retry_s = min(MAX_RETRY_S, 2 * self.retry_s)

    async def poll_once(self) -> None:
        """Make one call and take in its answer."""
        sent = boottime()
        if not self.has_listing:
            listing = await self.store.list("")
            self.replica.confirm(sent, boottime())
            self.replica.replace(listing.items, listing.revision)
            self.has_listing = True
            self.events.emit(
                Code.FEED_LOADED, revision=listing.revision, records=len(listing.items)
            )
            return
        changes = await self.store.watch("", self.replica.revision, wait_s=WATCH_WAIT_S)
        self.replica.confirm(max(sent, boottime() - MIN_WATCH_INTERVAL_S), boottime())
        self.replica.apply_changes(changes.changes, changes.revision)

    def record_failure(self, error: Exception) -> None:
        """Record a failure, and log the first one in a row."""
        self.replica.record_store_failure(boottime())
        if not self.is_failing:
            self.is_failing = True
            self.events.emit(
                Code.FEED_FAILED,
                level=logging.WARNING,
                error=type(error).__name__,
                detail=error,
                revision=self.replica.revision,
                age_s=round(self.replica.age_s(boottime()), 3),
            )
