"""Slot units, the smallest amount of capacity that is leased, and their encoding."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from masticdeck.ids import InstanceId
from masticdeck.protocol.generated.shares_pb2 import Units


@final
@dataclass(frozen=True, slots=True, order=True)
class Unit:
    """One slot of an instance, identified by a zero-based index."""

    instance: InstanceId
    index: int


def encode_units(units: Iterable[Unit]) -> list[Units]:
    """Return the units as protobuf messages, one per instance.

    >>> [list(message.indexes) for message in encode_units([Unit(InstanceId("a"), 3)])]
    [[3]]
    """
    indexes_by_instance: dict[InstanceId, list[int]] = {}
    for unit in sorted(units):
        indexes_by_instance.setdefault(unit.instance, []).append(unit.index)
    return [
        Units(instance=instance, indexes=indexes)
        for instance, indexes in indexes_by_instance.items()
    ]


def decode_units(messages: Iterable[Units]) -> set[Unit]:
    """Return the units listed in the messages."""
    return {
        Unit(InstanceId(message.instance), index)
        for message in messages
        for index in message.indexes
    }
