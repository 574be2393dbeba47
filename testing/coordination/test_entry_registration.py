"""Tests of registration under a lease: renewal, loss and store failures."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from masticdeck import application
from masticdeck.clock import HybridClock
from masticdeck.coordination import entry_registration as entry_registration_module
from masticdeck.coordination.entry_registration import EntryRegistration
from masticdeck.coordination.fleet_view import ENTRY_PREFIX, decode_entry
from masticdeck.events import Code, EventLog
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
async def registration(standin, monkeypatch) -> AsyncIterator[EntryRegistration]:
    monkeypatch.setattr(entry_registration_module, "RENEW_INTERVAL_S", 0.05)
    events = EventLog("own", HybridClock())
    store = PlatformStore(standin.address, events=events, metrics=Metrics(zone="a"))
    await store.start()
    registration = EntryRegistration(store, OWN, events)
    await registration.start()
    yield registration
    await registration.unregister()
    await store.stop()


async def wait_for(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def test_record_holds_the_addresses_of_the_entry(standin, registration):
    await wait_for(lambda: KEY in standin.items)
    item = await registration.store.get(KEY)
    assert decode_entry(EntryId("own"), item.value) == OWN


async def test_lease_that_ended_is_replaced(standin, registration):
    await wait_for(lambda: KEY in standin.items)
    standin.end_lease(next(iter(standin.leases)))
    assert KEY not in standin.items
    await wait_for(lambda: KEY in standin.items)


async def test_record_that_is_not_listed_is_written_again(standin, registration):
    await wait_for(lambda: KEY in standin.items)
    registration.is_listed = lambda: KEY in standin.items
    standin.remove(KEY)
    await wait_for(lambda: KEY in standin.items)


@pytest.mark.parametrize("answer", [b"{}", b"[]", b"x"])
async def test_entry_registers_again_after_malformed_answers_of_the_store(
    standin, registration, monkeypatch, answer
):
    monkeypatch.setattr(entry_registration_module, "INITIAL_RETRY_S", 0.05)
    await wait_for(lambda: KEY in standin.items)
    standin.fixed_answers["kv-lease"] = answer
    standin.end_lease(next(iter(standin.leases)))
    await asyncio.sleep(0.2)
    standin.fixed_answers.clear()
    await wait_for(lambda: KEY in standin.items)


async def test_unexpected_error_does_not_end_the_registration(
    standin, registration, monkeypatch
):
    monkeypatch.setattr(application, "RESTART_DELAY_S", 0.05)
    await wait_for(lambda: KEY in standin.items)

    async def fail(lease):
        raise RuntimeError("unexpected")

    with monkeypatch.context() as broken:
        broken.setattr(registration.store, "renew_lease", fail)
        await asyncio.sleep(0.2)
    for lease in list(standin.leases):
        standin.end_lease(lease)
    await wait_for(lambda: KEY in standin.items)
    failures = [
        event
        for event in registration.events.ring
        if event.code is Code.COMPONENT_FAILED
    ]
    assert failures
    assert "unexpected" in failures[0].fields["error"]


async def test_unregistering_removes_the_record(standin, registration):
    await wait_for(lambda: KEY in standin.items)
    await registration.unregister()
    assert KEY not in standin.items


async def test_retries_back_off_while_the_store_rejects_calls(standin, registration):
    await wait_for(lambda: KEY in standin.items)
    standin.refuse_with = 503
    standin.end_lease(next(iter(standin.leases)))
    registration.retry_s = entry_registration_module.MAX_RETRY_S
    registration.task.cancel()
    await registration.start()
    await asyncio.sleep(0.3)
    grants = standin.calls.count("kv-lease")
    await asyncio.sleep(0.5)
    assert standin.calls.count("kv-lease") <= grants + 1
    standin.refuse_with = None
    await wait_for(lambda: KEY in standin.items)
