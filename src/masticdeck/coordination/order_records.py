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
    OrderKeyReused,
    OrderNotRun,
    OrderOutcomeUnknown,
    OrderResponseNotStored,
)
from masticdeck.protocol.call import Call

DIGEST_BYTES = 16
MAX_STORED_BODY_BYTES = 16_384
RECORD_OVERHEAD_BYTES = 400


class OrderState(Enum):
    """What is known of an order; all but RUNNING are final."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """A backend server's whole answer to an order.

    ``truncated`` says that a copy was kept without its body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    truncated: bool = False

    def truncate_for_storage(self) -> RecordedResponse:
        """Return the answer as a record keeps it."""
        if len(self.body) <= MAX_STORED_BODY_BYTES:
            return self
        return RecordedResponse(
            status=self.status, headers=self.headers, body=b"", truncated=True
        )


@final
@dataclass(slots=True, kw_only=True)
class OrderRecord:
    """One order under its key; ``recorded_at`` is in boot-time seconds."""

    key: str
    digest: bytes
    generation: int
    state: OrderState = OrderState.RUNNING
    response: RecordedResponse | None = None
    detail: str = ""
    recorded_at: float = 0.0

    @property
    def size_bytes(self) -> int:
        """Return about how many bytes the record takes."""
        body = len(self.response.body) if self.response else 0
        return RECORD_OVERHEAD_BYTES + len(self.key) + body

    def check_digest(self, digest: bytes) -> None:
        """Raise OrderKeyReused when the record is of another request."""
        if digest != self.digest:
            raise OrderKeyReused(repr(self.key))

    def replay(self) -> RecordedResponse:
        """Return the answer, or raise what is known in its place."""
        if self.state is OrderState.NOT_RUN:
            raise OrderNotRun(self.detail)
        if self.response is None:
            raise OrderOutcomeUnknown(self.detail or "the order is still running")
        if self.response.truncated:
            raise OrderResponseNotStored(f"status {self.response.status}")
        return self.response


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
        self.total_bytes = 0
        self.closed_through = 0
        self.expired_through = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self.records)

    def __iter__(self) -> Iterator[OrderRecord]:
        """Return the records, the oldest first."""
        return iter(self.records.values())

    @property
    def is_full(self) -> bool:
        """Return whether no further record may be added."""
        return (
            len(self.records) >= self.max_records or self.total_bytes >= self.max_bytes
        )

    def find(self, key: str) -> OrderRecord | None:
        """Return the record of a key, or None."""
        return self.records.get(key)

    def add(self, record: OrderRecord) -> OrderRecord:
        """Add a record; the caller has checked that the key is absent."""
        record.recorded_at = self.clock()
        self.records[record.key] = record
        self.total_bytes += record.size_bytes
        return record

    def finish(
        self,
        record: OrderRecord,
        state: OrderState,
        *,
        response: RecordedResponse | None = None,
        detail: str = "",
    ) -> None:
        """Give a record its final state; a record that has one keeps it."""
        if record.state is not OrderState.RUNNING:
            return
        before = record.size_bytes
        record.state = state
        record.response = response.truncate_for_storage() if response else None
        record.detail = detail
        if record.key in self.records:
            self.total_bytes += record.size_bytes - before

    def expire(self, max_age_s: float) -> int:
        """Drop records older than a number of seconds; return how many."""
        limit = self.clock() - max_age_s
        dropped = 0
        for key, record in list(self.records.items()):
            if record.recorded_at > limit:
                break
            del self.records[key]
            self.total_bytes -= record.size_bytes
            self.expired_through = max(self.expired_through, record.generation)
            dropped += 1
        self.closed_through = max(self.closed_through, self.expired_through)
        return dropped


def request_digest(call: Call, body: bytes) -> bytes:
    """Return the digest that tells a repeat from another request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.method, call.service, call.path, call.customer or ""):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.digest()
