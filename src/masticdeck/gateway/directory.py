"""Directory of entries for callers, and the readiness of this entry."""

from __future__ import annotations

from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.state.fleet import Fleet, FleetEntry

MAX_ADDRESSES = 64
"""Largest number of addresses in one response."""


class Directory:
    """Selects the entries that are nearest to a caller.

    A caller gets the entries of its zone; if it has none, those of its region;
    if that has none either, all entries.
    """

    def __init__(self, fleet: Fleet, own_entry: FleetEntry, events: EventLog) -> None:
        self.fleet = fleet
        self.events = events
        self.own_entry = own_entry
        self.leaving = False

    def serving_entries(self) -> dict[EntryId, FleetEntry]:
        """Return the entries that accept requests.

        This entry is included until it is leaving, whatever its record says.
        """
        entries = dict(self.fleet.entries)
        entries.pop(self.own_entry.id, None)
        if not self.leaving:
            entries[self.own_entry.id] = self.own_entry
        return entries

    def resolve(self, zone: ZoneId, region: RegionId) -> list[str]:
        """Return the addresses of the entries nearest to a zone and region."""
        entries = list(self.serving_entries().values())
        nearest = [entry for entry in entries if entry.zone == zone]
        if not nearest:
            region_of = self.fleet.region_of
            nearest = [
                entry for entry in entries if region_of.get(entry.zone) == region
            ]
        selected = sorted(nearest or entries, key=lambda entry: entry.id)[
            :MAX_ADDRESSES
        ]
        self.events.emit(
            Code.DIRECTORY_ANSWERED,
            zone=zone,
            region=region,
            chosen=",".join(entry.id for entry in selected),
            known=len(entries),
        )
        return [entry.caller_address for entry in selected]

    def is_ready(self) -> bool:
        """Return whether this entry has a configuration and is not leaving."""
        return not self.leaving and self.fleet.routes is not None
