"""Which entry witnesses this entry's orders from now on."""

from __future__ import annotations

import asyncio

from masticdeck.clock import boottime
from masticdeck.coordination.order_home import Home
from masticdeck.coordination.order_peers import OrderPeers, PeerNotReached
from masticdeck.coordination.order_tokens import NO_WITNESS
from masticdeck.events import Code
from masticdeck.ids import EntryId, Incarnation
from masticdeck.node import Node

PING_S = 5.0


class WitnessChoice:
    """Keeps a live witness in the home's tokens."""

    def __init__(self, node: Node, home: Home, peers: OrderPeers) -> None:
        self.node = node
        self.home = home
        self.peers = peers
        self.lock = asyncio.Lock()
        self.checked = 0.0

    async def maintain(self) -> None:
        """Check the witness when that is due."""
        due = boottime() - self.checked >= PING_S
        if due or self.home.witness == NO_WITNESS:
            self.checked = boottime()
            await self.check()

    async def check(self) -> None:
        """Choose another witness when the present one is gone or leaving."""
        witness = self.home.witness
        if witness != NO_WITNESS:
            try:
                reply = await self.peers.describe(witness)
                if reply.open and reply.incarnation == self.home.witness_incarnation:
                    return
            except PeerNotReached:
                pass
        await self.choose(unless=witness)

    async def choose(self, *, unless: EntryId) -> None:
        """Choose a witness, but not ``unless``, which has just failed.

        Does nothing when another one has been chosen meanwhile.
        """
        async with self.lock:
            if self.home.witness != unless:
                return
            for entry in candidates(self.node):
                if entry != unless and await self.attempt(entry):
                    return
            if unless != NO_WITNESS and not await self.attempt(unless):
                self.home.choose(NO_WITNESS, Incarnation(0))

    async def attempt(self, entry: EntryId) -> bool:
        """Take an entry as witness if it answers."""
        try:
            reply = await self.peers.describe(entry)
        except PeerNotReached:
            return False
        if reply.open:
            self.home.choose(entry, Incarnation(reply.incarnation))
            self.node.events.emit(Code.WITNESS_CHOSEN, entry=entry)
        return reply.open


def candidates(node: Node) -> list[EntryId]:
    """Return the possible witnesses, the best first.

    Another zone of the same region comes first, then other regions, then
    the own zone; within each the order starts after the own position.
    """
    deployment = node.deployment
    own = node.entry.zone
    region = deployment.region_of[own]

    def preference(entry: EntryId) -> int:
        zone = deployment.entry_by_id[entry].zone
        if zone == own:
            return 2
        return 0 if deployment.region_of[zone] == region else 1

    ids = [entry.id for entry in deployment.entries]
    position = ids.index(node.id)
    return sorted(ids[position + 1 :] + ids[:position], key=preference)
