"""Instances that any source reports as draining get no new work."""

from __future__ import annotations

import asyncio
import base64
from typing import Any, cast

from bench.fleet import Fleet
from masticdeck.coordination.drain_notes import DrainNote, DrainNotes, DrainSource
from masticdeck.coordination.drains import Drains
from masticdeck.ids import InstanceId
from testing.coordination.order_network import HOME, OrderNetwork

SOURCES = {
    "katalogs-1": "operator",
    "katalogs-2": "platform",
    "katalogs-3": "instance",
    "katalogs-4": "header",
}


async def set_leaving(
    fleet: Fleet, instance: str, source: str, *, leaving: bool
) -> None:
    """Make one source report that an instance is leaving, or no longer is."""
    if source == "operator":
        condition = {"key": f"drains/{instance}", "expect": None}
        new_value = {"value": base64.b64encode(b"{}").decode()}
        method, body = (
            ("put", condition | new_value) if leaving else ("delete", condition)
        )
        url = f"{fleet.platform_url}/v1/{method}"
        async with fleet.session.post(url, json=body) as response:
            assert response.status == 200
    elif source == "platform":
        vms = [{"name": instance, "state": "leaving"}] if leaving else []
        await fleet.control_platform(vms=vms)
    else:
        await fleet.control_instance(instance, draining=leaving)


async def leaving_names_at(fleet: Fleet, entry: str) -> set[str]:
    url = f"{fleet.entry_url(entry)}/-/drain"
    async with fleet.session.get(url) as response:
        return set((await response.json())["leaving"])


async def wait_until_leaving(fleet: Fleet, names: set[str]) -> None:
    """Wait until every entry regards exactly these instances as leaving."""
    async with asyncio.timeout(20):
        while any(
            [await leaving_names_at(fleet, entry) != names for entry in fleet.entry_ids]
        ):
            await asyncio.sleep(0.05)


async def get_status(fleet: Fleet, entry: str) -> int:
    url = f"{fleet.entry_url(entry)}/service/katalogs/spoons"
    headers = {"Masticdeck-Timeout-Ms": "4000"}
    async with fleet.session.get(url, headers=headers) as response:
        return response.status


async def count_runs(fleet: Fleet, names: set[str]) -> int:
    stats = await fleet.instance_stats()
    return sum(stats[name]["ran"] for name in names)


async def test_every_source_alone_stops_new_work_at_every_entry():
    async with Fleet("riga", entries=3) as fleet:
        await asyncio.gather(
            *(get_status(fleet, entry) for entry in fleet.entry_ids * 5)
        )
        for instance, source in SOURCES.items():
            await set_leaving(fleet, instance, source, leaving=True)
        await wait_until_leaving(fleet, set(SOURCES))
        runs_before = await count_runs(fleet, set(SOURCES))
        requests = [
            get_status(fleet, entry) for entry in fleet.entry_ids for _ in range(10)
        ]
        assert set(await asyncio.gather(*requests)) == {200}
        assert await count_runs(fleet, set(SOURCES)) == runs_before
        for instance, source in SOURCES.items():
            await set_leaving(fleet, instance, source, leaving=False)
        await wait_until_leaving(fleet, set())


async def test_restarted_entry_gets_drains_from_its_peers_with_the_store_unreachable():
    """Without the store, only the exchange with a peer can restore the drains."""
    async with Fleet("riga", entries=2, backends=False) as fleet:
        await set_leaving(fleet, "katalogs-1", "operator", leaving=True)
        await wait_until_leaving(fleet, {"katalogs-1"})
        await fleet.control_platform(down=True)
        await fleet.kill("entry-2")
        await fleet.start_entry("entry-2")
        await wait_until_leaving(fleet, {"katalogs-1"})


def test_older_note_does_not_replace_a_newer_one():
    def create_note(stamp: int, *, leaving: bool) -> DrainNote:
        source = DrainSource.PLATFORM
        return DrainNote(name="x", source=source, leaving=leaving, stamp=stamp)

    notes = DrainNotes()
    assert notes.merge(create_note(2, leaving=True))
    assert not notes.merge(create_note(1, leaving=False))
    assert notes.is_leaving("x")


def test_instance_returns_only_when_no_source_reports_it_as_leaving():
    notes = DrainNotes()
    for stamp, source in enumerate(DrainSource):
        notes.merge(DrainNote(name="x", source=source, leaving=True, stamp=stamp))
    for stamp, source in enumerate(DrainSource, 10):
        assert notes.is_leaving("x")
        notes.merge(DrainNote(name="x", source=source, leaving=False, stamp=stamp))
    assert not notes.is_leaving("x")


class EmptyMembership:
    """A membership without live entries."""

    def alive_entries(self) -> list[str]:
        return []


def test_instance_returns_after_five_consecutive_reads_without_it():
    """The platform's list lags, so a name may be missing from several reads."""
    drains = Drains(
        OrderNetwork(entries=2).entries[HOME].node, cast(Any, EmptyMembership())
    )
    for _ in range(3):
        drains.observe_all({"katalogs-1"}, DrainSource.PLATFORM)
        for _ in range(4):
            drains.observe_all(set(), DrainSource.PLATFORM)
            assert drains.leaving_names == {"katalogs-1"}
    drains.observe_all(set(), DrainSource.PLATFORM)
    assert not drains.leaving_names


def test_health_answer_undoes_no_drain_that_was_reported_after_the_probe():
    """Guards against an older word of an instance that arrives after a newer one."""
    node = OrderNetwork(entries=2).entries[HOME].node
    drains = Drains(node, cast(Any, EmptyMembership()))
    asked_at = node.clock.stamp()
    drains.observe_draining_header(InstanceId("katalogs-1"))
    drains.observe("katalogs-1", DrainSource.INSTANCE, False, asked_at)
    assert drains.leaving_names == {"katalogs-1"}
    drains.observe("katalogs-1", DrainSource.INSTANCE, False, node.clock.stamp())
    assert not drains.leaving_names


async def test_note_is_sent_to_the_own_zone_and_to_one_entry_of_each_other_zone():
    node = OrderNetwork(entries=9).entries[HOME].node
    entries = [entry.id for entry in node.deployment.entries]

    class FullMembership:
        """A membership in which every entry is alive."""

        def alive_entries(self) -> list[str]:
            return entries

    drains = Drains(node, cast(Any, FullMembership()))
    pass_on_by_entry: dict[str, bool] = {}

    async def record_send(entry, notes, *, pass_on=False, fingerprint=0):
        pass_on_by_entry[entry] = pass_on
        return []

    drains.peer_service.send = cast(Any, record_send)
    drains.observe("katalogs-1", DrainSource.INSTANCE, True)
    await asyncio.gather(*drains.peer_service.tasks)
    zone_by_entry = {entry.id: entry.zone for entry in node.deployment.entries}
    zone_peers = [
        entry
        for entry in entries
        if zone_by_entry[entry] == node.entry.zone and entry != HOME
    ]
    remote_receivers = [
        entry for entry in pass_on_by_entry if zone_by_entry[entry] != node.entry.zone
    ]
    assert {entry for entry, pass_on in pass_on_by_entry.items() if not pass_on} == set(
        zone_peers
    )
    assert sorted(zone_by_entry[entry] for entry in remote_receivers) == sorted(
        {zone.id for zone in node.deployment.zones} - {node.entry.zone}
    )
