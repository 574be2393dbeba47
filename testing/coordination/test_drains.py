"""Draining instances get no new work, whichever source speaks first."""

from __future__ import annotations

import asyncio
import base64
from typing import Any, cast

from bench.fleet import Fleet
from masticdeck.coordination.drain_notes import DrainNote, DrainNotes, DrainSource
from masticdeck.coordination.drains import Drains
from testing.coordination.order_network import HOME, Network

SOURCES = {
    "katalogs-1": "operator",
    "katalogs-2": "platform",
    "katalogs-3": "instance",
    "katalogs-4": "header",
}


async def speak(fleet: Fleet, instance: str, source: str, *, leaving: bool) -> None:
    """Let one source say that an instance drains, or that it no longer does."""
    if source == "operator":
        key = {"key": f"drains/{instance}", "expect": None}
        value = {"value": base64.b64encode(b"{}").decode()}
        method, body = ("put", key | value) if leaving else ("delete", key)
        url = f"{fleet.platform_url}/v1/{method}"
        async with fleet.session.post(url, json=body) as response:
            assert response.status == 200
    elif source == "platform":
        vms = [{"name": instance, "state": "leaving"}] if leaving else []
        await fleet.control_platform(vms=vms)
    else:
        await fleet.control_instance(instance, draining=leaving)


async def leaving_at(fleet: Fleet, entry: str) -> set[str]:
    url = f"{fleet.entry_url(entry)}/-/drain"
    async with fleet.session.get(url) as response:
        return set((await response.json())["leaving"])


async def wait_for(fleet: Fleet, names: set[str]) -> None:
    """Wait until every entry knows exactly these to be leaving."""
    async with asyncio.timeout(20):
        while any([await leaving_at(fleet, e) != names for e in fleet.entry_ids]):
            await asyncio.sleep(0.05)


async def ask(fleet: Fleet, entry: str) -> int:
    url = f"{fleet.entry_url(entry)}/service/katalogs/spoons"
    fields = {"Masticdeck-Timeout-Ms": "4000"}
    async with fleet.session.get(url, headers=fields) as response:
        return response.status


async def ran(fleet: Fleet, names: set[str]) -> int:
    stats = await fleet.instance_stats()
    return sum(stats[name]["ran"] for name in names)


async def test_every_source_alone_stops_new_work_at_every_entry():
    async with Fleet("riga", entries=3) as fleet:
        await asyncio.gather(*(ask(fleet, one) for one in fleet.entry_ids * 5))
        for instance, source in SOURCES.items():
            await speak(fleet, instance, source, leaving=True)
        await wait_for(fleet, set(SOURCES))
        before = await ran(fleet, set(SOURCES))
        asked = [ask(fleet, e) for e in fleet.entry_ids for _ in range(10)]
        assert set(await asyncio.gather(*asked)) == {200}
        assert await ran(fleet, set(SOURCES)) == before
        for instance, source in SOURCES.items():
            await speak(fleet, instance, source, leaving=False)
        await wait_for(fleet, set())


async def test_restarted_entry_learns_drains_from_its_peers_with_the_store_down():
    async with Fleet("riga", entries=2, backends=False) as fleet:
        await speak(fleet, "katalogs-1", "operator", leaving=True)
        await wait_for(fleet, {"katalogs-1"})
        await fleet.control_platform(down=True)
        await fleet.kill("entry-2")
        await fleet.start_entry("entry-2")
        await wait_for(fleet, {"katalogs-1"})


def test_older_note_does_not_replace_a_newer_one():
    def note(stamp: int, *, leaving: bool) -> DrainNote:
        source = DrainSource.PLATFORM
        return DrainNote(name="x", source=source, leaving=leaving, stamp=stamp)

    notes = DrainNotes()
    assert notes.merge(note(2, leaving=True))
    assert not notes.merge(note(1, leaving=False))
    assert notes.leaving("x")


def test_instance_returns_only_when_no_source_says_that_it_leaves():
    notes = DrainNotes()
    for stamp, source in enumerate(DrainSource):
        notes.merge(DrainNote(name="x", source=source, leaving=True, stamp=stamp))
    for stamp, source in enumerate(DrainSource, 10):
        assert notes.leaving("x")
        notes.merge(DrainNote(name="x", source=source, leaving=False, stamp=stamp))
    assert not notes.leaving("x")


class Nobody:
    """A membership without other entries."""

    def alive_entries(self) -> list[str]:
        return []


def test_lagging_platform_list_does_not_make_an_instance_return():
    drains = Drains(Network(entries=2).entries[HOME].node, cast(Any, Nobody()))
    for _ in range(3):
        drains.observe_all({"katalogs-1"}, DrainSource.PLATFORM)
        for _ in range(4):
            drains.observe_all(set(), DrainSource.PLATFORM)
            assert drains.leaving == {"katalogs-1"}
    drains.observe_all(set(), DrainSource.PLATFORM)
    assert not drains.leaving


async def test_news_goes_to_the_own_zone_and_to_one_entry_of_each_other_zone():
    node = Network(entries=9).entries[HOME].node
    entries = [one.id for one in node.deployment.entries]

    class Everyone:
        """A membership in which all are alive."""

        def alive_entries(self) -> list[str]:
            return entries

    drains = Drains(node, cast(Any, Everyone()))
    told: dict[str, bool] = {}

    async def tell(entry, notes, *, pass_on=False, fingerprint=0):
        told[entry] = pass_on
        return []

    drains.peers.tell = cast(Any, tell)
    drains.observe("katalogs-1", DrainSource.INSTANCE, True)
    await asyncio.gather(*drains.peers.tasks)
    zone_of = {one.id: one.zone for one in node.deployment.entries}
    near = [one for one in entries if zone_of[one] == node.entry.zone and one != HOME]
    far = [one for one in told if zone_of[one] != node.entry.zone]
    assert {one for one, pass_on in told.items() if not pass_on} == set(near)
    assert sorted(zone_of[one] for one in far) == sorted(
        {zone.id for zone in node.deployment.zones} - {node.entry.zone}
    )
