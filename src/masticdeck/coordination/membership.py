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
from masticdeck.coordination.member_links import LinkSet
from masticdeck.coordination.members import Member
from masticdeck.coordination.overlay import MembershipView, Overlay
from masticdeck.events import Code
from masticdeck.ids import EntryId, MemberState, Version, ZoneId
from masticdeck.node import Node

SUSPECT_INTERVALS = 3.0
GONE_INTERVALS = 10.0
REFUTED_INTERVALS = 15.0
LOST_MEMORY_S = 60.0
CHECKS_PER_INTERVAL = 4
PAUSE_INTERVALS = 1.5
PROBE_INTERVALS = 5.0

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
        self.digests: dict[ZoneId, int] = dict.fromkeys(self.overlay.entries_by_zone, 0)
        for member in self.members.values():
            self.digests[member.zone] ^= member.fingerprint
        self.evidence: dict[EntryId, float] = {}
        self.since: dict[EntryId, float] = dict.fromkeys(self.members, boottime())
        self.lost: dict[EntryId, float] = {}
        self.links = LinkSet(self)
        self.task: asyncio.Task[None] | None = None
        self.checked_at = 0.0
        self.random = random.Random(f"{node.id} {node.incarnation}")
        self.apply(
            replace(
                self.members[node.id],
                incarnation=node.incarnation,
                state=MemberState.ALIVE,
            )
        )

    @property
    def me(self) -> Member:
        """Return this node's own claim."""
        return self.members[self.node.id]

    @property
    def digest(self) -> int:
        """Return the fingerprint of all claims."""
        whole = 0
        for digest in self.digests.values():
            whole ^= digest
        return whole

    def alive(self) -> list[EntryId]:
        """Return the entries that may get new work, this one included."""
        return [
            member.id
            for member in self.members.values()
            if member.state is MemberState.ALIVE
        ]

    def unheard(self) -> list[EntryId]:
        """Return the entries that may be alive but were never heard of."""
        return [
            member.id
            for member in self.members.values()
            if member.state is MemberState.SUSPECT and not member.incarnation
        ]

    def leave(self) -> None:
        """Announce that this entry is leaving and must get no new work."""
        if self.me.state is not MemberState.LEAVING:
            self.claim(self.me, MemberState.LEAVING, counter=self.me.counter + 1)

    async def start(self) -> None:
        """Begin to send and watch heartbeats."""
        self.checked_at = boottime()
        self.since = dict.fromkeys(self.members, boottime())
        self.links.update()
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
        probe_at = boottime() + PROBE_INTERVALS * interval
        while True:
            await asyncio.sleep(interval / CHECKS_PER_INTERVAL)
            now = boottime()
            if now - self.checked_at > PAUSE_INTERVALS * interval:
                self.forgive_pause(now)
            self.checked_at = now
            self.check_silence(now)
            self.check_suspects(now)
            if now > probe_at:
                self.links.probe(self.random)
                probe_at = now + PROBE_INTERVALS * interval
            self.links.update()

    def forgive_pause(self, now: float) -> None:
        """Restart every silence after this process itself stood still."""
        for link in self.links.links.values():
            link.heard_at = now
        for entry in self.since:
            self.since[entry] = now

    def check_silence(self, now: float) -> None:
        """Suspect live neighbours from which nothing came for three intervals."""
        for link in list(self.links.links.values()):
            member = self.members[link.peer]
            if member.state in (MemberState.SUSPECT, MemberState.GONE):
                continue
            silent_s = now - link.heard_at
            if silent_s < SUSPECT_INTERVALS * link.interval_s:
                continue
            if now > self.evidence.get(link.peer, 0.0):
                self.claim(member, MemberState.SUSPECT)

    def check_suspects(self, now: float) -> None:
        """Declare gone what stayed suspected for ten intervals."""
        limit = GONE_INTERVALS * self.node.config.heartbeat_s
        for member in list(self.members.values()):
            if (
                member.state is MemberState.SUSPECT
                and now - self.since[member.id] > limit
            ):
                self.claim(member, MemberState.GONE)
        for entry, until in list(self.lost.items()):
            if now > until:
                del self.lost[entry]

    def refused(self, entry: EntryId) -> None:
        """Take note that an entry's peer port refused a connection."""
        if self.members[entry].state is not MemberState.GONE:
            self.claim(self.members[entry], MemberState.GONE)

    def heard(self, entry: EntryId, version: Version, load: float) -> None:
        """Take a heartbeat's own figures of a direct neighbour into account."""
        member = self.members[entry]
        if (member.version, member.load) != (version, load):
            self.members[entry] = replace(member, version=version, load=load)

    def claim(
        self, member: Member, state: MemberState, *, counter: int | None = None
    ) -> None:
        """Claim a state of a member and spread it."""
        chosen = member.counter if counter is None else counter
        self.apply(replace(member, state=state, counter=chosen))

    def merge(self, claim: Member) -> bool:
        """Take a received claim into the view if it beats what is known."""
        if claim.order <= self.members[claim.id].order:
            return False
        if claim.id == self.node.id:
            self.refute(claim)
            return False
        self.apply(claim)
        return True

    def apply(self, claim: Member) -> None:
        """Take a claim into the view and spread it."""
        known = self.members[claim.id]
        self.members[claim.id] = claim
        self.digests[claim.zone] ^= known.fingerprint ^ claim.fingerprint
        self.note(known, claim)
        self.links.spread(claim)

    def refute(self, claim: Member) -> None:
        """Answer a false claim about this node itself with a larger counter."""
        mine = self.me
        self.node.events.emit(Code.MEMBER_REFUTED, entry=claim.id, state=claim.state)
        self.claim(
            replace(mine, incarnation=max(mine.incarnation, claim.incarnation)),
            mine.state,
            counter=claim.counter + 1,
        )

    def note(self, known: Member, claim: Member) -> None:
        """Keep times of a change and tell the other components."""
        now = boottime()
        interval = self.node.config.heartbeat_s
        self.since[claim.id] = now
        if claim.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.evidence[claim.id] = now + REFUTED_INTERVALS * interval * (
                known.state is MemberState.SUSPECT and known.incarnation != 0
            )
            self.lost.pop(claim.id, None)
        elif known.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.lost[claim.id] = now + LOST_MEMORY_S
        if (known.state, known.incarnation) == (claim.state, claim.incarnation):
            return
        self.node.events.emit(
            Code.MEMBER_CHANGED, entry=claim.id, state=claim.state.value
        )
        self.node.hooks.hook.member_changed(entry=claim.id, state=claim.state)

    def view(self) -> MembershipView:
        """Return what the overlay needs to know."""
        states = {member.id: member.state for member in self.members.values()}
        return MembershipView(states, frozenset(self.lost))
