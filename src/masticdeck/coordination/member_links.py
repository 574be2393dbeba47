"""Heartbeat streams between peers: one task for each, both ways alike."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from grpclib.client import Stream as ClientStream
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream as ServerStream

from masticdeck.clock import boottime
from masticdeck.coordination.members import SEVERITY, STATE_OF, Member
from masticdeck.ids import EntryId, Incarnation, MemberState, Version
from masticdeck.protocol.generated.membership_grpc import MembersBase, MembersStub
from masticdeck.protocol.generated.membership_pb2 import (
    Heartbeat,
    MemberRecord,
    ZoneDigest,
)

if TYPE_CHECKING:
    from masticdeck.coordination.membership import Membership

Stream = ClientStream[Heartbeat, Heartbeat] | ServerStream[Heartbeat, Heartbeat]

STREAM_FAULTS = (asyncio.CancelledError, GRPCError, StreamTerminatedError, OSError)
DISTANCE_FACTOR = (1, 2, 4)
SPREAD_DELAY_S = 0.02
MISMATCHES_BEFORE_REPAIR = 2
REDIAL_S = 0.25
CONNECT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 4.0
PERMILLE = 1000


class Link:
    """One stream with one peer."""

    def __init__(self, owner: LinkSet, peer: EntryId, distance: int) -> None:
        self.owner = owner
        self.peer = peer
        self.interval_s = (
            owner.membership.node.config.heartbeat_s * DISTANCE_FACTOR[distance]
        )
        self.heard_at = boottime()
        self.pending: dict[EntryId, Member] = {}
        self.changed = asyncio.Event()
        self.mismatches = MISMATCHES_BEFORE_REPAIR
        self.send_zones = False

    async def exchange(self, stream: Stream) -> None:
        """Send and receive heartbeats until the stream ends."""
        sender = asyncio.create_task(self.send(stream))
        try:
            while (beat := await stream.recv_message()) is not None:
                self.receive(beat)
        finally:
            sender.cancel()
            (fault,) = await asyncio.gather(sender, return_exceptions=True)
            if isinstance(fault, Exception) and not isinstance(fault, STREAM_FAULTS):
                raise fault

    async def send(self, stream: Stream) -> None:
        """Send a heartbeat each interval and changed records at once."""
        self.pending[self.owner.membership.node.id] = self.owner.membership.me
        while True:
            await stream.send_message(self.compose())
            with suppress(TimeoutError):
                async with asyncio.timeout(self.interval_s):
                    await self.changed.wait()
                    await asyncio.sleep(SPREAD_DELAY_S)

    def compose(self) -> Heartbeat:
        """Return the next heartbeat with all that waits to be sent."""
        membership = self.owner.membership
        records = [encode(member) for member in self.pending.values()]
        self.pending.clear()
        self.changed.clear()
        zones: list[ZoneDigest] = []
        if self.send_zones:
            self.send_zones = False
            zones = [
                ZoneDigest(zone=zone, digest=digest)
                for zone, digest in membership.digests.items()
            ]
        return Heartbeat(
            sender=membership.node.id,
            stamp=membership.node.clock.stamp(),
            version=membership.version,
            load_permille=round(membership.load * PERMILLE),
            digest=membership.digest,
            records=records,
            zones=zones,
        )

    def receive(self, beat: Heartbeat) -> None:
        """Take one heartbeat into account."""
        membership = self.owner.membership
        self.heard_at = boottime()
        membership.node.clock.receive(beat.stamp)
        for record in beat.records:
            claim = self.decode(record)
            if claim is not None:
                membership.merge(claim)
        membership.heard(
            self.peer, Version(beat.version), beat.load_permille / PERMILLE
        )
        if beat.zones:
            self.repair({zone.zone: zone.digest for zone in beat.zones})
        self.compare(beat.digest)

    def decode(self, record: MemberRecord) -> Member | None:
        """Return the claim of a record, or None for an unknown entry."""
        known = self.owner.membership.members.get(EntryId(record.entry))
        state = STATE_OF.get(record.state)
        if known is None or state is None:
            return None
        return Member(
            id=known.id,
            zone=known.zone,
            incarnation=Incarnation(record.incarnation),
            counter=record.counter,
            state=state,
            version=known.version,
            load=known.load,
        )

    def compare(self, digest: int) -> None:
        """Send the zones' fingerprints after two unlike heartbeats."""
        if digest == self.owner.membership.digest:
            self.mismatches = 0
            return
        self.mismatches += 1
        if self.mismatches > MISMATCHES_BEFORE_REPAIR:
            self.mismatches = 0
            self.send_zones = True
            self.changed.set()

    def repair(self, digests: dict[str, int]) -> None:
        """Send the records of zones whose fingerprints differ."""
        membership = self.owner.membership
        for zone, digest in membership.digests.items():
            if digests.get(zone) != digest:
                for entry in membership.overlay.entries_by_zone[zone]:
                    self.pending[entry] = membership.members[entry]
        if self.pending:
            self.changed.set()


