"""Rollout between components on loopback, without entry processes."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest

from bench.fleet import place
from bench.standins.platform import Platform
from masticdeck.clock import HybridClock, boottime
from masticdeck.config import Config
from masticdeck.coordination import rollout as rollout_module
from masticdeck.coordination.acceptance import Acceptance, Change
from masticdeck.coordination.ledger import LEDGER_KEY, encode_ledger
from masticdeck.coordination.rollout import (
    ConfigurationUnknown,
    Rollout,
    VersionBehind,
    VersionHeaderInvalid,
    parse_version,
)
from masticdeck.coordination.rollout_peers import RolloutPeers, RolloutService
from masticdeck.coordination.rollout_watch import LedgerWatcher
from masticdeck.events import Code, EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import EntryId, Incarnation, ProposalId, Version
from masticdeck.node import Node
from masticdeck.state.changes import make_delta
from masticdeck.state.deployment import Deployment
from masticdeck.state.lists import EMPTY
from masticdeck.transport.peers import PeerChannels, PeerServer
from testing.coordination.configuration_world import LISTS, with_capacity
from testing.memory_store import MemoryStore

TIMEOUT_S = 5.0


class FixedMembers:
    """A membership in which all entries of the network are alive."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.version = Version(0)

    @property
    def members(self):
        return {
            entry.node.id: SimpleNamespace(version=entry.members.version)
            for entry in self.network.entries.values()
        }

    def alive_entries(self) -> list[EntryId]:
        return [entry.node.id for entry in self.network.entries.values()]


