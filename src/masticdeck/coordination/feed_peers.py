"""Replicates the platform's records between entries.

Only ``WATCHERS_PER_REGION`` entries of a region, its watchers, follow the store;
the others follow the replica of another entry, so that the load of the store does
not grow with the fleet. An entry whose source fails chooses another one, outside
the zone of the failed one if possible: a watcher of its region first, then a
watcher of another region, then any entry. A watcher that the store rejects does
the same.
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
"""Entries of a region that follow the store; one of them may fail."""

FAILED_ZONE_AVOIDANCE_S = 5.0
"""Time for which sources in the zone of a failed source are avoided."""

KEEPALIVE_INTERVAL_S = 0.3
"""Seconds between updates of a stream when nothing changes."""

SILENCE_TIMEOUT_S = 0.9
"""Time without an update after which a follower changes its source: three lost."""

CHECK_INTERVAL_S = 0.2
"""Seconds between checks whether another entry has to be followed."""

MAX_REPLICA_AGE_S = 2.0
"""Age of a replica above which another source is tried, including the store."""


class WatcherSelector:
    """Selects the watchers: the entries that follow the store themselves.

    Every entry ranks the entries of a region by a hash, so that entries with the
    same view select the same watchers without coordination.
    """

    def __init__(self, fleet: Fleet, own_entry: FleetEntry) -> None:
        self.fleet = fleet
        self.own_entry = own_entry

    def in_own_region(self) -> list[EntryId]:
        """Return the watchers of this entry's region, by rank."""
        return self.in_region(self.fleet.region_of[self.own_entry.zone])

    def in_region(self, region: RegionId) -> list[EntryId]:
        """Return the watchers of a region, in different zones if possible."""
        region_of = self.fleet.region_of
        zone_of = {
            entry.id: entry.zone
            for entry in self.fleet.entries.values()
            if region_of.get(entry.zone) == region
        }
        if region_of[self.own_entry.zone] == region:
            zone_of[self.own_entry.id] = self.own_entry.zone
        ranked_ids = sorted(
            zone_of, key=lambda entry_id: xxhash.xxh64_intdigest(entry_id.encode())
        )
        first_ids = ranked_ids[:1]
        in_other_zones = [
            entry_id
            for entry_id in ranked_ids
            if zone_of[entry_id] != zone_of[ranked_ids[0]]
        ]
        return first_ids + (in_other_zones or ranked_ids[1:])[: WATCHERS_PER_REGION - 1]

    def in_other_regions(self) -> set[EntryId]:
        """Return the watchers of all other regions."""
        own_region = self.fleet.region_of[self.own_entry.zone]
        regions = set(self.fleet.region_of.values()) - {own_region}
        return {entry_id for region in regions for entry_id in self.in_region(region)}

    def should_follow_store(self, replica: RecordReplica) -> bool:
        """Return whether this entry has to follow the store.

        An entry with an outdated replica also does, because all its sources may be
        cut off from the store.
        """
        if replica.age_s(boottime()) > MAX_REPLICA_AGE_S:
            return True
        return self.own_entry.id in self.in_own_region()


class FeedService(FeedBase):
    """Streams this entry's replica to its followers."""

    def __init__(self, replica: RecordReplica) -> None:
        self.replica = replica

    async def Follow(  # noqa: N802
        self, stream: Stream[FeedRequest, FeedPartMessage]
    ) -> None:
        """Send updates until the follower ends the stream."""
        request = await stream.recv_message()
        sent_revision = Revision(0 if request is None else request.revision)
        while True:
            update = self.replica.update_after(sent_revision, boottime())
            await stream.send_message(encode_update(update))
            sent_revision = update.revision
            await self.replica.wait_newer(sent_revision, KEEPALIVE_INTERVAL_S)