class LinkSet(MembersBase):
    """All streams of this node: those it dials and those it accepts."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.links: dict[tuple[EntryId, bool], Link] = {}
        self.dialers: dict[EntryId, asyncio.Task[None]] = {}
        self.distances: dict[EntryId, int] = {}
        self.stopping = False
        self.probes: set[asyncio.Task[None]] = set()

    def spread(self, member: Member) -> None:
        """Send a changed record on every stream."""
        for link in self.links.values():
            link.pending[member.id] = member
            link.changed.set()

    def update(self) -> None:
        """Open and close streams so that they follow the view."""
        wanted = self.membership.overlay.dial_targets(self.membership.view())
        for peer, distance in wanted.items():
            if self.distances.get(peer) != distance:
                self.drop(peer)
                self.distances[peer] = distance
                self.dialers[peer] = asyncio.create_task(
                    self.dial(peer, distance), name=f"heartbeat {peer}"
                )
        for peer in [peer for peer in self.dialers if peer not in wanted]:
            self.drop(peer)

    def drop(self, peer: EntryId) -> None:
        """End the stream that this node dialled."""
        self.distances.pop(peer, None)
        task = self.dialers.pop(peer, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Send what is pending and end every stream."""
        self.stopping = True
        await asyncio.sleep(2 * SPREAD_DELAY_S)
        tasks = [*self.dialers.values(), *self.probes]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def dial(self, peer: EntryId, distance: int) -> None:
        """Keep a stream to a peer open until the task is cancelled."""
        while True:
            await self.connect(peer, distance)
            await asyncio.sleep(REDIAL_S)

    async def connect(self, peer: EntryId, distance: int) -> None:
        """Open one stream and exchange heartbeats until it ends."""
        link = Link(self, peer, distance)
        key = (peer, True)
        stub = MembersStub(self.membership.node.peers.get(peer))
        try:
            async with stub.Watch.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self.links[key] = link
                await link.exchange(stream)
        except ConnectionRefusedError:
            self.membership.refused(peer)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            pass
        finally:
            if self.links.get(key) is link:
                del self.links[key]

    async def Watch(  # noqa: N802
        self, stream: ServerStream[Heartbeat, Heartbeat]
    ) -> None:
        """Serve a stream that a peer dialled."""
        beat = await stream.recv_message()
        if beat is None or EntryId(beat.sender) not in self.membership.members:
            return
        peer = EntryId(beat.sender)
        link = Link(self, peer, self.distance_to(peer))
        self.links[(peer, False)] = link
        try:
            link.receive(beat)
            await link.exchange(stream)
        finally:
            if self.links.get((peer, False)) is link:
                del self.links[(peer, False)]
            self.start_probe(self.knock(peer))

    def distance_to(self, peer: EntryId) -> int:
        """Return 0 inside the zone, 1 inside the region, 2 beyond."""
        node = self.membership.node
        region_of = node.deployment.region_of
        zone = node.deployment.entry_by_id[peer].zone
        if zone == node.entry.zone:
            return 0
        return 1 if region_of[zone] == region_of[node.entry.zone] else 2

    def probe(self, chooser: random.Random) -> None:
        """Dial one entry that is held to be gone, in case it came back."""
        members = self.membership.members.values()
        gone = [one.id for one in members if one.state is MemberState.GONE]
        if not gone:
            return
        peer = chooser.choice(gone)
        self.start_probe(self.connect(peer, self.distance_to(peer)))

    def start_probe(self, body: Coroutine[Any, Any, None]) -> None:
        """Run a short exchange beside the streams, unless this node stops."""
        if self.stopping:
            body.close()
            return
        task = asyncio.create_task(body)
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)
        asyncio.get_running_loop().call_later(PROBE_TIMEOUT_S, task.cancel)

    async def knock(self, peer: EntryId) -> None:
        """Find out whether a peer whose stream ended still listens."""
        node = self.membership.node.deployment.entry_by_id[peer]
        try:
            _, writer = await asyncio.open_connection(node.host, node.peer_port)
        except ConnectionRefusedError:
            self.membership.refused(peer)
        except OSError:
            return
        else:
            writer.close()


def encode(member: Member) -> MemberRecord:
    """Return the record that carries a claim."""
    return MemberRecord(
        entry=member.id,
        incarnation=member.incarnation,
        counter=member.counter,
        state=SEVERITY[member.state],
    )
