"""Home side of orders: decides which keys may still start to run at this entry."""

from __future__ import annotations

from masticdeck.clock import boottime
from masticdeck.coordination.order_errors import (
    OrderExpired,
    OrderKeyInvalid,
    OrderNotRun,
)
from masticdeck.coordination.order_records import OrderRecord, OrderTable
from masticdeck.coordination.order_tokens import NO_WITNESS, HomeToken
from masticdeck.ids import EntryId, Incarnation
from masticdeck.node import Node

TOKEN_ROTATION_INTERVAL_S = 60.0
RUNNABLE_FRACTION = 0.5
TABLE_FULL_RETRY_AFTER_S = 5.0


class OrderHome:
    """Orders whose key names this entry in its current incarnation as home.

    A token can start orders during the first half of the record retention; the
    records are kept for the other half after that. Every rejection as "not run"
    leaves a record or closes the key's generation, so that the key can't run
    later either.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.table = OrderTable(
            max_records=node.config.order_records,
            max_bytes=node.config.order_record_bytes,
        )
        self.witness = NO_WITNESS
        self.witness_incarnation = Incarnation(0)
        self.generation = 1
        self.generation_started_at = {1: boottime()}
        self.is_closed = False
        self.current_token = self.create_token()

    def create_token(self) -> str:
        """Return the token that look-up responses carry until the next rotation."""
        token = HomeToken(
            home=self.node.id,
            home_incarnation=self.node.incarnation,
            witness=self.witness,
            witness_incarnation=self.witness_incarnation,
            generation=self.generation,
        )
        return str(token)

    def set_witness(self, witness: EntryId, incarnation: Incarnation) -> None:
        """Set the witness that new tokens name, and rotate the token."""
        self.witness = witness
        self.witness_incarnation = incarnation
        self.rotate_token()

    def rotate_token(self) -> None:
        """Start a new generation of tokens."""
        self.generation += 1
        self.generation_started_at[self.generation] = boottime()
        self.current_token = self.create_token()

    def expire_generations(self) -> None:
        """Rotate the token, close old generations and remove old records."""
        now = boottime()
        if (
            now - self.generation_started_at[self.generation]
            >= TOKEN_ROTATION_INTERVAL_S
        ):
            self.rotate_token()
        retention_s = self.node.config.order_retention_s
        for generation, started_at in list(self.generation_started_at.items()):
            if generation < self.generation and (
                now - started_at > retention_s * RUNNABLE_FRACTION
            ):
                del self.generation_started_at[generation]
                self.table.closed_through = max(self.table.closed_through, generation)
        self.table.expire(retention_s)

    def begin_order(
        self, token: HomeToken, key: str, digest: bytes
    ) -> tuple[OrderRecord, bool]:
        """Return the key's record and whether this call added it.

        Raises OrderKeyReused, OrderExpired, OrderKeyInvalid or OrderNotRun.
        """
        record = self.table.find(key)
        if record is not None:
            record.check_digest(digest)
            return record, False
        self.check_runnable(token)
        record = OrderRecord(key=key, digest=digest, generation=token.generation)
        return self.table.add(record), True

    def check_runnable(self, token: HomeToken) -> None:
        """Raise unless a key of this token that has no record may start to run."""
        if token.generation > self.generation:
            raise OrderKeyInvalid("its generation was never issued")
        if token.generation <= self.table.expired_through:
            raise OrderExpired()
        if self.is_closed:
            raise OrderNotRun("its home entry is stopping")
        if token.generation <= self.table.closed_through:
            raise OrderNotRun("its home token is too old")
        if self.table.is_full:
            self.table.closed_through = self.generation
            self.rotate_token()
            raise OrderNotRun(
                "the record table is full", retry_after_s=TABLE_FULL_RETRY_AFTER_S
            )

    def close(self) -> None:
        """Stop accepting orders, permanently."""
        self.is_closed = True