class Entry:
    """The rollout components of one entry, with a store client and a peer server."""

    def __init__(self, network: Network, name: str, *, watchers: int) -> None:
        deployment = network.deployment
        clock = HybridClock()
        self.store = MemoryStore(network.platform)
        self.node = Node(
            config=Config(entry=EntryId(name), deployment="-", heartbeat_s=0.1),
            deployment=deployment,
            incarnation=Incarnation(1),
            clock=clock,
            events=EventLog(name, clock),
            hooks=create_hooks(),
            store=self.store,
            vms=None,
            peers=PeerChannels(deployment),
        )
        self.rollout = Rollout(self.node)
        self.members = FixedMembers(network)
        self.peers = RolloutPeers(
            self.node, self.rollout, self.members, watchers_per_zone=watchers
        )
        self.watch = LedgerWatcher(self.node, self.rollout, self.peers)
        self.rollout.sources = [self.peers, self.watch]
        location = deployment.entry_by_id[EntryId(name)]
        self.server = PeerServer(
            location.host, location.peer_port, [RolloutService(self.rollout)]
        )

    async def start(self) -> None:
        await self.server.start()
        for component in (self.rollout, self.watch, self.peers):
            await component.start()

    async def stop(self) -> None:
        for component in (self.peers, self.watch, self.rollout):
            await component.stop()
        await self.node.peers.stop()
        await self.server.stop()

    async def wait_for_version(self, version: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await self.rollout.wait_for_newer(Version(version - 1))


class Network:
    """Entries of the riga example with one store."""

    def __init__(self, count: int = 4, *, watchers: int = 1) -> None:
        self.deployment = Deployment.model_validate(place("riga", entries=count))
        self.platform = Platform()
        self.watchers = watchers
        self.entries: dict[str, Entry] = {}
        self.store = MemoryStore(self.platform)
        log = EventLog("operator", HybridClock())
        self.acceptance = Acceptance(
            self.store, self.deployment, log, lambda: Version(0)
        )

    async def start(self, *names: str) -> None:
        selected = names or [entry.id for entry in self.deployment.entries]
        for name in selected:
            self.entries[name] = Entry(self, name, watchers=self.watchers)
        await asyncio.gather(*(self.entries[name].start() for name in selected))

    async def stop(self, *names: str) -> None:
        for name in names or list(self.entries):
            await self.entries.pop(name).stop()

    async def accept(self, version: int) -> None:
        lists = with_capacity("partner", 0.5 if version % 2 else 0.25, LISTS)
        proposal_id = ProposalId(f"v{version}")
        await self.acceptance.propose(
            Change(id=proposal_id, base=Version(version - 1), lists=lists, by="alice")
        )
        ledger = await self.acceptance.read_ledger()
        window_ended = ledger.replace(
            ledger.pending(proposal_id).model_copy(update={"window_over": True})
        )
        await self.store.put(LEDGER_KEY, encode_ledger(window_ended))
        await self.acceptance.accept(proposal_id, by="alice")

    async def wait_until_all_have(self, version: int) -> None:
        await asyncio.gather(
            *(entry.wait_for_version(version) for entry in self.entries.values())
        )


@pytest.fixture
async def network():
    async with AsyncExitStack() as stack:
        network = Network()
        stack.push_async_callback(network.stop)
        yield network


def event_codes(entry: Entry) -> list[Code]:
    return [event.code for event in entry.node.events.ring]


async def test_accepted_versions_reach_every_entry_as_deltas(network):
    network.deployment = Deployment.model_validate(place("riga", entries=9))
    await network.start()
    for version in (1, 2, 3):
        await network.accept(version)
        await network.wait_until_all_have(version)
    digests = {entry.rollout.digest for entry in network.entries.values()}
    assert len(digests) == 1
    open_watches = network.platform.state.waiting_watches
    assert open_watches <= 6


async def test_entry_that_cannot_reach_the_store_gets_versions_from_peers(network):
    await network.start()
    isolated = network.entries["entry-1"]
    isolated.store.fault = lambda method, key: "down"
    await network.accept(1)
    await network.wait_until_all_have(1)


@pytest.mark.parametrize("watchers", [1, 2])
async def test_every_entry_has_two_sources(network, watchers):
    """The loss of one source must not cut an entry off from new versions.

    The second source of a watcher is in another zone.
    """
    network.deployment = Deployment.model_validate(place("riga", entries=9))
    network.watchers = watchers
    await network.start()
    for entry in network.entries.values():
        source_count = len(entry.peers.select_targets()) + entry.peers.is_watcher()
        assert source_count == 2
    zone_pairs = {
        (entry.node.entry.zone, network.deployment.entry_by_id[target].zone)
        for entry in network.entries.values()
        if entry.peers.is_watcher()
        for target in entry.peers.select_targets()
    }
    assert all(own_zone != source_zone for own_zone, source_zone in zone_pairs)


async def test_restart_with_the_store_down_installs_the_highest_version_of_peers(
    network,
):
    await network.start()
    await network.accept(1)
    await network.accept(2)
    await network.wait_until_all_have(2)
    await network.stop("entry-1")
    network.platform.state.items.clear()
    for entry in network.entries.values():
        entry.store.fault = lambda method, key: "down"
    network.entries["entry-1"] = Entry(network, "entry-1", watchers=1)
    network.entries["entry-1"].store.fault = lambda method, key: "down"
    await network.entries["entry-1"].start()
    assert network.entries["entry-1"].rollout.version == 2
    await network.entries["entry-1"].rollout.require_version(
        Version(2), deadline=boottime() + 1
    )


async def test_entry_refuses_requests_until_a_source_has_answered(network):
    network.entries["entry-1"] = entry = Entry(network, "entry-1", watchers=1)
    entry.store.fault = lambda method, key: "down"
    await entry.start()
    with pytest.raises(ConfigurationUnknown, match="MD4010"):
        await entry.rollout.require_version(Version(0), deadline=boottime() + 0.2)
    entry.store.fault = lambda method, key: None
    async with asyncio.timeout(TIMEOUT_S):
        await entry.rollout.require_version(Version(0), deadline=boottime() + TIMEOUT_S)


async def test_answer_of_an_uninitialized_peer_does_not_initialize_an_entry(network):
    """Two entries that start together must not take each other's empty lists."""
    for name in ("entry-1", "entry-2"):
        network.entries[name] = Entry(network, name, watchers=1)
        network.entries[name].store.fault = lambda method, key: "down"
    for entry in network.entries.values():
        await entry.start()
    await network.entries["entry-1"].peers.pull()
    assert not network.entries["entry-1"].rollout.is_initialized


async def test_store_with_an_older_state_changes_nothing(network):
    await network.start()
    await network.accept(1)
    old_value = network.store.raw(LEDGER_KEY)
    await network.accept(2)
    await network.wait_until_all_have(2)
    await network.store.put(LEDGER_KEY, old_value)
    entry = network.entries["entry-1"]
    await entry.watch.read()
    assert entry.rollout.version == 2
    assert entry.rollout.lists.digest != LISTS.digest
    assert Code.STORE_BEHIND in event_codes(entry)


async def test_update_with_a_lower_version_changes_nothing(network):
    await network.start("entry-1")
    entry = network.entries["entry-1"]
    entry.rollout.install(Version(5), LISTS, source="test")
    assert not entry.rollout.install(Version(4), EMPTY, source="lagging")
    assert entry.rollout.lists is LISTS


async def test_different_content_under_the_same_version_is_reported(network):
    await network.start("entry-1")
    entry = network.entries["entry-1"]
    entry.rollout.install(Version(5), LISTS, source="test")
    entry.rollout.install(Version(5), EMPTY, source="disputing")
    assert Code.VERSION_DISPUTED in event_codes(entry)
    assert entry.rollout.lists is LISTS


async def test_complete_lists_are_fetched_if_the_digest_of_a_delta_differs(network):
    await network.start("entry-1", "entry-2")
    first, second = network.entries["entry-1"], network.entries["entry-2"]
    first.rollout.install(Version(1), LISTS, source="test")
    second.rollout.install(Version(1), LISTS, source="test")
    first.rollout.install(Version(2), with_capacity("partner", 0.25), source="test")
    update = RolloutService(first.rollout).make_update(1, LISTS.digest)
    assert update.delta
    assert not update.lists
    wrong_delta = make_delta(LISTS, with_capacity("partner", 0.125))
    update.delta = wrong_delta.model_dump_json().encode()
    await second.peers.apply_update(EntryId("entry-1"), update)
    assert second.rollout.version == 2
    assert second.rollout.digest == first.rollout.digest


async def test_entry_with_a_lower_version_catches_up_before_it_serves_a_caller(network):
    """A caller that changes entries must not be served with an older version.

    The streams of the second entry are stopped, so only the catch-up can bring
    the version.
    """
    await network.start("entry-1", "entry-2")
    first, second = network.entries["entry-1"], network.entries["entry-2"]
    for task in (second.peers.task, second.watch.task, *second.peers.streams.values()):
        task.cancel()
    first.rollout.install(Version(3), LISTS, source="test")
    await second.rollout.require_version(Version(3), deadline=boottime() + TIMEOUT_S)
    assert second.rollout.version == 3


async def test_unknown_version_is_refused_before_the_deadline_with_few_store_reads(
    network,
):
    """Callers with a made-up version must not increase the load on the store."""
    await network.start("entry-1")
    entry = network.entries["entry-1"]
    reads: list[str] = []

    async def record_read(method, key):
        reads.append(key)

    entry.store.hooks.append(record_read)
    with pytest.raises(VersionBehind) as error_info:
        await entry.rollout.require_version(Version(9), deadline=boottime() + 60)
    assert error_info.value.outcome.value == "not-run"
    assert reads.count(LEDGER_KEY) <= 2


async def test_entry_queries_its_sources_after_a_pause_before_it_serves(
    network, monkeypatch
):
    """A version may have been accepted while the process was paused."""
    await network.start("entry-1", "entry-2")
    entry = network.entries["entry-1"]
    now = boottime()
    monkeypatch.setattr(rollout_module, "boottime", lambda: now + 60)
    assert not entry.rollout.can_serve(Version(0))
    monkeypatch.undo()
    assert entry.rollout.may_be_stale
    async with asyncio.timeout(TIMEOUT_S):
        await entry.rollout.require_version(Version(0), deadline=boottime() + TIMEOUT_S)


@pytest.mark.parametrize("value", ["-1", "x", "1" * 17, "", "1.5", "\u0663"])
def test_malformed_version_header_is_refused(value):
    with pytest.raises(VersionHeaderInvalid):
        parse_version(value)
