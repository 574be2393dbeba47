"""Tests of the replication of records between entries, over real streams."""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination import feed_peers
from masticdeck.coordination.feed import FeedUpdate, RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import FeedService, PeerFeed
from masticdeck.coordination.watcher_selector import (
    WATCHERS_PER_REGION,
    WatcherSelector,
)
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, Revision, ZoneId
from masticdeck.protocol.generated.feed_pb2 import FeedRecord
from masticdeck.protocol.records import RecordInvalid
from masticdeck.protocol.store import Change, KeyValue
from masticdeck.state.fleet import Fleet, FleetEntry
from masticdeck.transport.peers import PeerServer

REGION_OF = {ZoneId("a1"): "a", ZoneId("a2"): "a", ZoneId("b1"): "b"}
WAIT_S = 10.0


class Recorder:
    """Records the latest value of each record."""

    def __init__(self) -> None:
        self.values: dict[str, bytes | None] = {}

    def record_changed(self, key, value, *, maybe_expired) -> None:
        self.values[key] = value


class Source:
    """An entry that other entries follow."""

    def __init__(self, name: str, zone: str) -> None:
        self.replica = RecordReplica(Recorder())
        self.server = PeerServer("127.0.0.1", 0, [FeedService(self.replica)])
        self.name = name
        self.zone = zone

    async def start(self) -> FleetEntry:
        await self.server.start()
        port = self.server.server._server.sockets[0].getsockname()[1]
        return build_entry(self.name, self.zone, port)

    def write(self, key: str, value: bytes, *, age_s: float = 0.0) -> None:
        """Write a record to the replica, which was current ``age_s`` ago."""
        revision = Revision(self.replica.revision + 1)
        items = [*self.replica.records.values(), KeyValue(key, value, revision)]
        now = boottime()
        self.replica.confirm(now - age_s, now)
        self.replica.replace(items, revision)


def build_entry(name: str, zone: str, port: int = 1) -> FleetEntry:
    return FleetEntry(
        id=EntryId(name),
        zone=ZoneId(zone),
        caller_address="",
        peer_host="127.0.0.1",
        peer_port=port,
        incarnation=1,
    )


class Follower:
    """An entry that does not follow the store."""

    def __init__(self, name: str = "own", zone: str = "a1") -> None:
        self.recorder = Recorder()
        self.replica = RecordReplica(self.recorder)
        self.events = EventLog("own", HybridClock())
        self.fleet = Fleet(dict(REGION_OF))
        watchers = WatcherSelector(self.fleet, build_entry(name, zone))
        store_feed = StoreFeed(
            None, self.replica, self.events, should_follow=lambda: False
        )
        self.feed = PeerFeed(self.replica, store_feed, watchers, self.events, seed=1)

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


async def add_source(stack: AsyncExitStack, follower: Follower, name: str, zone="a1"):
    """Start a source and add it to the follower's fleet."""
    source = Source(name, zone)
    fleet_entry = await source.start()
    stack.push_async_callback(source.server.stop)
    follower.fleet.put_entry(fleet_entry)
    return source


async def test_follower_receives_all_records_and_then_each_change(follower, stack):
    source = await add_source(stack, follower, "one")
    source.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    source.write("b", b"2")
    await follower.wait_for("b", b"2")
    assert follower.replica.age_s(boottime()) < 1.5


async def test_follower_changes_a_source_with_an_outdated_replica(follower, stack):
    old = await add_source(stack, follower, "old")
    old.write("a", b"1", age_s=feed_peers.MAX_REPLICA_AGE_S + 1)
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    new = await add_source(stack, follower, "new", "b1")
    new.write("x", b"0")
    new.write("a", b"2")
    await follower.wait_for("a", b"2")


async def test_follower_changes_a_silent_source(follower, stack, monkeypatch):
    silent = await add_source(stack, follower, "silent")
    silent.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    monkeypatch.setattr(feed_peers, "KEEPALIVE_INTERVAL_S", 60)
    await asyncio.sleep(0.5)
    monkeypatch.setattr(feed_peers, "KEEPALIVE_INTERVAL_S", 0.3)
    second = await add_source(stack, follower, "other", "b1")
    second.write("x", b"0")
    second.write("a", b"2")
    await follower.wait_for("a", b"2")
    assert follower.sources()[-1] == "other"


async def test_follower_changes_a_stopped_source(follower, stack):
    first = await add_source(stack, follower, "first")
    first.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    second = await add_source(stack, follower, "second")
    second.write("x", b"0")
    second.write("a", b"2")
    await first.server.stop()
    await follower.wait_for("a", b"2")


CONFIGURATION = b'{"route": "/a/"}' * 20_000
INCOMPRESSIBLE = bytes(range(256)) * 2


