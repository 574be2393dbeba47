"""Fixtures of the platform's stand-in."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from masticdeck.clock import HybridClock
from masticdeck.events import EventLog
from masticdeck.metrics import Metrics
from masticdeck.platform.store import PlatformStore
from testing.platform.standin_store import StandinStore


@pytest.fixture
async def standin() -> AsyncIterator[StandinStore]:
    store = StandinStore()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def events() -> EventLog:
    return EventLog("entry-1", HybridClock())


@pytest.fixture
async def store(standin, events) -> AsyncIterator[PlatformStore]:
    client = PlatformStore(standin.address, events=events, metrics=Metrics(zone="a"))
    await client.start()
    yield client
    await client.stop()
