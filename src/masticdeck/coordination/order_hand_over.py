"""Hand-over of a stopping home's records to the entries that adopt them."""

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
    """Sends the final records of a closed home to the entries that adopt them."""

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
        """Send this entry's records, and those it adopted, to the successors.

        The records of each home go to at most ``HAND_OVER_COPIES`` entries.
        """
        own_id = (self.node.id, self.node.incarnation)
        tables = {own_id: self.home.table, **self.witness.adopted_tables}
        for home_id, table in tables.items():
            chunks = split_into_chunks(
                home_id, table, max_records=MAX_CHUNK_RECORDS, max_bytes=MAX_CHUNK_BYTES
            )
            copies = 0
            for entry in successors(self.node, home_id[0]):
                if entry != self.node.id and copies < HAND_OVER_COPIES:
                    copies += await self.send_chunks(entry, chunks)
            self.node.events.emit(
                Code.ORDERS_HANDED_OVER,
                entry=home_id[0],
                records=len(table),
                peers=copies,
            )

    async def send_chunks(
        self, entry: EntryId, chunks: Sequence[HandOverChunk]
    ) -> bool:
        """Send all chunks to an entry; return whether it acknowledged each one."""
        for chunk in chunks:
            if not await self.send_chunk(entry, chunk):
                return False
        return True

    async def send_chunk(self, entry: EntryId, chunk: HandOverChunk) -> bool:
        """Send one chunk, again when there is no reply; return whether it arrived."""
        for _ in range(MAX_SEND_ATTEMPTS):
            try:
                await self.peer_client.send_hand_over(entry, chunk)
                return True
            except PeerUnreachable:
                continue
        return False


def successors(node: Node, home: EntryId) -> list[EntryId]:
    """Return the entries that may adopt a home's records, in order of preference.

    These are the entries that follow the home in the deployment, wrapping around.
    """
    entry_ids = [entry.id for entry in node.deployment.entries]
    home_index = entry_ids.index(home)
    return (entry_ids[home_index + 1 :] + entry_ids[:home_index])[:MAX_ADOPTERS]
