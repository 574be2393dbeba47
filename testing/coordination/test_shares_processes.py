"""Shares over real processes: an owner that is killed, and one that is paused.

Guards against granting a slot twice when the owner changes: the new owner may
grant slots that are still in use, and the paused one may resume and grant as if
it still owned the region.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from bench.fleet import Fleet
from masticdeck.protocol.store import HttpStore, KeyValue

LEASE_S = 1.0
REGION = "vidzeme"
SERVICE_MS = {"katalogs": 50.0}


async def wait_for_owner_key(fleet: Fleet, *, after: int = 0) -> KeyValue:
    """Return the owner key of the region once its revision exceeds ``after``."""
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


async def send_request(fleet: Fleet, entry: str) -> int:
    """Send one request with a timeout of 4 s and return the status."""
    url = f"{fleet.entry_url(entry)}/service/katalogs/x"
    headers = {"Masticdeck-Timeout-Ms": "4000"}
    async with fleet.session.get(url, headers=headers) as response:
        return response.status


@pytest.mark.parametrize("fault", ["kill", "pause"])
async def test_no_instance_exceeds_its_slots_when_the_owner_changes(fault):
    async with Fleet(
        "riga", entries=3, service_ms=SERVICE_MS, settings={"lease_ttl_s": LEASE_S}
    ) as fleet:
        first_key = await wait_for_owner_key(fleet)
        owner = json.loads(first_key.value)["entry"]
        other_entries = [entry for entry in fleet.entry_ids if entry != owner]
        requests = [
            asyncio.create_task(send_request(fleet, other_entries[n % 2]))
            for n in range(80)
        ]
        if fault == "kill":
            await fleet.kill(owner)
        else:
            fleet.pause(owner)
        second_key = await wait_for_owner_key(fleet, after=first_key.revision)
        assert json.loads(second_key.value)["entry"] != owner
        if fault == "pause":
            fleet.resume(owner)
            requests += [
                asyncio.create_task(send_request(fleet, owner)) for _ in range(40)
            ]
        assert set(await asyncio.gather(*requests)) == {200}
        final_key = await wait_for_owner_key(fleet)
        stats = await fleet.instance_stats()
        assert final_key.revision == second_key.revision
        assert sum(counts["over_slots"] for counts in stats.values()) == 0
