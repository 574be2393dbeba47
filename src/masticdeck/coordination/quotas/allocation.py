"""How the budgets of workspaces are divided among entries, and the stored record.

The record holds two numbers for an entry and workspace: the allowance, and what is
reserved for the entry because an earlier allocation may still be in use. The sum of
what is reserved never exceeds the budget, so a writer needs no other allocation than
the present one, not even if it has missed some.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import final

from masticdeck.coordination.quotas.terms import MAX_BUDGET
from masticdeck.coordination.record_order.rules import RULES, WriterOrder
from masticdeck.ids import EntryId, WorkspaceId
from masticdeck.protocol.records import INVALID_RECORD_ERRORS, RecordInvalid

ALLOCATION_KEY = "masticdeck/quotas"

HELD_ALLOCATION_S = 15.0
"""Seconds after a new era of the store in which an older allocation is not used.

By then the entry that divides the budgets has written the known one again.
"""


@final
@dataclass(frozen=True, slots=True)
class Share:
    """What an entry may admit in a window, and what is reserved for it."""

    allowance: int
    reserved: int


NO_SHARE = Share(0, 0)


@final
@dataclass(frozen=True, slots=True)
class WorkspaceShares:
    """The shares of the entries in one workspace's budget at the time of writing."""

    budget: int
    shares: Mapping[EntryId, Share] = field(default_factory=dict)

    @property
    def reserved(self) -> int:
        """Return the part of the budget that is reserved for entries."""
        return sum(share.reserved for share in self.shares.values())

    def allowance(self, entry: EntryId, budget: int) -> int:
        """Return an entry's allowance under the budget in force.

        A smaller budget than at the time of writing binds at once.
        """
        share = self.shares.get(entry)
        if share is None:
            return 0
        if budget >= self.budget:
            return share.allowance
        return share.allowance * budget // self.budget


NO_SHARES = WorkspaceShares(0)

Allocation = Mapping[WorkspaceId, WorkspaceShares]


def encode_allocation(allocation: Allocation, number: int = 0) -> bytes:
    """Return the record of an allocation.

    ``number`` is greater than those of the allocations that it follows.
    """
    entries = sorted(
        {entry for shares in allocation.values() for entry in shares.shares}
    )
    position = {entry: index for index, entry in enumerate(entries)}
    workspaces = {
        workspace: [
            shares.budget,
            [
                [position[entry], share.allowance, share.reserved]
                for entry, share in shares.shares.items()
            ],
        ]
        for workspace, shares in allocation.items()
    }
    fields = {"entries": entries, "workspaces": workspaces, "number": number}
    return json.dumps(fields, separators=(",", ":")).encode()


@RULES.register(ALLOCATION_KEY, held_s=HELD_ALLOCATION_S, keeps_missing=True)
def read_allocation_order(value: bytes) -> WriterOrder | None:
    """Return the number of an allocation, None for one of an older version."""
    try:
        number = json.loads(value)["number"]
    except INVALID_RECORD_ERRORS:
        return None
    return (number,) if isinstance(number, int) else None


def decode_allocation(value: bytes) -> Allocation:
    """Return the allocation of a record, or raise RecordInvalid."""
    try:
        fields = json.loads(value)
        entries = [EntryId(str(entry)) for entry in fields["entries"]]
        return {
            WorkspaceId(str(workspace)): decode_shares(budget, rows, entries)
            for workspace, (budget, rows) in fields["workspaces"].items()
        }
    except (*INVALID_RECORD_ERRORS, IndexError) as error:
        raise RecordInvalid(f"{type(error).__name__}: {error}"[:200]) from None


def decode_shares(
    budget: object, rows: list[list[object]], entries: list[EntryId]
) -> WorkspaceShares:
    """Return the shares of one workspace."""
    shares: dict[EntryId, Share] = {}
    for position, allowance, reserved in rows:
        share = Share(decode_amount(allowance), decode_amount(reserved))
        if share.reserved < share.allowance:
            raise ValueError("less is reserved than allowed")
        shares[entries[decode_amount(position)]] = share
    return WorkspaceShares(decode_amount(budget), shares)


def decode_amount(value: object) -> int:
    """Return a whole number from 0 on, or raise TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    if not 0 <= value <= MAX_BUDGET:
        raise ValueError("a number out of range")
    return value
