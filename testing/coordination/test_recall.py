"""What an entry that starts learns from others about a store that came back."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination.feed import RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import MAX_PROOF_AGE_S
from masticdeck.coordination.fleet_view import ENTRY_PREFIX, encode_entry
from masticdeck.coordination.joining import recall
from masticdeck.coordination.joining.recall import MAX_ASKED, PeerRecall
from masticdeck.coordination.record_order.order import RecordOrder
from masticdeck.coordination.record_order.rules import RESTORE_S, RecordRules
from masticdeck.events import EventLog
from masticdeck.ids import Era
from masticdeck.protocol.positions import pack_position
from masticdeck.protocol.store import Changes, KeyValue, Listing
from testing.coordination.test_feed_peers import Recorder, Source, build_entry

OLD, NEW = b"1", b"2"
KEY = "settings/a"


def known_before(source: Source, value: bytes) -> None:
    """Let an entry have read a value in the first era, and the copy's in the second."""
    first, second = pack_position(Era(1), 9), pack_position(Era(2), 5)
    source.replica.order = RecordOrder(versioned())
    source.replica.replace([KeyValue(KEY, value, first)], first)
    source.replica.replace([KeyValue(KEY, OLD, second)], second)


def versioned() -> RecordRules:
    """Return rules by which a value is a version, and a newer one is kept for good."""
    rules = RecordRules()
    rules.register("settings/", held_s=float("inf"), keeps_missing=True)(
        lambda value: (int(value),)
    )
    return rules


class Fleet:
    """Entries that an entry which starts may ask, by what is wrong with them."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.stack = stack
        self.records: dict[str, bytes] = {"entries/odd": b"{"}
        self.events = EventLog("own", HybridClock())

    async def add(self, kind: str) -> None:
        """Add an entry to the records of the store."""
        name = f"{kind}-{len(self.records)}"
        port = await getattr(self, kind)(name)
        entry = build_entry(name, "a1", port)
        self.records[f"{ENTRY_PREFIX}{name}"] = encode_entry(entry)

    async def gone(self, name: str) -> int:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            return listener.getsockname()[1]

    async def silent(self, name: str) -> int:
        listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        return listener.getsockname()[1]

    async def outdated(self, name: str) -> int:
        return await self.serve(name, NEW, boottime() - MAX_PROOF_AGE_S)

    async def ignorant(self, name: str) -> int:
        return await self.serve(name, OLD, float("-inf"))

    async def knowing(self, name: str) -> int:
        return await self.serve(name, NEW, boottime())

    async def serve(self, name: str, value: bytes, proved_at: float) -> int:
        source = Source(name, "a1")
        known_before(source, value)
        source.replica.prove(proved_at)
        entry = await source.start()
        self.stack.push_async_callback(source.server.stop)
        return entry.peer_port


class ListedStore:
    """A store of the second era that has the copy only."""

    def __init__(self, records: dict[str, bytes]) -> None:
        self.at = pack_position(Era(2), 5)
        self.records = records

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        values = {**self.records, KEY: OLD}.items()
        return Listing(tuple(KeyValue(*item, self.at) for item in values), self.at)

    async def watch(self, prefix: str, after: int, *, wait_s: float) -> Changes:
        await asyncio.sleep(min(wait_s, 0.05))
        return Changes((), self.at)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:
        yield Fleet(stack)


@pytest.mark.parametrize(
    ("kinds", "used"),
    [
        ([], OLD),
        (["knowing"], NEW),
        (["gone", "silent", "knowing"], NEW),
        (["ignorant", "outdated", "knowing"], NEW),
        (["gone", "silent", "ignorant"], OLD),
        (["gone"] * 6, OLD),
    ],
)
async def test_entry_that_starts_takes_over_what_others_knew(
    fleet, monkeypatch, kinds, used
):
    """Guards against the older copy where anyone knows better, and proofs of it."""
    monkeypatch.setattr(recall, "ANSWER_TIMEOUT_S", 0.3)
    for kind in kinds:
        await fleet.add(kind)
    asking = PeerRecall(build_entry("own", "a1"), fleet.events, seed=1)
    fleet.records[f"{ENTRY_PREFIX}own"] = encode_entry(build_entry("own", "a1"))
    recorder = Recorder()
    replica = RecordReplica(recorder, RecordOrder(versioned()))
    feed = StoreFeed(
        ListedStore(fleet.records), replica, fleet.events, recall=asking.ask
    )
    await feed.poll_once()
    assert recorder.values[KEY] == used
    event = next(iter(fleet.events.ring))
    asked = int(event.fields["asked"])
    assert asked <= MAX_ASKED
    assert asked == min(len(kinds), MAX_ASKED) or used == NEW
    await feed.poll_once()
    assert (replica.proof_age_s(boottime()) < 1.0) is (used == NEW)
    replica.prove(boottime() + RESTORE_S)
    assert replica.proof_age_s(boottime()) < 1.0
