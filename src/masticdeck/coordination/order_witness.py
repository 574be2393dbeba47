"""Witness side of orders: intents of other homes, sealed keys, adopted records."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import final

from masticdeck.coordination.order_errors import OrderExpired, OrderNotRun
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    OrderTable,
    RecordedResponse,
)
from masticdeck.coordination.order_tokens import HomeToken, parse_key
from masticdeck.events import Code
from masticdeck.ids import EntryId, Incarnation
from masticdeck.node import Node

HomeId = tuple[EntryId, Incarnation]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class HandOverChunk:
    """One chunk of a home's final records; it may be delivered more than once."""

    home_id: HomeId
    index: int
    is_last: bool
    expired_through: int
    records: tuple[OrderRecord, ...]


class OrderWitness:
    """Records that this entry stores for other homes.

    ``witnessed_tables`` hold the intents and outcomes that homes reported,
    ``adopted_tables`` the final records of homes that stopped, and
    ``incomplete_tables`` the hand-overs of which chunks are still missing, with
    the indexes of those received.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.witnessed_tables: dict[HomeId, OrderTable] = {}
        self.adopted_tables: dict[HomeId, OrderTable] = {}
        self.incomplete_tables: dict[HomeId, tuple[OrderTable, set[int]]] = {}

    @property
    def is_full(self) -> bool:
        """Return whether all tables together reach a limit of the settings."""
        tables = [*self.witnessed_tables.values(), *self.adopted_tables.values()]
        config = self.node.config
        return (
            sum(map(len, tables)) >= config.order_records
            or sum(table.total_bytes for table in tables) >= config.order_record_bytes
        )

    def expire_records(self) -> None:
        """Remove old records.

        An empty table is kept because it still holds up to which generation
        records have been removed.
        """
        for table in [*self.witnessed_tables.values(), *self.adopted_tables.values()]:
            table.expire(self.node.config.order_retention_s)

    def create_table(self) -> OrderTable:
        """Return an empty table."""
        config = self.node.config
        return OrderTable(
            max_records=config.order_records, max_bytes=config.order_record_bytes
        )

    def is_witness_of(self, token: HomeToken) -> bool:
        """Return whether the token names this incarnation of this entry as witness."""
        return (
            token.witness == self.node.id
            and token.witness_incarnation == self.node.incarnation
        )

    def table_for(self, token: HomeToken) -> OrderTable:
        """Return the table of the token's home, created on first use."""
        home_id = (token.home, token.home_incarnation)
        return self.witnessed_tables.setdefault(home_id, self.create_table())

    def record_intent(self, key: str, digest: bytes) -> bool:
        """Record that the home is about to run an order.

        Returns False if the key is sealed, too old or can't be recorded; the
        home must then not run the order. A repeated intent is accepted.
        """
        token = parse_key(key)
        if not self.is_witness_of(token):
            return False
        table = self.table_for(token)
        record = table.find(key)
        if record is not None:
            return record.state is OrderState.RUNNING and record.digest == digest
        if token.generation <= table.expired_through or self.is_full:
            return False
        table.add(OrderRecord(key=key, digest=digest, generation=token.generation))
        self.emit_event(Code.ORDER_INTENDED, key, token)
        return True

    def record_outcome(
        self,
        key: str,
        digest: bytes,
        state: OrderState,
        response: RecordedResponse | None,
    ) -> None:
        """Record the outcome of an order whose intent was recorded."""
        token = parse_key(key)
        table = self.witnessed_tables.get((token.home, token.home_incarnation))
        record = table.find(key) if table else None
        if table is not None and record is not None and record.digest == digest:
            table.finish(record, state, response=response)
            self.emit_event(Code.ORDER_WITNESSED, key, token, state=state.value)

    def emit_event(
        self, code: Code, key: str, token: HomeToken, **fields: object
    ) -> None:
        """Emit an event about an order of another home."""
        self.node.events.emit(
            code, level=logging.DEBUG, order=key, entry=token.home, **fields
        )

    def resolve(self, key: str, digest: bytes) -> RecordedResponse | None:
        """Resolve the outcome of an order whose home is unreachable.

        Returns the recorded response, or None if this entry can't resolve the
        key. Raises OrderNotRun, OrderExpired, OrderKeyReused,
        OrderOutcomeUnknown or OrderResponseNotStored if that is the outcome. A
        key that this entry witnesses and has no record of is sealed.
        """
        token = parse_key(key)
        adopted_table = self.adopted_tables.get((token.home, token.home_incarnation))
        if adopted_table is not None:
            return resolve_adopted(adopted_table, token, key, digest)
        if not self.is_witness_of(token):
            return None
        table = self.table_for(token)
        record = table.find(key)
        if record is not None:
            record.check_digest(digest)
            return None if record.state is OrderState.RUNNING else record.replay()
        if token.generation <= table.expired_through:
            raise OrderExpired()
        if self.is_full:
            return None
        self.seal(table, token, key, digest)
        raise OrderNotRun("its witness sealed the key")

    def seal(
        self, table: OrderTable, token: HomeToken, key: str, digest: bytes
    ) -> None:
        """Record a key as not run, so that the home's intent for it is rejected."""
        record = OrderRecord(key=key, digest=digest, generation=token.generation)
        table.add(record)
        table.finish(record, OrderState.NOT_RUN, detail="its witness sealed the key")
        self.emit_event(Code.ORDER_SEALED, key, token)

    def adopt(self, chunk: HandOverChunk) -> None:
        """Store a chunk of the final records of a home that is stopping.

        The records are used to resolve keys once all chunks have arrived.
        """
        if chunk.home_id in self.adopted_tables:
            return
        table, received_indexes = self.incomplete_tables.setdefault(
            chunk.home_id, (self.create_table(), set())
        )
        if chunk.index not in received_indexes:
            received_indexes.add(chunk.index)
            for record in chunk.records:
                table.add(record)
        table.expired_through = max(table.expired_through, chunk.expired_through)
        if chunk.is_last and len(received_indexes) == chunk.index + 1:
            self.adopted_tables[chunk.home_id] = table
            del self.incomplete_tables[chunk.home_id]
            self.node.events.emit(
                Code.ORDERS_ADOPTED, entry=chunk.home_id[0], records=len(table)
            )


def resolve_adopted(
    table: OrderTable, token: HomeToken, key: str, digest: bytes
) -> RecordedResponse:
    """Resolve a key from the final records of its home."""
    record = table.find(key)
    if record is not None:
        record.check_digest(digest)
        return record.replay()
    if token.generation <= table.expired_through:
        raise OrderExpired()
    raise OrderNotRun("its home stopped without running it")


def split_into_chunks(
    home_id: HomeId, table: OrderTable, *, max_records: int, max_bytes: int
) -> list[HandOverChunk]:
    """Return the records of a table in chunks, limited in records and bytes."""
    chunks: list[list[OrderRecord]] = [[]]
    chunk_bytes = 0
    for record in table:
        if (
            len(chunks[-1]) >= max_records
            or chunk_bytes + record.size_bytes > max_bytes
        ):
            chunks.append([])
            chunk_bytes = 0
        chunks[-1].append(record)
        chunk_bytes += record.size_bytes
    return [
        HandOverChunk(
            home_id=home_id,
            index=index,
            is_last=index == len(chunks) - 1,
            expired_through=table.expired_through,
            records=tuple(records),
        )
        for index, records in enumerate(chunks)
    ]
