"""Drain notes: the latest report of each source on each instance and entry."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import final

import xxhash


class DrainSource(Enum):
    """Origin of a report that an instance or entry is leaving."""

    OPERATOR = "operator"
    PLATFORM = "platform"
    INSTANCE = "instance"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DrainNote:
    """A source's report on an instance or entry, with a hybrid clock timestamp.

    ``name`` is the id of the instance or entry.
    """

    name: str
    source: DrainSource
    leaving: bool
    stamp: int

    @property
    def fingerprint(self) -> int:
        """Return a 64-bit hash of the note."""
        text = f"{self.name} {self.source.value} {self.leaving} {self.stamp}"
        return xxhash.xxh3_64_intdigest(text.encode())


class DrainNotes:
    """The latest note for each pair of name and source.

    ``fingerprint`` is the XOR of the hashes of all notes, so entries with the same
    notes have the same fingerprint.

    >>> notes = DrainNotes()
    >>> note = DrainNote(
    ...     name="x-1", source=DrainSource.OPERATOR, leaving=True, stamp=1
    ... )
    >>> notes.merge(note), notes.merge(note), notes.is_leaving("x-1")
    (True, False, True)
    """

    def __init__(self) -> None:
        self.notes: dict[tuple[str, DrainSource], DrainNote] = {}
        self.fingerprint = 0

    def __iter__(self) -> Iterator[DrainNote]:
        """Iterate over all notes."""
        return iter(self.notes.values())

    def merge(self, note: DrainNote) -> bool:
        """Store a note if it is newer than the stored one; return whether it is."""
        key = (note.name, note.source)
        stored_note = self.notes.get(key)
        if stored_note is not None:
            if stored_note.stamp >= note.stamp:
                return False
            self.fingerprint ^= stored_note.fingerprint
        self.notes[key] = note
        self.fingerprint ^= note.fingerprint
        return True

    def is_reported_leaving(self, name: str, source: DrainSource) -> bool:
        """Return whether the source reports the instance or entry as leaving."""
        note = self.notes.get((name, source))
        return note is not None and note.leaving

    def is_leaving(self, name: str) -> bool:
        """Return whether any source reports the instance or entry as leaving."""
        return any(self.is_reported_leaving(name, source) for source in DrainSource)


def names_leaving(notes: Iterable[DrainNote], source: DrainSource) -> set[str]:
    """Return the names that a source reports as leaving."""
    return {note.name for note in notes if note.source is source and note.leaving}
