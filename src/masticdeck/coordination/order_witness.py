"""The witness's side: intents of other homes, seals, and adopted records."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import final

from masticdeck.coordination.order_errors import OrderExpired, OrderNotRun
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    OrderTable,
    RecordedAnswer,
)
from masticdeck.coordination.order_tokens import HomeToken, parse_key
from masticdeck.events import Code
from masticdeck.ids import EntryId, Incarnation
from masticdeck.node import Node

HomeLife = tuple[EntryId, Incarnation]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class HandOver:
    """One part of the final records of a home's life; parts may be repeated."""

    life: HomeLife
    part: int
    last: bool
    expired_through: int
    records: tuple[OrderRecord, ...]


class Witness:
    """What this entry remembers for other homes."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.tables: dict[HomeLife, OrderTable] = {}
        self.adopted: dict[HomeLife, OrderTable] = {}
        self.arriving: dict[HomeLife, tuple[OrderTable, set[int]]] = {}

    @property
    def full(self) -> bool:
        """Return whether no further record may be added."""
        tables = [*self.tables.values(), *self.adopted.values()]
        config = self.node.config
        return (
            sum(map(len, tables)) >= config.order_records
            or sum(table.bytes for table in tables) >= config.order_record_bytes
        )

    def maintain(self) -> None:
        """Drop old records; a table stays as long as it must say so."""
        for table in [*self.tables.values(), *self.adopted.values()]:
            table.expire(self.node.config.order_retention_s)

    def create_table(self) -> OrderTable:
        """Return an empty table."""
        config = self.node.config
        return OrderTable(
            max_records=config.order_records, max_bytes=config.order_record_bytes
        )

    def is_witness_of(self, token: HomeToken) -> bool:
        """Return whether the token names this entry in this life as witness."""
        return (
            token.witness == self.node.id
            and token.witness_incarnation == self.node.incarnation
        )

    def table_of(self, token: HomeToken) -> OrderTable:
        """Return the table of a home's life, made at first use."""
        life = (token.home, token.home_incarnation)
        return self.tables.setdefault(life, self.create_table())

    def intend(self, key: str, digest: bytes) -> bool:
        """Record that the home is about to run an order.

        Returns False when the key is sealed, too old or can't be recorded; the
        home must not run it then. A repeat of the same intent is accepted.
        """
        token = parse_key(key)
        if not self.is_witness_of(token):
            return False
        table = self.table_of(token)
        record = table.find(key)
        if record is not None:
            return record.state is OrderState.RUNNING and record.digest == digest
        if token.generation <= table.expired_through or self.full:
            return False
        table.add(OrderRecord(key=key, digest=digest, generation=token.generation))
        self.note(Code.ORDER_INTENDED, key, token)
        return True

    def report(
        self, key: str, digest: bytes, state: OrderState, answer: RecordedAnswer | None
    ) -> None:
        """Record the outcome of an order whose intent is known."""
        token = parse_key(key)
        table = self.tables.get((token.home, token.home_incarnation))
        record = table.find(key) if table else None
        if table is not None and record is not None and record.digest == digest:
            table.finish(record, state, answer=answer)
            self.note(Code.ORDER_WITNESSED, key, token, state=state.value)

    def note(self, code: Code, key: str, token: HomeToken, **fields: object) -> None:
        """Emit an event about an order of another home."""
        self.node.events.emit(
            code, level=logging.DEBUG, order=key, entry=token.home, **fields
        )

    def judge(self, key: str, digest: bytes) -> RecordedAnswer | None:
        """Settle a key whose home can't be reached.

        Returns the recorded answer, or None when this entry can't settle the
        key. Raises OrderNotRun, OrderExpired, OrderKeyReused,
        OrderOutcomeUnknown or OrderAnswerNotKept when that is settled. A key
        that this entry witnesses and has not heard of is sealed.
        """
        token = parse_key(key)
        adopted = self.adopted.get((token.home, token.home_incarnation))
        if adopted is not None:
            return judge_adopted(adopted, token, key, digest)
        if not self.is_witness_of(token):
            return None
        table = self.table_of(token)
        record = table.find(key)
        if record is not None:
            record.check(digest)
            return None if record.state is OrderState.RUNNING else record.replay()
        if token.generation <= table.expired_through:
            raise OrderExpired()
        if self.full:
            return None
        self.seal(table, token, key, digest)
        raise OrderNotRun("its witness sealed it")

    def seal(
        self, table: OrderTable, token: HomeToken, key: str, digest: bytes
    ) -> None:
        """Refuse the home's intent for a key from now on."""
        record = OrderRecord(key=key, digest=digest, generation=token.generation)
        table.add(record)
        table.finish(record, OrderState.NOT_RUN, detail="its witness sealed it")
        self.note(Code.ORDER_SEALED, key, token)

    def adopt(self, part: HandOver) -> None:
        """Take over the final records of a home that stops."""
        if part.life in self.adopted:
            return
        table, parts = self.arriving.setdefault(part.life, (self.create_table(), set()))
        if part.part not in parts:
            parts.add(part.part)
            for record in part.records:
                table.add(record)
        table.expired_through = max(table.expired_through, part.expired_through)
        if part.last and len(parts) == part.part + 1:
            self.adopted[part.life] = table
            del self.arriving[part.life]
            self.node.events.emit(
                Code.ORDERS_ADOPTED, entry=part.life[0], records=len(table)
            )


def judge_adopted(
    table: OrderTable, token: HomeToken, key: str, digest: bytes
) -> RecordedAnswer:
    """Settle a key from the final records of its home."""
    record = table.find(key)
    if record is not None:
        record.check(digest)
        return record.replay()
    if token.generation <= table.expired_through:
        raise OrderExpired()
    raise OrderNotRun("its home stopped without having run it")


def split_records(
    life: HomeLife, table: OrderTable, *, records: int, size: int
) -> list[HandOver]:
    """Return a table's hand-over in parts bounded in records and bytes."""
    parts: list[list[OrderRecord]] = [[]]
    held = 0
    for record in table:
        if len(parts[-1]) >= records or held + record.size > size:
            parts.append([])
            held = 0
        parts[-1].append(record)
        held += record.size
    return [
        HandOver(
            life=life,
            part=number,
            last=number == len(parts) - 1,
            expired_through=table.expired_through,
            records=tuple(part),
        )
        for number, part in enumerate(parts)
    ]
