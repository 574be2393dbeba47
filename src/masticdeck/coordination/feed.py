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

PACE_S = 0.4
"""Least seconds between two answers of a watch, so that changes are batched."""

RETRY_S = 0.3
"""Seconds before the second attempt while the store does not answer."""

MOST_RETRY_S = 2.4
"""Longest wait between attempts; each doubles the one before."""

UNWANTED_CHECK_S = 0.2
"""Seconds between checks of an entry that leaves following to others."""

OUTAGE_S = 2.5
"""Time without an answer of the store after which records may have lapsed."""

KEPT_CHANGES = 2_000
"""Latest changes kept for other entries, before they need a full copy."""


class FeedListener(Protocol):
    """What is told of records."""

    def record_changed(self, key: str, value: bytes | None, *, lapsed: bool) -> None:
        """Take a new value, None for a deleted key.

        ``lapsed`` tells that the deletion may come from the store's absence.
        """


@final
@dataclass(frozen=True, slots=True)
class FeedPart:
    """Records for another entry: all of them, or the changes it lacks.

    ``age_s`` is how long ago the sender last heard from the store, and
    ``outage_ended_s`` how long ago it saw an outage of the store end.
    """

    whole: bool
    changes: tuple[Change, ...]
    revision: Revision
    age_s: float
    outage_ended_s: float = math.inf


class RecordCopy:
    """A copy of the platform's records by key, each at its newest revision.

    Without contact for ``OUTAGE_S`` the copy has seen an outage of the store only
    if calls of the store failed meanwhile, here or at the source of the copy. An
    entry that has merely lost its source takes removed records for removed.
    """

    def __init__(self, listener: FeedListener) -> None:
        self.listener = listener
        self.items: dict[str, KeyValue] = {}
        self.deleted: dict[str, Revision] = {}
        self.revision = Revision(0)
        self.recent: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.recent_from = Revision(0)
        self.confirmed_at = float("-inf")
        self.store_failed_at = float("-inf")
        self.restored_at = float("-inf")
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

    def advance(self, revision: Revision) -> None:
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

    def note_store_failure(self, now: float) -> None:
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
        if OUTAGE_S < now - self.confirmed_at < math.inf:
            if self.store_failed_at > self.confirmed_at:
                self.restored_at = now
            elif outage_ended_s < OUTAGE_S:
                self.restored_at = now - outage_ended_s
        self.confirmed_at = at

    def replace(self, items: Iterable[KeyValue], revision: Revision) -> None:
        """Take a full listing that was current at ``revision``."""
        listed = {item.key: item for item in items}
        missing = [
            key
            for key, item in self.items.items()
            if key not in listed and item.revision <= revision
        ]
        for key in missing:
            self.apply(Change(key, None, revision))
        for item in listed.values():
            self.apply(Change(item.key, item.value, item.revision))
        self.advance(revision)
        self.recent.clear()
        self.recent_from = self.revision

    def extend(self, changes: Iterable[Change], revision: Revision) -> None:
        """Take the changes up to ``revision``."""
        for change in changes:
            self.apply(change)
        self.advance(revision)

    def apply(self, change: Change) -> None:
        """Take one change unless a newer one of its key is known."""
        known = self.items.get(change.key)
        seen = self.deleted.get(change.key, Revision(0))
        seen = seen if known is None else known.revision
        if change.revision <= seen:
            return
        if len(self.recent) == self.recent.maxlen:
            self.recent_from = self.recent[0].revision
        self.recent.append(change)
        if change.value is None:
            self.deleted[change.key] = change.revision
            if self.items.pop(change.key, None) is None:
                return
        else:
            self.deleted.pop(change.key, None)
            self.items[change.key] = KeyValue(change.key, change.value, change.revision)
        lapsed = boottime() - self.restored_at < OUTAGE_S
        self.listener.record_changed(change.key, change.value, lapsed=lapsed)

    def part_after(self, revision: Revision, now: float) -> FeedPart:
        """Return what another entry that stands at ``revision`` lacks."""
        age = self.age_s(now)
        if revision < self.recent_from:
            items = self.items.values()
            changes = tuple(Change(one.key, one.value, one.revision) for one in items)
            return FeedPart(True, changes, self.revision, age, now - self.restored_at)
        newer = tuple(one for one in self.recent if one.revision > revision)
        return FeedPart(False, newer, self.revision, age, now - self.restored_at)

    def take_part(self, part: FeedPart, now: float) -> None:
        """Take records from another entry's copy."""
        current = part.revision >= self.revision
        if current:
            at = now - part.age_s
            self.confirm(at, now, outage_ended_s=part.outage_ended_s)
        if part.whole:
            if current:
                items = [
                    KeyValue(one.key, one.value, one.revision)
                    for one in part.changes
                    if one.value is not None
                ]
                self.replace(items, part.revision)
        else:
            self.extend(part.changes, part.revision)


class StoreFeed(BackgroundTask):
    """Follows the store itself."""

    def __init__(
        self,
        store: Store,
        copy: RecordCopy,
        events: EventLog,
        *,
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.store = store
        self.copy = copy
        self.events = events
        self.wanted = wanted
        self.listed = False
        self.failing = False
        self.retry_s = RETRY_S

    async def run(self) -> None:
        """Follow for as long as the process runs, through every failure."""
        while True:
            try:
                if not self.wanted() and self.copy.confirmed_at > 0:
                    self.failing = False
                    await asyncio.sleep(UNWANTED_CHECK_S)
                    continue
                began = boottime()
                await self.step()
                self.failing, self.retry_s = False, RETRY_S
                await asyncio.sleep(max(0.0, PACE_S - (boottime() - began)))
            except StoreHistoryLost:
                self.listed = False
            except Exception as error:
                # The feed outlives every answer, also one that nobody foresaw.
                self.note_failure(error)
                await asyncio.sleep(self.retry_s * random.uniform(0.5, 1.0))
                self.retry_s = min(MOST_RETRY_S, 2 * self.retry_s)

    async def step(self) -> None:
        """Make one call and take in its answer."""
        sent = boottime()
        if not self.listed:
            listing = await self.store.list("")
            self.copy.confirm(sent, boottime())
            self.copy.replace(listing.items, listing.revision)
            self.listed = True
            self.events.emit(
                Code.FEED_LOADED, revision=listing.revision, records=len(listing.items)
            )
            return
        changes = await self.store.watch("", self.copy.revision, wait_s=WATCH_WAIT_S)
        self.copy.confirm(max(sent, boottime() - PACE_S), boottime())
        self.copy.extend(changes.changes, changes.revision)

    def note_failure(self, error: Exception) -> None:
        """Record a failure, and log the first one in a row."""
        self.copy.note_store_failure(boottime())
        if not self.failing:
            self.failing = True
            self.events.emit(
                Code.FEED_FAILED,
                level=logging.WARNING,
                error=type(error).__name__,
                detail=error,
                revision=self.copy.revision,
                age_s=round(self.copy.age_s(boottime()), 3),
            )
