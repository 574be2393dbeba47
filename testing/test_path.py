"""The whole path over separate processes: look-up, forwarding, stop."""

from __future__ import annotations

import asyncio

from aiohttp import ClientTimeout

from bench.fleet import Fleet


async def test_request_reaches_a_backend_through_the_entry_of_the_lookup():
    async with Fleet("riga", entries=2) as fleet:
        url = f"{fleet.entry_url('entry-1')}/lookup?service=katalogs&client=10.0.0.1"
        async with fleet.session.get(url) as response:
            answer = await response.json()
        entry = answer["entries"][0]["url"]
        fields = {"Nonce": "n-1"}
        async with fleet.session.get(
            f"{entry}/service/katalogs/spoons?page=2", headers=fields
        ) as response:
            body = await response.json(content_type=None)
        assert response.status == 200
        assert (body["path"], body["nonce"]) == ("/spoons?page=2", "n-1")
        feed = f"{entry}/-/events"
        async with fleet.session.get(feed) as events:
            assert response.headers["Masticdeck-Request"] in await events.text()


async def test_planned_stop_of_an_entry_exits_with_zero():
    async with Fleet("riga", entries=2, backends=False) as fleet:
        assert await fleet.terminate("entry-1") == 0


async def test_load_beyond_one_entry_waits_and_never_exceeds_slots():
    async with Fleet("riga", entries=2) as fleet:
        url = f"{fleet.entry_url('entry-1')}/service/katalogs/spoons"
        fields = {"Masticdeck-Timeout-Ms": "30000"}

        async def ask() -> int:
            async with fleet.session.get(
                url, headers=fields, timeout=ClientTimeout(total=30)
            ) as response:
                return response.status

        statuses = await asyncio.gather(*(ask() for _ in range(100)))
        stats = await fleet.instance_stats()
        assert set(statuses) == {200}
        assert all(one["over_slots"] == 0 for one in stats.values())
