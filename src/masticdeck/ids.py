"""Identifiers and small enumerations shared by every layer."""

from __future__ import annotations

from enum import Enum
from typing import NewType

EntryId = NewType("EntryId", str)
InstanceId = NewType("InstanceId", str)
ServiceId = NewType("ServiceId", str)
RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
SiteId = NewType("SiteId", str)
CustomerId = NewType("CustomerId", str)
WorkspaceId = NewType("WorkspaceId", str)
PlanId = NewType("PlanId", str)
ProposalId = NewType("ProposalId", str)
RequestId = NewType("RequestId", str)

Incarnation = NewType("Incarnation", int)
"""Start time of a process in nanoseconds since the epoch; a restart raises it."""

Version = NewType("Version", int)
"""Number of an accepted configuration; 0 means that none was ever accepted."""

Era = NewType("Era", int)
"""Number of times that the platform's store came back from a copy; 0 is not stated."""

Revision = NewType("Revision", int)
"""Position in the history of the platform's store; 0 means absent.

It holds the era in its upper bits and the store's own counter below them, so that
positions order by era first. ``masticdeck.protocol.positions`` converts them.
"""

LeaseId = NewType("LeaseId", str)
"""Name of a lease in the platform's store, with the era in which it was granted."""

FencingToken = NewType("FencingToken", int)
"""Position of the write of an owner's key; a later owner always holds a larger one."""


class Rank(Enum):
    """The three ranks of work, the most urgent first."""

    URGENT = "urgent"
    MIDDLE = "middle"
    LOW = "low"

    @property
    def order(self) -> int:
        """Return 0 for the most urgent rank and 2 for the least urgent."""
        return _RANK_ORDER[self]


_RANK_ORDER = {Rank.URGENT: 0, Rank.MIDDLE: 1, Rank.LOW: 2}


class MemberState(Enum):
    """What a node knows of another node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Outcome(Enum):
    """What the system can say about a request that got no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
