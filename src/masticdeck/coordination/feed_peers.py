"""Copies of the platform's records passed between entries.

Only ``WATCHERS_PER_REGION`` entries of a region follow the store; the others
follow one of them, so that the store's load does not grow with the fleet. An
entry that loses its source takes another one, outside the zone of the one that
failed: a watcher of its region first, then one of another region, then any entry.
The same way serves a watcher that the store turns away.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from typing import TYPE_CHECKING

import xxhash
from grpclib.client import Channel

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.feed import FeedUpdate, RecordReplica, StoreFeed
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, RegionId, Revision, ZoneId
from masticdeck.protocol.generated.feed_grpc import FeedBase, FeedStub
from masticdeck.protocol.generated.feed_pb2 import (
    FeedPartMessage,
    FeedRecord,
    FeedRequest,
)
from masticdeck.protocol.store import Change
from masticdeck.state.fleet import Fleet, FleetEntry

if TYPE_CHECKING:
    from grpclib.server import Stream

WATCHERS_PER_REGION = 2
"""Entries of a region that follow the store: one may fail unnoticed."""

FAILED_ZONE_AVOIDANCE_S = 5.0
"""Time in seconds for which a zone in which a source failed is avoided."""

KEEPALIVE_INTERVAL_S = 0.3
"""Seconds between parts of a stream when nothing changes."""

SILENCE_TIMEOUT_S = 0.9
"""Silence after which a follower takes another source: three parts lost."""

CHECK_INTERVAL_S = 0.2
"""Seconds between checks whether another entry's copy is needed."""

MAX_REPLICA_AGE_S = 2.0
"""Age of a copy from which another source is tried, the store included."""


class WatcherSelector:
    """Decides which entries follow the store themselves.

    Every entry ranks those of its region by a hash, so that all that know the
    same entries choose the same watchers without asking.
    """

    def __init__(self, fleet: Fleet, own_entry: FleetEntry) -> None:
        self.fleet = fleet
        self.own_entry = own_entry

    def in_own_region(self) -> list[EntryId]:
        """Return the watchers of this entry's region, the first one first."""
        return self.in_region(self.fleet.region_of[self.own_entry.zone])

    def in_region(self, region: RegionId) -> list[EntryId]:
        """Return the watchers of a region, in different zones if it has some."""
        region_of = self.fleet.region_of
        zones = {
            one.id: one.zone
            for one in self.fleet.entries.values()
            if region_of.get(one.zone) == region
        }
        if region_of[self.own_entry.zone] == region:
            zones[self.own_entry.id] = self.own_entry.zone
        ranked = sorted(zones, key=lambda one: xxhash.xxh64_intdigest(one.encode()))
        first = ranked[:1]
        elsewhere = [one for one in ranked if zones[one] != zones[ranked[0]]]
        return first + (elsewhere or ranked[1:])[: WATCHERS_PER_REGION - 1]

    def in_other_regions(self) -> set[EntryId]:
        """Return the watchers of all regions but this entry's."""
        own = self.fleet.region_of[self.own_entry.zone]
        regions = set(self.fleet.region_of.values()) - {own}
        return {one for region in regions for one in self.in_region(region)}

    def should_follow_store(self, replica: RecordReplica) -> bool:
        """Return whether this entry follows the store.

        One whose copy has grown old does so too: its sources may all be cut off.
        """
        if replica.age_s(boottime()) > MAX_REPLICA_AGE_S:
            return True
        return self.own_entry.id in self.in_own_region()


class FeedService(FeedBase):
    """Sends this entry's copy to those that follow it."""

    def __init__(self, replica: RecordReplica) -> None:
        self.replica = replica

    async def Follow(  # noqa: N802
        self, stream: Stream[FeedRequest, FeedPartMessage]
    ) -> None:
        """Send parts until the follower leaves."""
        request = await stream.recv_message()
        sent = Revision(0 if request is None else request.revision)
        while True:
            part = self.replica.update_after(sent, boottime())
            await stream.send_message(encode_update(part))
            sent = part.revision
            await self.replica.wait_newer(sent, KEEPALIVE_INTERVAL_S)


