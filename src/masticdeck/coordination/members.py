"""One entry as another sees it, and how two claims about it are ordered."""

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
    """What this node knows of an entry.

    ``version`` and ``load`` come with heartbeats of direct neighbours;
    ``load`` is the used part of the slots that the entry holds.
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
        """Return what decides between two claims: the larger one holds."""
        return (self.incarnation, self.counter, SEVERITY[self.state])

    @property
    def fingerprint(self) -> int:
        """Return 64 bits that change with the claim."""
        return xxhash.xxh64_intdigest(f"{self.id} {self.precedence}".encode())
