"""How records of one kind are ordered across eras of the store.

Revisions of two eras say nothing about which of two values was written later. Records
that say it themselves, by a version or a count of their writer, have a rule with a
decorated function that reads it:

>>> rules = RestorationRules()
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

WriterOrder = tuple[int, ...]
"""What a writer states of its record; a later write states a greater one."""

ReadOrder = Callable[[bytes], WriterOrder | None]
"""Returns the order that a value states, None if it cannot be read."""


def read_no_order(value: bytes) -> WriterOrder | None:
    """Return None: values of this kind state no order."""
    return None


@final
@dataclass(frozen=True, slots=True)
class RestorationRule:
    """How the records of one kind are treated after a restoration.

    ``held_s`` is the time, counted from the first sight of the era, in which an older
    value of the copy does not replace a newer one. A record that is missing in the copy
    is kept for ``RESTORE_S``, or until it is written again if ``keeps_missing``.
    """

    read_order: ReadOrder = read_no_order
    held_s: float = RESTORE_S
    keeps_missing: bool = False


DEFAULT_RULE = RestorationRule()


class RestorationRules:
    """Rules by the prefix of the keys that they apply to."""

    def __init__(self) -> None:
        self.by_prefix: dict[str, RestorationRule] = {}

    def register(
        self, prefix: str, *, held_s: float = EXPIRY_S, keeps_missing: bool = False
    ) -> Callable[[ReadOrder], ReadOrder]:
        """Return a decorator that registers how to read the order of some records."""

        def add(read_order: ReadOrder) -> ReadOrder:
            self.by_prefix[prefix] = RestorationRule(read_order, held_s, keeps_missing)
            return read_order

        return add

    def find(self, key: str) -> RestorationRule:
        """Return the rule of a key, the default one if it has none."""
        for prefix, rule in self.by_prefix.items():
            if key.startswith(prefix):
                return rule
        return DEFAULT_RULE

    def longest_held_s(self) -> float:
        """Return the time after which nothing more falls due, in seconds."""
        times = [rule.held_s for rule in self.by_prefix.values()]
        return max([RESTORE_S, *(held_s for held_s in times if held_s < math.inf)])


RULES = RestorationRules()
"""The rules of all records, registered where the records are decoded."""
