"""Registration under a lease: renewal, loss, and the store's absence."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from masticdeck.clock import HybridClock
from masticdeck.coordination import entry_registration as entry_registration_module
from masticdeck.coordination.entry_registration import EntryRegistration
from masticdeck.coordination.fleet_view import ENTRY_PREFIX, decode_entry
from masticdeck.events import EventLog
from masticdeck.ids import EntryId, ZoneId
from masticdeck.metrics import Metrics
from masticdeck.platform.store import PlatformStore
from masticdeck.state.fleet import FleetEntry
from testing.platform.standin_store import StandinStore

KEY = f"{ENTRY_PREFIX}own"
OWN = FleetEntry(
    id=EntryId("own"),
    zone=ZoneId("a"),
    caller_address="127.0.0.1:1",
    peer_host="127.0.0.1",
    peer_port=2,
    incarnation=3,
)
WAIT_S = 10.0


@pytest.fixture
async def standin() -> AsyncIterator[StandinStore]:
    store = StandinStore()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def roster(standin, monkeypatch) -> AsyncIterator[EntryRegistration]:
    monkeypatch.setattr(entry_registration_module, "RENEW_INTERVAL_S", 0.05)
    events = EventLog("own", HybridClock())
    store = PlatformStore(standin.address, events=events, metrics=Metrics(zone="a"))
    await store.start()
    roster = EntryRegistration(store, OWN, events)
    await roster.start()
    yield roster
    await roster.unregister()
    await store.stop()


async def wait_for(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def test_record_tells_where_the_entry_is(standin, roster):
    await wait_for(lambda: KEY in standin.items)
    item = await roster.store.get(KEY)
    assert decode_entry(EntryId("own"), item.value) == OWN


async def test_lease_that_ended_is_replaced(standin, roster):
    await wait_for(lambda: KEY in standin.items)
    standin.end_lease(next(iter(standin.leases)))
    assert KEY not in standin.items
    await wait_for(lambda: KEY in standin.items)


async def test_record_that_nobody_sees_is_written_anew(standin, roster):
    await wait_for(lambda: KEY in standin.items)
    roster.is_listed = lambda: KEY in standin.items
    standin.remove(KEY)
    await wait_for(lambda: KEY in standin.items)


async def test_leaving_ends_the_registration(standin, roster):
    await wait_for(lambda: KEY in standin.items)
    await roster.unregister()
    assert KEY not in standin.items


async def test_attempts_grow_rare_while_the_store_refuses(standin, roster):
    await wait_for(lambda: KEY in standin.items)
    standin.refuse_with = 503
    standin.end_lease(next(iter(standin.leases)))
    roster.retry_s = entry_registration_module.MAX_RETRY_S
    roster.task.cancel()
    await roster.start()
    await asyncio.sleep(0.3)
    grants = standin.calls.count("kv-lease")
    await asyncio.sleep(0.5)
    assert standin.calls.count("kv-lease") <= grants + 1
    standin.refuse_with = None
    await wait_for(lambda: KEY in standin.items)
