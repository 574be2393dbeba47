"""Which report of an instance is in use, in whatever order reports reach the store."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from masticdeck.coordination import feed
from masticdeck.coordination.feed import RecordReplica
from masticdeck.coordination.fleet_view import FleetView
from masticdeck.coordination.record_order.rules import LATE_WRITE_S
from masticdeck.ids import Era, InstanceId, ServiceId, ZoneId
from masticdeck.platform.records import PlatformRecords
from masticdeck.protocol.positions import pack_position
from masticdeck.protocol.store import Change, KeyValue
from masticdeck.state.fleet import Fleet

KEY = "servers/i0"
OUTAGE_S = 10.0
UNREADABLE = b'{"born": 9'


def report(state: str, born: int, sequence: int) -> bytes:
    """Return what an instance writes of itself."""
    return json.dumps(
        {
            "address": "127.0.0.1:80",
            "born": born,
            "information": {"service": "s", "zone": "z", "slots": 4},
            "status": {"state": state, "sequence": sequence, "cold_remaining": "0ms"},
        }
    ).encode()


def ready(sequence: int, born: int = 5) -> bytes:
    return report("ready", born, sequence)


def draining(sequence: int, born: int = 5) -> bytes:
    return report("draining", born, sequence)


class Entry:
    """An entry's replica and fleet with a clock of the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        self.counter = 10
        self.era = 1
        self.fleet = Fleet({ZoneId("z"): "r"})
        self.view = FleetView(
            self.fleet,
            PlatformRecords(),
            SimpleNamespace(emit=lambda *code, **fields: None),
        )
        self.replica = RecordReplica(self.view)
        self.held: list[Change] = []
        self.replica.on_record_held.append(lambda change, _: self.held.append(change))
        monkeypatch.setattr(feed, "boottime", lambda: self.now)
        self.replica.confirm(self.now, self.now)
        self.replica.replace([], self.position())

    def position(self) -> int:
        return pack_position(Era(self.era), self.counter)

    def write(self, *values: bytes | None) -> None:
        """Let values, None for a removal, arrive with one answer of a watch."""
        changes = []
        for value in values:
            self.counter += 1
            changes.append(Change(KEY, value, self.position()))
        self.replica.apply_changes(changes, self.position())

    def pass_time(self, seconds: float) -> None:
        """Let time pass with watches that bring nothing new, as in a quiet store."""
        end = self.now + seconds
        while self.now < end:
            started_at = self.now
            step_s = feed.MIN_WATCH_INTERVAL_S + feed.WATCH_WAIT_S
            self.now = min(end, started_at + step_s)
            self.replica.confirm(self.now - feed.MIN_WATCH_INTERVAL_S, self.now)
            self.replica.apply_changes([], self.position())

    def lose_store(self, *values: bytes | None) -> None:
        """Let the store fail for a while, and values arrive with its next answer."""
        self.now += 0.1
        self.replica.record_store_failure(self.now)
        self.now += OUTAGE_S
        self.replica.confirm(self.now, self.now)
        self.write(*values)

    def restore_store(self, *values: bytes) -> None:
        """Let the store come back from a copy that has the values."""
        self.era += 1
        self.counter = 1
        items = [KeyValue(KEY, value, self.position()) for value in values]
        self.counter += 1
        self.replica.replace(items, self.position())

    @property
    def is_used(self) -> bool:
        """Return whether the instance may get new requests."""
        used = self.fleet.in_service(ServiceId("s"))
        return InstanceId("i0") in {instance.id for instance in used}


@pytest.fixture
def entry(monkeypatch) -> Entry:
    return Entry(monkeypatch)


NEVER = float("inf")

# What was known, what arrives (in one answer of a watch), and after how many seconds
# the instance gets requests if nothing else follows.
PLAYS = {
    "an older report of a start that drains": ([draining(3)], [ready(2)], LATE_WRITE_S),
    "the same, in one answer": ([ready(1)], [draining(3), ready(2)], LATE_WRITE_S),
    "a newer report of a start that drains": ([draining(3)], [ready(4)], 0),
    "the same count with another state": ([draining(3)], [ready(3)], 0),
    "an older report of a removed start": ([ready(3), None], [ready(2)], LATE_WRITE_S),
    "a report that was not seen before the removal": (
        [ready(1), None],
        [ready(7)],
        LATE_WRITE_S,
    ),
    "a removal and an older report in one answer": (
        [ready(1)],
        [None, ready(7)],
        LATE_WRITE_S,
    ),
    "a removed start, then a new one": ([ready(9), None], [ready(1, born=6)], 0),
    "an older start after a removal": (
        [ready(1, born=6), None],
        [ready(9)],
        LATE_WRITE_S,
    ),
    "a new start, then the drain and the end of the older one": (
        [ready(1, born=6)],
        [draining(9), draining(10), ready(2, born=6)],
        0,
    ),
    "an older report behind an unreadable one": (
        [draining(3), UNREADABLE],
        [ready(2)],
        LATE_WRITE_S,
    ),
    "a newer report behind an unreadable one": ([ready(3), UNREADABLE], [ready(4)], 0),
    "an unreadable record": ([ready(3)], [UNREADABLE], NEVER),
    "a removal that overtakes a held report": (
        [draining(3)],
        [ready(2), None],
        NEVER,
    ),
}


