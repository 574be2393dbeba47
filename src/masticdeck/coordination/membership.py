"""Who is alive, who is leaving, and in which incarnation.

Every node claims its own state; its neighbours on the overlay claim that it
is suspected or gone, and it refutes such a claim by a larger counter. Claims
flow over the heartbeat streams once each; fingerprints per zone find and
repair what was missed. Neighbours' heartbeats also carry the configuration
version, a load figure and the hybrid clock.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from masticdeck.clock import boottime
from masticdeck.coordination.member_links import PeerLinks
from masticdeck.coordination.members import Member
from masticdeck.coordination.overlay import Overlay, View
from masticdeck.events import Code
from masticdeck.ids import EntryId, MemberState, Version, ZoneId
from masticdeck.node import Node

SUSPECT_AFTER_INTERVALS = 3.0
GONE_AFTER_INTERVALS = 10.0
REFUTATION_GRACE_INTERVALS = 15.0
LOST_RETENTION_S = 60.0
CHECKS_PER_INTERVAL = 4
PAUSE_THRESHOLD_INTERVALS = 1.5
PROBE_PERIOD_INTERVALS = 5.0

__all__ = ["Member", "Membership"]


class Membership:
    """This node's view of all entries, kept up by heartbeats.

    Entries never heard of are SUSPECT with incarnation 0. Set ``version`` and
    ``load`` to what the heartbeats shall carry. Calls the hook
    ``member_changed`` at each change of state or incarnation.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.version = Version(0)
        self.load = 0.0
        self.members = {
            entry.id: Member(id=entry.id, zone=entry.zone)
            for entry in node.deployment.entries
        }
        self.overlay = Overlay(node.deployment, node.id)
        self.zone_digests: dict[ZoneId, int] = dict.fromkeys(self.overlay.zones, 0)
        for member in self.members.values():
            self.zone_digests[member.zone] ^= member.fingerprint
        self.trusted_until: dict[EntryId, float] = {}
        self.state_since: dict[EntryId, float] = dict.fromkeys(self.members, boottime())
        self.lost_until: dict[EntryId, float] = {}
        self.links = PeerLinks(self)
        self.task: asyncio.Task[None] | None = None
        self.checked_at = 0.0
        self.rng = random.Random(f"{node.id} {node.incarnation}")
        self.apply_claim(
            replace(
                self.members[node.id],
                incarnation=node.incarnation,
                state=MemberState.ALIVE,
            )
        )

    @property
    def local_member(self) -> Member:
        """Return this node's own claim."""
        return self.members[self.node.id]

    @property
    def digest(self) -> int:
        """Return the fingerprint of all claims."""
        whole = 0
        for digest in self.zone_digests.values():
            whole ^= digest
        return whole

    def alive_entries(self) -> list[EntryId]:
        """Return the entries that may get new work, this one included."""
        return [
            member.id
            for member in self.members.values()
            if member.state is MemberState.ALIVE
        ]

    def unobserved_entries(self) -> list[EntryId]:
        """Return the entries that may be alive but were never heard of."""
        return [
            member.id
            for member in self.members.values()
            if member.state is MemberState.SUSPECT and not member.incarnation
        ]

    def leave(self) -> None:
        """Announce that this entry is leaving and must get no new work."""
        if self.local_member.state is not MemberState.LEAVING:
            self.claim_state(
                self.local_member,
                MemberState.LEAVING,
                counter=self.local_member.counter + 1,
            )

    async def start(self) -> None:
        """Begin to send and watch heartbeats."""
        self.checked_at = boottime()
        self.state_since = dict.fromkeys(self.members, boottime())
        self.links.reconcile()
        self.task = asyncio.create_task(self.run(), name="membership")

    async def stop(self) -> None:
        """Announce the leaving and close every stream."""
        self.leave()
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self.links.stop()

    async def run(self) -> None:
        """Check for silence and keep the streams in line with the view."""
        interval = self.node.config.heartbeat_s
        probe_at = boottime() + PROBE_PERIOD_INTERVALS * interval
        while True:
            await asyncio.sleep(interval / CHECKS_PER_INTERVAL)
            now = boottime()
            if now - self.checked_at > PAUSE_THRESHOLD_INTERVALS * interval:
                self.reset_silence_timers(now)
            self.checked_at = now
            self.suspect_silent_peers(now)
            self.expire_suspects(now)
            if now > probe_at:
                self.links.probe_gone_entry(self.rng)
                probe_at = now + PROBE_PERIOD_INTERVALS * interval
            self.links.reconcile()

    def reset_silence_timers(self, now: float) -> None:
        """Restart every silence after this process itself stood still."""
        for link in self.links.links.values():
            link.last_heartbeat_at = now
        for entry in self.state_since:
            self.state_since[entry] = now

    def suspect_silent_peers(self, now: float) -> None:
        """Suspect live neighbours from which nothing came for three intervals."""
        for link in list(self.links.links.values()):
            member = self.members[link.peer]
            if member.state in (MemberState.SUSPECT, MemberState.GONE):
                continue
            silent_s = now - link.last_heartbeat_at
            if silent_s < SUSPECT_AFTER_INTERVALS * link.interval_s:
                continue
            if now > self.trusted_until.get(link.peer, 0.0):
                self.claim_state(member, MemberState.SUSPECT)

    def expire_suspects(self, now: float) -> None:
        """Declare gone what stayed suspected for ten intervals."""
        limit = GONE_AFTER_INTERVALS * self.node.config.heartbeat_s
        for member in list(self.members.values()):
            if (
                member.state is MemberState.SUSPECT
                and now - self.state_since[member.id] > limit
            ):
                self.claim_state(member, MemberState.GONE)
        for entry, until in list(self.lost_until.items()):
            if now > until:
                del self.lost_until[entry]

    def record_refused_connection(self, entry: EntryId) -> None:
        """Take note that an entry's peer port refused a connection."""
        if self.members[entry].state is not MemberState.GONE:
            self.claim_state(self.members[entry], MemberState.GONE)

    def record_heartbeat(self, entry: EntryId, version: Version, load: float) -> None:
        """Take a heartbeat's own figures of a direct neighbour into account."""
        member = self.members[entry]
        if (member.version, member.load) != (version, load):
            self.members[entry] = replace(member, version=version, load=load)

    def claim_state(
        self, member: Member, state: MemberState, *, counter: int | None = None
    ) -> None:
        """Claim a state of a member and spread it."""
        chosen = member.counter if counter is None else counter
        self.apply_claim(replace(member, state=state, counter=chosen))

    def merge(self, claim: Member) -> bool:
        """Take a received claim into the view if it beats what is known."""
        if claim.precedence <= self.members[claim.id].precedence:
            return False
        if claim.id == self.node.id:
            self.refute(claim)
            return False
        self.apply_claim(claim)
        return True

    def apply_claim(self, claim: Member) -> None:
        """Take a claim into the view and spread it."""
        known = self.members[claim.id]
        self.members[claim.id] = claim
        self.zone_digests[claim.zone] ^= known.fingerprint ^ claim.fingerprint
        self.record_change(known, claim)
        self.links.broadcast(claim)

    def refute(self, claim: Member) -> None:
        """Answer a false claim about this node itself with a larger counter."""
        mine = self.local_member
        self.node.events.emit(Code.MEMBER_REFUTED, entry=claim.id, state=claim.state)
        self.claim_state(
            replace(mine, incarnation=max(mine.incarnation, claim.incarnation)),
            mine.state,
            counter=claim.counter + 1,
        )

    def record_change(self, known: Member, claim: Member) -> None:
        """Keep times of a change and tell the other components."""
        now = boottime()
        interval = self.node.config.heartbeat_s
        self.state_since[claim.id] = now
        if claim.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.trusted_until[claim.id] = (
                now
                + REFUTATION_GRACE_INTERVALS
                * interval
                * (known.state is MemberState.SUSPECT and known.incarnation != 0)
            )
            self.lost_until.pop(claim.id, None)
        elif known.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.lost_until[claim.id] = now + LOST_RETENTION_S
        if (known.state, known.incarnation) == (claim.state, claim.incarnation):
            return
        self.node.events.emit(
            Code.MEMBER_CHANGED, entry=claim.id, state=claim.state.value
        )
        self.node.hooks.hook.member_changed(entry=claim.id, state=claim.state)

    def view(self) -> View:
        """Return what the overlay needs to know."""
        states = {member.id: member.state for member in self.members.values()}
        return View(states, frozenset(self.lost_until))
