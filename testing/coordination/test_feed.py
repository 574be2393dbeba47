"""Tests of when a removed record may have expired in an outage of the store."""

from __future__ import annotations

import math

import pytest

from masticdeck.clock import boottime
from masticdeck.coordination import feed
from masticdeck.coordination.feed import MIN_OUTAGE_S, FeedUpdate, RecordReplica
from masticdeck.ids import Revision
from masticdeck.protocol.store import Change, KeyValue

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
