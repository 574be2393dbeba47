"""Distribution of accepted configurations between entries over gRPC.

Two entries of each zone, its watchers, watch the store. Every other entry
keeps a stream open to each of them and so has two sources. A watcher keeps a
stream open to a watcher of the next zone, so that a version also reaches zones
that cannot connect to the store.
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
    """The attributes of a member that the rollout uses."""

    @property
    def version(self) -> Version:
        """Return the version in force that the member's heartbeats report."""


class Members(Protocol):
    """The part of the membership that the rollout uses."""

    version: Version

    @property
    def members(self) -> Mapping[EntryId, MemberVersion]:
        """Return the last reported state of each entry."""

    def alive_entries(self) -> list[EntryId]:
        """Return the IDs of the entries that are alive."""


@final
class RolloutService(RolloutBase):
    """gRPC service that sends the configuration in force to other entries."""

    def __init__(self, rollout: Rollout) -> None:
        self.rollout = rollout

    def make_update(self, version: int, digest: str) -> RolloutUpdate:
        """Return the update for an entry that has a version and digest.

        It has no lists if that entry is up to date, a delta if the lists of the
        entry's version are still kept here with the same digest, and the
        complete lists otherwise.
        """
        rollout = self.rollout
        update = RolloutUpdate(
            known=rollout.is_initialized, version=rollout.version, digest=rollout.digest
        )
        if version >= rollout.version:
            return update
        base_lists = rollout.previous_lists.get(Version(version))
        if base_lists is not None and base_lists.digest == digest:
            delta = make_delta(base_lists, rollout.lists)
            update.base = version
            update.delta = delta.model_dump_json().encode()
        else:
            update.lists = rollout.lists.model_dump_json().encode()
        return update

    async def Fetch(self, stream: Stream[RolloutRequest, RolloutUpdate]) -> None:  # noqa: N802
        """Send one update."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.make_update(request.version, request.digest))

    async def Follow(self, stream: Stream[RolloutRequest, RolloutUpdate]) -> None:  # noqa: N802
        """Send an update immediately and at each newer version."""
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
    """Receives configurations from other entries.

    Keeps update streams open to a few entries, and fetches from an entry whose
    heartbeats report a newer version.
    """

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
        """Return the live entries of a zone, its watchers first."""
        alive = set(self.members.alive_entries())
        entries = [
            entry.id
            for entry in self.node.deployment.entries
            if entry.zone == zone and entry.id in alive
        ]
        return rendezvous_order(f"watch/{zone}", entries)

    def is_watcher(self) -> bool:
        """Return whether this entry watches the store for its zone."""
        zone_entries = self.ranked_entries(self.node.entry.zone)
        return (
            self.node.id in zone_entries[: self.watchers_per_zone] or not zone_entries
        )

    def select_targets(self) -> set[EntryId]:
        """Return the entries whose updates this entry follows.

        Every entry has two sources. A watcher has the store and a watcher of
        the next zone. Any other entry has two watchers, the second one of the
        next zone if its own zone has only one.
        """
        zone_watchers = self.ranked_entries(self.node.entry.zone)[
            : self.watchers_per_zone
        ]
        if self.node.id in zone_watchers:
            return self.select_next_zone_watcher()
        targets = set(zone_watchers)
        return (
            targets if len(targets) > 1 else targets | self.select_next_zone_watcher()
        )

    def select_next_zone_watcher(self) -> set[EntryId]:
        """Return one watcher of the next zone that has a live entry."""
        zones = [zone.id for zone in self.node.deployment.zones]
        next_index = zones.index(self.node.entry.zone) + 1
        for zone in zones[next_index:] + zones[: next_index - 1]:
            zone_entries = self.ranked_entries(zone)
            if zone_entries:
                return {zone_entries[0]}
        return set()

    async def start(self) -> None:
        """Pull from other entries once, then follow the selected ones."""
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
        """Adapt the streams to the membership until cancelled."""
        interval_s = self.node.config.heartbeat_s / CHECKS_PER_HEARTBEAT
        while True:
            self.rollout.tick()
            self.members.version = self.rollout.version
            self.adjust_streams(self.select_targets())
            await self.fetch_newer()
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self.rollout.changed.wait()
            if self.rollout.may_be_stale:
                self.rollout.start_catch_up()

    def adjust_streams(self, targets: set[EntryId]) -> None:
        """Open and close streams so that exactly the targets are followed."""
        for entry in self.streams.keys() - targets:
            self.streams.pop(entry).cancel()
        for entry in targets - self.streams.keys():
            self.streams[entry] = asyncio.create_task(
                self.follow(entry), name=f"follow {entry}"
            )

    async def fetch_newer(self) -> None:
        """Fetch from the entry with the highest version, if higher than here."""
        newest = max(
            self.members.members.items(),
            key=lambda item: item[1].version,
            default=None,
        )
        if newest is not None and newest[1].version > self.rollout.version:
            self.node.events.emit(
                Code.VERSION_BEHIND, entry=newest[0], version=newest[1].version
            )
            await self.fetch(newest[0])

    async def follow(self, entry: EntryId) -> None:
        """Apply every update of an entry; reconnect until cancelled."""
        while True:
            with suppress(*PEER_ERRORS):
                async with RolloutStub(
                    self.node.peers.get(entry)
                ).Follow.open() as stream:
                    await stream.send_message(self.make_request(), end=True)
                    async for update in stream:
                        await self.apply_update(entry, update)
            await asyncio.sleep(RETRY_DELAY_S)

    async def fetch(self, entry: EntryId, *, is_full_copy: bool = False) -> bool:
        """Fetch one update and apply it; return whether the entry had an answer.

        ``is_full_copy`` requests the complete lists instead of a delta.
        """
        request = RolloutRequest() if is_full_copy else self.make_request()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                stub = RolloutStub(self.node.peers.get(entry))
                update = await stub.Fetch(request)
        except PEER_ERRORS:
            return False
        return await self.apply_update(entry, update, is_full_copy=is_full_copy)

    def make_request(self) -> RolloutRequest:
        """Return a request that states the version and digest in force here."""
        return RolloutRequest(version=self.rollout.version, digest=self.rollout.digest)

    async def apply_update(
        self, entry: EntryId, update: RolloutUpdate, *, is_full_copy: bool = False
    ) -> bool:
        """Put an update in force; return whether the entry had an answer.

        Fetches the complete lists if the update cannot be applied or its digest
        does not match.
        """
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
        """Return the lists of an update, or None if the digest does not match."""
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
        """Fetch from the entries with the highest versions and some of the zone.

        Returns whether any of them had an answer.
        """
        peers = [
            entry for entry in self.members.alive_entries() if entry != self.node.id
        ]
        zone_peers = [
            entry
            for entry in self.ranked_entries(self.node.entry.zone)
            if entry in peers
        ]
        newest = sorted(
            peers, key=lambda entry: self.members.members[entry].version, reverse=True
        )
        selected = dict.fromkeys(
            [*newest[:MAX_PULL_ENTRIES], *zone_peers[:MAX_PULL_ENTRIES]]
        )
        answers = await asyncio.gather(*(self.fetch(entry) for entry in selected))
        return any(answers)

    async def pull_at_start(self) -> bool:
        """Fetch from every entry of the zone and one entry each of some others.

        Returns whether any of them had an answer.
        """
        zone = self.node.entry.zone
        first_entry_by_zone: dict[ZoneId, EntryId] = {}
        selected: list[EntryId] = []
        for entry in self.node.deployment.entries:
            if entry.zone != zone:
                first_entry_by_zone.setdefault(entry.zone, entry.id)
            elif entry.id != self.node.id:
                selected.append(entry.id)
        selected += rendezvous_order(self.node.id, list(first_entry_by_zone.values()))[
            :MAX_START_ZONES
        ]
        answers = await asyncio.gather(*(self.fetch(entry) for entry in selected))
        return any(answers)
