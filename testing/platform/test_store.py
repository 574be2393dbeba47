"""The client of the platform's store, with the store well and unwell."""

from __future__ import annotations

import asyncio

import pytest

from masticdeck.errors import (
    StoreAnswerInvalid,
    StoreConflict,
    StoreHistoryLost,
    StoreUnavailable,
)
from masticdeck.events import Code
from masticdeck.ids import Era, Revision
from masticdeck.platform import store as store_module
from masticdeck.protocol import store as store_protocol
from masticdeck.protocol.positions import counter_of, era_of, pack_position
from masticdeck.protocol.store import ABSENT
from testing.platform.standin_store import Lease


async def test_written_value_is_read_back_with_its_revision(store):
    revision = await store.put("a/b", b"\x00value", expect=ABSENT)
    item = await store.get("a/b")
    assert (item.value, item.revision) == (b"\x00value", revision)


async def test_absent_key_is_none(store):
    assert await store.get("a/b") is None


async def test_write_against_another_revision_conflicts(store):
    await store.put("a", b"1")
    with pytest.raises(StoreConflict):
        await store.put("a", b"2", expect=ABSENT)


async def test_listing_takes_every_page(store, standin):
    for number in range(10):
        standin.write(f"a/{number}", b"x")
    standin.write("b", b"x")
    listing = await store.list("a/")
    assert [item.key for item in listing.items] == [f"a/{one}" for one in range(10)]
    assert standin.calls.count("kv-range") == 4


async def test_listing_has_the_revision_of_its_first_page(store, standin):
    for number in range(5):
        standin.write(f"a/{number}", b"x")
    first = standin.revision
    standin.delay_s = 0.05
    reading = asyncio.create_task(store.list("a/"))
    while standin.calls.count("kv-range") < 2:
        await asyncio.sleep(0.005)
    standin.write("a/0", b"changed while the second page is read")
    assert (await reading).revision == first


async def test_stale_listing_has_the_revision_of_its_oldest_page(store, standin):
    for number in range(8):
        standin.write(f"a/{number}", b"x")
    standin.stale_lags = iter([1, 4, 2])
    listing = await store.list("a/", allow_stale=True)
    assert listing.revision == standin.revision - 4
    assert len(listing.items) == 8
    assert (await store.list("a/")).revision == standin.revision


async def test_watch_without_a_wait_returns_what_there_is(store, standin):
    standin.write("a", b"1")
    revision = standin.revision
    assert (await store.watch("", Revision(revision), wait_s=0.0)).changes == ()
    standin.write("a", b"2")
    changes = await store.watch("", Revision(revision), wait_s=0.0)
    assert [change.value for change in changes.changes] == [b"2"]


async def test_watch_returns_values_and_deletions(store, standin):
    standin.write("a", b"1")
    standin.remove("a")
    changes = await store.watch("", 1, wait_s=1)
    assert [(one.key, one.value) for one in changes.changes] == [
        ("a", b"1"),
        ("a", None),
    ]
    assert changes.revision == standin.revision


async def test_watch_without_changes_ends_after_its_wait(store, standin):
    changes = await store.watch("", standin.revision, wait_s=0.05)
    assert changes.changes == ()


async def test_lost_history_is_told_apart(store, standin):
    standin.write("a", b"1")
    standin.compact()
    with pytest.raises(StoreHistoryLost):
        await store.watch("", 1, wait_s=1)


async def test_key_under_a_lease_vanishes_with_it(store):
    lease = await store.grant_lease(5)
    await store.put("a", b"1", lease=lease)
    await store.renew_lease(lease)
    await store.revoke_lease(lease)
    assert await store.get("a") is None


async def test_renewing_an_ended_lease_conflicts(store):
    lease = await store.grant_lease(5)
    await store.revoke_lease(lease)
    with pytest.raises(StoreConflict):
        await store.renew_lease(lease)


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_refusing_store_is_unavailable(store, standin, status):
    standin.refuse_with = status
    with pytest.raises(StoreUnavailable, match=str(status)):
        await store.get("a")


async def test_write_with_a_lost_answer_is_unavailable_but_may_have_acted(
    store, standin
):
    standin.lose_answers = True
    with pytest.raises(StoreUnavailable):
        await store.put("a", b"1")
    standin.lose_answers = False
    assert (await store.get("a")).value == b"1"


async def test_silent_store_is_unavailable_after_the_call_timeout(
    store, standin, monkeypatch
):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.1)
    standin.silent = True
    with pytest.raises(StoreUnavailable):
        await store.get("a")


async def test_outage_begins_and_ends_with_one_event_each(store, standin, events):
    standin.refuse_with = 503
    for _ in range(3):
        with pytest.raises(StoreUnavailable):
            await store.get("a")
    standin.refuse_with = None
    await store.get("a")
    await store.get("a")
    codes = [event.code for event in events.ring]
    assert codes == [Code.STORE_UNAVAILABLE, Code.STORE_AVAILABLE]


async def test_item_without_a_value_is_invalid(store, standin):
    standin.items["a"] = {"key": "a", "revision": 1}
    with pytest.raises(StoreAnswerInvalid):
        await store.get("a")


MALFORMED_ANSWERS = [
    b"",
    b"[]",
    b"{}",
    b"null",
    b'{"revision": "x", "lease": null, "items": 7, "at": 1, "events": [], "at": []}',
    b'{"revision": null, "items": [7], "at": 1, "events": [7]}',
    b'{"items": [{"key": "a", "value": "%", "revision": 1}], "at": {}, "events": {}}',
]


