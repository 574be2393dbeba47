"""What each source has said of each instance or entry that may be draining."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import final

import xxhash


class DrainSource(Enum):
    """Who says that something is leaving."""

    OPERATOR = "operator"
    PLATFORM = "platform"
    INSTANCE = "instance"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DrainNote:
    """A source's latest word on an instance or entry, with its hybrid stamp."""

    name: str
    source: DrainSource
    leaving: bool
    stamp: int

    @property
    def fingerprint(self) -> int:
        """Return 64 bits that identify the note."""
        text = f"{self.name} {self.source.value} {self.leaving} {self.stamp}"
        return xxhash.xxh3_64_intdigest(text.encode())


class DrainNotes:
    """The latest note of every name and source.

    >>> notes = DrainNotes()
    >>> said = DrainNote(
    ...     name="x-1", source=DrainSource.OPERATOR, leaving=True, stamp=1
    ... )
    >>> notes.merge(said), notes.merge(said), notes.leaving("x-1")
    (True, False, True)
    """

    def __init__(self) -> None:
        self.notes: dict[tuple[str, DrainSource], DrainNote] = {}
        self.fingerprint = 0

    def __iter__(self) -> Iterator[DrainNote]:
        """Return all notes."""
        return iter(self.notes.values())

    def merge(self, note: DrainNote) -> bool:
        """Take a note in; return whether it was newer than what was known."""
        key = (note.name, note.source)
        known = self.notes.get(key)
        if known is not None:
            if known.stamp >= note.stamp:
                return False
            self.fingerprint ^= known.fingerprint
        self.notes[key] = note
        self.fingerprint ^= note.fingerprint
        return True

    def is_reported_leaving(self, name: str, source: DrainSource) -> bool:
        """Return whether a source says that the name is leaving."""
        note = self.notes.get((name, source))
        return note is not None and note.leaving

    def is_leaving(self, name: str) -> bool:
        """Return whether any source says that the name is leaving."""
        return any(self.is_reported_leaving(name, source) for source in DrainSource)


def names_leaving(notes: Iterable[DrainNote], source: DrainSource) -> set[str]:
    """Return the names of which a source says that they are leaving."""
    return {note.name for note in notes if note.source is source and note.leaving}
