"""Tests of when a removed record may have expired in an outage of the store."""

from __future__ import annotations

import math

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination import feed
from masticdeck.coordination.feed import (
    MIN_OUTAGE_S,
    FeedUpdate,
    RecordReplica,
    StoreFeed,
)
from masticdeck.errors import StoreHistoryLost, StoreUnavailable
from masticdeck.events import EventLog
from masticdeck.ids import Revision
from masticdeck.protocol.store import Change, Changes, KeyValue, Listing

KEY = "record"
LONG_S = MIN_OUTAGE_S + 1
REMOVAL = Change(KEY, None, Revision(2))


class Recorder:
    """Records whether each removed record may have expired."""

    def __init__(self) -> None:
        self.maybe_expired_flags: list[bool] = []

    def record_changed(self, key, value, *, maybe_expired) -> None:
        if value is None:
            self.maybe_expired_flags.append(maybe_expired)


@pytest.fixture
def recorder() -> Recorder:
    return Recorder()


@pytest.fixture
def replica(recorder) -> RecordReplica:
    """Return a replica with one record that was last confirmed long ago."""
    replica = RecordReplica(recorder)
    replica.replace([KeyValue(KEY, b"", Revision(1))], Revision(1))
    replica.confirm(boottime() - LONG_S, boottime() - LONG_S)
    return replica


def build_update(*, outage_ended_s: float = math.inf, age_s: float = 0.1) -> FeedUpdate:
    return FeedUpdate(False, (REMOVAL,), Revision(2), age_s, outage_ended_s)


def test_record_removed_after_an_outage_may_have_expired(replica, recorder):
    replica.record_store_failure(boottime() - 1)
    replica.confirm(boottime(), boottime())
    replica.apply_changes([REMOVAL], Revision(2))
    assert recorder.maybe_expired_flags == [True]


def test_record_removed_after_the_loss_of_a_source_has_not_expired(replica, recorder):
    replica.confirm(boottime(), boottime())
    replica.apply_changes([REMOVAL], Revision(2))
    assert recorder.maybe_expired_flags == [False]


def test_store_failures_before_the_last_contact_are_no_outage(replica, recorder):
    replica.record_store_failure(boottime() - LONG_S - 1)
    replica.confirm(boottime(), boottime())
    replica.apply_changes([REMOVAL], Revision(2))
    assert recorder.maybe_expired_flags == [False]


@pytest.mark.parametrize(
    ("outage_ended_s", "maybe_expired"),
    [(math.inf, False), (0.2, True), (MIN_OUTAGE_S + 1, False)],
    ids=["no outage", "just ended", "ended long ago"],
)
def test_source_reports_an_outage(replica, recorder, outage_ended_s, maybe_expired):
    replica.apply_update(build_update(outage_ended_s=outage_ended_s), boottime())
    assert recorder.maybe_expired_flags == [maybe_expired]


def test_outage_is_ignored_if_this_replica_was_confirmed_meanwhile(replica, recorder):
    replica.confirm(boottime() - 0.5, boottime() - 0.5)
    replica.apply_update(build_update(outage_ended_s=0.2), boottime())
    assert recorder.maybe_expired_flags == [False]


def test_record_removed_long_after_an_outage_has_not_expired(
    replica, recorder, monkeypatch
):
    replica.record_store_failure(boottime() - 1)
    replica.confirm(boottime(), boottime())
    later = boottime() + MIN_OUTAGE_S + 1
    monkeypatch.setattr(feed, "boottime", lambda: later)
    replica.apply_changes([REMOVAL], Revision(2))
    assert recorder.maybe_expired_flags == [False]


def test_only_the_newest_of_several_values_is_applied_and_sent():
    applied = []

    class Listener:
        def record_changed(self, key, value, *, maybe_expired) -> None:
            applied.append((key, value))

    replica = RecordReplica(Listener())
    changes = [
        Change(key, f"{number}".encode(), Revision(number))
        for number, key in enumerate(["a", "b", "a", "c", "a"], start=1)
    ]
    replica.apply_changes([*changes, Change("b", None, Revision(6))], Revision(6))
    assert applied == [("c", b"4"), ("a", b"5")]
    for number in (7, 8, 9):
        value = f"{number}".encode()
        replica.apply_changes([Change("a", value, Revision(number))], Revision(number))
    update = replica.update_after(Revision(6), boottime())
    assert update.changes == (Change("a", b"9", Revision(9)),)


def test_instance_that_left_and_came_back_in_one_batch_is_known_by_its_last_record():
    values = []

    class Listener:
        def record_changed(self, key, value, *, maybe_expired) -> None:
            values.append(value)

    replica = RecordReplica(Listener())
    replica.apply_changes([Change("i", b"born 1", Revision(1))], Revision(1))
    replica.apply_changes(
        [Change("i", None, Revision(2)), Change("i", b"born 2", Revision(3))],
        Revision(3),
    )
    assert values == [b"born 1", b"born 2"]
    assert replica.records["i"].revision == 3


