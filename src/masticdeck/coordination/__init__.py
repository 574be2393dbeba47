"""Decisions that nodes take together, as a library that others can embed.

The names below are the parts that stand on their own; README.md beside this
file says how they fit together. Each is imported at its first use, so that an
embedder pays only for the parts that it takes.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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

MODULE_OF = {
    "Fence": "ownership",
    "Member": "membership",
    "Membership": "membership",
    "Ownership": "ownership",
    "Shares": "shares",
    "Slot": "slots",
    "SlotSource": "slots",
    "StaticSlots": "slots",
}


def __getattr__(name: str) -> object:
    """Import a public name at its first use."""
    module = MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
