"""Coordination between nodes, as an embeddable library.

The names in ``__all__`` can be used independently of each other; README.md in
this directory describes how they fit together. Each is imported on first use,
so that an embedder imports only the modules it needs.
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

MODULE_BY_NAME = {
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
    """Import a public name on first use."""
    module = MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
