"""Directory of entries for callers, and the readiness of this entry."""

from __future__ import annotations

from collections.abc import Callable

from masticdeck.coordination.caller_subset import capacity_rank, select_by_zone
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.state.fleet import Fleet, FleetEntry

MAX_ADDRESSES = 64
"""Largest number of addresses in one response."""


class Directory:
    """Selects the entries that are nearest to a caller.

    A caller gets the selected entries of its zone; if it has none, those of its
    region; if that has none either, those of all zones.
    """

    def __init__(
        self,
        fleet: Fleet,
        own_entry: FleetEntry,
        events: EventLog,
        *,
        may_use_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.may_use_keys = may_use_keys
        self.fleet = fleet
        self.events = events
        self.own_entry = own_entry
        self.leaving = False
        self.selected_by_zone: dict[ZoneId, list[FleetEntry]] = {}
        self.selected_ids: frozenset[EntryId] = frozenset()
        self.selected_for: tuple[int, bool] | None = None

    def serving_entries(self) -> dict[EntryId, FleetEntry]:
        """Return the entries that accept requests.

        This entry is included until it is leaving, whatever its record says.
        """
        entries = dict(self.fleet.entries)
        entries.pop(self.own_entry.id, None)
        if not self.leaving:
            entries[self.own_entry.id] = self.own_entry
        return entries

    def selected_entries(self) -> dict[ZoneId, list[FleetEntry]]:
        """Return the entries that callers are directed to, by zone."""
        basis = (self.fleet.entries_epoch, self.leaving)
        if self.selected_for != basis:
            self.selected_by_zone = select_by_zone(self.serving_entries().values())
            self.selected_ids = frozenset(
                entry.id
                for entries in self.selected_by_zone.values()
                for entry in entries
            )
            self.selected_for = basis
        return self.selected_by_zone

    def selected_entry_ids(self) -> frozenset[EntryId]:
        """Return the ids of the entries that callers are directed to."""
        self.selected_entries()
        return self.selected_ids

    def count_selected(self) -> int:
        """Return the number of entries that callers are directed to.

        This entry is counted although others may be selected: callers with an older
        answer still use it.
        """
        own_zone = self.selected_entries().get(self.own_entry.zone, [])
        is_selected = any(entry.id == self.own_entry.id for entry in own_zone)
        return sum(map(len, self.selected_by_zone.values())) + (not is_selected)

    def resolve(self, zone: ZoneId, region: RegionId) -> list[str]:
        """Return the addresses of the entries nearest to a zone and region."""
        selected_by_zone = self.selected_entries()
        region_of = self.fleet.region_of
        if not self.may_use_keys():
            selected_by_zone = self.without_own_entry(selected_by_zone)
        nearest = selected_by_zone.get(zone) or [
            entry
            for entry_zone, entries in selected_by_zone.items()
            if region_of.get(entry_zone) == region
            for entry in entries
        ]
        everywhere = [
            entry for entries in selected_by_zone.values() for entry in entries
        ]
        chosen = sorted(nearest or everywhere, key=capacity_rank)[:MAX_ADDRESSES]
        self.events.emit(
            Code.DIRECTORY_ANSWERED,
            zone=zone,
            region=region,
            chosen=",".join(entry.id for entry in chosen),
            known=len(self.fleet.entries),
        )
        return [entry.caller_address for entry in chosen]

    def without_own_entry(
        self, entries_by_zone: dict[ZoneId, list[FleetEntry]]
    ) -> dict[ZoneId, list[FleetEntry]]:
        """Return the other entries by zone, or all if there are no others.

        An entry that cannot check keys would refuse most requests.
        """
        others = {
            zone: [entry for entry in entries if entry.id != self.own_entry.id]
            for zone, entries in entries_by_zone.items()
        }
        return others if any(others.values()) else entries_by_zone

    def is_ready(self) -> bool:
        """Return whether this entry has a configuration and is not leaving."""
        return not self.leaving and self.fleet.routes is not None
