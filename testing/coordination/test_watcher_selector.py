"""Tests of the tree of entries through which records flow, without a network."""

from __future__ import annotations

import random

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination.feed import RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import PeerFeed
from masticdeck.coordination.watcher_selector import (
    WATCHERS_PER_REGION,
    SourceClass,
    WatcherSelector,
)
from masticdeck.events import EventLog
from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.state.fleet import Fleet, FleetEntry
from testing.coordination.test_caller_subset import build_zone

REGIONS = 3
ZONES_PER_REGION = 3
REGION_OF = {
    ZoneId(f"{region}{number}"): RegionId(region)
    for region in "abc"
    for number in range(ZONES_PER_REGION)
}


def build_fleet(*, large: int = 3, small: int = 19) -> dict[EntryId, FleetEntry]:
    return {
        entry.id: entry
        for zone in REGION_OF
        for entry in build_zone(large, small, zone)
    }


def build_feed(entries: dict[EntryId, FleetEntry], own: FleetEntry) -> PeerFeed:
    """Return the feed of an entry that knows these entries."""
    fleet = Fleet(dict(REGION_OF))
    for entry in entries.values():
        fleet.put_entry(entry)
    replica = RecordReplica(None)
    now = boottime()
    replica.confirm(now, now)
    selector = WatcherSelector(fleet, own)
    events = EventLog(own.id, HybridClock())
    store_feed = StoreFeed(
        None,
        replica,
        events,
        should_follow=lambda: selector.should_follow_store(replica),
    )
    return PeerFeed(replica, store_feed, selector, events, seed=1)


def choose_sources(
    entries: dict[EntryId, FleetEntry],
) -> dict[EntryId, EntryId | None]:
    """Return whom each entry follows; None for the store."""
    sources: dict[EntryId, EntryId | None] = {}
    for own in entries.values():
        feed = build_feed(entries, own)
        source = feed.choose_source() if feed.is_needed() else None
        sources[own.id] = None if source is None else source.id
    return sources


def path_to_store(sources, entry_id: EntryId) -> list[EntryId]:
    """Return the entries between an entry and the store, or fail in a circle."""
    path: list[EntryId] = []
    while (source := sources[entry_id]) is not None:
        assert source not in path, "the entries follow each other in a circle"
        path.append(source)
        entry_id = source
    return path


@pytest.fixture(scope="module")
def entries() -> dict[EntryId, FleetEntry]:
    return build_fleet()


@pytest.fixture(scope="module")
def sources(entries) -> dict[EntryId, EntryId | None]:
    return choose_sources(entries)


def test_few_entries_follow_the_store_in_a_large_fleet(entries, sources):
    watchers = [entry for entry, source in sources.items() if source is None]
    assert len(watchers) == WATCHERS_PER_REGION * REGIONS
    assert all("large" in watcher for watcher in watchers)
    assert len({entries[watcher].zone for watcher in watchers}) == len(watchers)


def test_every_entry_is_at_most_two_hops_from_a_watcher(sources):
    lengths = [len(path_to_store(sources, entry)) for entry in sources]
    assert max(lengths) == 2


def test_records_cross_to_a_zone_only_once(entries, sources):
    crossings = [
        entry
        for entry, source in sources.items()
        if source is not None and entries[entry].zone != entries[source].zone
    ]
    zones_without_watcher = len(REGION_OF) - WATCHERS_PER_REGION * REGIONS
    assert len(crossings) == zones_without_watcher


def test_records_do_not_cross_between_regions(entries, sources):
    for entry, source in sources.items():
        if source is not None:
            assert REGION_OF[entries[entry].zone] == REGION_OF[entries[source].zone]


@pytest.mark.parametrize("seed", range(4))
def test_tree_stands_again_after_the_loss_of_any_entries(seed):
    source = random.Random(seed)
    left = {
        name: entry
        for name, entry in build_fleet(large=1, small=6).items()
        if source.random() < 0.4
    }
    sources = choose_sources(left)
    for entry in sources:
        assert len(path_to_store(sources, entry)) <= 2


def test_entries_of_a_zone_turn_elsewhere_when_their_relay_fails(entries, sources):
    relays = {source for source in sources.values() if source is not None}
    relay = next(name for name in sorted(relays) if sources[name] is not None)
    follower = next(
        entry
        for name, entry in entries.items()
        if sources[name] == relay and entry.zone == entries[relay].zone
    )
    feed = build_feed(entries, follower)
    feed.zone_failed_at[entries[relay].zone] = boottime()
    feed.failed_source = relay
    source = feed.choose_source()
    assert source is not None
    assert source.zone != entries[relay].zone
    assert sources[source.id] is None
    assert not feed.has_better_source(source.id)


def test_follower_returns_to_its_zone_when_the_relay_is_back(entries, sources):
    follower = next(
        name
        for name, source in sources.items()
        if source is not None and sources[source] is not None
    )
    feed = build_feed(entries, entries[follower])
    ranks = feed.rank_sources()
    far_watcher = next(
        name for name, rank in ranks.items() if rank[2] is SourceClass.OTHER_REGION
    )
    assert feed.has_better_source(far_watcher)
    assert not feed.has_better_source(sources[follower])


def test_source_that_is_gone_is_outranked(entries):
    feed = build_feed(entries, next(iter(entries.values())))
    assert feed.has_better_source(EntryId("gone"))


def test_entry_of_a_lone_zone_follows_the_store():
    entries = {entry.id: entry for entry in build_zone(0, 1, "a0")}
    assert set(choose_sources(entries).values()) == {None}
