"""What a replica believes when the store comes back from an older copy."""

from __future__ import annotations

import json

import pytest

from masticdeck.clock import boottime
from masticdeck.coordination import feed
from masticdeck.coordination.feed import FeedUpdate, RecordReplica
from masticdeck.coordination.feed_peers import (
    FeedService,
    decode_update,
    encode_record,
    encode_update,
)
from masticdeck.coordination.record_order.order import RecordOrder
from masticdeck.coordination.record_order.rules import (
    EXPIRY_S,
    RESTORE_S,
    RecordRules,
)
from masticdeck.ids import Era, Revision
from masticdeck.protocol.positions import era_of, pack_position
from masticdeck.protocol.store import Change, KeyValue

PLAIN, COUNTED, VERSIONED = "plain/a", "counted/a", "versioned/a"


def position(era: int, counter: int) -> Revision:
    return pack_position(Era(era), counter)


def rules() -> RecordRules:
    """Return rules of a count that expires and of a version that only rises."""
    registered = RecordRules()

    def read(value: bytes) -> tuple[int, ...] | None:
        return (json.loads(value),)

    registered.register("counted/")(read)
    registered.register("versioned/", held_s=float("inf"), keeps_missing=True)(read)
    return registered


class Listener:
    """The values in use, as the replica passes them on."""

    def __init__(self) -> None:
        self.in_use: dict[str, bytes] = {}
        self.calls: list[str] = []

    def record_changed(self, key, value, *, maybe_expired) -> None:
        self.calls.append(key)
        if value is None:
            self.in_use.pop(key, None)
        else:
            self.in_use[key] = value


