"""Decisions that nodes take together, as a library that others can embed.

The names below are the parts that stand on their own; README.md beside this
file says how they fit together.
"""

from __future__ import annotations

from masticdeck.coordination.membership import Member, Membership
from masticdeck.coordination.ownership import Fence, Ownership
from masticdeck.coordination.shares import Shares
from masticdeck.coordination.slots import Slot, SlotSource, StaticSlots

__all__ = [
    "Fence",
    "Member",
    "Membership",
    "Ownership",
    "Shares",
    "Slot",
    "SlotSource",
    "StaticSlots",
]
