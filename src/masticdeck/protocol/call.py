"""A caller's request as the entry understands it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from masticdeck.ids import CustomerId, Rank, RequestId, ServiceId

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of a caller.

    ``deadline`` is in seconds of the boot-time clock; ``path`` is what the
    backend server sees, with its query; ``attempt`` is above 1 when the caller
    says that it repeats a request.
    """

    id: RequestId
    service: ServiceId
    method: str
    path: str
    rank: Rank
    deadline: float
    customer: CustomerId | None = None
    idempotency_key: str | None = None
    attempt: int = 1

    @property
    def idempotent(self) -> bool:
        """Return whether the request may safely run more than once."""
        return self.method in IDEMPOTENT_METHODS and self.idempotency_key is None