class PeerFeed(BackgroundTask):
    """Follows the replica of another entry while this entry cannot use the store."""

    def __init__(
        self,
        replica: RecordReplica,
        store_feed: StoreFeed,
        watchers: WatcherSelector,
        events: EventLog,
        *,
        seed: int | None = None,
    ) -> None:
        super().__init__(events)
        self.replica = replica
        self.store_feed = store_feed
        self.watchers = watchers
        self.random = random.Random(seed)
        self.last_source: EntryId | None = None
        self.zone_failed_at: dict[ZoneId, float] = {}

    async def run(self) -> None:
        """Follow one source after another whenever one is needed."""
        while True:
            source = self.choose_source() if self.is_needed() else None
            if source is not None:
                await self.follow(source)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def is_needed(self) -> bool:
        """Return whether this entry fails to follow the store, or does not have to."""
        return self.store_feed.is_failing or not self.store_feed.should_follow()

    def choose_source(self) -> FleetEntry | None:
        """Return a random source of the best rank, None without any.

        Sources in a zone where one has just failed, and the last source, rank lower.
        """
        sources = [
            source
            for source in self.watchers.fleet.entries.values()
            if source.id != self.watchers.own_entry.id
        ]
        if not sources:
            return None
        own_watchers = set(self.watchers.in_own_region())
        other_watchers = self.watchers.in_other_regions()
        ranks = {
            source.id: self.rank(source, own_watchers, other_watchers)
            for source in sources
        }
        best_rank = min(ranks.values())
        return self.random.choice(
            [source for source in sources if ranks[source.id] == best_rank]
        )

    def rank(
        self,
        source: FleetEntry,
        own_watchers: set[EntryId],
        other_watchers: set[EntryId],
    ) -> tuple[bool, bool, int]:
        """Return the rank of a source; the lowest one is followed first."""
        failed_at = self.zone_failed_at.get(source.zone, float("-inf"))
        is_zone_avoided = boottime() - failed_at < FAILED_ZONE_AVOIDANCE_S
        source_class = (
            0 if source.id in own_watchers else 1 if source.id in other_watchers else 2
        )
        return is_zone_avoided, source.id == self.last_source, source_class

    async def follow(self, source: FleetEntry) -> None:
        """Follow a source until it fails or is no longer needed."""
        self.last_source = source.id
        channel = Channel(source.peer_host, source.peer_port)
        self.events.emit(
            Code.FEED_FOLLOWING, source=source.id, revision=self.replica.revision
        )
        try:
            await self.receive(channel)
        except Exception as error:
            # On any failure of a source, another one is tried.
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
        """Apply the updates of one stream."""
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
                update = decode_update(message)
                self.replica.apply_update(update, boottime())
                if update.age_s > MAX_REPLICA_AGE_S:
                    break
            # Otherwise the context manager would wait for the sender to end the stream.
            await stream.cancel()


def encode_update(update: FeedUpdate) -> FeedPartMessage:
    """Return the message that holds an update."""
    records = [
        FeedRecord(
            key=change.key,
            value=b"" if change.value is None else change.value,
            revision=change.revision,
            deleted=change.value is None,
        )
        for change in update.changes
    ]
    return FeedPartMessage(
        whole=update.is_snapshot,
        records=records,
        revision=update.revision,
        age_ms=round(min(update.age_s, 1e6) * 1000),
        outage_ended_ms=encode_outage_age_ms(update.outage_ended_s),
    )


def encode_outage_age_ms(ended_s: float) -> int:
    """Return the time since an outage in milliseconds, 0 without an outage."""
    return 0 if ended_s == math.inf else max(1, round(min(ended_s, 1e6) * 1000))


def decode_update(message: FeedPartMessage) -> FeedUpdate:
    """Return the update that a message holds."""
    changes = tuple(
        Change(
            record.key,
            None if record.deleted else record.value,
            Revision(record.revision),
        )
        for record in message.records
    )
    return FeedUpdate(
        message.whole,
        changes,
        Revision(message.revision),
        message.age_ms / 1000,
        message.outage_ended_ms / 1000 or math.inf,
    )