async def test_large_record_is_sent_compressed_and_arrives_whole(follower, stack):
    source = await add_source(stack, follower, "one")
    source.write("large", CONFIGURATION)
    source.write("small", INCOMPRESSIBLE)
    await follower.feed.start()
    await follower.wait_for("large", CONFIGURATION)
    await follower.wait_for("small", INCOMPRESSIBLE)


def test_compressed_configuration_takes_a_tenth_of_the_bytes():
    change = Change("large", CONFIGURATION, Revision(1))
    message = feed_peers.encode_record(change, compress=True)
    assert len(message.value) < len(CONFIGURATION) / 10
    assert feed_peers.decode_record(message) == change


def test_follower_of_an_older_version_gets_values_as_they_are():
    change = Change("large", CONFIGURATION, Revision(1))
    message = feed_peers.encode_record(change, compress=False)
    assert message.value == CONFIGURATION
    assert not message.compressed


@pytest.mark.parametrize(
    "value",
    [b"", b"no zlib data", zlib.compress(CONFIGURATION)[:-4]],
    ids=["empty", "garbage", "cut short"],
)
def test_unreadable_compressed_value_raises(value):
    record = FeedRecord(key="a", value=value, revision=1, compressed=True)
    with pytest.raises(RecordInvalid):
        feed_peers.decode_record(record)


def test_compressed_value_is_not_expanded_without_bound(monkeypatch):
    monkeypatch.setattr(feed_peers, "MAX_RECORD_BYTES", 1_000)
    record = feed_peers.encode_record(
        Change("a", CONFIGURATION, Revision(1)), compress=True
    )
    with pytest.raises(RecordInvalid):
        feed_peers.decode_record(record)


def test_followers_at_the_same_revision_share_one_encoding(monkeypatch):
    replica = RecordReplica(Recorder())
    replica.replace([KeyValue("a", CONFIGURATION, Revision(1))], Revision(1))
    service = FeedService(replica)
    compressions = []
    compress = zlib.compress
    monkeypatch.setattr(
        feed_peers.zlib,
        "compress",
        lambda *arguments: compressions.append(1) or compress(*arguments),
    )
    for _ in range(30):
        update = replica.update_after(Revision(0), boottime())
        service.encode_records(update, Revision(0), compress=True)
    assert len(compressions) == 1
    replica.apply_changes([Change("a", b"new", Revision(2))], Revision(2))
    update = replica.update_after(Revision(1), boottime())
    [record] = service.encode_records(update, Revision(1), compress=True)
    assert feed_peers.decode_record(record).value == b"new"


def test_snapshot_is_whole_although_the_same_changes_were_sent_before():
    """The source has read its records again, because the store lost its history.

    A follower takes a snapshot for all records there are, and removes the others.
    """
    replica = RecordReplica(Recorder())
    service = FeedService(replica)
    items = [KeyValue(key, b"x", Revision(1)) for key in "abc"]
    replica.replace(items, Revision(1))
    replica.apply_changes([Change("d", b"x", Revision(2))], Revision(2))
    update = replica.update_after(Revision(1), boottime())
    [record] = service.encode_records(update, Revision(1), compress=True)
    assert record.key == "d"
    replica.replace([*items, KeyValue("d", b"x", Revision(2))], Revision(2))
    update = replica.update_after(Revision(1), boottime())
    assert update.is_snapshot
    records = service.encode_records(update, Revision(1), compress=True)
    assert {record.key for record in records} == set("abcd")


async def test_follower_moves_to_a_better_source_without_avoiding_the_old_one(
    follower, stack, monkeypatch
):
    monkeypatch.setattr(feed_peers, "REVIEW_INTERVAL_S", 0.2)
    far = await add_source(stack, follower, "far", "b1")
    far.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    near = await add_source(stack, follower, "near", "a2")
    near.write("x", b"0")
    near.write("a", b"2")
    await follower.wait_for("a", b"2")
    assert follower.sources() == ["far", "near"]
    assert not follower.feed.zone_failed_at


async def test_confirmation_is_passed_on_without_waiting_for_the_next_keepalive(
    follower, stack, monkeypatch
):
    monkeypatch.setattr(feed_peers, "KEEPALIVE_INTERVAL_S", 30)
    monkeypatch.setattr(feed_peers, "SILENCE_TIMEOUT_S", 60)
    source = await add_source(stack, follower, "one")
    source.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    await asyncio.sleep(0.5)
    confirmed_at = boottime()
    source.replica.confirm(confirmed_at, confirmed_at)
    async with asyncio.timeout(WAIT_S):
        while follower.replica.confirmed_at < confirmed_at - 0.1:
            await asyncio.sleep(0.02)


