"""Replicates the platform's records between entries.

Only the watchers of a region follow the store; every other entry follows the replica
of another one, which ``WatcherSelector`` selects. An entry whose source fails chooses
another one, outside the zone of the failed one if possible: a watcher of its region
first, then a watcher of another region, then any entry. A watcher that the store
rejects does the same. Rejected watchers may follow each other, and their followers
would get nothing new until the replicas are outdated. Therefore each update states the
number of entries between its sender and the store: in a circle it grows with every
update, and a follower leaves a source for which it is too large.

A large record is sent compressed, because a configuration with many routes would
otherwise occupy the link of a small VM for seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import zlib
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.feed import (
    MAX_REPLICA_AGE_S,
    FeedUpdate,
    RecordReplica,
    StoreFeed,
)
from masticdeck.coordination.freshness.probes import (
    PROBE_INTERVAL_S,
    ReceivedProbe,
    SentProbes,
)
from masticdeck.coordination.watcher_selector import SourceClass, WatcherSelector
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, Era, Revision, ZoneId
from masticdeck.protocol.generated.feed_grpc import FeedBase, FeedStub
from masticdeck.protocol.generated.feed_pb2 import (
    FeedPartMessage,
    FeedRecord,
    FeedRequest,
)
from masticdeck.protocol.positions import (
    NO_ERA,
    counter_of,
    era_of,
    pack_position,
    with_era,
)
from masticdeck.protocol.records import RecordInvalid
from masticdeck.protocol.store import Change
from masticdeck.state.fleet import FleetEntry

if TYPE_CHECKING:
    from grpclib.client import Stream as ClientStream
    from grpclib.server import Stream

FAILED_ZONE_AVOIDANCE_S = 5.0
"""Time for which sources in the zone of a failed source are avoided."""

KEEPALIVE_INTERVAL_S = 0.3
"""Seconds between updates of a stream when nothing changes."""

SILENCE_TIMEOUT_S = 0.9
"""Time without an update after which a follower changes its source: three lost."""

CHECK_INTERVAL_S = 0.2
"""Seconds between checks whether another entry has to be followed."""

MAX_HOPS = 6
"""Number of entries between a source and the store from which it is left.

A watcher that follows one of another region, its relay and the relay's followers need
three; two more are left for sources that are found after failures.
"""

REVIEW_INTERVAL_S = 3.0
"""Mean time after which a follower looks for a better source than its present one.

The time is randomized, so that followers do not change their source all at once.
"""

FIRST_PROOF_TIMEOUT_S = 0.9
"""Time after the start of a stream at which its source has to have proved its age."""

MAX_PROOF_AGE_S = 2.6
"""Age of the replica's proof above which another source is tried, including the store.