class Entry:
    """A replica with a clock of the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        self.listener = Listener()
        self.replica = RecordReplica(self.listener, RecordOrder(rules()))
        monkeypatch.setattr(feed, "boottime", lambda: self.now)

    def list(self, era: int, counter: int, **items: tuple[int, bytes]) -> None:
        """Apply a listing of keys with their counters and values."""
        self.replica.replace(
            [
                KeyValue(key.replace("__", "/"), value, position(era, at))
                for key, (at, value) in items.items()
            ],
            position(era, counter),
        )

    def change(self, era: int, counter: int, key: str, value: bytes | None) -> None:
        """Apply one change of a watch."""
        at = position(era, counter)
        self.replica.apply_changes([Change(key, value, at)], at)

    def pass_time(self, seconds: float, era: int = 2, counter: int = 90) -> None:
        """Let time pass, after which a watch brings nothing new."""
        self.now += seconds
        self.replica.apply_changes([], position(era, counter))


@pytest.fixture
def entry(monkeypatch) -> Entry:
    return Entry(monkeypatch)


NEVER = float("inf")

# What was known at counter 40 of era 1 (None: removed at 45), what the copy has at
# which counter (None: nothing), the value in use at once, and when the copy's is.
PAIRS = [
    (PLAIN, b"1", (40, b"1"), b"1", 0.0),
    (PLAIN, b"2", (20, b"1"), b"2", RESTORE_S),
    (PLAIN, b"1", (41, b"2"), b"2", 0.0),
    (PLAIN, b"1", None, b"1", RESTORE_S),
    (PLAIN, None, (40, b"1"), None, RESTORE_S),
    (PLAIN, None, (20, b"0"), None, RESTORE_S),
    (PLAIN, None, (41, b"1"), b"1", 0.0),
    (COUNTED, b"7", (20, b"6"), b"7", EXPIRY_S),
    (COUNTED, b"7", (20, b"8"), b"8", 0.0),
    (COUNTED, b"7", (60, b"6"), b"7", EXPIRY_S),
    (COUNTED, b"7", None, b"7", RESTORE_S),
    (COUNTED, None, (40, b"7"), None, EXPIRY_S),
    (COUNTED, None, (20, b"6"), None, EXPIRY_S),
    (COUNTED, None, (20, b"8"), b"8", 0.0),
    (COUNTED, None, (30, b"7"), b"7", 0.0),
    (VERSIONED, b"9", (20, b"5"), b"9", NEVER),
    (VERSIONED, b"9", None, b"9", NEVER),
    (VERSIONED, b"9", (20, b"11"), b"11", 0.0),
]


@pytest.mark.parametrize(("key", "known", "copied", "at_once", "copy_used_s"), PAIRS)
def test_value_in_use_after_a_restoration(
    entry, key, known, copied, at_once, copy_used_s
):
    """Guards against a copy that undoes what is known, and against being deaf to it."""
    last = known or (b"7" if key == COUNTED else b"1")
    entry.list(1, 40, **{key.replace("/", "__"): (40, last)})
    if known is None:
        entry.change(1, 45, key, None)
    copy = {} if copied is None else {key.replace("/", "__"): copied}
    entry.list(2, 70, **copy)
    assert entry.listener.in_use.get(key) == at_once
    if copy_used_s and copy_used_s < NEVER:
        entry.pass_time(copy_used_s - 0.1)
        assert entry.listener.in_use.get(key) == at_once
    entry.pass_time(min(copy_used_s, 60.0) + 0.2)
    expected = at_once if copy_used_s == NEVER else copied and copied[1]
    assert entry.listener.in_use.get(key) == expected


@pytest.mark.parametrize("key", [PLAIN, COUNTED, VERSIONED])
def test_change_after_a_restoration_is_used_although_its_counter_is_lower(entry, key):
    """Guards against an entry that is deaf until the counter has caught up."""
    entry.list(1, 40, **{key.replace("/", "__"): (40, b"5")})
    entry.list(2, 25, **{key.replace("/", "__"): (20, b"3")})
    entry.change(2, 26, key, b"9")
    assert entry.listener.in_use[key] == b"9"
    entry.change(2, 27, key, None)
    assert key not in entry.listener.in_use


def test_record_written_again_is_not_passed_on_a_second_time(entry):
    entry.list(1, 40, counted__a=(40, b"7"))
    entry.list(2, 25, counted__a=(25, b"7"))
    assert entry.listener.calls == [COUNTED]
    assert entry.replica.records[COUNTED].revision == position(2, 25)


def test_held_value_that_the_store_removes_is_never_used(entry):
    entry.list(1, 40, counted__a=(40, b"7"))
    entry.change(1, 45, COUNTED, None)
    entry.list(2, 25, counted__a=(20, b"6"))
    entry.change(2, 26, COUNTED, None)
    entry.pass_time(EXPIRY_S + 1.0)
    assert entry.listener.calls == [COUNTED, COUNTED]


def test_second_restoration_within_seconds_keeps_what_was_known_before_the_first(entry):
    entry.list(1, 40, counted__a=(40, b"7"), versioned__a=(39, b"9"))
    entry.list(2, 25, counted__a=(20, b"6"), versioned__a=(19, b"5"))
    entry.now += 1.0
    entry.list(3, 22, counted__a=(20, b"6"), versioned__a=(19, b"5"))
    entry.pass_time(EXPIRY_S - 0.5, era=3)
    assert entry.listener.in_use == {COUNTED: b"7", VERSIONED: b"9"}
    entry.pass_time(0.6, era=3)
    assert entry.listener.in_use == {COUNTED: b"6", VERSIONED: b"9"}


def test_outage_after_a_restoration_leaves_writers_their_time(entry):
    """Guards against records that lapse although nobody could write them again."""
    entry.list(1, 40, plain__a=(40, b"1"))
    entry.replica.confirm(entry.now, entry.now)
    entry.list(2, 25)
    entry.now += 2 * RESTORE_S
    entry.replica.confirm(entry.now, entry.now)
    entry.pass_time(0.1)
    assert entry.listener.in_use == {PLAIN: b"1"}
    entry.pass_time(RESTORE_S)
    assert entry.listener.in_use == {}


def test_quiet_store_does_not_delay_the_end_of_a_restoration(entry):
    """Guards against records that never lapse while no other record changes."""
    entry.list(1, 40, plain__a=(40, b"1"))
    entry.list(2, 25)
    entry.replica.confirm(entry.now, entry.now)
    quiet_until = entry.now + 2 * RESTORE_S
    while entry.now < quiet_until:
        entry.now += feed.WATCH_WAIT_S + feed.MIN_WATCH_INTERVAL_S
        entry.replica.confirm(entry.now - feed.MIN_WATCH_INTERVAL_S, entry.now)
        entry.pass_time(0.0)
    assert entry.listener.in_use == {}


def test_listing_of_an_earlier_era_that_arrives_late_changes_nothing(entry):
    entry.list(2, 25, plain__a=(20, b"new"))
    entry.list(1, 60, plain__a=(60, b"old"))
    assert entry.listener.in_use == {PLAIN: b"new"}
    assert entry.replica.revision == position(2, 25)


def test_writer_learns_which_revision_the_store_has_of_a_held_key(entry):
    entry.list(1, 40, versioned__a=(40, b"9"), versioned__b=(40, b"9"))
    entry.list(2, 25, versioned__a=(20, b"5"))
    assert entry.replica.revision_in_store("versioned/a") == position(2, 20)
    assert entry.replica.revision_in_store("versioned/b") == 0
    assert entry.replica.is_unrestored("versioned/b")


class TestFollowers:
    """Positions on the way from one entry to another."""

    def pass_on(self, source: Entry, follower: Entry, *, without_era: bool) -> None:
        """Send one update of the source's replica to the follower."""
        after = follower.replica.revision
        update = source.replica.update_after(after, boottime())
        service = FeedService(source.replica)
        message = encode_update(
            update, service.encode_records(update, after, compress=False)
        )
        if without_era:
            message.era = 0
            for record in message.records:
                record.era = 0
        received = decode_update(message, follower.replica.era)
        follower.replica.apply_update(received, boottime())

    @pytest.mark.parametrize("is_behind", [False, True])
    def test_follower_reaches_the_new_era_with_its_source(self, monkeypatch, is_behind):
        """Guards against followers that stay deaf beside a source that is not."""
        source, follower = Entry(monkeypatch), Entry(monkeypatch)
        source.list(1, 40, counted__a=(40, b"7"), versioned__a=(39, b"9"))
        if not is_behind:
            self.pass_on(source, follower, without_era=False)
        source.list(2, 25, counted__a=(20, b"6"), versioned__a=(19, b"5"))
        source.change(2, 26, VERSIONED, b"11")
        self.pass_on(source, follower, without_era=False)
        assert follower.listener.in_use == {COUNTED: b"7", VERSIONED: b"11"}
        assert follower.replica.revision == source.replica.revision
        source.change(2, 27, COUNTED, b"8")
        self.pass_on(source, follower, without_era=False)
        assert follower.listener.in_use[COUNTED] == b"8"

    def test_follower_that_starts_in_the_middle_uses_the_copy_when_it_is_due(
        self, monkeypatch
    ):
        """Guards against a follower that lacks what its source holds back."""
        source, follower = Entry(monkeypatch), Entry(monkeypatch)
        source.list(1, 40, counted__a=(40, b"7"))
        source.list(2, 25, counted__a=(20, b"6"))
        self.pass_on(source, follower, without_era=False)
        assert follower.listener.in_use == {COUNTED: b"7"}
        source.now = follower.now = source.now + EXPIRY_S + 0.1
        for one in (source, follower):
            one.pass_time(0.0)
            assert one.listener.in_use == {COUNTED: b"6"}

    def test_message_of_an_older_version_belongs_to_the_era_of_its_reader(
        self, monkeypatch
    ):
        source, follower = Entry(monkeypatch), Entry(monkeypatch)
        for one in (source, follower):
            one.list(2, 25, plain__a=(20, b"1"))
        source.change(2, 26, PLAIN, b"2")
        self.pass_on(source, follower, without_era=True)
        assert follower.listener.in_use == {PLAIN: b"2"}
        assert follower.replica.revision == position(2, 26)

    def test_record_of_an_earlier_era_keeps_its_own_position(self):
        change = Change(PLAIN, b"1", position(1, 40))
        record = encode_record(change, Era(2), compress=False)
        update = FeedUpdate(True, (change,), position(2, 25), 0.1)
        received = decode_update(encode_update(update, [record]))
        assert received.changes == (change,)
        assert era_of(received.revision) == 2
