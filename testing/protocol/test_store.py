"""The client of the platform's store against the stand-in and its faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from bench.standins.platform import Platform, build_app
from masticdeck.clock import HybridClock
from masticdeck.errors import (
    StoreAnswerInvalid,
    StoreConflict,
    StoreUnavailable,
)
from masticdeck.events import Code, EventLog
from masticdeck.ids import Revision
from masticdeck.protocol import store as store_protocol
from masticdeck.protocol.store import ABSENT, HttpStore


@pytest.fixture
async def server() -> AsyncIterator[TestServer]:
    async with TestServer(build_app(Platform())) as running:
        yield running


@pytest.fixture
async def store(server: TestServer) -> AsyncIterator[HttpStore]:
    events = EventLog("entry-1", HybridClock())
    client = HttpStore(str(server.make_url("")).rstrip("/"), events=events)
    await client.start()
    yield client
    await client.stop()


async def control(server: TestServer, **faults: Any) -> None:
    async with (
        ClientSession() as session,
        session.post(server.make_url("/control"), json=faults),
    ):
        pass


async def test_write_on_another_revision_is_a_conflict(store: HttpStore):
    first = await store.put("a", b"1", expect=ABSENT)
    with pytest.raises(StoreConflict, match="MD1002"):
        await store.put("a", b"2", expect=ABSENT)
    assert await store.put("a", b"2", expect=first) > first


async def test_write_whose_answer_is_lost_may_have_taken_effect(
    store: HttpStore, server: TestServer
):
    await control(server, lose_answers=1)
    with pytest.raises(StoreUnavailable):
        await store.put("a", b"1", expect=ABSENT)
    item = await store.get("a")
    assert item is not None
    assert item.value == b"1"


async def test_watch_returns_a_change_made_while_it_waits(store: HttpStore):
    watching = asyncio.create_task(store.watch("a", Revision(0), wait_s=10))
    await store.put("a/b", b"1")
    changes = await watching
    assert [one.key for one in changes.changes] == ["a/b"]


async def test_keys_of_a_revoked_lease_are_deleted(store: HttpStore):
    lease = await store.grant_lease(30)
    await store.put("a", b"1", lease=lease)
    await store.revoke_lease(lease)
    assert await store.get("a") is None
    with pytest.raises(StoreConflict):
        await store.renew_lease(lease)


async def test_garbage_is_a_coded_error(store: HttpStore, server: TestServer):
    await control(server, garbage=True)
    with pytest.raises(StoreAnswerInvalid, match="MD1003"):
        await store.get("a")


async def test_outage_has_an_event_at_its_beginning_and_its_end(
    store: HttpStore, server: TestServer
):
    await control(server, down=True)
    for _ in range(2):
        with pytest.raises(StoreUnavailable):
            await store.get("a")
    await control(server, down=False)
    for _ in range(2):
        await store.get("a")
    assert store.events is not None
    codes = [event.code for event in store.events.ring]
    assert codes == [Code.STORE_UNAVAILABLE, Code.STORE_AVAILABLE]


async def test_answer_without_end_is_not_collected(store: HttpStore, monkeypatch):
    """Guards against a process that runs out of memory over an answer of the store."""
    await store.put("a", b"x" * 2_000)
    monkeypatch.setattr(store_protocol, "MAX_ANSWER_BYTES", 1_000)
    with pytest.raises(StoreUnavailable, match="1000 bytes"):
        await store.get("a")
