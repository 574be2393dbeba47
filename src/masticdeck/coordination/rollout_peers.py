"""Spreads accepted configurations between entries over gRPC.

Two entries of each zone watch the store; every other entry keeps a stream open
to each of them, so that it has two sources. The watchers keep one to a watcher
of the next zone, so that a version also reaches zones that cannot reach the
store.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol, final

from grpclib.exceptions import GRPCError, StreamTerminatedError
from pydantic import ValidationError

from masticdeck.coordination.ownership import rendezvous_order
from masticdeck.coordination.rollout import Rollout
from masticdeck.events import Code
from masticdeck.ids import EntryId, Version, ZoneId
from masticdeck.node import Node
from masticdeck.protocol.generated.rollout_grpc import RolloutBase, RolloutStub
from masticdeck.protocol.generated.rollout_pb2 import RolloutRequest, RolloutUpdate
from masticdeck.state.changes import Delta, DeltaConflict, apply_delta, make_delta
from masticdeck.state.lists import Lists

if TYPE_CHECKING:
    from collections.abc import Mapping

    from grpclib.server import Stream

FETCH_TIMEOUT_S = 1.0
RETRY_S = 0.5
CHECKS_PER_HEARTBEAT = 4
PULL_PEERS = 3
START_ZONES = 4

PEER_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class MemberVersion(Protocol):
    """The part of a member that the roll-out reads."""

    @property
    def version(self) -> Version:
        """Return the version that the member's heartbeats carry."""


class Members(Protocol):
    """The part of the membership that the roll-out needs."""

    version: Version

    @property
    def members(self) -> Mapping[EntryId, MemberVersion]:
        """Return what is known of each entry."""

    def alive_entries(self) -> list[EntryId]:
        """Return the entries that serve."""


