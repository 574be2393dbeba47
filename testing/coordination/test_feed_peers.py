"""Copies of the records between entries, over real streams."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination import feed_peers
from masticdeck.coordination.feed import FeedUpdate, RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import FeedService, PeerFeed, WatcherSelector
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, Revision, ZoneId
from masticdeck.protocol.store import KeyValue
from masticdeck.state.fleet import Fleet, FleetEntry
from masticdeck.transport.peers import PeerServer

REGION_OF = {ZoneId("a1"): "a", ZoneId("a2"): "a", ZoneId("b1"): "b"}
WAIT_S = 10.0


class Recorder:
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.values: dict[str, bytes | None] = {}

    def record_changed(self, key, value, *, maybe_expired) -> None:
        self.values[key] = value


class Source:
    """An entry that others follow."""

    def __init__(self, name: str, zone: str) -> None:
        self.copy = RecordReplica(Recorder())
        self.server = PeerServer("127.0.0.1", 0, [FeedService(self.copy)])
        self.name = name
        self.zone = zone

    async def start(self) -> FleetEntry:
        await self.server.start()
        port = self.server.server._server.sockets[0].getsockname()[1]
        return entry(self.name, self.zone, port)

    def write(self, key: str, value: bytes, *, age_s: float = 0.0) -> None:
        """Let the source know a record, current ``age_s`` ago."""
        revision = Revision(self.copy.revision + 1)
        items = [*self.copy.records.values(), KeyValue(key, value, revision)]
        now = boottime()
        self.copy.confirm(now - age_s, now)
        self.copy.replace(items, revision)


def entry(name: str, zone: str, port: int = 1) -> FleetEntry:
    return FleetEntry(
        id=EntryId(name),
        zone=ZoneId(zone),
        caller_address="",
        peer_host="127.0.0.1",
        peer_port=port,
        incarnation=1,
    )


class Follower:
    """An entry that the store does not serve."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        self.copy = RecordReplica(self.recorder)
        self.events = EventLog("own", HybridClock())
        self.fleet = Fleet(dict(REGION_OF))
        watchers = WatcherSelector(self.fleet, entry("own", "a1"))
        store_feed = StoreFeed(
            None, self.copy, self.events, should_follow=lambda: False
        )
        self.feed = PeerFeed(self.copy, store_feed, watchers, self.events, seed=1)

    async def wait_for(self, key: str, value: bytes) -> None:
        async with asyncio.timeout(WAIT_S):
            while self.recorder.values.get(key) != value:
                await asyncio.sleep(0.02)

    def sources(self) -> list[str]:
        """Return the sources followed so far."""
        return [
            event.fields["source"]
            for event in self.events.ring
            if event.code is Code.FEED_FOLLOWING
        ]


@pytest.fixture
async def follower() -> AsyncIterator[Follower]:
    follower = Follower()
    yield follower
    await follower.feed.stop()


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    async with AsyncExitStack() as stack:
        yield stack


async def add(stack: AsyncExitStack, follower: Follower, name: str, zone="a1"):
    """Start a source that the follower knows."""
    source = Source(name, zone)
    known = await source.start()
    stack.push_async_callback(source.server.stop)
    follower.fleet.entries[known.id] = known
    return source


async def test_follower_gets_all_records_and_then_each_change(follower, stack):
    source = await add(stack, follower, "one")
    source.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    source.write("b", b"2")
    await follower.wait_for("b", b"2")
    assert follower.copy.age_s(boottime()) < 1.5


async def test_follower_of_a_source_with_an_old_copy_takes_another(follower, stack):
    old = await add(stack, follower, "old")
    old.write("a", b"1", age_s=feed_peers.MAX_REPLICA_AGE_S + 1)
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    new = await add(stack, follower, "new", "b1")
    new.write("x", b"0")
    new.write("a", b"2")
    await follower.wait_for("a", b"2")


