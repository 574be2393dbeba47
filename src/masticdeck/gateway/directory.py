"""The directory: which entries a caller connects to, and whether one is ready."""

from __future__ import annotations

from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.state.fleet import Fleet, FleetEntry

MAX_ADDRESSES = 64
"""Most addresses in one answer."""


class Directory:
    """Names the entries for a caller, the nearest ones only.

    Callers of a zone get the entries of their zone; where it has none, those
    of their region, and only without any the entries of other regions.
    """

    def __init__(self, fleet: Fleet, own_entry: FleetEntry, events: EventLog) -> None:
        self.fleet = fleet
        self.events = events
        self.own_entry = own_entry
        self.leaving = False

    def serving_entries(self) -> dict[EntryId, FleetEntry]:
        """Return the entries that take requests, this one by its own word."""
        entries = dict(self.fleet.entries)
        entries.pop(self.own_entry.id, None)
        if not self.leaving:
            entries[self.own_entry.id] = self.own_entry
        return entries

    def resolve(self, zone: ZoneId, region: RegionId) -> list[str]:
        """Return caller addresses for a caller's zone and region."""
        entries = list(self.serving_entries().values())
        near = [one for one in entries if one.zone == zone]
        if not near:
            region_of = self.fleet.region_of
            near = [one for one in entries if region_of.get(one.zone) == region]
        chosen = sorted(near or entries, key=lambda one: one.id)[:MAX_ADDRESSES]
        self.events.emit(
            Code.DIRECTORY_ANSWERED,
            zone=zone,
            region=region,
            chosen=",".join(one.id for one in chosen),
            known=len(entries),
        )
        return [one.caller_address for one in chosen]

    def is_ready(self) -> bool:
        """Return whether this entry wants requests."""
        return not self.leaving and self.fleet.routes is not None