@pytest.mark.parametrize(
    ("known", "arriving", "used_after_s"), PLAYS.values(), ids=PLAYS
)
def test_older_report_that_arrives_late_undoes_no_newer_one(
    entry, known, arriving, used_after_s
):
    """Guards against requests to an instance after the end of its drain."""
    for value in known:
        entry.write(value)
    entry.write(*arriving)
    assert entry.is_used is (used_after_s == 0)
    if 0 < used_after_s < NEVER:
        entry.pass_time(used_after_s - 0.1)
        assert not entry.is_used
        entry.pass_time(0.2)
        assert entry.is_used
    entry.pass_time(3 * LATE_WRITE_S)
    assert entry.is_used is (used_after_s < NEVER)


def test_instance_whose_clock_was_set_back_is_used_although_it_reports_on(entry):
    """Guards against an instance that no entry ever uses again."""
    entry.write(ready(4, born=9))
    entry.write(draining(5, born=9))
    for sequence in range(1, 9):
        entry.write(ready(sequence, born=2))
        entry.pass_time(1.0)
    assert entry.is_used
    assert entry.fleet.instances[InstanceId("i0")].born_ms == 2


def test_record_that_is_written_long_after_its_removal_is_used_at_once(entry):
    entry.write(ready(3))
    entry.write(None)
    entry.pass_time(LATE_WRITE_S + 0.1)
    entry.write(ready(3))
    assert entry.is_used


async def test_record_that_expired_in_an_outage_is_used_as_soon_as_it_is_written(entry):
    """Guards against instances that are ignored after an outage of the store."""
    entry.write(ready(3))
    entry.lose_store(None, ready(4))
    assert entry.is_used


def test_time_in_which_nothing_is_heard_of_the_store_releases_no_late_report(entry):
    entry.write(draining(3))
    entry.write(ready(2))
    entry.lose_store()
    assert not entry.is_used
    entry.pass_time(LATE_WRITE_S)
    assert entry.is_used


# What was known, what the copy has, what the instance writes anew, and whether the
# instance is used before and after that.
RESTORATIONS = [
    ([draining(3)], [ready(2)], draining(4), False, False),
    ([draining(3)], [ready(2)], ready(4), False, True),
    ([ready(3), None], [ready(2)], ready(1, born=6), False, True),
    ([ready(3)], [ready(2, born=4)], ready(4), True, True),
    ([ready(3)], [], ready(4), True, True),
]


@pytest.mark.parametrize(
    ("known", "copied", "written", "before", "after"), RESTORATIONS
)
def test_restored_store_follows_the_same_order(
    entry, known, copied, written, before, after
):
    """Guards against two rules, one for a restoration and one for all other days."""
    for value in known:
        entry.write(value)
    entry.restore_store(*copied)
    assert entry.is_used is before
    entry.write(written)
    assert entry.is_used is after
    entry.write(ready(1, born=3))
    assert entry.is_used is after


@pytest.mark.parametrize("is_behind", [False, True], ids=["changes", "snapshot"])
def test_follower_holds_back_what_its_source_holds_back(monkeypatch, is_behind):
    """Guards against followers that get the late report without the newer one."""
    source, follower = Entry(monkeypatch), Entry(monkeypatch)
    start = follower.replica.revision
    source.write(ready(1))
    source.write(draining(3), ready(2))
    if is_behind:
        source.replica.recent_changes.clear()
        source.replica.recent_changes_after = source.replica.revision
    update = source.replica.update_after(start, source.now)
    follower.replica.apply_update(update, follower.now)
    assert not source.is_used
    assert not follower.is_used
    assert follower.held == source.held
    assert follower.replica.revision_in_store(KEY) == source.position()


def test_listing_does_not_renew_the_time_of_a_held_report(entry):
    entry.write(draining(3))
    entry.write(ready(2))
    listed = KeyValue(KEY, ready(2), entry.position())
    for _ in range(3):
        entry.pass_time(LATE_WRITE_S / 3)
        entry.replica.replace([listed], entry.position())
    entry.pass_time(0.1)
    assert entry.is_used
    assert len(entry.held) == 1