async def test_follower_of_a_silent_source_takes_another(follower, stack, monkeypatch):
    silent = await add(stack, follower, "silent")
    silent.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    monkeypatch.setattr(feed_peers, "KEEPALIVE_INTERVAL_S", 60)
    await asyncio.sleep(0.5)
    monkeypatch.setattr(feed_peers, "KEEPALIVE_INTERVAL_S", 0.3)
    other = await add(stack, follower, "other", "b1")
    other.write("x", b"0")
    other.write("a", b"2")
    await follower.wait_for("a", b"2")
    assert follower.sources()[-1] == "other"


async def test_follower_of_a_stopped_source_takes_another(follower, stack):
    first = await add(stack, follower, "first")
    first.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    second = await add(stack, follower, "second")
    second.write("x", b"0")
    second.write("a", b"2")
    await first.server.stop()
    await follower.wait_for("a", b"2")


async def test_older_whole_copy_changes_nothing(follower, stack):
    follower.copy.replace([KeyValue("a", b"new", Revision(9))], Revision(9))
    source = await add(stack, follower, "one")
    source.write("a", b"old")
    await follower.feed.start()
    async with asyncio.timeout(WAIT_S):
        while not follower.sources():
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    assert follower.recorder.values == {"a": b"new"}


def test_watchers_are_the_same_for_all_that_know_the_same_entries():
    chosen = set()
    names = [f"e{number}" for number in range(8)]
    for own in names:
        fleet = Fleet(dict(REGION_OF))
        for name in names:
            fleet.entries[EntryId(name)] = entry(name, "a1")
        fleet.entries[EntryId("far")] = entry("far", "b1")
        chosen.add(tuple(WatcherSelector(fleet, entry(own, "a1")).in_own_region()))
    [watchers] = chosen
    assert len(watchers) == feed_peers.WATCHERS_PER_REGION
    assert "far" not in watchers


def build_watchers(own: str, **zones: str) -> WatcherSelector:
    """Return the watchers as an entry sees them that knows entries by zone."""
    fleet = Fleet(dict(REGION_OF))
    for name, zone in zones.items():
        fleet.entries[EntryId(name)] = entry(name, zone)
    return WatcherSelector(fleet, entry(own, zones.get(own, "a1")))


def test_watchers_of_a_region_lie_in_different_zones():
    for number in range(20):
        names = {f"{number}-{index}": "a1" for index in range(5)}
        names[f"{number}-other"] = "a2"
        watchers = build_watchers("own", **names)
        zones = {
            "a1" if one == "own" else watchers.fleet.entries[one].zone
            for one in watchers.in_own_region()
        }
        assert zones == {"a1", "a2"}


def test_source_outside_the_zone_of_a_failed_one_is_followed_next(follower):
    for name, zone in {"e1": "a2", "e2": "a2", "e3": "a2", "far": "b1"}.items():
        follower.fleet.entries[EntryId(name)] = entry(name, zone)
    first = follower.feed.choose_source()
    assert first is not None
    assert first.zone == "a2"
    follower.feed.zone_failed_at[first.zone] = boottime()
    assert follower.feed.choose_source().id == "far"
    follower.feed.zone_failed_at[ZoneId("b1")] = boottime()
    follower.feed.last_source = first.id
    assert follower.feed.choose_source().id != first.id


def test_zone_is_trusted_again_after_a_while(follower):
    follower.fleet.entries[EntryId("e1")] = entry("e1", "a2")
    follower.fleet.entries[EntryId("far")] = entry("far", "b1")
    follower.feed.zone_failed_at[ZoneId("a2")] = (
        boottime() - feed_peers.FAILED_ZONE_AVOIDANCE_S - 1
    )
    assert follower.feed.choose_source().id == "e1"


def test_time_since_an_outage_travels_with_a_part():
    for seconds in (math.inf, 0.0, 1.5):
        part = FeedUpdate(False, (), Revision(3), 0.25, seconds)
        decoded = feed_peers.decode_update(feed_peers.encode_update(part))
        assert decoded.outage_ended_s == pytest.approx(seconds, abs=0.002)
