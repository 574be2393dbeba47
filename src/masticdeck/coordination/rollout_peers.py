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
RETRY_DELAY_S = 0.5
CHECKS_PER_HEARTBEAT = 4
MAX_PULL_ENTRIES = 3
MAX_START_ZONES = 4

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

    def alive(self) -> list[EntryId]:
        """Return the entries that serve."""


@final
class RolloutService(RolloutBase):
    """Answers other entries."""

    def __init__(self, rollout: Rollout) -> None:
        self.rollout = rollout

    def make_update(self, version: int, digest: str) -> RolloutUpdate:
        """Return what an entry with a version and digest needs."""
        rollout = self.rollout
        update = RolloutUpdate(
            known=rollout.is_initialized, version=rollout.version, digest=rollout.digest
        )
        if version >= rollout.version:
            return update
        base = rollout.previous_lists.get(Version(version))
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
            await stream.send_message(self.make_update(request.version, request.digest))

    async def Follow(self, stream: Stream[RolloutRequest, RolloutUpdate]) -> None:  # noqa: N802
        """Answer at once and at each newer version."""
        request = await stream.recv_message()
        if request is None:
            return
        version, digest = Version(request.version), request.digest
        while True:
            update = self.make_update(version, digest)
            await stream.send_message(update)
            if update.version > version:
                version, digest = Version(update.version), update.digest
            changed = self.rollout.changed
            if self.rollout.version <= version:
                await changed.wait()


class RolloutPeers:
    """Follows other entries and asks those whose heartbeats show a newer version."""

    def __init__(
        self, node: Node, rollout: Rollout, members: Members, *, watchers_per_zone: int
    ) -> None:
        self.node = node
        self.rollout = rollout
        self.members = members
        self.watchers_per_zone = watchers_per_zone
        self.streams: dict[EntryId, asyncio.Task[None]] = {}
        self.task: asyncio.Task[None] | None = None

    def ranked_entries(self, zone: ZoneId) -> list[EntryId]:
        """Return a zone's live entries, those that watch the store first."""
        alive = set(self.members.alive())
        entries = [
            entry.id
            for entry in self.node.deployment.entries
            if entry.zone == zone and entry.id in alive
        ]
        return rendezvous_order(f"watch/{zone}", entries)

    def is_watcher(self) -> bool:
        """Return whether this entry watches the store for its zone."""
        mine = self.ranked_entries(self.node.entry.zone)
        return self.node.id in mine[: self.watchers_per_zone] or not mine

    def select_targets(self) -> set[EntryId]:
        """Return the entries that this one follows.

        Every entry has two sources: a watcher the store and the next zone, the
        others two watchers, of the next zone if their own has only one.
        """
        mine = self.ranked_entries(self.node.entry.zone)[: self.watchers_per_zone]
        if self.node.id in mine:
            return self.select_next_zone_watcher()
        chosen = set(mine)
        return chosen if len(chosen) > 1 else chosen | self.select_next_zone_watcher()

    def select_next_zone_watcher(self) -> set[EntryId]:
        """Return one watcher of the next zone that has a live entry."""
        zones = [zone.id for zone in self.node.deployment.zones]
        first = zones.index(self.node.entry.zone) + 1
        for zone in zones[first:] + zones[: first - 1]:
            ranked = self.ranked_entries(zone)
            if ranked:
                return {ranked[0]}
        return set()

    async def start(self) -> None:
        """Ask the zone's entries once, then follow."""
        await self.pull_at_start()
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
            self.adjust_streams(self.select_targets())
            await self.fetch_newer()
            with suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await self.rollout.changed.wait()
            if self.rollout.may_be_stale:
                self.rollout.start_catch_up()

    def adjust_streams(self, targets: set[EntryId]) -> None:
        """Open and close streams so that they lead to the targets."""
        for entry in self.streams.keys() - targets:
            self.streams.pop(entry).cancel()
        for entry in targets - self.streams.keys():
            self.streams[entry] = asyncio.create_task(
                self.follow(entry), name=f"follow {entry}"
            )

    async def fetch_newer(self) -> None:
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
                    await one.send_message(self.make_request(), end=True)
                    async for update in one:
                        await self.apply_update(entry, update)
            await asyncio.sleep(RETRY_DELAY_S)

    async def fetch(self, entry: EntryId, *, is_full_copy: bool = False) -> bool:
        """Ask an entry once; return whether it knew an answer."""
        request = RolloutRequest() if is_full_copy else self.make_request()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                stub = RolloutStub(self.node.peers.get(entry))
                update = await stub.Fetch(request)
        except PEER_ERRORS:
            return False
        return await self.apply_update(entry, update, is_full_copy=is_full_copy)

    def make_request(self) -> RolloutRequest:
        """Return what this entry has."""
        return RolloutRequest(version=self.rollout.version, digest=self.rollout.digest)

    async def apply_update(
        self, entry: EntryId, update: RolloutUpdate, *, is_full_copy: bool = False
    ) -> bool:
        """Put an update in force; asks for a whole copy when a delta misfits."""
        if not update.known:
            return False
        if update.version > self.rollout.version:
            lists = self.decode_lists(update)
            if lists is None:
                return not is_full_copy and await self.fetch(entry, is_full_copy=True)
            self.rollout.install(Version(update.version), lists, source=entry)
        self.rollout.mark_current()
        return True

    def decode_lists(self, update: RolloutUpdate) -> Lists | None:
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
        others = [one for one in self.members.alive() if one != self.node.id]
        mine = [
            one for one in self.ranked_entries(self.node.entry.zone) if one in others
        ]
        newest = sorted(
            others, key=lambda one: self.members.members[one].version, reverse=True
        )
        chosen = dict.fromkeys([*newest[:MAX_PULL_ENTRIES], *mine[:MAX_PULL_ENTRIES]])
        answers = await asyncio.gather(*(self.fetch(one) for one in chosen))
        return any(answers)

    async def pull_at_start(self) -> bool:
        """Ask every entry of the zone and one each of a few other zones."""
        zone = self.node.entry.zone
        others: dict[ZoneId, EntryId] = {}
        asked: list[EntryId] = []
        for entry in self.node.deployment.entries:
            if entry.zone != zone:
                others.setdefault(entry.zone, entry.id)
            elif entry.id != self.node.id:
                asked.append(entry.id)
        asked += rendezvous_order(self.node.id, list(others.values()))[:MAX_START_ZONES]
        answers = await asyncio.gather(*(self.fetch(one) for one in asked))
        return any(answers)