@final
class RolloutService(RolloutBase):
    """Answers other entries."""

    def __init__(self, rollout: Rollout) -> None:
        self.rollout = rollout

    def update(self, version: int, digest: str) -> RolloutUpdate:
        """Return what an entry with a version and digest needs."""
        rollout = self.rollout
        update = RolloutUpdate(
            known=rollout.known, version=rollout.version, digest=rollout.digest
        )
        if version >= rollout.version:
            return update
        base = rollout.past.get(Version(version))
        if base is not None and base.digest == digest:
            delta = make_delta(base, rollout.lists)
            update.base = version
            update.delta = delta.model_dump_json().encode()
        else:
            update.lists = rollout.lists.model_dump_json().encode()
        return update

    async def Fetch(self, stream: Stream[RolloutRequest, RolloutUpdate]) -> None:  # noqa: N802
        """Answer once."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.update(request.version, request.digest))

    async def Follow(self, stream: Stream[RolloutRequest, RolloutUpdate]) -> None:  # noqa: N802
        """Answer at once and at each newer version."""
        request = await stream.recv_message()
        if request is None:
            return
        version, digest = Version(request.version), request.digest
        while True:
            update = self.update(version, digest)
            await stream.send_message(update)
            if update.version > version:
                version, digest = Version(update.version), update.digest
            changed = self.rollout.changed
            if self.rollout.version <= version:
                await changed.wait()


class RolloutPeers:
    """Follows other entries and asks those whose heartbeats show a newer version."""

    def __init__(
        self, node: Node, rollout: Rollout, members: Members, *, watchers: int
    ) -> None:
        self.node = node
        self.rollout = rollout
        self.members = members
        self.watchers = watchers
        self.streams: dict[EntryId, asyncio.Task[None]] = {}
        self.task: asyncio.Task[None] | None = None

    def ranked(self, zone: ZoneId) -> list[EntryId]:
        """Return a zone's live entries, those that watch the store first."""
        alive = set(self.members.alive_entries())
        entries = [
            entry.id
            for entry in self.node.deployment.entries
            if entry.zone == zone and entry.id in alive
        ]
        return rendezvous_order(f"watch/{zone}", entries)

    def is_watcher(self) -> bool:
        """Return whether this entry watches the store for its zone."""
        mine = self.ranked(self.node.entry.zone)
        return self.node.id in mine[: self.watchers] or not mine

    def targets(self) -> set[EntryId]:
        """Return the entries that this one follows.

        Every entry has two sources: a watcher the store and the next zone, the
        others two watchers, of the next zone if their own has only one.
        """
        mine = self.ranked(self.node.entry.zone)[: self.watchers]
        if self.node.id in mine:
            return self.next_zone_watcher()
        chosen = set(mine)
        return chosen if len(chosen) > 1 else chosen | self.next_zone_watcher()

    def next_zone_watcher(self) -> set[EntryId]:
        """Return one watcher of the next zone that has a live entry."""
        zones = [zone.id for zone in self.node.deployment.zones]
        first = zones.index(self.node.entry.zone) + 1
        for zone in zones[first:] + zones[: first - 1]:
            ranked = self.ranked(zone)
            if ranked:
                return {ranked[0]}
        return set()

    async def start(self) -> None:
        """Ask the zone's entries once, then follow."""
        await self.pull_all()
        self.task = asyncio.create_task(self.run(), name="rollout peers")

    async def stop(self) -> None:
        """Close every stream."""
        tasks = [*self.streams.values()]
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        self.streams.clear()

    async def run(self) -> None:
        """Keep the streams in line with the membership, for ever."""
        interval = self.node.config.heartbeat_s / CHECKS_PER_HEARTBEAT
        while True:
            self.rollout.tick()
            self.members.version = self.rollout.version
            self.adjust(self.targets())
            await self.ask_newer()
            with suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await self.rollout.changed.wait()
            if self.rollout.doubtful:
                self.rollout.begin_catch_up()

    def adjust(self, targets: set[EntryId]) -> None:
        """Open and close streams so that they lead to the targets."""
        for entry in self.streams.keys() - targets:
            self.streams.pop(entry).cancel()
        for entry in targets - self.streams.keys():
            self.streams[entry] = asyncio.create_task(
                self.follow(entry), name=f"follow {entry}"
            )

    async def ask_newer(self) -> None:
        """Ask an entry whose heartbeats show a newer version than is in force."""
        best = max(
            self.members.members.items(),
            key=lambda item: item[1].version,
            default=None,
        )
        if best is not None and best[1].version > self.rollout.version:
            self.node.events.emit(
                Code.VERSION_BEHIND, entry=best[0], version=best[1].version
            )
            await self.fetch(best[0])

    async def follow(self, entry: EntryId) -> None:
        """Take every update of an entry, for ever."""
        while True:
            with suppress(*PEER_ERRORS):
                async with RolloutStub(self.node.peers.get(entry)).Follow.open() as one:
                    await one.send_message(self.request(), end=True)
                    async for update in one:
                        await self.take(entry, update)
            await asyncio.sleep(RETRY_S)

    async def fetch(self, entry: EntryId, *, whole: bool = False) -> bool:
        """Ask an entry once; return whether it knew an answer."""
        request = RolloutRequest() if whole else self.request()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                stub = RolloutStub(self.node.peers.get(entry))
                update = await stub.Fetch(request)
        except PEER_ERRORS:
            return False
        return await self.take(entry, update, whole=whole)

    def request(self) -> RolloutRequest:
        """Return what this entry has."""
        return RolloutRequest(version=self.rollout.version, digest=self.rollout.digest)

    async def take(
        self, entry: EntryId, update: RolloutUpdate, *, whole: bool = False
    ) -> bool:
        """Put an update in force; asks for a whole copy when a delta misfits."""
        if not update.known:
            return False
        if update.version > self.rollout.version:
            lists = self.decode(update)
            if lists is None:
                return not whole and await self.fetch(entry, whole=True)
            self.rollout.install(Version(update.version), lists, source=entry)
        self.rollout.confirm()
        return True

    def decode(self, update: RolloutUpdate) -> Lists | None:
        """Return the lists of an update if their digest is as stated."""
        try:
            if update.delta:
                if update.base != self.rollout.version:
                    return None
                delta = Delta.model_validate_json(update.delta)
                lists = apply_delta(self.rollout.lists, delta)
            else:
                lists = Lists.model_validate_json(update.lists)
        except (ValidationError, DeltaConflict):
            return None
        return lists if lists.digest == update.digest else None

    async def pull(self) -> bool:
        """Ask the entries with the newest heartbeats and some of the zone."""
        others = [one for one in self.members.alive_entries() if one != self.node.id]
        mine = [one for one in self.ranked(self.node.entry.zone) if one in others]
        newest = sorted(
            others, key=lambda one: self.members.members[one].version, reverse=True
        )
        chosen = dict.fromkeys([*newest[:PULL_PEERS], *mine[:PULL_PEERS]])
        answers = await asyncio.gather(*(self.fetch(one) for one in chosen))
        return any(answers)

    async def pull_all(self) -> bool:
        """Ask every entry of the zone and one each of a few other zones."""
        zone = self.node.entry.zone
        others: dict[ZoneId, EntryId] = {}
        asked: list[EntryId] = []
        for entry in self.node.deployment.entries:
            if entry.zone != zone:
                others.setdefault(entry.zone, entry.id)
            elif entry.id != self.node.id:
                asked.append(entry.id)
        asked += rendezvous_order(self.node.id, list(others.values()))[:START_ZONES]
        answers = await asyncio.gather(*(self.fetch(one) for one in asked))
        return any(answers)