In calm the followers of a relay have proofs of up to 2.2 s.
"""

MIN_COMPRESSED_BYTES = 2_048
"""Size of a value from which it is sent compressed."""

COMPRESSION_LEVEL = 1
"""Level of zlib: the fastest one, which shrinks a configuration to a tenth."""

MAX_RECORD_BYTES = 16_777_216
"""Largest record that a follower decompresses."""


class FeedService(FeedBase):
    """Streams this entry's replica to its followers.

    Followers mostly lack the same changes, so these are encoded once for all.
    """

    def __init__(self, replica: RecordReplica) -> None:
        self.replica = replica
        self.encoded_for: tuple[bool, Revision, Revision, bool] | None = None
        self.encoded_records: list[FeedRecord] = []

    async def Follow(  # noqa: N802
        self, stream: Stream[FeedRequest, FeedPartMessage]
    ) -> None:
        """Send updates until the follower ends the stream."""
        request = await stream.recv_message()
        if request is None:
            return
        sent_revision = with_era(request.revision, request.era, self.replica.era)
        compress = request.accepts_compressed
        probe = ReceivedProbe()
        probe.receive(request.probe)
        reader = asyncio.create_task(read_probes(stream, probe))
        try:
            while True:
                message = self.build_message(sent_revision, probe, compress=compress)
                await stream.send_message(message)
                sent_revision = pack_position(Era(message.era), message.revision)
                await self.replica.wait_newer(sent_revision, KEEPALIVE_INTERVAL_S)
        finally:
            reader.cancel()

    def build_message(
        self, after: Revision, probe: ReceivedProbe, *, compress: bool
    ) -> FeedPartMessage:
        """Return the next message to a follower at a revision."""
        update = self.replica.update_after(after, boottime())
        update = replace(update, probe=probe.number)
        return encode_update(
            update, self.encode_records(update, after, compress=compress)
        )

    def encode_records(
        self, update: FeedUpdate, after: Revision, *, compress: bool
    ) -> list[FeedRecord]:
        """Return the encoded records of an update for a follower at ``after``.

        A record of the time before the store stated eras has no position in one.
        """
        basis = (update.is_snapshot, after, update.revision, compress)
        if self.encoded_for != basis:
            self.encoded_records = [
                encode_record(change, era_of(update.revision), compress=compress)
                for change in update.changes
                if era_of(change.revision) or not era_of(update.revision)
            ]
            self.encoded_for = basis
        return self.encoded_records


class PeerFeed(BackgroundTask):
    """Follows the replica of another entry while this entry cannot use the store."""

    def __init__(
        self,
        replica: RecordReplica,
        store_feed: StoreFeed,
        watchers: WatcherSelector,
        events: EventLog,
        *,
        needs_proof: Callable[[], bool] = lambda: False,
        conceal: Callable[[str, bytes], bytes] = lambda key, value: value,
        seed: int | None = None,
    ) -> None:
        super().__init__(events)
        self.conceal = conceal
        self.needs_proof = needs_proof
        self.replica = replica
        self.store_feed = store_feed
        self.watchers = watchers
        self.random = random.Random(seed)
        self.failed_source: EntryId | None = None
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

        Sources in a zone where one has just failed, and the last source if it failed,
        rank lower.
        """
        ranks = self.rank_sources()
        if not ranks:
            return None
        best_rank = min(ranks.values())
        return self.watchers.fleet.entries[
            self.random.choice(
                [source for source, rank in ranks.items() if rank == best_rank]
            )
        ]

    def rank_sources(self) -> dict[EntryId, tuple[bool, bool, SourceClass]]:
        """Return the rank of each source; the lowest one is followed first."""
        now = boottime()
        entries = self.watchers.fleet.entries
        return {
            source: (
                self.is_zone_avoided(entries[source].zone, now),
                source == self.failed_source,
                source_class,
            )
            for source, source_class in self.watchers.classify_sources().items()
        }

    def is_zone_avoided(self, zone: ZoneId, now: float) -> bool:
        """Return whether a source in a zone has failed recently."""
        failed_at = self.zone_failed_at.get(zone, float("-inf"))
        return now - failed_at < FAILED_ZONE_AVOIDANCE_S

    def has_better_source(self, source: EntryId) -> bool:
        """Return whether another source ranks better than the present one."""
        ranks = self.rank_sources()
        return source not in ranks or min(ranks.values()) < ranks[source]

    async def follow(self, source: FleetEntry) -> None:
        """Follow a source until it fails, is outranked or is no longer needed."""
        channel = Channel(source.peer_host, source.peer_port)
        self.events.emit(
            Code.FEED_FOLLOWING,
            source=source.id,
            era=self.replica.era,
            revision=counter_of(self.replica.revision),
        )
        is_outranked = False
        try:
            is_outranked = await self.receive(channel, source)
        except Exception as error:
            # On any failure of a source, another one is tried.
            self.events.emit(
                Code.FEED_FAILED,
                level=logging.WARNING,
                source=source.id,
                error=type(error).__name__,
                detail=error,
                era=self.replica.era,
                revision=counter_of(self.replica.revision),
                age_s=round(self.replica.age_s(boottime()), 3),
            )
        finally:
            channel.close()
        if self.is_needed() and not is_outranked:
            self.zone_failed_at[source.zone] = boottime()
            self.failed_source = source.id

    async def receive(self, channel: Channel, source: FleetEntry) -> bool:
        """Apply the updates of one stream; return whether a better source exists."""
        probes = SentProbes() if self.needs_proof() else None
        async with FeedStub(channel).Follow.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await stream.send_message(
                    FeedRequest(
                        revision=counter_of(self.replica.revision),
                        era=self.replica.era,
                        accepts_compressed=True,
                        probe=0 if probes is None else probes.add(boottime()),
                    ),
                    end=probes is None,
                )
            if probes is None:
                is_outranked = await self.receive_updates(stream, source, SentProbes())
            else:
                prober = asyncio.create_task(send_probes(stream, probes))
                try:
                    is_outranked = await self.receive_updates(stream, source, probes)
                finally:
                    prober.cancel()
            # Otherwise the context manager would wait for the sender to end the stream.
            await stream.cancel()
        return is_outranked or (probes is None and self.needs_proof())

    async def receive_updates(
        self,
        stream: ClientStream[FeedRequest, FeedPartMessage],
        source: FleetEntry,
        probes: SentProbes,
    ) -> bool:
        """Apply updates until the stream ends or has to; return as ``receive``."""
        review_at = boottime() + REVIEW_INTERVAL_S * self.random.uniform(0.5, 1.5)
        sends_probes = probes.newest > 0
        proof_due_at = boottime() + FIRST_PROOF_TIMEOUT_S
        while self.is_needed():
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                break
            update = self.apply_message(message, probes)
            if update.age_s > MAX_REPLICA_AGE_S or update.hops >= MAX_HOPS:
                break
            if era_of(update.revision) < self.replica.era:
                break
            self.replica.set_hops(update.hops + 1)
            if self.needs_proof() and not sends_probes:
                break
            if sends_probes and self.lacks_proof(proof_due_at):
                break
            if boottime() >= review_at:
                review_at = boottime() + REVIEW_INTERVAL_S
                if self.has_better_source(source.id):
                    return True
        return False

    def apply_message(self, message: FeedPartMessage, probes: SentProbes) -> FeedUpdate:
        """Apply the update that a message holds, and return it."""
        update = decode_update(message, self.replica.era)
        update = conceal_update(update, self.conceal)
        self.replica.apply_update(update, boottime())
        self.replica.prove(probes.proved_at(update.probe, update.proof_age_s))
        return update

    def lacks_proof(self, due_at: float) -> bool:
        """Return whether the proof is too old although one was due from the source.

        An entry of an older version proves nothing, nor does one that no longer reads
        probes, although both send updates.
        """
        now = boottime()
        return now >= due_at and self.replica.proof_age_s(now) > MAX_PROOF_AGE_S


