"""Shares over real processes: an owner that is killed, and one that sleeps."""

from __future__ import annotations

import asyncio
import json

import pytest

from bench.fleet import Fleet
from masticdeck.protocol.store import HttpStore, KeyValue

LEASE_S = 1.0
REGION = "vidzeme"
SLOTS_S = {"katalogs": 50.0}


async def owner_key(fleet: Fleet, *, after: int = 0) -> KeyValue:
    """Return the key of the region's owner once it is newer than a revision."""
    store = HttpStore(fleet.platform_url)
    await store.start()
    try:
        async with asyncio.timeout(20):
            while True:
                item = await store.get(f"owner/region/{REGION}")
                if item is not None and item.revision > after:
                    return item
                await asyncio.sleep(0.02)
    finally:
        await store.stop()


async def ask(fleet: Fleet, entry: str) -> int:
    """Send one request with a patient deadline and return its status."""
    url = f"{fleet.entry_url(entry)}/service/katalogs/x"
    fields = {"Masticdeck-Timeout-Ms": "4000"}
    async with fleet.session.get(url, headers=fields) as response:
        return response.status


@pytest.mark.parametrize("fault", ["kill", "pause"])
async def test_slots_are_never_exceeded_across_a_change_of_owner(fault):
    async with Fleet(
        "riga", entries=3, service_ms=SLOTS_S, settings={"lease_ttl_s": LEASE_S}
    ) as fleet:
        first = await owner_key(fleet)
        owner = json.loads(first.value)["entry"]
        others = [entry for entry in fleet.entry_ids if entry != owner]
        busy = [asyncio.create_task(ask(fleet, others[n % 2])) for n in range(80)]
        if fault == "kill":
            await fleet.kill(owner)
        else:
            fleet.pause(owner)
        second = await owner_key(fleet, after=first.revision)
        assert json.loads(second.value)["entry"] != owner
        if fault == "pause":
            fleet.resume(owner)
            busy += [asyncio.create_task(ask(fleet, owner)) for _ in range(40)]
        assert set(await asyncio.gather(*busy)) == {200}
        third = await owner_key(fleet)
        stats = await fleet.instance_stats()
        assert third.revision == second.revision
        assert sum(one["over_slots"] for one in stats.values()) == 0
