"""Which allocations may still be in use, and what they reserve."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import final

from masticdeck.coordination.quotas.allocation import (
    NO_SHARE,
    NO_SHARES,
    Allocation,
    Share,
    WorkspaceShares,
)
from masticdeck.coordination.quotas.demand import Confirmation
from masticdeck.ids import EntryId, Revision, WorkspaceId
from masticdeck.protocol.positions import era_of
from masticdeck.protocol.store import ABSENT


@final
@dataclass(frozen=True, slots=True)
class ReplacedAllocation:
    """An allocation that entries may still use, and which one replaced it when."""

    allocation: Allocation
    replaced_by: Revision
    replaced_at: float


@final
class AllocationHistory:
    """Allocations that may still be in use, as one allocator knows them.

    A write under the condition of a revision directly follows it, so an allocator that
    knows the revision before its own writes knows every allocation since. After any
    other revision it relies on what the record states as reserved.

    An entry that confirms an allocation does not use those before it any more. What
    counts for it is the number of requests that it has admitted, until its next report.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.current: Allocation = {}
        self.replaced: list[ReplacedAllocation] = []
        self.unknown_since = -math.inf
        self.deleted_at = ABSENT

    def record_seen(
        self, revision: Revision, allocation: Allocation, now: float
    ) -> None:
        """Take in the present record, seen at boot time ``now``."""
        if revision == self.revision:
            return
        earlier = self.earlier_era(revision, now)
        reserved = {
            workspace: WorkspaceShares(
                shares.budget,
                {
                    entry: Share(share.reserved, share.reserved)
                    for entry, share in shares.shares.items()
                },
            )
            for workspace, shares in allocation.items()
        }
        self.replaced = [*earlier, ReplacedAllocation(reserved, revision, now)]
        self.revision, self.current = revision, allocation

    def earlier_era(self, revision: Revision, now: float) -> list[ReplacedAllocation]:
        """Return the known allocations if a record is of a later era than them.

        The store may have lost those that the record does not know of.
        """
        if not self.revision or era_of(self.revision) == era_of(revision):
            return []
        return [*self.replaced, ReplacedAllocation(self.current, revision, now)]

    def record_lost(self, revision: Revision, now: float) -> None:
        """Take in that the present record is unreadable, or was deleted.

        What it and those before it reserved is unknown. Entries stop using them as
        they learn of it.
        """
        self.unknown_since = now
        self.replaced = []
        self.revision, self.current = revision, {}

    def record_written(
        self, revision: Revision, allocation: Allocation, now: float
    ) -> None:
        """Take in a write of this allocator that the store acknowledged."""
        self.replaced.append(ReplacedAllocation(self.current, revision, now))
        self.revision, self.current = revision, allocation

    def with_reserved(
        self,
        now: float,
        reuse_after_s: float,
        confirmations: Mapping[EntryId, Confirmation] = MappingProxyType({}),
    ) -> Allocation:
        """Return the present allocation with what earlier ones may still use."""
        self.replaced = [
            earlier
            for earlier in self.replaced
            if now - earlier.replaced_at < reuse_after_s
        ]
        names = {*self.current}
        for earlier in self.replaced:
            names.update(earlier.allocation)
        return {
            workspace: self.combine(workspace, confirmations) for workspace in names
        }

    def combine(
        self, workspace: WorkspaceId, confirmations: Mapping[EntryId, Confirmation]
    ) -> WorkspaceShares:
        """Return the shares of one workspace."""
        current = self.current.get(workspace, NO_SHARES)
        replaced = [
            (known, earlier.replaced_by)
            for earlier in self.replaced
            if (known := earlier.allocation.get(workspace)) is not None
            and known is not current
        ]
        if not replaced and all(
            share.reserved == share.allowance for share in current.shares.values()
        ):
            return current
        reserved = {
            entry: share.allowance
            for entry, share in current.shares.items()
            if share.allowance
        }
        for known, replaced_by in replaced:
            for entry, share in known.shares.items():
                amount = share.allowance
                confirmation = confirmations.get(entry)
                if confirmation is not None and confirmation.revision >= replaced_by:
                    amount = confirmation.admitted.get(workspace, 0)
                reserved[entry] = max(reserved.get(entry, 0), amount)
        return WorkspaceShares(
            current.budget,
            {
                entry: Share(current.shares.get(entry, NO_SHARE).allowance, amount)
                for entry, amount in reserved.items()
                if amount
            },
        )
