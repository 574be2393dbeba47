"""Heartbeat streams between peers; both ends run the same exchange."""

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
MISSING_STREAM_INTERVALS = 3.0
"""Heartbeat intervals after which a node dials a neighbour that did not dial it.

The neighbour may have crashed, or its view may differ, so that it has no reason to
dial.
"""
CONNECT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 4.0
PERMILLE = 1000


class PeerLink:
    """One heartbeat stream with one peer, and the claims queued for it."""

    def __init__(self, links: PeerLinks, peer: EntryId, distance: int) -> None:
        self.links = links
        self.peer = peer
        self.interval_s = (
            links.membership.node.config.heartbeat_s
            * INTERVAL_FACTOR_BY_DISTANCE[distance]
        )
        self.last_heartbeat_at = boottime()
        self.pending_claims: dict[EntryId, Member] = {}
        self.send_needed = asyncio.Event()
        self.digest_mismatches = MISMATCHES_BEFORE_REPAIR
        self.send_zone_digests = False

    async def exchange(self, stream: Stream) -> None:
        """Send and receive heartbeats until the stream ends."""
        send_task = asyncio.create_task(self.send_heartbeats(stream))
        try:
            while (heartbeat := await stream.recv_message()) is not None:
                self.handle_heartbeat(heartbeat)
        finally:
            send_task.cancel()
            (error,) = await asyncio.gather(send_task, return_exceptions=True)
            if isinstance(error, Exception) and not isinstance(error, STREAM_ERRORS):
                raise error

    async def send_heartbeats(self, stream: Stream) -> None:
        """Send a heartbeat each interval, or early when claims are queued.

        Claims that follow within BATCH_DELAY_S share the early heartbeat.
        """
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
        """Return the next heartbeat and clear the queue of claims."""
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

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the clock, claims, load and digests of a received heartbeat."""
        membership = self.links.membership
        self.last_heartbeat_at = boottime()
        membership.node.clock.receive(heartbeat.stamp)
        for record in heartbeat.records:
            claim = self.decode_record(record)
            if claim is not None:
                membership.merge(claim)
        membership.record_heartbeat(
            self.peer, Version(heartbeat.version), heartbeat.load_permille / PERMILLE
        )
        if heartbeat.zones:
            self.queue_differing_zones(
                {zone.zone: zone.digest for zone in heartbeat.zones}
            )
        self.compare_digest(heartbeat.digest)

    def decode_record(self, record: MemberRecord) -> Member | None:
        """Return the claim of a record, or None for an unknown entry or state."""
        member = self.links.membership.members.get(EntryId(record.entry))
        state = STATE_BY_SEVERITY.get(record.state)
        if member is None or state is None:
            return None
        return Member(
            id=member.id,
            zone=member.zone,
            incarnation=Incarnation(record.incarnation),
            counter=record.counter,
            state=state,
            version=member.version,
            load=member.load,
        )

    def compare_digest(self, digest: int) -> None:
        """Send the zone digests early after repeated mismatches.

        The first MISMATCHES_BEFORE_REPAIR mismatches in a row are ignored,
        because claims may still be on their way.
        """
        if digest == self.links.membership.digest:
            self.digest_mismatches = 0
            return
        self.digest_mismatches += 1
        if self.digest_mismatches > MISMATCHES_BEFORE_REPAIR:
            self.digest_mismatches = 0
            self.send_zone_digests = True
            self.send_needed.set()

    def queue_differing_zones(self, digests: dict[str, int]) -> None:
        """Queue the claims of all entries in zones whose digests differ."""
        membership = self.links.membership
        for zone, digest in membership.zone_digests.items():
            if digests.get(zone) != digest:
                for entry in membership.overlay.entries_by_zone[zone]:
                    self.pending_claims[entry] = membership.members[entry]
        if self.pending_claims:
            self.send_needed.set()


class PeerLinks(MembersBase):
    """All heartbeat streams of this node: those it opens and those it accepts.

    ``links`` is keyed by peer and by whether this node opened the stream.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.links: dict[tuple[EntryId, bool], PeerLink] = {}
        self.dial_tasks: dict[EntryId, asyncio.Task[None]] = {}
        self.distances: dict[EntryId, int] = {}
        self.missing_since: dict[EntryId, float] = {}
        self.stopping = False
        self.probe_tasks: set[asyncio.Task[None]] = set()

    def broadcast(self, member: Member) -> None:
        """Queue a changed claim on every stream."""
        for link in self.links.values():
            link.pending_claims[member.id] = member
            link.send_needed.set()

    def reconcile(self, now: float) -> None:
        """Open and close streams so that they match the overlay's targets."""
        overlay = self.membership.overlay
        view = self.membership.view()
        targets: dict[EntryId, int] = {}
        expected: dict[EntryId, int] = {}
        for peer, distance in overlay.neighbours(view).items():
            group = targets if overlay.is_dialled(peer, view) else expected
            group[peer] = distance
        targets.update(self.overdue_dialers(expected, now))
        for peer, distance in targets.items():
            if self.distances.get(peer) != distance:
                self.disconnect(peer)
                self.distances[peer] = distance
                self.dial_tasks[peer] = asyncio.create_task(
                    self.maintain_stream(peer, distance), name=f"heartbeat {peer}"
                )
        for peer in [peer for peer in self.dial_tasks if peer not in targets]:
            self.disconnect(peer)

    def overdue_dialers(
        self, expected: dict[EntryId, int], now: float
    ) -> dict[EntryId, int]:
        """Return the peers that were expected to dial this node but did not.

        A peer that ended its stream and then crashed is detected because it refuses
        the connection. Two entries whose views differ would otherwise each wait for
        a third one to dial, and never exchange their claims.
        """
        self.missing_since = {
            peer: self.missing_since.get(peer, now)
            for peer in expected
            if (peer, False) not in self.links
        }
        heartbeat_s = self.membership.node.config.heartbeat_s
        overdue: dict[EntryId, int] = {}
        for peer, since in self.missing_since.items():
            distance = expected[peer]
            interval_s = heartbeat_s * INTERVAL_FACTOR_BY_DISTANCE[distance]
            if now - since > MISSING_STREAM_INTERVALS * interval_s:
                overdue[peer] = distance
        return overdue

    def disconnect(self, peer: EntryId) -> None:
        """Close the stream that this node opened to a peer."""
        self.distances.pop(peer, None)
        task = self.dial_tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Let queued claims be sent, then close every stream."""
        self.stopping = True
        await asyncio.sleep(2 * BATCH_DELAY_S)
        tasks = [*self.dial_tasks.values(), *self.probe_tasks]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def maintain_stream(self, peer: EntryId, distance: int) -> None:
        """Keep a stream to a peer open and reopen it when it ends."""
        while True:
            await self.open_stream(peer, distance)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def open_stream(self, peer: EntryId, distance: int) -> None:
        """Open a stream and exchange heartbeats until it ends."""
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
        """Serve a stream that a peer opened."""
        heartbeat = await stream.recv_message()
        if (
            heartbeat is None
            or EntryId(heartbeat.sender) not in self.membership.members
        ):
            return
        peer = EntryId(heartbeat.sender)
        link = PeerLink(self, peer, self.distance_to(peer))
        self.links[(peer, False)] = link
        try:
            link.handle_heartbeat(heartbeat)
            await link.exchange(stream)
        finally:
            if self.links.get((peer, False)) is link:
                del self.links[(peer, False)]
            self.spawn_probe(self.probe_port(peer))

    def distance_to(self, peer: EntryId) -> int:
        """Return 0 for a peer in the same zone, 1 in the same region, else 2."""
        node = self.membership.node
        region_of = node.deployment.region_of
        zone = node.deployment.entry_by_id[peer].zone
        if zone == node.entry.zone:
            return 0
        return 1 if region_of[zone] == region_of[node.entry.zone] else 2

    def probe_gone_entry(self, rng: random.Random) -> None:
        """Connect to a random entry that is marked as gone, in case it is back."""
        members = self.membership.members.values()
        gone_entries = [
            member.id for member in members if member.state is MemberState.GONE
        ]
        if not gone_entries:
            return
        peer = rng.choice(gone_entries)
        self.spawn_probe(self.open_stream(peer, self.distance_to(peer)))

    def spawn_probe(self, probe: Coroutine[Any, Any, None]) -> None:
        """Run a probe as a task with a time limit, unless this node is stopping."""
        if self.stopping:
            probe.close()
            return
        task = asyncio.create_task(probe)
        self.probe_tasks.add(task)
        task.add_done_callback(self.probe_tasks.discard)
        asyncio.get_running_loop().call_later(PROBE_TIMEOUT_S, task.cancel)

    async def probe_port(self, peer: EntryId) -> None:
        """Check whether a peer whose stream ended still accepts connections."""
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
    """Return the wire record of a claim."""
    return MemberRecord(
        entry=member.id,
        incarnation=member.incarnation,
        counter=member.counter,
        state=SEVERITY[member.state],
    )
