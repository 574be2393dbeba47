"""Slot units, the smallest piece of capacity that is shared, and their messages."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from masticdeck.ids import InstanceId
from masticdeck.protocol.generated.shares_pb2 import Units


@final
@dataclass(frozen=True, slots=True, order=True)
class Unit:
    """One slot of an instance; ``index`` runs from 0."""

    instance: InstanceId
    index: int


def encode_units(units: Iterable[Unit]) -> list[Units]:
    """Return messages that name the units, one for each instance.

    >>> [list(one.indexes) for one in encode_units([Unit(InstanceId("a"), 3)])]
    [[3]]
    """
    indexes: dict[InstanceId, list[int]] = {}
    for unit in sorted(units):
        indexes.setdefault(unit.instance, []).append(unit.index)
    return [Units(instance=name, indexes=found) for name, found in indexes.items()]


def decode_units(messages: Iterable[Units]) -> set[Unit]:
    """Return the units that messages name."""
    return {
        Unit(InstanceId(message.instance), index)
        for message in messages
        for index in message.indexes
    }
