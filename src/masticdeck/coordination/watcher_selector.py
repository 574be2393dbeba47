"""Selects which entries follow the store, and which entry the others follow.

Records flow down a tree. ``WATCHERS_PER_REGION`` entries of a region, its watchers,
follow the store. Each zone without a watcher has a relay, which follows a watcher of
its region, and all other entries follow the watcher or the relay of their own zone.
The load of the store does not grow with the fleet, and every record crosses to a
zone once rather than once for each of its entries.

All entries rank the entries alike, the largest VMs first, so that entries with the
same view make the same selection without coordination.
"""

from __future__ import annotations

from enum import IntEnum

from masticdeck.clock import boottime
from masticdeck.coordination.caller_subset import capacity_rank
from masticdeck.coordination.feed import MAX_REPLICA_AGE_S, RecordReplica
from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.state.fleet import Fleet, FleetEntry

WATCHERS_PER_REGION = 2
"""Entries of a region that follow the store; one of them may fail."""


class SourceClass(IntEnum):
    """How well another entry suits as a source of records, the best first."""

    OWN_ZONE = 0
    OWN_REGION = 1
    OTHER_REGION = 2
    NOT_SELECTED = 3


class WatcherSelector:
    """Selects watchers, relays and sources from the fleet as seen by one entry."""

    def __init__(self, fleet: Fleet, own_entry: FleetEntry) -> None:
        self.fleet = fleet
        self.own_entry = own_entry
        self.own_region = fleet.region_of[own_entry.zone]
        self.ranked_for: int | None = None
        self.ranked_by_region: dict[RegionId, list[FleetEntry]] = {}

    def ranked_entries(self, region: RegionId) -> list[FleetEntry]:
        """Return the entries of a region with this entry, the largest VMs first."""
        if self.ranked_for != self.fleet.entries_epoch:
            entries = {**self.fleet.entries, self.own_entry.id: self.own_entry}
            self.ranked_by_region = {}
            for entry in sorted(entries.values(), key=capacity_rank):
                entry_region = self.fleet.region_of.get(entry.zone)
                if entry_region is not None:
                    self.ranked_by_region.setdefault(entry_region, []).append(entry)
            self.ranked_for = self.fleet.entries_epoch
        return self.ranked_by_region.get(region, [])

    def in_own_region(self) -> list[EntryId]:
        """Return the watchers of this entry's region, by rank."""
        return self.in_region(self.own_region)

    def in_region(self, region: RegionId) -> list[EntryId]:
        """Return the watchers of a region, in different zones if possible."""
        ranked = self.ranked_entries(region)
        in_other_zones = [entry for entry in ranked if entry.zone != ranked[0].zone]
        others = (in_other_zones or ranked[1:])[: WATCHERS_PER_REGION - 1]
        return [entry.id for entry in ranked[:1] + others]

    def in_other_regions(self) -> set[EntryId]:
        """Return the watchers of all other regions."""
        regions = set(self.fleet.region_of.values()) - {self.own_region}
        return {entry_id for region in regions for entry_id in self.in_region(region)}

    def zone_source(self, zone: ZoneId) -> EntryId | None:
        """Return the watcher of a zone, or its relay, or None without any entry."""
        region = self.fleet.region_of[zone]
        in_zone = [
            entry.id for entry in self.ranked_entries(region) if entry.zone == zone
        ]
        watchers = self.in_region(region)
        in_zone.sort(key=lambda entry_id: entry_id not in watchers)
        return in_zone[0] if in_zone else None

    def should_follow_store(self, replica: RecordReplica) -> bool:
        """Return whether this entry has to follow the store.

        An entry with an outdated replica also does, because all its sources may be
        cut off from the store.
        """
        if replica.age_s(boottime()) > MAX_REPLICA_AGE_S:
            return True
        return self.own_entry.id in self.in_own_region()

    def classify_sources(self) -> dict[EntryId, SourceClass]:
        """Return how well each other entry suits as a source of this entry."""
        zone_source = self.zone_source(self.own_entry.zone)
        own_watchers = set(self.in_own_region())
        other_watchers = self.in_other_regions()

        def classify(entry_id: EntryId) -> SourceClass:
            if entry_id == zone_source:
                return SourceClass.OWN_ZONE
            if entry_id in own_watchers:
                return SourceClass.OWN_REGION
            if entry_id in other_watchers:
                return SourceClass.OTHER_REGION
            return SourceClass.NOT_SELECTED

        return {
            entry_id: classify(entry_id)
            for entry_id in self.fleet.entries
            if entry_id != self.own_entry.id
        }
