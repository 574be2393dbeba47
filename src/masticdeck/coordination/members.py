"""The membership record of an entry and the precedence of conflicting claims."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

import xxhash

from masticdeck.ids import EntryId, Incarnation, MemberState, Version, ZoneId

NO_INCARNATION = Incarnation(0)
NO_VERSION = Version(0)

SEVERITY = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.GONE: 3,
}
STATE_BY_SEVERITY = {severity: state for state, severity in SEVERITY.items()}


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """State of an entry as last claimed, and the figures from its heartbeats.

    ``version`` and ``load`` are known only for direct neighbours, whose
    heartbeats carry them. ``load`` is the fraction of the entry's slots in use.
    """

    id: EntryId
    zone: ZoneId
    incarnation: Incarnation = NO_INCARNATION
    counter: int = 0
    state: MemberState = MemberState.SUSPECT
    version: Version = NO_VERSION
    load: float = 0.0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key of the claim; of two claims the larger one wins."""
        return (self.incarnation, self.counter, SEVERITY[self.state])

    @property
    def fingerprint(self) -> int:
        """Return a 64-bit hash of the entry and its claim."""
        return xxhash.xxh64_intdigest(f"{self.id} {self.precedence}".encode())
