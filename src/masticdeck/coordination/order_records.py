"""Records of orders by key, as a home, a witness or an adopter stores them.

Records are limited in number, in bytes and in age. Each table keeps two
generation numbers that show which records may have been removed, so that the
absence of a record is never taken as proof that the order did not run.
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
    """State of an order; every state except RUNNING is final."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """A backend server's complete response to an order.

    ``truncated`` means that the body was too large to store and was removed.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    truncated: bool = False

    def truncate_for_storage(self) -> RecordedResponse:
        """Return the response to store, without its body if that is too large."""
        if len(self.body) <= MAX_STORED_BODY_BYTES:
            return self
        return RecordedResponse(
            status=self.status, headers=self.headers, body=b"", truncated=True
        )


@final
@dataclass(slots=True, kw_only=True)
class OrderRecord:
    """State of one order; ``recorded_at`` is in seconds since boot."""

    key: str
    digest: bytes
    generation: int
    state: OrderState = OrderState.RUNNING
    response: RecordedResponse | None = None
    detail: str = ""
    recorded_at: float = 0.0

    @property
    def size_bytes(self) -> int:
        """Return the approximate memory size of the record in bytes."""
        body_bytes = len(self.response.body) if self.response else 0
        return RECORD_OVERHEAD_BYTES + len(self.key) + body_bytes

    def check_digest(self, digest: bytes) -> None:
        """Raise OrderKeyReused if the record belongs to a different request."""
        if digest != self.digest:
            raise OrderKeyReused(repr(self.key))

    def replay(self) -> RecordedResponse:
        """Return the stored response, or raise the error for the recorded state."""
        if self.state is OrderState.NOT_RUN:
            raise OrderNotRun(self.detail)
        if self.response is None:
            raise OrderOutcomeUnknown(self.detail or "the order is still running")
        if self.response.truncated:
            raise OrderResponseNotStored(f"status {self.response.status}")
        return self.response


class OrderTable:
    """Records of the orders of one home in one incarnation.

    A key without a record whose generation is at most ``closed_through`` can no
    longer run. Records of generations up to ``expired_through`` may have been
    removed, so a missing record there leaves the outcome unknown.
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
        """Iterate over the records, oldest first."""
        return iter(self.records.values())

    @property
    def is_full(self) -> bool:
        """Return whether the limit on records or on bytes is reached."""
        return (
            len(self.records) >= self.max_records or self.total_bytes >= self.max_bytes
        )

    def find(self, key: str) -> OrderRecord | None:
        """Return the record of a key, or None."""
        return self.records.get(key)

    def add(self, record: OrderRecord) -> OrderRecord:
        """Add a record, whose key must not be in the table yet."""
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
        """Set the final state of a record; does nothing if it already has one."""
        if record.state is not OrderState.RUNNING:
            return
        previous_size_bytes = record.size_bytes
        record.state = state
        record.response = response.truncate_for_storage() if response else None
        record.detail = detail
        if record.key in self.records:
            self.total_bytes += record.size_bytes - previous_size_bytes

    def expire(self, max_age_s: float) -> int:
        """Remove records older than ``max_age_s`` and return their number."""
        cutoff = self.clock() - max_age_s
        removed_count = 0
        for key, record in list(self.records.items()):
            if record.recorded_at > cutoff:
                break
            del self.records[key]
            self.total_bytes -= record.size_bytes
            self.expired_through = max(self.expired_through, record.generation)
            removed_count += 1
        self.closed_through = max(self.closed_through, self.expired_through)
        return removed_count


def request_digest(call: Call, body: bytes) -> bytes:
    """Return a digest that is equal only for repeats of the same request.

    Each component is prefixed by its length, so that different components
    can't produce the same input.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for component in (call.method, call.service, call.path, call.customer or ""):
        hasher.update(f"{len(component)}:{component}".encode())
    hasher.update(body)
    return hasher.digest()