async def test_watchers_that_the_store_rejects_do_not_keep_following_each_other(stack):
    """Both watchers of a region lose the store at once and choose each other."""
    far = Source("far", "b1")
    far_entry = await far.start()
    stack.push_async_callback(far.server.stop)
    far.write("x", b"0")
    far.write("a", b"new")
    watchers = [Follower("one", "a1"), Follower("two", "a2")]
    entries = [far_entry]
    for watcher, name, zone in zip(watchers, ["one", "two"], ["a1", "a2"], strict=True):
        watcher.replica.replace([KeyValue("a", b"old", Revision(1))], Revision(1))
        watcher.replica.confirm(boottime(), boottime())
        server = PeerServer("127.0.0.1", 0, [FeedService(watcher.replica)])
        await server.start()
        stack.push_async_callback(server.stop)
        port = server.server._server.sockets[0].getsockname()[1]
        entries.append(build_entry(name, zone, port))
    for watcher in watchers:
        for entry in entries:
            watcher.fleet.put_entry(entry)
        await watcher.feed.start()
        stack.push_async_callback(watcher.feed.stop)
    async with asyncio.timeout(feed_peers.MAX_REPLICA_AGE_S / 2):
        for watcher in watchers:
            await watcher.wait_for("a", b"new")
    assert all(watcher.sources()[0] != "far" for watcher in watchers)


async def test_older_snapshot_changes_nothing(follower, stack):
    follower.replica.replace([KeyValue("a", b"new", Revision(9))], Revision(9))
    source = await add_source(stack, follower, "one")
    source.write("a", b"old")
    await follower.feed.start()
    async with asyncio.timeout(WAIT_S):
        while not follower.sources():
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    assert follower.recorder.values == {"a": b"new"}


def test_entries_with_the_same_view_select_the_same_watchers():
    selections = set()
    names = [f"e{number}" for number in range(8)]
    for own in names:
        fleet = Fleet(dict(REGION_OF))
        for name in names:
            fleet.put_entry(build_entry(name, "a1"))
        fleet.put_entry(build_entry("far", "b1"))
        selections.add(
            tuple(WatcherSelector(fleet, build_entry(own, "a1")).in_own_region())
        )
    [watchers] = selections
    assert len(watchers) == WATCHERS_PER_REGION
    assert "far" not in watchers


def build_watchers(own: str, **zones: str) -> WatcherSelector:
    """Return the watcher selector of an entry whose fleet has these entries."""
    fleet = Fleet(dict(REGION_OF))
    for name, zone in zones.items():
        fleet.put_entry(build_entry(name, zone))
    return WatcherSelector(fleet, build_entry(own, zones.get(own, "a1")))


def test_watchers_of_a_region_are_in_different_zones():
    for number in range(20):
        names = {f"{number}-{index}": "a1" for index in range(5)}
        names[f"{number}-other"] = "a2"
        watchers = build_watchers("own", **names)
        zones = {
            "a1" if entry_id == "own" else watchers.fleet.entries[entry_id].zone
            for entry_id in watchers.in_own_region()
        }
        assert zones == {"a1", "a2"}


def test_source_outside_the_zone_of_a_failed_one_is_followed_next(follower):
    for name, zone in {"e1": "a2", "e2": "a2", "e3": "a2", "far": "b1"}.items():
        follower.fleet.put_entry(build_entry(name, zone))
    first = follower.feed.choose_source()
    assert first is not None
    assert first.zone == "a2"
    follower.feed.zone_failed_at[first.zone] = boottime()
    assert follower.feed.choose_source().id == "far"
    follower.feed.zone_failed_at[ZoneId("b1")] = boottime()
    follower.feed.failed_source = first.id
    assert follower.feed.choose_source().id != first.id


def test_zone_of_a_failed_source_is_used_again_after_a_while(follower):
    follower.fleet.put_entry(build_entry("e1", "a2"))
    follower.fleet.put_entry(build_entry("far", "b1"))
    follower.feed.zone_failed_at[ZoneId("a2")] = (
        boottime() - feed_peers.FAILED_ZONE_AVOIDANCE_S - 1
    )
    assert follower.feed.choose_source().id == "e1"


def test_update_message_keeps_the_time_since_an_outage():
    for seconds in (math.inf, 0.0, 1.5):
        update = FeedUpdate(False, (), Revision(3), 0.25, seconds, 4)
        decoded = feed_peers.decode_update(feed_peers.encode_update(update, []))
        assert decoded.hops == 4
        assert decoded.outage_ended_s == pytest.approx(seconds, abs=0.002)


async def test_follower_learns_at_once_that_the_store_fails_at_its_source(
    follower, stack
):
    """Guards against followers that take instances for warm for a second longer."""
    source = await add_source(stack, follower, "one")
    source.write("a", b"1")
    await follower.feed.start()
    await follower.wait_for("a", b"1")
    assert not follower.replica.is_store_failing
    source.replica.record_store_failure(boottime())
    async with asyncio.timeout(feed_peers.KEEPALIVE_INTERVAL_S):
        while not follower.replica.is_store_failing:
            await asyncio.sleep(0.01)
    source.write("a", b"2")
    await follower.wait_for("a", b"2")
    assert not follower.replica.is_store_failing