@pytest.mark.parametrize("answer", MALFORMED_ANSWERS)
@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.get("a"),
        lambda store: store.list(""),
        lambda store: store.put("a", b"1"),
        lambda store: store.grant_lease(5),
        lambda store: store.watch("", 1, wait_s=0.1),
    ],
    ids=["get", "list", "put", "grant lease", "watch"],
)
async def test_malformed_answer_is_invalid(store, standin, call, answer):
    standin.fixed_answers["*"] = answer
    with pytest.raises(StoreAnswerInvalid):
        await call(store)


async def test_answer_without_end_is_not_collected(store, standin, monkeypatch):
    """Guards against a process that runs out of memory over an answer of the store."""
    monkeypatch.setattr(store_protocol, "MAX_ANSWER_BYTES", 1_000_000)
    standin.endless = True
    with pytest.raises(StoreUnavailable, match="1000000 bytes"):
        await store.list("")
    assert standin.endless_bytes < 20_000_000
    standin.endless = False
    assert not (await store.list("")).items


class TestEras:
    """The store comes back from a copy, once or more, and says so or not."""

    @pytest.fixture(autouse=True)
    def state_era(self, standin) -> None:
        standin.era = 1

    async def test_condition_of_an_earlier_era_is_never_sent(self, store, standin):
        """Guards against a write over another value that got the same revision."""
        earlier = standin.copy()
        revision = await store.put("a", b"1", expect=ABSENT)
        standin.restore(earlier)
        standin.write("a", b"of another writer")
        assert standin.revision == revision & 0xFFFF
        await store.list("")
        standin.calls.clear()
        with pytest.raises(StoreConflict):
            await store.put("a", b"2", expect=revision)
        assert standin.calls == []

    async def test_condition_from_an_entry_of_an_older_version_is_sent(self, store):
        """Guards against writers that follow such an entry and may never write."""
        revision = await store.put("a", b"1", expect=ABSENT)
        bare = Revision(counter_of(revision))
        assert era_of(await store.put("a", b"2", expect=bare)) == 1

    async def test_age_of_an_era_is_that_since_its_begin_was_seen(self, store, standin):
        await store.list("")
        assert store.era_age_s() is None
        standin.restore(standin.copy())
        await store.list("")
        assert 0 <= store.era_age_s() < 5

    async def test_write_that_meets_a_new_era_is_not_taken_for_done(
        self, store, standin
    ):
        earlier = standin.copy()
        revision = await store.put("a", b"1", expect=ABSENT)
        standin.restore(earlier)
        standin.write("a", b"of another writer")
        with pytest.raises(StoreUnavailable):
            await store.put("a", b"2", expect=revision)
        assert store.era == 2

    async def test_lease_of_an_earlier_era_renews_and_ends_no_other(
        self, store, standin
    ):
        """Guards against leases whose number was given out again."""
        earlier = standin.copy()
        lease = await store.grant_lease(5)
        standin.restore(earlier)
        other = await store.grant_lease(5)
        assert other.partition("/")[2] == lease.partition("/")[2]
        for call in (store.renew_lease, store.revoke_lease):
            with pytest.raises(StoreConflict):
                await call(lease)
        with pytest.raises(StoreConflict):
            await store.put("a", b"1", lease=lease)
        await store.renew_lease(other)

    async def test_renewal_that_meets_a_new_era_does_not_count(self, store, standin):
        earlier = standin.copy()
        lease = await store.grant_lease(5)
        standin.restore(earlier)
        standin.leases[int(lease.partition("/")[2])] = Lease(5.0, float("inf"))
        with pytest.raises(StoreConflict):
            await store.renew_lease(lease)

    async def test_watch_does_not_continue_in_another_era(self, store, standin):
        standin.write("a", b"1")
        after = pack_position(Era(1), standin.revision)
        standin.restore(standin.copy())
        standin.write("a", b"2")
        with pytest.raises(StoreHistoryLost):
            await store.watch("", after, wait_s=1)
        listing = await store.list("")
        assert era_of(listing.revision) == 2
        changes = await store.watch("", listing.revision, wait_s=0)
        assert changes.changes == ()

    async def test_late_answer_of_an_earlier_era_is_discarded(self, store, standin):
        standin.write("a", b"1")
        standin.delay_s = 0.1
        reading = asyncio.create_task(store.get("a"))
        await asyncio.sleep(0.02)
        store.note_era(Era(2))
        with pytest.raises(StoreUnavailable):
            await reading

    @pytest.mark.parametrize("stated", ["", "x", "-1", "1e3", "99999999", "1"])
    async def test_era_that_goes_down_or_cannot_be_read_is_ignored(
        self, store, standin, events, stated
    ):
        """Guards against an entry that is deaf after one wrong era."""
        standin.era = 2
        standin.write("a", b"1")
        await store.list("")
        standin.stated_era = stated or "nothing"
        for _ in range(3):
            item = await store.get("a")
            assert era_of(item.revision) == 2
        assert store.metrics.counters["store_eras_ignored"] == 3
        codes = [event.code for event in events.ring]
        assert codes.count(Code.STORE_ERA_IGNORED) == 1

    async def test_listing_across_two_eras_is_not_used(self, store, standin):
        for number in range(8):
            standin.write(f"a/{number}", b"x")
        standin.delay_s = 0.05
        reading = asyncio.create_task(store.list("a/"))
        while standin.calls.count("kv-range") < 2:
            await asyncio.sleep(0.005)
        standin.restore(standin.copy())
        with pytest.raises(StoreUnavailable):
            await reading
