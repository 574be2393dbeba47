"""Merging, filtering and grouping of events from several processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import final

from masticdeck.clock import stamp_seconds
from masticdeck.events import Code, Event


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Filter:
    """Which events to keep; an empty filter keeps all.

    ``subjects`` maps a field's name to the value it must have, ``codes`` lists
    event codes, ``processes`` the ids of processes.
    """

    subjects: Mapping[str, str] = field(default_factory=dict)
    codes: frozenset[Code] = frozenset()
    processes: frozenset[str] = frozenset()

    def keeps(self, event: Event) -> bool:
        """Return whether an event passes."""
        if self.codes and event.code not in self.codes:
            return False
        if self.processes and event.process not in self.processes:
            return False
        return all(
            event.fields.get(name) == value for name, value in self.subjects.items()
        )


class Timeline:
    """Events of all processes in the order of their hybrid stamps.

    An event that arrives twice is kept once. Events stay when the process that
    they came from has ended. ``read_until`` is the stamp up to which each feed
    has been read, by its address.
    """

    def __init__(self) -> None:
        self.events: dict[tuple[str, int], Event] = {}
        self.read_until: dict[str, int] = {}

    def add(self, events: Iterable[Event]) -> list[Event]:
        """Add events and return those that were new."""
        new = []
        for event in events:
            key = (event.process, event.stamp)
            if key in self.events:
                continue
            self.events[key] = event
            new.append(event)
        return new

    def ordered(self, chosen: Filter | None = None) -> list[Event]:
        """Return the events that a filter keeps, the earliest first."""
        keep = chosen or Filter()
        kept = [event for event in self.events.values() if keep.keeps(event)]
        return sorted(kept, key=order)


def order(event: Event) -> tuple[int, str]:
    """Return the sort key: the stamp, then the process for equal stamps."""
    return event.stamp, event.process


def lines(events: Iterable[Event]) -> Iterator[str]:
    """Yield one line of text for each event, with seconds since the first."""
    first: float | None = None
    for event in events:
        seconds = stamp_seconds(event.stamp)
        first = seconds if first is None else first
        subjects = " ".join(f"{name}={value}" for name, value in event.fields.items())
        yield (
            f"{seconds - first:10.6f} {event.process:<14} "
            f"{event.code.value} {event.code.name.lower():<26} {subjects}"
        )
