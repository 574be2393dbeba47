"""Records of orders by key: what a home, a witness or an adopter remembers.

Records are bounded in number, in bytes and in age. A table remembers how far
it has forgotten by two generation numbers, so that an absent key is never
mistaken for one that did not run.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import final

from masticdeck.clock import boottime
from masticdeck.coordination.order_errors import (
    OrderAnswerNotKept,
    OrderKeyReused,
    OrderNotRun,
    OrderOutcomeUnknown,
)
from masticdeck.protocol.call import Call

DIGEST_BYTES = 16
KEPT_ANSWER_BYTES = 16_384
RECORD_OVERHEAD_BYTES = 400


class OrderState(Enum):
    """What is known of an order; all but RUNNING are final."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedAnswer:
    """A backend server's whole answer to an order.

    ``truncated`` says that a copy was kept without its body.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes
    truncated: bool = False

    def to_keep(self) -> RecordedAnswer:
        """Return the answer as a record keeps it."""
        if len(self.body) <= KEPT_ANSWER_BYTES:
            return self
        return RecordedAnswer(
            status=self.status, fields=self.fields, body=b"", truncated=True
        )


@final
@dataclass(slots=True, kw_only=True)
class OrderRecord:
    """One order under its key; ``recorded`` is in boot-time seconds."""

    key: str
    digest: bytes
    generation: int
    state: OrderState = OrderState.RUNNING
    answer: RecordedAnswer | None = None
    detail: str = ""
    recorded: float = 0.0

    @property
    def size(self) -> int:
        """Return about how many bytes the record takes."""
        body = len(self.answer.body) if self.answer else 0
        return RECORD_OVERHEAD_BYTES + len(self.key) + body

    def check(self, digest: bytes) -> None:
        """Raise OrderKeyReused when the record is of another request."""
        if digest != self.digest:
            raise OrderKeyReused(repr(self.key))

    def replay(self) -> RecordedAnswer:
        """Return the answer, or raise what is known in its place."""
        if self.state is OrderState.NOT_RUN:
            raise OrderNotRun(self.detail)
        if self.answer is None:
            raise OrderOutcomeUnknown(self.detail or "the order is still running")
        if self.answer.truncated:
            raise OrderAnswerNotKept(f"status {self.answer.status}")
        return self.answer


class OrderTable:
    """Records of the orders of one home in one incarnation.

    A key of a generation up to ``closed_through`` that has no record will not
    run any more. Of a generation up to ``expired_through`` records may have
    been dropped, so an absent key says nothing.
    """

    def __init__(
        self,
        *,
        max_records: int,
        max_bytes: int,
        clock: Callable[[], float] = boottime,
    ) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.clock = clock
        self.records: dict[str, OrderRecord] = {}
        self.bytes = 0
        self.closed_through = 0
        self.expired_through = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self.records)

    def __iter__(self) -> Iterator[OrderRecord]:
        """Return the records, the oldest first."""
        return iter(self.records.values())

    @property
    def full(self) -> bool:
        """Return whether no further record may be added."""
        return len(self.records) >= self.max_records or self.bytes >= self.max_bytes

    def find(self, key: str) -> OrderRecord | None:
        """Return the record of a key, or None."""
        return self.records.get(key)

    def add(self, record: OrderRecord) -> OrderRecord:
        """Add a record; the caller has checked that the key is absent."""
        record.recorded = self.clock()
        self.records[record.key] = record
        self.bytes += record.size
        return record

    def finish(
        self,
        record: OrderRecord,
        state: OrderState,
        *,
        answer: RecordedAnswer | None = None,
        detail: str = "",
    ) -> None:
        """Give a record its final state; a record that has one keeps it."""
        if record.state is not OrderState.RUNNING:
            return
        before = record.size
        record.state = state
        record.answer = answer.to_keep() if answer else None
        record.detail = detail
        if record.key in self.records:
            self.bytes += record.size - before

    def expire(self, older_than_s: float) -> int:
        """Drop records older than a number of seconds; return how many."""
        limit = self.clock() - older_than_s
        dropped = 0
        for key, record in list(self.records.items()):
            if record.recorded > limit:
                break
            del self.records[key]
            self.bytes -= record.size
            self.expired_through = max(self.expired_through, record.generation)
            dropped += 1
        self.closed_through = max(self.closed_through, self.expired_through)
        return dropped


def digest_of(call: Call, body: bytes) -> bytes:
    """Return the digest that tells a repeat from another request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.method, call.service, call.path, call.customer or ""):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.digest()
