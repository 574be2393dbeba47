"""Orders the entries by hash, so that each knows its place without messages.

A limit on all entries together cannot be divided into equal whole parts if it is
smaller than their number. With an order that all of them compute alike, each entry
rounds its part up or down by its place, and the parts add up to the limit. Entries that
see other members disagree by as many places as there are members in dispute before
them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import xxhash

from masticdeck.ids import EntryId

HASHES = 2**64


class EntryOrder:
    """The place of this entry among those that callers are directed to, by topic.

    Each topic has another first entry, so no entry is always the last.

    >>> orders = [
    ...     EntryOrder(EntryId(name), members=lambda: {"a", "b", "c"}) for name in "abc"
    ... ]
    >>> sorted(order.place("topic") for order in orders)
    [0, 1, 2]
    """

    def __init__(
        self, entry: EntryId, *, members: Callable[[], Collection[EntryId]]
    ) -> None:
        self.entry = entry
        self.members = members
        self.hash = xxhash.xxh64_intdigest(entry.encode())
        self.known_members: Collection[EntryId] = ()
        self.lower_count = 0

    def contains_own_entry(self) -> bool:
        """Return whether callers are directed to this entry."""
        return self.entry in self.members()

    def size(self) -> int:
        """Return the number of entries in the order, with this one."""
        return len(self.members()) + (not self.contains_own_entry())

    def place(self, topic: str) -> int:
        """Return how many entries come before this one."""
        return int(self.fraction(topic) * self.size())

    def fraction(self, topic: str) -> float:
        """Return the place as a fraction: over all entries evenly from 0 to 1."""
        first = xxhash.xxh64_intdigest(topic.encode()) / HASHES
        return ((self.count_lower() + 0.5) / self.size() + first) % 1.0

    def count_lower(self) -> int:
        """Return the number of members with a lower hash than this entry."""
        members = self.members()
        if members is not self.known_members:
            self.known_members = members
            self.lower_count = sum(
                xxhash.xxh64_intdigest(entry.encode()) < self.hash for entry in members
            )
        return self.lower_count