def test_change_that_a_listing_already_includes_does_not_bring_a_record_back():
    """Guards against a restarted entry that follows a source behind its listing.

    The source replays the record of an instance that had left when the entry read
    the store; the change that removes it follows later, or never.
    """
    values = []

    class Listener:
        def record_changed(self, key, value, *, maybe_expired) -> None:
            values.append((key, value))

    replica = RecordReplica(Listener())
    replica.replace([KeyValue("kept", b"1", Revision(3))], Revision(10))
    update = FeedUpdate(
        False, (Change("left", b"old", Revision(7)),), Revision(7), age_s=0.1
    )
    replica.apply_update(update, boottime())
    assert values == [("kept", b"1")]
    assert "left" not in replica.records
    assert replica.revision == 10


class ListenerLog:
    """Records every value that is passed on."""

    def __init__(self) -> None:
        self.passed_on: list[tuple[str, bytes | None]] = []

    def record_changed(self, key, value, *, maybe_expired) -> None:
        self.passed_on.append((key, value))


class StaleStore:
    """A store whose stale listing still has an instance that has left since.

    ``lose_history`` makes the changes since the stale listing unavailable, and
    ``lose_watch`` loses the answer that holds them.
    """

    STALE = (
        KeyValue("instance/left", b"ready", Revision(3)),
        KeyValue("instance/stays", b"ready", Revision(4)),
    )
    CHANGES = (
        Change("instance/left", None, Revision(7)),
        Change("instance/new", b"ready", Revision(8)),
    )
    PRESENT = (
        KeyValue("instance/stays", b"ready", Revision(4)),
        KeyValue("instance/new", b"ready", Revision(8)),
    )

    def __init__(self) -> None:
        self.lose_history = False
        self.lose_watch = False
        self.calls: list[str] = []

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        self.calls.append("stale list" if allow_stale else "list")
        if allow_stale:
            return Listing(self.STALE, Revision(5))
        return Listing(self.PRESENT, Revision(8))

    async def watch(self, prefix: str, after: Revision, *, wait_s: float) -> Changes:
        self.calls.append(f"watch after {after} for {wait_s:g} s")
        if self.lose_history:
            raise StoreHistoryLost()
        if self.lose_watch:
            raise StoreUnavailable("answer lost")
        return Changes(self.CHANGES, Revision(8))


class TestStart:
    """A starting entry reads stale pages and never uses an outdated record."""

    @pytest.fixture
    def log(self) -> ListenerLog:
        return ListenerLog()

    @pytest.fixture
    def store(self) -> StaleStore:
        return StaleStore()

    @pytest.fixture
    def store_feed(self, store, log) -> StoreFeed:
        return StoreFeed(store, RecordReplica(log), EventLog("own", HybridClock()))

    async def test_instance_that_left_since_the_stale_pages_is_never_used(
        self, store_feed, store, log
    ):
        await store_feed.poll_once()
        assert store.calls == ["stale list", "watch after 5 for 0 s"]
        assert ("instance/left", b"ready") not in log.passed_on
        assert set(store_feed.replica.records) == {"instance/stays", "instance/new"}
        assert store_feed.replica.revision == 8
        assert store_feed.has_listing

    async def test_present_records_are_read_when_the_changes_are_discarded(
        self, store_feed, store, log
    ):
        store.lose_history = True
        await store_feed.poll_once()
        assert store.calls[-1] == "list"
        assert ("instance/left", b"ready") not in log.passed_on
        assert set(store_feed.replica.records) == {"instance/stays", "instance/new"}

    async def test_stale_pages_alone_are_not_used(self, store_feed, store, log):
        store.lose_watch = True
        with pytest.raises(StoreUnavailable):
            await store_feed.poll_once()
        assert not log.passed_on
        assert not store_feed.has_listing
        assert store_feed.replica.confirmed_at == -math.inf

    async def test_replica_that_lost_the_history_reads_present_records(
        self, store_feed, store
    ):
        await store_feed.poll_once()
        store_feed.has_listing = False
        await store_feed.poll_once()
        assert store.calls[-1] == "list"

    async def test_source_that_lags_behind_the_start_brings_nothing_back(
        self, store_feed, log
    ):
        await store_feed.poll_once()
        left = Change("instance/left", b"ready", Revision(3))
        lagging = FeedUpdate(True, (left,), Revision(5), 0.1)
        store_feed.replica.apply_update(lagging, boottime())
        assert ("instance/left", b"ready") not in log.passed_on