class PeerFeed(BackgroundTask):
    """Follows another entry's copy while this entry does not follow the store."""

    def __init__(
        self,
        replica: RecordReplica,
        store_feed: StoreFeed,
        watchers: WatcherSelector,
        events: EventLog,
        *,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self.replica = replica
        self.store_feed = store_feed
        self.watchers = watchers
        self.events = events
        self.random = random.Random(seed)
        self.last_source: EntryId | None = None
        self.zone_failed_at: dict[ZoneId, float] = {}

    async def run(self) -> None:
        """Follow one source after the other while that is needed."""
        while True:
            source = self.choose_source() if self.is_needed() else None
            if source is not None:
                await self.follow(source)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def is_needed(self) -> bool:
        """Return whether the store does not serve this entry itself."""
        return self.store_feed.is_failing or not self.store_feed.should_follow()

    def choose_source(self) -> FleetEntry | None:
        """Return one of the best sources, away from those that have just failed."""
        others = [
            one
            for one in self.watchers.fleet.entries.values()
            if one.id != self.watchers.own_entry.id
        ]
        if not others:
            return None
        near = set(self.watchers.in_own_region())
        far = self.watchers.in_other_regions()
        ranks = {one.id: self.rank(one, near, far) for one in others}
        best = min(ranks.values())
        return self.random.choice([one for one in others if ranks[one.id] == best])

    def rank(
        self, source: FleetEntry, near: set[EntryId], far: set[EntryId]
    ) -> tuple[bool, bool, int]:
        """Return the rank of a source: lower ones are followed first."""
        failed_at = self.zone_failed_at.get(source.zone, float("-inf"))
        distrusted = boottime() - failed_at < FAILED_ZONE_AVOIDANCE_S
        watches = 0 if source.id in near else 1 if source.id in far else 2
        return distrusted, source.id == self.last_source, watches

    async def follow(self, source: FleetEntry) -> None:
        """Follow one source until it fails or is no longer needed."""
        self.last_source = source.id
        channel = Channel(source.peer_host, source.peer_port)
        self.events.emit(
            Code.FEED_FOLLOWING, source=source.id, revision=self.replica.revision
        )
        try:
            await self.receive(channel)
        except Exception as error:
            # Whatever a source does wrong, another one has to be tried.
            self.events.emit(
                Code.FEED_FAILED,
                level=logging.WARNING,
                source=source.id,
                error=type(error).__name__,
                detail=error,
                revision=self.replica.revision,
                age_s=round(self.replica.age_s(boottime()), 3),
            )
        finally:
            channel.close()
        if self.is_needed():
            self.zone_failed_at[source.zone] = boottime()

    async def receive(self, channel: Channel) -> None:
        """Take in the parts of one stream."""
        async with FeedStub(channel).Follow.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await stream.send_message(
                    FeedRequest(revision=self.replica.revision), end=True
                )
            while self.is_needed():
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    message = await stream.recv_message()
                if message is None:
                    break
                part = decode_update(message)
                self.replica.apply_update(part, boottime())
                if part.age_s > MAX_REPLICA_AGE_S:
                    break
            # Without it the end of the block waits for the sender's end.
            await stream.cancel()


def encode_update(update: FeedUpdate) -> FeedPartMessage:
    """Return the message of a part."""
    records = [
        FeedRecord(
            key=one.key,
            value=b"" if one.value is None else one.value,
            revision=one.revision,
            deleted=one.value is None,
        )
        for one in update.changes
    ]
    return FeedPartMessage(
        whole=update.is_snapshot,
        records=records,
        revision=update.revision,
        age_ms=round(min(update.age_s, 1e6) * 1000),
        outage_ended_ms=encode_outage_age_ms(update.outage_ended_s),
    )


def encode_outage_age_ms(seconds: float) -> int:
    """Return the time since an outage in milliseconds, 0 when there was none."""
    return 0 if seconds == math.inf else max(1, round(min(seconds, 1e6) * 1000))


def decode_update(message: FeedPartMessage) -> FeedUpdate:
    """Return the part of a message."""
    changes = tuple(
        Change(one.key, None if one.deleted else one.value, Revision(one.revision))
        for one in message.records
    )
    return FeedUpdate(
        message.whole,
        changes,
        Revision(message.revision),
        message.age_ms / 1000,
        message.outage_ended_ms / 1000 or math.inf,
    )
