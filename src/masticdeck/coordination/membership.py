"""Group membership: the state and incarnation of every entry.

Each node claims its own state. Its neighbours on the overlay may claim that
it is suspected or gone; it refutes a false claim with a larger counter. Each
claim is sent once over every heartbeat stream, and digests per zone detect
and repair claims that were missed. Heartbeats also carry the sender's
configuration version, load and hybrid clock.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from masticdeck.clock import boottime
from masticdeck.coordination.member_links import PeerLinks
from masticdeck.coordination.members import Member
from masticdeck.coordination.overlay import MembershipView, Overlay
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
    """This node's view of all entries, maintained by heartbeats.

    An entry that was never observed is SUSPECT with incarnation 0. The
    heartbeats carry the current values of ``version`` and ``load``. Every
    change of state or incarnation calls the hook ``member_changed``.
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
        self.zone_digests: dict[ZoneId, int] = dict.fromkeys(
            self.overlay.entries_by_zone, 0
        )
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
        """Return the record of this node itself."""
        return self.members[self.node.id]

    @property
    def digest(self) -> int:
        """Return the combined digest of all claims."""
        combined = 0
        for digest in self.zone_digests.values():
            combined ^= digest
        return combined

    def alive_entries(self) -> list[EntryId]:
        """Return the entries that accept new work, including this one."""
        return [
            member.id
            for member in self.members.values()
            if member.state is MemberState.ALIVE
        ]

    def unobserved_entries(self) -> list[EntryId]:
        """Return the entries that may be alive but were never observed."""
        return [
            member.id
            for member in self.members.values()
            if member.state is MemberState.SUSPECT and not member.incarnation
        ]

    def leave(self) -> None:
        """Announce that this entry is leaving and accepts no new work."""
        if self.local_member.state is not MemberState.LEAVING:
            self.claim_state(
                self.local_member,
                MemberState.LEAVING,
                counter=self.local_member.counter + 1,
            )

    async def start(self) -> None:
        """Start sending and monitoring heartbeats."""
        self.checked_at = boottime()
        self.state_since = dict.fromkeys(self.members, boottime())
        self.links.reconcile(self.checked_at)
        self.task = asyncio.create_task(self.run(), name="membership")

    async def stop(self) -> None:
        """Announce that this entry is leaving and close every stream."""
        self.leave()
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self.links.stop()

    async def run(self) -> None:
        """Check for silent peers and reconcile the streams with the view."""
        interval_s = self.node.config.heartbeat_s
        probe_at = boottime() + PROBE_PERIOD_INTERVALS * interval_s
        while True:
            await asyncio.sleep(interval_s / CHECKS_PER_INTERVAL)
            now = boottime()
            if now - self.checked_at > PAUSE_THRESHOLD_INTERVALS * interval_s:
                self.reset_silence_timers(now)
            self.checked_at = now
            self.suspect_silent_peers(now)
            self.expire_suspects(now)
            if now > probe_at:
                self.links.probe_gone_entry(self.rng)
                probe_at = now + PROBE_PERIOD_INTERVALS * interval_s
            self.links.reconcile(now)

    def reset_silence_timers(self, now: float) -> None:
        """Restart all silence timers after this process itself was paused.

        Otherwise it would suspect every peer as soon as it resumes.
        """
        for link in self.links.links.values():
            link.last_heartbeat_at = now
        self.links.missing_since.clear()
        for entry in self.state_since:
            self.state_since[entry] = now

    def suspect_silent_peers(self, now: float) -> None:
        """Suspect neighbours that sent nothing for SUSPECT_AFTER_INTERVALS.

        A neighbour that has just refuted a suspicion is exempt for a while.
        """
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
        """Declare entries gone that stayed suspected for GONE_AFTER_INTERVALS."""
        limit_s = GONE_AFTER_INTERVALS * self.node.config.heartbeat_s
        for member in list(self.members.values()):
            if (
                member.state is MemberState.SUSPECT
                and now - self.state_since[member.id] > limit_s
            ):
                self.claim_state(member, MemberState.GONE)
        for entry, until in list(self.lost_until.items()):
            if now > until:
                del self.lost_until[entry]

    def record_refused_connection(self, entry: EntryId) -> None:
        """Declare an entry gone because its peer port refused a connection."""
        if self.members[entry].state is not MemberState.GONE:
            self.claim_state(self.members[entry], MemberState.GONE)

    def record_heartbeat(self, entry: EntryId, version: Version, load: float) -> None:
        """Update the version and load that a direct neighbour reported."""
        member = self.members[entry]
        if (member.version, member.load) != (version, load):
            self.members[entry] = replace(member, version=version, load=load)

    def claim_state(
        self, member: Member, state: MemberState, *, counter: int | None = None
    ) -> None:
        """Claim a state for a member and broadcast the claim."""
        claim_counter = member.counter if counter is None else counter
        self.apply_claim(replace(member, state=state, counter=claim_counter))

    def merge(self, claim: Member) -> bool:
        """Apply a received claim if it takes precedence; return whether it did."""
        if claim.precedence <= self.members[claim.id].precedence:
            return False
        if claim.id == self.node.id:
            self.refute(claim)
            return False
        self.apply_claim(claim)
        return True

    def apply_claim(self, claim: Member) -> None:
        """Update the view with a claim and broadcast it."""
        previous = self.members[claim.id]
        self.members[claim.id] = claim
        self.zone_digests[claim.zone] ^= previous.fingerprint ^ claim.fingerprint
        self.record_change(previous, claim)
        self.links.broadcast(claim)

    def refute(self, claim: Member) -> None:
        """Refute a false claim about this node by claiming a larger counter."""
        own = self.local_member
        self.node.events.emit(Code.MEMBER_REFUTED, entry=claim.id, state=claim.state)
        self.claim_state(
            replace(own, incarnation=max(own.incarnation, claim.incarnation)),
            own.state,
            counter=claim.counter + 1,
        )

    def record_change(self, previous: Member, claim: Member) -> None:
        """Update the timers of a member and report a change of its state.

        An entry that has refuted a suspicion is trusted for
        REFUTATION_GRACE_INTERVALS.
        """
        now = boottime()
        interval_s = self.node.config.heartbeat_s
        self.state_since[claim.id] = now
        if claim.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.trusted_until[claim.id] = (
                now
                + REFUTATION_GRACE_INTERVALS
                * interval_s
                * (previous.state is MemberState.SUSPECT and previous.incarnation != 0)
            )
            self.lost_until.pop(claim.id, None)
        elif previous.state in (MemberState.ALIVE, MemberState.LEAVING):
            self.lost_until[claim.id] = now + LOST_RETENTION_S
        if (previous.state, previous.incarnation) == (claim.state, claim.incarnation):
            return
        self.node.events.emit(
            Code.MEMBER_CHANGED, entry=claim.id, state=claim.state.value
        )
        self.node.hooks.hook.member_changed(entry=claim.id, state=claim.state)

    def view(self) -> MembershipView:
        """Return the states and recent losses from which the overlay is built."""
        states = {member.id: member.state for member in self.members.values()}
        return MembershipView(states, frozenset(self.lost_until))
