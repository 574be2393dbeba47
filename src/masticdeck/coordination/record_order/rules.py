"""How the writes of records of one kind are ordered.

Revisions tell in which order writes reached the store. Those of two eras, or of a write
that was delayed on its way, say nothing about which of two values was written later.
Records that say it themselves, by a version or a count of their writer, have a rule
with a decorated function that reads it:

>>> rules = RecordRules()
>>> @rules.register("settings/", keeps_missing=True)
... def read_version(value: bytes) -> WriterOrder:
...     return (int(value),)
>>> rules.find("settings/a").read_order(b"17")
(17,)
>>> rules.find("other/a").read_order(b"17") is None
True
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

RESTORE_S = 2.5
"""Seconds after a new era in which living writers write their records again."""

EXPIRY_S = 6.0
"""Seconds after a new era in which a record of a writer that has ended expires."""

LATE_WRITE_S = 6.0
"""Seconds after which a write that got no response is no longer executed.

A record that nobody renews has expired by then, too.
"""

WriterOrder = tuple[int, ...]
"""What a writer states of its record; a later write states a greater one.

The last number counts the writes of one start of the writer, those before it tell its
starts apart.
"""

ReadOrder = Callable[[bytes], WriterOrder | None]
"""Returns the order that a value states, None if it cannot be read."""


def start_of(order: WriterOrder) -> WriterOrder:
    """Return which start of a writer an order is of.

    >>> start_of((1_796_000_000_000, 17))
    (1796000000000,)
    """
    return order[:-1]


def read_no_order(value: bytes) -> WriterOrder | None:
    """Return None: values of this kind state no order."""
    return None


@final
@dataclass(frozen=True, slots=True)
class RecordRule:
    """How the records of one kind are ordered.

    ``late_write_s`` is the time for which a write may be delayed and still be executed,
    0 if the writers make sure that a late write fails: by a condition, or by a lease
    that has ended. Such a rule orders the writes of each day.

    ``held_s`` is the time, counted from the first sight of a new era, in which an older
    value of the copy does not replace a newer one. A record that is missing in the copy
    is kept for ``RESTORE_S``, or until it is written again if ``keeps_missing``.
    """

    read_order: ReadOrder = read_no_order
    held_s: float = RESTORE_S
    keeps_missing: bool = False
    late_write_s: float = 0.0


DEFAULT_RULE = RecordRule()


class RecordRules:
    """Rules by the prefix of the keys that they apply to."""

    def __init__(self) -> None:
        self.by_prefix: dict[str, RecordRule] = {}

    def register(
        self,
        prefix: str,
        *,
        held_s: float = EXPIRY_S,
        keeps_missing: bool = False,
        late_write_s: float = 0.0,
    ) -> Callable[[ReadOrder], ReadOrder]:
        """Return a decorator that registers how to read the order of some records."""

        def add(read_order: ReadOrder) -> ReadOrder:
            self.by_prefix[prefix] = RecordRule(
                read_order, held_s, keeps_missing, late_write_s
            )
            return read_order

        return add

    def find(self, key: str) -> RecordRule:
        """Return the rule of a key, the default one if it has none."""
        for prefix, rule in self.by_prefix.items():
            if key.startswith(prefix):
                return rule
        return DEFAULT_RULE

    def longest_held_s(self) -> float:
        """Return the time after which nothing more falls due, in seconds."""
        times = [rule.held_s for rule in self.by_prefix.values()]
        return max([RESTORE_S, *(held_s for held_s in times if held_s < math.inf)])


RULES = RecordRules()
"""The rules of all records, registered where the records are decoded."""
