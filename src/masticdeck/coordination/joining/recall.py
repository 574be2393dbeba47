"""Asks other entries what they knew before the store came back from a copy.

The store of a later era may hold older records than those that were in use: a
configuration with a key that was taken away since, or an allocation that another one
has replaced. Entries that ran before keep the newer ones, see ``record_order``. An
entry that starts knows nothing to compare with, so it takes over the replica of an
entry that does, before it uses the first listing.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from typing import final

from grpclib.client import Channel

from masticdeck.coordination.feed import FeedUpdate
from masticdeck.coordination.feed_peers import (
    MAX_PROOF_AGE_S,
    conceal_update,
    decode_update,
)
from masticdeck.coordination.fleet_view import ENTRY_PREFIX, decode_entry
from masticdeck.coordination.freshness.probes import SentProbes
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId
from masticdeck.protocol.generated.feed_grpc import FeedStub
from masticdeck.protocol.generated.feed_pb2 import FeedRequest
from masticdeck.protocol.positions import counter_of, era_of
from masticdeck.protocol.records import RecordInvalid
from masticdeck.state.fleet import FleetEntry

ANSWER_TIMEOUT_S = 0.9
"""Time within which an entry has to send its replica."""

MAX_ASKED = 3
"""Entries that are asked one after the other; it bounds the delay of a start."""


@final
class PeerRecall:
    """Finds an entry that knows more than the store's first listing."""

    def __init__(
        self,
        own_entry: FleetEntry,
        events: EventLog,
        *,
        conceal: Callable[[str, bytes], bytes] = lambda key, value: value,
        seed: int | None = None,
    ) -> None:
        self.own_entry = own_entry
        self.events = events
        self.conceal = conceal
        self.random = random.Random(seed)

    async def ask(self, records: Mapping[str, bytes]) -> FeedUpdate | None:
        """Return the replica of one of the entries among some records of the store.

        None if none of those asked knows more than the store. An entry that has started
        in the present era, and found nobody to ask either, proves nothing for a while.
        """
        candidates = self.candidates(records)
        for number, entry in enumerate(candidates, start=1):
            update = await self.ask_entry(entry)
            if update is not None:
                self.log(logging.INFO, asked=number, source=entry.id, update=update)
                return update
        self.log(logging.WARNING, asked=len(candidates))
        return None

    def candidates(self, records: Mapping[str, bytes]) -> list[FleetEntry]:
        """Return the entries to ask, those of the own zone first."""
        entries = list(self.decode_entries(records))
        self.random.shuffle(entries)
        entries.sort(key=lambda entry: entry.zone != self.own_entry.zone)
        return entries[:MAX_ASKED]

    def decode_entries(self, records: Mapping[str, bytes]) -> Iterable[FleetEntry]:
        """Yield the other entries among some records of the store."""
        for key, value in records.items():
            if not key.startswith(ENTRY_PREFIX):
                continue
            entry_id = EntryId(key.removeprefix(ENTRY_PREFIX))
            try:
                entry = decode_entry(entry_id, value)
            except RecordInvalid:
                continue
            if entry_id != self.own_entry.id:
                yield entry

    async def ask_entry(self, entry: FleetEntry) -> FeedUpdate | None:
        """Return the replica of an entry, None unless it is provably recent."""
        channel = Channel(entry.peer_host, entry.peer_port)
        probes = SentProbes()
        request = FeedRequest(accepts_compressed=True, probe=probes.add(0.0))
        try:
            async with (
                asyncio.timeout(ANSWER_TIMEOUT_S),
                FeedStub(channel).Follow.open() as stream,
            ):
                await stream.send_message(request, end=True)
                message = await stream.recv_message()
                await stream.cancel()
        except Exception:
            # Whatever is wrong with this entry, another one is asked.
            return None
        finally:
            channel.close()
        if message is None:
            return None
        try:
            update = conceal_update(decode_update(message), self.conceal)
        except RecordInvalid:
            return None
        is_recent = update.probe == probes.newest and update.proof_age_s < (
            MAX_PROOF_AGE_S
        )
        return update if is_recent else None

    def log(
        self,
        level: int,
        *,
        asked: int,
        source: str = "",
        update: FeedUpdate | None = None,
    ) -> None:
        """Emit what was learned."""
        revision = update.revision if update is not None else 0
        self.events.emit(
            Code.FEED_RECALLED,
            level=level,
            asked=asked,
            source=source,
            era=era_of(revision),
            revision=counter_of(revision),
            records=len(update.changes) if update is not None else 0,
        )
