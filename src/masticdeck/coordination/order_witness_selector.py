"""Selects the entry that witnesses this entry's new orders."""

from __future__ import annotations

import asyncio

from masticdeck.clock import boottime
from masticdeck.coordination.order_home import OrderHome
from masticdeck.coordination.order_peers import OrderPeerClient, PeerUnreachable
from masticdeck.coordination.order_tokens import NO_WITNESS
from masticdeck.events import Code
from masticdeck.ids import EntryId, Incarnation
from masticdeck.node import Node

WITNESS_CHECK_INTERVAL_S = 5.0


class WitnessSelector:
    """Keeps the home's tokens pointing at a witness that accepts orders."""

    def __init__(
        self, node: Node, home: OrderHome, peer_client: OrderPeerClient
    ) -> None:
        self.node = node
        self.home = home
        self.peer_client = peer_client
        self.lock = asyncio.Lock()
        self.last_checked_at = 0.0

    async def check_if_due(self) -> None:
        """Check the witness if there is none or the check interval has passed."""
        due = boottime() - self.last_checked_at >= WITNESS_CHECK_INTERVAL_S
        if due or self.home.witness == NO_WITNESS:
            self.last_checked_at = boottime()
            await self.check_witness()

    async def check_witness(self) -> None:
        """Select another witness if the current one stopped, restarted or leaves."""
        witness = self.home.witness
        if witness != NO_WITNESS:
            try:
                reply = await self.peer_client.describe(witness)
                if reply.open and reply.incarnation == self.home.witness_incarnation:
                    return
            except PeerUnreachable:
                pass
        await self.select(failed_witness=witness)

    async def select(self, *, failed_witness: EntryId) -> None:
        """Select another witness than ``failed_witness``.

        The failed witness is tried again only when no other entry accepts. Does
        nothing if a concurrent call has already replaced it.
        """
        async with self.lock:
            if self.home.witness != failed_witness:
                return
            for entry in witness_candidates(self.node):
                if entry != failed_witness and await self.try_candidate(entry):
                    return
            if failed_witness != NO_WITNESS and not await self.try_candidate(
                failed_witness
            ):
                self.home.set_witness(NO_WITNESS, Incarnation(0))

    async def try_candidate(self, entry: EntryId) -> bool:
        """Make an entry the witness if it accepts; return whether it does."""
        try:
            reply = await self.peer_client.describe(entry)
        except PeerUnreachable:
            return False
        if reply.open:
            self.home.set_witness(entry, Incarnation(reply.incarnation))
            self.node.events.emit(Code.WITNESS_CHOSEN, entry=entry)
        return reply.open


def witness_candidates(node: Node) -> list[EntryId]:
    """Return the possible witnesses, in order of preference.

    Another zone of the same region comes first, then other regions, then
    the own zone; entries of equal preference follow the order of the deployment,
    starting after this entry.
    """
    deployment = node.deployment
    own_zone = node.entry.zone
    region = deployment.region_of[own_zone]

    def preference(entry: EntryId) -> int:
        zone = deployment.entry_by_id[entry].zone
        if zone == own_zone:
            return 2
        return 0 if deployment.region_of[zone] == region else 1

    ids = [entry.id for entry in deployment.entries]
    position = ids.index(node.id)
    return sorted(ids[position + 1 :] + ids[:position], key=preference)
