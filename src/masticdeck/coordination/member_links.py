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
from masticdeck.coordination.members import SEVERITY, STATE_BY_SEVERITY, Member
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

STREAM_ERRORS = (asyncio.CancelledError, GRPCError, StreamTerminatedError, OSError)
INTERVAL_FACTOR_BY_DISTANCE = (1, 2, 4)
BATCH_DELAY_S = 0.02
MISMATCHES_BEFORE_REPAIR = 2
RECONNECT_DELAY_S = 0.25
CONNECT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 4.0
PERMILLE = 1000


class PeerLink:
    """One stream with one peer."""

    def __init__(self, owner: PeerLinks, peer: EntryId, distance: int) -> None:
        self.links = owner
        self.peer = peer
        self.interval_s = (
            owner.membership.node.config.heartbeat_s
            * INTERVAL_FACTOR_BY_DISTANCE[distance]
        )
        self.last_heartbeat_at = boottime()
        self.pending_claims: dict[EntryId, Member] = {}
        self.send_needed = asyncio.Event()
        self.digest_mismatches = MISMATCHES_BEFORE_REPAIR
        self.send_zone_digests = False

    async def exchange(self, stream: Stream) -> None:
        """Send and receive heartbeats until the stream ends."""
        sender = asyncio.create_task(self.send_heartbeats(stream))
        try:
            while (beat := await stream.recv_message()) is not None:
                self.handle_heartbeat(beat)
        finally:
            sender.cancel()
            (fault,) = await asyncio.gather(sender, return_exceptions=True)
            if isinstance(fault, Exception) and not isinstance(fault, STREAM_ERRORS):
                raise fault

    async def send_heartbeats(self, stream: Stream) -> None:
        """Send a heartbeat each interval and changed records at once."""
        self.pending_claims[self.links.membership.node.id] = (
            self.links.membership.local_member
        )
        while True:
            await stream.send_message(self.build_heartbeat())
            with suppress(TimeoutError):
                async with asyncio.timeout(self.interval_s):
                    await self.send_needed.wait()
                    await asyncio.sleep(BATCH_DELAY_S)

    def build_heartbeat(self) -> Heartbeat:
        """Return the next heartbeat with all that waits to be sent."""
        membership = self.links.membership
        records = [encode_member(member) for member in self.pending_claims.values()]
        self.pending_claims.clear()
        self.send_needed.clear()
        zones: list[ZoneDigest] = []
        if self.send_zone_digests:
            self.send_zone_digests = False
            zones = [
                ZoneDigest(zone=zone, digest=digest)
                for zone, digest in membership.zone_digests.items()
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

    def handle_heartbeat(self, beat: Heartbeat) -> None:
        """Take one heartbeat into account."""
        membership = self.links.membership
        self.last_heartbeat_at = boottime()
        membership.node.clock.receive(beat.stamp)
        for record in beat.records:
            claim = self.decode_record(record)
            if claim is not None:
                membership.merge(claim)
        membership.record_heartbeat(
            self.peer, Version(beat.version), beat.load_permille / PERMILLE
        )
        if beat.zones:
            self.queue_differing_zones({zone.zone: zone.digest for zone in beat.zones})
        self.compare_digest(beat.digest)

    def decode_record(self, record: MemberRecord) -> Member | None:
        """Return the claim of a record, or None for an unknown entry."""
        known = self.links.membership.members.get(EntryId(record.entry))
        state = STATE_BY_SEVERITY.get(record.state)
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

    def compare_digest(self, digest: int) -> None:
        """Send the zones' fingerprints after two unlike heartbeats."""
        if digest == self.links.membership.digest:
            self.digest_mismatches = 0
            return
        self.digest_mismatches += 1
        if self.digest_mismatches > MISMATCHES_BEFORE_REPAIR:
            self.digest_mismatches = 0
            self.send_zone_digests = True
            self.send_needed.set()

    def queue_differing_zones(self, digests: dict[str, int]) -> None:
        """Send the records of zones whose fingerprints differ."""
        membership = self.links.membership
        for zone, digest in membership.zone_digests.items():
            if digests.get(zone) != digest:
                for entry in membership.overlay.zones[zone]:
                    self.pending_claims[entry] = membership.members[entry]
        if self.pending_claims:
            self.send_needed.set()


class PeerLinks(MembersBase):
    """All streams of this node: those it dials and those it accepts."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.links: dict[tuple[EntryId, bool], PeerLink] = {}
        self.dial_tasks: dict[EntryId, asyncio.Task[None]] = {}
        self.distances: dict[EntryId, int] = {}
        self.stopping = False
        self.probe_tasks: set[asyncio.Task[None]] = set()

    def broadcast(self, member: Member) -> None:
        """Send a changed record on every stream."""
        for link in self.links.values():
            link.pending_claims[member.id] = member
            link.send_needed.set()

    def reconcile(self) -> None:
        """Open and close streams so that they follow the view."""
        wanted = self.membership.overlay.targets(self.membership.view())
        for peer, distance in wanted.items():
            if self.distances.get(peer) != distance:
                self.disconnect(peer)
                self.distances[peer] = distance
                self.dial_tasks[peer] = asyncio.create_task(
                    self.maintain_stream(peer, distance), name=f"heartbeat {peer}"
                )
        for peer in [peer for peer in self.dial_tasks if peer not in wanted]:
            self.disconnect(peer)

    def disconnect(self, peer: EntryId) -> None:
        """End the stream that this node dialled."""
        self.distances.pop(peer, None)
        task = self.dial_tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Send what is pending and end every stream."""
        self.stopping = True
        await asyncio.sleep(2 * BATCH_DELAY_S)
        tasks = [*self.dial_tasks.values(), *self.probe_tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def maintain_stream(self, peer: EntryId, distance: int) -> None:
        """Keep a stream to a peer open until the task is cancelled."""
        while True:
            await self.open_stream(peer, distance)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def open_stream(self, peer: EntryId, distance: int) -> None:
        """Open one stream and exchange heartbeats until it ends."""
        link = PeerLink(self, peer, distance)
        key = (peer, True)
        stub = MembersStub(self.membership.node.peers.get(peer))
        try:
            async with stub.Watch.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self.links[key] = link
                await link.exchange(stream)
        except ConnectionRefusedError:
            self.membership.record_refused_connection(peer)
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
        link = PeerLink(self, peer, self.distance_to(peer))
        self.links[(peer, False)] = link
        try:
            link.handle_heartbeat(beat)
            await link.exchange(stream)
        finally:
            if self.links.get((peer, False)) is link:
                del self.links[(peer, False)]
            self.spawn_probe(self.probe_port(peer))

    def distance_to(self, peer: EntryId) -> int:
        """Return 0 inside the zone, 1 inside the region, 2 beyond."""
        node = self.membership.node
        region_of = node.deployment.region_of
        zone = node.deployment.entry_by_id[peer].zone
        if zone == node.entry.zone:
            return 0
        return 1 if region_of[zone] == region_of[node.entry.zone] else 2

    def probe_gone_entry(self, chooser: random.Random) -> None:
        """Dial one entry that is held to be gone, in case it came back."""
        members = self.membership.members.values()
        gone = [one.id for one in members if one.state is MemberState.GONE]
        if not gone:
            return
        peer = chooser.choice(gone)
        self.spawn_probe(self.open_stream(peer, self.distance_to(peer)))

    def spawn_probe(self, body: Coroutine[Any, Any, None]) -> None:
        """Run a short exchange beside the streams, unless this node stops."""
        if self.stopping:
            body.close()
            return
        task = asyncio.create_task(body)
        self.probe_tasks.add(task)
        task.add_done_callback(self.probe_tasks.discard)
        asyncio.get_running_loop().call_later(PROBE_TIMEOUT_S, task.cancel)

    async def probe_port(self, peer: EntryId) -> None:
        """Find out whether a peer whose stream ended still listens."""
        node = self.membership.node.deployment.entry_by_id[peer]
        try:
            _, writer = await asyncio.open_connection(node.host, node.peer_port)
        except ConnectionRefusedError:
            self.membership.record_refused_connection(peer)
        except OSError:
            return
        else:
            writer.close()


def encode_member(member: Member) -> MemberRecord:
    """Return the record that carries a claim."""
    return MemberRecord(
        entry=member.id,
        incarnation=member.incarnation,
        counter=member.counter,
        state=SEVERITY[member.state],
    )
