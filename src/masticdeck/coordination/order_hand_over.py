"""Hand-over of a home's final records to its successors."""

from __future__ import annotations

from collections.abc import Sequence

from masticdeck.coordination.order_home import Home
from masticdeck.coordination.order_peers import OrderPeers, PeerNotReached
from masticdeck.coordination.order_witness import HandOver, Witness, split_records
from masticdeck.events import Code
from masticdeck.ids import EntryId
from masticdeck.node import Node

ADOPTERS = 3
COPIES = 2
TRIES = 3
PART_RECORDS = 500
PART_BYTES = 1_000_000


class RecordHandOver:
    """Gives the records of a closed home to entries that adopt them."""

    def __init__(
        self, node: Node, home: Home, witness: Witness, peers: OrderPeers
    ) -> None:
        self.node = node
        self.home = home
        self.witness = witness
        self.peers = peers

    async def hand_over(self) -> None:
        """Give the own final records, and those adopted before, to successors."""
        own = (self.node.id, self.node.incarnation)
        tables = {own: self.home.table, **self.witness.adopted}
        for life, table in tables.items():
            parts = split_records(life, table, records=PART_RECORDS, size=PART_BYTES)
            copies = 0
            for entry in successors(self.node, life[0]):
                if entry != self.node.id and copies < COPIES:
                    copies += await self.give(entry, parts)
            self.node.events.emit(
                Code.ORDERS_HANDED_OVER, entry=life[0], records=len(table), peers=copies
            )

    async def give(self, entry: EntryId, parts: Sequence[HandOver]) -> bool:
        """Give all parts to one entry; return whether it has them all."""
        for part in parts:
            if not await self.give_part(entry, part):
                return False
        return True

    async def give_part(self, entry: EntryId, part: HandOver) -> bool:
        """Give one part, repeating it when the answer is lost."""
        for _ in range(TRIES):
            try:
                await self.peers.hand_over(entry, part)
                return True
            except PeerNotReached:
                continue
        return False


def successors(node: Node, home: EntryId) -> list[EntryId]:
    """Return the entries that may adopt a home's records, in order."""
    ids = [entry.id for entry in node.deployment.entries]
    position = ids.index(home)
    return (ids[position + 1 :] + ids[:position])[:ADOPTERS]
