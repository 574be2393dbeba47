"""The roll-out between components on loopback, without entry processes."""

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
from masticdeck.coordination.rollout_watch import StoreWatch
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
    """A membership in which all of the network's entries are alive."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.version = Version(0)

    @property
    def members(self):
        return {
            one.node.id: SimpleNamespace(version=one.members.version)
            for one in self.network.entries.values()
        }

    def alive_entries(self) -> list[EntryId]:
        return [one.node.id for one in self.network.entries.values()]


class Entry:
    """The roll-out of one entry with a store client and a peer server."""

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
            self.node, self.rollout, self.members, watchers=watchers
        )
        self.watch = StoreWatch(self.node, self.rollout, self.peers)
        self.rollout.sources = [self.peers, self.watch]
        place = deployment.entry_by_id[EntryId(name)]
        self.server = PeerServer(
            place.host, place.peer_port, [RolloutService(self.rollout)]
        )

    async def start(self) -> None:
        await self.server.start()
        for part in (self.rollout, self.watch, self.peers):
            await part.start()

    async def stop(self) -> None:
        for part in (self.peers, self.watch, self.rollout):
            await part.stop()
        await self.node.peers.stop()
        await self.server.stop()

    async def reaches(self, version: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await self.rollout.wait_newer(Version(version - 1))


class Network:
    """Entries of riga around one store."""

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
        chosen = names or [one.id for one in self.deployment.entries]
        for name in chosen:
            self.entries[name] = Entry(self, name, watchers=self.watchers)
        await asyncio.gather(*(self.entries[name].start() for name in chosen))

    async def stop(self, *names: str) -> None:
        for name in names or list(self.entries):
            await self.entries.pop(name).stop()

    async def accept(self, version: int) -> None:
        lists = with_capacity("partner", 0.5 if version % 2 else 0.25, LISTS)
        name = ProposalId(f"v{version}")
        await self.acceptance.propose(
            Change(id=name, base=Version(version - 1), lists=lists, by="alice")
        )
        ledger = await self.acceptance.ledger()
        opened = ledger.replace(
            ledger.pending(name).model_copy(update={"window_over": True})
        )
        await self.store.put(LEDGER_KEY, encode_ledger(opened))
        await self.acceptance.accept(name, by="alice")

    async def all_reach(self, version: int) -> None:
        await asyncio.gather(*(one.reaches(version) for one in self.entries.values()))


@pytest.fixture
async def network():
    async with AsyncExitStack() as stack:
        network = Network()
        stack.push_async_callback(network.stop)
        yield network


def codes(entry: Entry) -> list[Code]:
    return [event.code for event in entry.node.events.ring]


async def test_accepted_versions_reach_every_entry_as_deltas(network):
    network.deployment = Deployment.model_validate(place("riga", entries=9))
    await network.start()
    for version in (1, 2, 3):
        await network.accept(version)
        await network.all_reach(version)
    digests = {one.rollout.digest for one in network.entries.values()}
    assert len(digests) == 1
    waiting = network.platform.state.waiting_watches
    assert waiting <= 6


async def test_entry_without_the_store_gets_versions_from_peers(network):
    await network.start()
    cut_off = network.entries["entry-1"]
    cut_off.store.fault = lambda method, key: "down"
    await network.accept(1)
    await network.all_reach(1)


@pytest.mark.parametrize("watchers", [1, 2])
async def test_every_entry_has_two_sources(network, watchers):
    network.deployment = Deployment.model_validate(place("riga", entries=9))
    network.watchers = watchers
    await network.start()
    for one in network.entries.values():
        sources = len(one.peers.targets()) + one.peers.is_watcher()
        assert sources == 2
    zones = {
        (one.node.entry.zone, network.deployment.entry_by_id[target].zone)
        for one in network.entries.values()
        if one.peers.is_watcher()
        for target in one.peers.targets()
    }
    assert all(mine != other for mine, other in zones)


async def test_restart_with_the_store_down_takes_the_highest_version_of_peers(network):
    await network.start()
    await network.accept(1)
    await network.accept(2)
    await network.all_reach(2)
    await network.stop("entry-1")
    network.platform.state.items.clear()
    for one in network.entries.values():
        one.store.fault = lambda method, key: "down"
    network.entries["entry-1"] = Entry(network, "entry-1", watchers=1)
    network.entries["entry-1"].store.fault = lambda method, key: "down"
    await network.entries["entry-1"].start()
    assert network.entries["entry-1"].rollout.version == 2
    await network.entries["entry-1"].rollout.require(
        Version(2), deadline=boottime() + 1
    )


async def test_entry_that_heard_from_nobody_refuses(network):
    network.entries["entry-1"] = entry = Entry(network, "entry-1", watchers=1)
    entry.store.fault = lambda method, key: "down"
    await entry.start()
    with pytest.raises(ConfigurationUnknown, match="MD4010"):
        await entry.rollout.require(Version(0), deadline=boottime() + 0.2)
    entry.store.fault = lambda method, key: None
    async with asyncio.timeout(TIMEOUT_S):
        await entry.rollout.require(Version(0), deadline=boottime() + TIMEOUT_S)


async def test_answer_of_a_peer_that_does_not_know_proves_nothing(network):
    for name in ("entry-1", "entry-2"):
        network.entries[name] = Entry(network, name, watchers=1)
        network.entries[name].store.fault = lambda method, key: "down"
    for one in network.entries.values():
        await one.start()
    await network.entries["entry-1"].peers.pull()
    assert not network.entries["entry-1"].rollout.known


async def test_store_with_an_older_state_changes_nothing(network):
    await network.start()
    await network.accept(1)
    old = network.store.raw(LEDGER_KEY)
    await network.accept(2)
    await network.all_reach(2)
    await network.store.put(LEDGER_KEY, old)
    entry = network.entries["entry-1"]
    await entry.watch.read()
    assert entry.rollout.version == 2
    assert entry.rollout.lists.digest != LISTS.digest
    assert Code.STORE_BEHIND in codes(entry)


async def test_update_of_a_lagging_peer_changes_nothing(network):
    await network.start("entry-1")
    entry = network.entries["entry-1"]
    entry.rollout.install(Version(5), LISTS, source="test")
    assert not entry.rollout.install(Version(4), EMPTY, source="lagging")
    assert entry.rollout.lists is LISTS


async def test_other_content_under_the_same_version_is_reported(network):
    await network.start("entry-1")
    entry = network.entries["entry-1"]
    entry.rollout.install(Version(5), LISTS, source="test")
    entry.rollout.install(Version(5), EMPTY, source="disputing")
    assert Code.VERSION_DISPUTED in codes(entry)
    assert entry.rollout.lists is LISTS


async def test_delta_whose_digest_differs_is_replaced_by_a_whole_copy(network):
    await network.start("entry-1", "entry-2")
    first, second = network.entries["entry-1"], network.entries["entry-2"]
    first.rollout.install(Version(1), LISTS, source="test")
    second.rollout.install(Version(1), LISTS, source="test")
    first.rollout.install(Version(2), with_capacity("partner", 0.25), source="test")
    update = RolloutService(first.rollout).update(1, LISTS.digest)
    assert update.delta
    assert not update.lists
    other = make_delta(LISTS, with_capacity("partner", 0.125))
    update.delta = other.model_dump_json().encode()
    await second.peers.take(EntryId("entry-1"), update)
    assert second.rollout.version == 2
    assert second.rollout.digest == first.rollout.digest


async def test_caller_who_moves_to_an_entry_behind_is_served_after_it_caught_up(
    network,
):
    await network.start("entry-1", "entry-2")
    first, second = network.entries["entry-1"], network.entries["entry-2"]
    for task in (second.peers.task, second.watch.task, *second.peers.streams.values()):
        task.cancel()
    first.rollout.install(Version(3), LISTS, source="test")
    await second.rollout.require(Version(3), deadline=boottime() + TIMEOUT_S)
    assert second.rollout.version == 3


async def test_version_that_nobody_has_is_refused_within_the_deadline(network):
    await network.start("entry-1")
    entry = network.entries["entry-1"]
    reads: list[str] = []

    async def count(method, key):
        reads.append(key)

    entry.store.hooks.append(count)
    with pytest.raises(VersionBehind) as caught:
        await entry.rollout.require(Version(9), deadline=boottime() + 60)
    assert caught.value.outcome.value == "not-run"
    assert reads.count(LEDGER_KEY) <= 2


async def test_entry_that_stood_still_asks_before_it_serves(network, monkeypatch):
    await network.start("entry-1", "entry-2")
    entry = network.entries["entry-1"]
    now = boottime()
    monkeypatch.setattr(rollout_module, "boottime", lambda: now + 60)
    assert not entry.rollout.serves(Version(0))
    monkeypatch.undo()
    assert entry.rollout.doubtful
    async with asyncio.timeout(TIMEOUT_S):
        await entry.rollout.require(Version(0), deadline=boottime() + TIMEOUT_S)


@pytest.mark.parametrize("value", ["-1", "x", "1" * 17, "", "1.5", "\u0663"])
def test_malformed_version_header_is_refused(value):
    with pytest.raises(VersionHeaderInvalid):
        parse_version(value)
