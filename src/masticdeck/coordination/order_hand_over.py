"""Hand-over of a home's final records to its successors."""

from __future__ import annotations

from collections.abc import Sequence

from masticdeck.coordination.order_home import OrderHome
from masticdeck.coordination.order_peers import OrderPeerClient, PeerUnreachable
from masticdeck.coordination.order_witness import (
    HandOverChunk,
    OrderWitness,
    split_into_chunks,
)
from masticdeck.events import Code
from masticdeck.ids import EntryId
from masticdeck.node import Node

MAX_ADOPTERS = 3
HAND_OVER_COPIES = 2
MAX_SEND_ATTEMPTS = 3
MAX_CHUNK_RECORDS = 500
MAX_CHUNK_BYTES = 1_000_000


class HandOverSender:
    """Gives the records of a closed home to entries that adopt them."""

    def __init__(
        self,
        node: Node,
        home: OrderHome,
        witness: OrderWitness,
        peer_client: OrderPeerClient,
    ) -> None:
        self.node = node
        self.home = home
        self.witness = witness
        self.peer_client = peer_client

    async def send_all(self) -> None:
        """Give the own final records, and those adopted before, to successors."""
        own = (self.node.id, self.node.incarnation)
        tables = {own: self.home.table, **self.witness.adopted_tables}
        for life, table in tables.items():
            parts = split_into_chunks(
                life, table, max_records=MAX_CHUNK_RECORDS, max_bytes=MAX_CHUNK_BYTES
            )
            copies = 0
            for entry in successors(self.node, life[0]):
                if entry != self.node.id and copies < HAND_OVER_COPIES:
                    copies += await self.send_chunks(entry, parts)
            self.node.events.emit(
                Code.ORDERS_HANDED_OVER, entry=life[0], records=len(table), peers=copies
            )

    async def send_chunks(self, entry: EntryId, parts: Sequence[HandOverChunk]) -> bool:
        """Give all parts to one entry; return whether it has them all."""
        for part in parts:
            if not await self.send_chunk(entry, part):
                return False
        return True

    async def send_chunk(self, entry: EntryId, part: HandOverChunk) -> bool:
        """Give one part, repeating it when the answer is lost."""
        for _ in range(MAX_SEND_ATTEMPTS):
            try:
                await self.peer_client.send_hand_over(entry, part)
                return True
            except PeerUnreachable:
                continue
        return False


def successors(node: Node, home: EntryId) -> list[EntryId]:
    """Return the entries that may adopt a home's records, in order."""
    ids = [entry.id for entry in node.deployment.entries]
    position = ids.index(home)
    return (ids[position + 1 :] + ids[:position])[:MAX_ADOPTERS]
