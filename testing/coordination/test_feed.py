"""When the removal of a record may come from an outage of the store."""

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
    """Keeps whether each removal may be a lapse."""

    def __init__(self) -> None:
        self.lapses: list[bool] = []

    def record_changed(self, key, value, *, maybe_expired) -> None:
        if value is None:
            self.lapses.append(maybe_expired)


@pytest.fixture
def recorder() -> Recorder:
    return Recorder()


@pytest.fixture
def copy(recorder) -> RecordReplica:
    """Return a copy with one record that was last confirmed long ago."""
    copy = RecordReplica(recorder)
    copy.replace([KeyValue(KEY, b"", Revision(1))], Revision(1))
    copy.confirm(boottime() - LONG_S, boottime() - LONG_S)
    return copy


def part(*, outage_ended_s: float = math.inf, age_s: float = 0.1) -> FeedUpdate:
    return FeedUpdate(False, (REMOVAL,), Revision(2), age_s, outage_ended_s)


def test_removal_after_the_store_failed_for_long_may_be_a_lapse(copy, recorder):
    copy.record_store_failure(boottime() - 1)
    copy.confirm(boottime(), boottime())
    copy.apply_changes([REMOVAL], Revision(2))
    assert recorder.lapses == [True]


def test_removal_after_a_lost_source_is_a_removal(copy, recorder):
    copy.confirm(boottime(), boottime())
    copy.apply_changes([REMOVAL], Revision(2))
    assert recorder.lapses == [False]


def test_removal_after_failures_before_the_last_contact_is_a_removal(copy, recorder):
    copy.record_store_failure(boottime() - LONG_S - 1)
    copy.confirm(boottime(), boottime())
    copy.apply_changes([REMOVAL], Revision(2))
    assert recorder.lapses == [False]


@pytest.mark.parametrize(
    ("outage_ended_s", "lapsed"),
    [(math.inf, False), (0.2, True), (MIN_OUTAGE_S + 1, False)],
    ids=["no outage", "just ended", "ended long ago"],
)
def test_source_tells_of_an_outage(copy, recorder, outage_ended_s, lapsed):
    copy.apply_update(part(outage_ended_s=outage_ended_s), boottime())
    assert recorder.lapses == [lapsed]


def test_outage_that_only_the_source_saw_is_none(copy, recorder):
    copy.confirm(boottime() - 0.5, boottime() - 0.5)
    copy.apply_update(part(outage_ended_s=0.2), boottime())
    assert recorder.lapses == [False]


def test_removal_long_after_an_outage_is_a_removal(copy, recorder, monkeypatch):
    copy.record_store_failure(boottime() - 1)
    copy.confirm(boottime(), boottime())
    later = boottime() + MIN_OUTAGE_S + 1
    monkeypatch.setattr(feed, "boottime", lambda: later)
    copy.apply_changes([REMOVAL], Revision(2))
    assert recorder.lapses == [False]