def conceal_update(
    update: FeedUpdate, conceal: Callable[[str, bytes], bytes]
) -> FeedUpdate:
    """Return an update without keys, which entries of an older version send."""
    changes = tuple(
        change
        if change.value is None
        else replace(change, value=conceal(change.key, change.value))
        for change in update.changes
    )
    return replace(update, changes=changes)


async def send_probes(
    stream: ClientStream[FeedRequest, FeedPartMessage], probes: SentProbes
) -> None:
    """Send probes on a stream until cancelled, or until it ends."""
    with contextlib.suppress(ConnectionError, StreamTerminatedError, ProtocolError):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await stream.send_message(FeedRequest(probe=probes.add(boottime())))


async def read_probes(
    stream: Stream[FeedRequest, FeedPartMessage], probe: ReceivedProbe
) -> None:
    """Take in a follower's probes until it sends no more."""
    with contextlib.suppress(ConnectionError, StreamTerminatedError, ProtocolError):
        while (request := await stream.recv_message()) is not None:
            probe.receive(request.probe)


def encode_record(
    change: Change, part_era: Era = NO_ERA, *, compress: bool
) -> FeedRecord:
    """Return the message that holds a changed record in a part of an era."""
    era = era_of(change.revision)
    value = b"" if change.value is None else change.value
    compress = compress and len(value) >= MIN_COMPRESSED_BYTES
    return FeedRecord(
        key=change.key,
        value=zlib.compress(value, COMPRESSION_LEVEL) if compress else value,
        revision=counter_of(change.revision),
        deleted=change.value is None,
        compressed=compress,
        era=NO_ERA if era == part_era else era,
    )


def encode_update(update: FeedUpdate, records: list[FeedRecord]) -> FeedPartMessage:
    """Return the message that holds an update with its encoded records."""
    return FeedPartMessage(
        whole=update.is_snapshot,
        records=records,
        revision=counter_of(update.revision),
        era=era_of(update.revision),
        age_ms=round(min(update.age_s, 1e6) * 1000),
        outage_ended_ms=encode_outage_age_ms(update.outage_ended_s),
        hops=update.hops,
        store_failing=update.is_store_failing,
        **encode_proof(update),
    )


def encode_proof(update: FeedUpdate) -> dict[str, int]:
    """Return the fields of the proof, none without a probe or a proof."""
    if not update.probe or update.proof_age_s == math.inf:
        return {}
    return {
        "probe": update.probe,
        "proof_age_ms": math.ceil(update.proof_age_s * 1000),
    }


def encode_outage_age_ms(ended_s: float) -> int:
    """Return the time since an outage in milliseconds, 0 without an outage."""
    return 0 if ended_s == math.inf else max(1, round(min(ended_s, 1e6) * 1000))


def decode_record(record: FeedRecord, part_era: Era = NO_ERA) -> Change:
    """Return the change that a message of an era holds, or raise RecordInvalid."""
    value = None if record.deleted else record.value
    if value is not None and record.compressed:
        value = decompress(value)
    return Change(
        record.key, value, decode_position(record.revision, record.era, part_era)
    )


def decode_position(counter: int, era: int, assumed_era: Era) -> Revision:
    """Return the position that a message states, or raise RecordInvalid."""
    try:
        return with_era(counter, era, assumed_era)
    except ValueError as error:
        raise RecordInvalid(str(error)) from None


def decompress(data: bytes) -> bytes:
    """Return decompressed data of a bounded size, or raise RecordInvalid."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error as error:
        raise RecordInvalid(f"compressed value: {error}") from None
    if not decompressor.eof:
        raise RecordInvalid("the compressed value is too large or cut short")
    return value


def decode_update(message: FeedPartMessage, assumed_era: Era = NO_ERA) -> FeedUpdate:
    """Return the update that a message holds, or raise RecordInvalid.

    An entry of an older version states no era; its records are taken to be of the
    ``assumed_era``.
    """
    era = Era(message.era) or assumed_era
    return FeedUpdate(
        message.whole,
        tuple(decode_record(record, era) for record in message.records),
        decode_position(message.revision, message.era, assumed_era),
        message.age_ms / 1000,
        message.outage_ended_ms / 1000 or math.inf,
        message.hops,
        message.proof_age_ms / 1000 if message.probe else math.inf,
        message.probe,
        message.store_failing,
    )
