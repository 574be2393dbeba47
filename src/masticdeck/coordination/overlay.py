"""Overlay network of heartbeat streams between entries.

Within a zone every node monitors its successors on a ring ordered by id. One
relay per zone, the entry with the lowest live id, also monitors the relays of
the region's other zones. The relay of the region's first live zone monitors the
relays of the regions at distances 1, 2, 4, ... on a ring of regions, so that a
change reaches all regions in a few hops. No election is needed: every node
derives the same relays from the same member records.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from masticdeck.ids import EntryId, MemberState, RegionId, ZoneId
from masticdeck.state.deployment import Deployment

SUCCESSOR_COUNT = 2
MAX_EXTRA_SUSPECTS = 4
CONTACTS_WITHOUT_LIVE = 3
LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.LEAVING})


@final
@dataclass(frozen=True, slots=True)
class MembershipView:
    """State of every entry as seen by one node.

    ``recently_lost`` contains the entries that were alive before and are now
    suspected, or were declared gone within the last minute.
    """

    states: Mapping[EntryId, MemberState]
    recently_lost: frozenset[EntryId]

    def live_entries(self, entries: list[EntryId]) -> list[EntryId]:
        """Return the entries that are alive or leaving, in the given order."""
        return [entry for entry in entries if self.states[entry] in LIVE_STATES]


class Overlay:
    """Derives this node's heartbeat streams from the deployment and a view."""

    def __init__(self, deployment: Deployment, own_id: EntryId) -> None:
        self.own_id = own_id
        self.zone = deployment.entry_by_id[own_id].zone
        self.region = deployment.region_of[self.zone]
        self.entries_by_zone: dict[ZoneId, list[EntryId]] = {}
        self.zones_by_region: dict[RegionId, list[ZoneId]] = {}
        for entry in sorted(deployment.entries, key=lambda entry: entry.id):
            self.entries_by_zone.setdefault(entry.zone, []).append(entry.id)
        for zone in sorted(self.entries_by_zone):
            self.zones_by_region.setdefault(deployment.region_of[zone], []).append(zone)
        self.regions = sorted(self.zones_by_region)

    def is_dialled(self, entry: EntryId, view: MembershipView) -> bool:
        """Return whether this node has to dial a neighbour.

        Of two live entries, the one with the lower id dials the other, except in a
        large zone, where each entry dials its successors.
        """
        if self.own_id < entry or view.states[entry] not in LIVE_STATES:
            return True
        return entry in self.entries_by_zone[self.zone] and self.is_large_zone(view)

    def is_large_zone(self, view: MembershipView) -> bool:
        """Return whether this zone has more live entries than a node monitors."""
        live = view.live_entries(self.entries_by_zone[self.zone])
        return len(live) > 2 * SUCCESSOR_COUNT

    def neighbours(self, view: MembershipView) -> dict[EntryId, int]:
        """Return the entries to share a stream with, with their distance.

        The distance is 0 within the zone, 1 within the region and 2 beyond it.
        """
        distances = dict.fromkeys(self.successors(view), 0)
        if self.is_relay(self.entries_by_zone[self.zone], view):
            for zone in self.zones_by_region[self.region]:
                if zone != self.zone:
                    contacts = self.relay_contacts(self.entries_by_zone[zone], view)
                    add_distances(distances, contacts, 1)
        if self.is_relay(self.region_entries(self.region), view):
            for region in self.ring_regions():
                contacts = self.relay_contacts(self.region_entries(region), view)
                add_distances(distances, contacts, 2)
        return distances

    def is_relay(self, entries: list[EntryId], view: MembershipView) -> bool:
        """Return whether this node is the first live entry of ``entries``."""
        live = view.live_entries(entries)
        return bool(live) and live[0] == self.own_id

    def region_entries(self, region: RegionId) -> list[EntryId]:
        """Return the entries of a region, ordered by zone and id."""
        return [
            entry
            for zone in self.zones_by_region[region]
            for entry in self.entries_by_zone[zone]
        ]

    def successors(self, view: MembershipView) -> list[EntryId]:
        """Return the next live members on the zone's ring.

        Suspected members between them are included, so that the recovery of a
        member is detected. In a small zone, all other members that are not gone
        are returned.
        """
        ring = self.entries_by_zone[self.zone]
        if len(view.live_entries(ring)) <= 2 * SUCCESSOR_COUNT:
            others = [entry for entry in ring if entry != self.own_id]
            return [
                entry for entry in others if view.states[entry] is not MemberState.GONE
            ]
        start = ring.index(self.own_id)
        monitored: list[EntryId] = []
        live_count = 0
        for entry in ring[start + 1 :] + ring[:start]:
            if view.states[entry] is MemberState.GONE:
                continue
            monitored.append(entry)
            live_count += view.states[entry] in LIVE_STATES
            if (
                live_count == SUCCESSOR_COUNT
                or len(monitored) == SUCCESSOR_COUNT + MAX_EXTRA_SUSPECTS
            ):
                break
        return monitored

    def relay_contacts(
        self, entries: list[EntryId], view: MembershipView
    ) -> list[EntryId]:
        """Return the entries that a relay dials in another zone or region.

        This is the first live member, plus two more for each recently lost
        member, so that the loss of a whole zone is detected in a few rounds.
        If no member is live, suspected ones are dialled instead.
        """
        present = [
            entry for entry in entries if view.states[entry] is not MemberState.GONE
        ]
        live = view.live_entries(present)
        lost_count = sum(1 for entry in entries if entry in view.recently_lost)
        if not live:
            return present[: CONTACTS_WITHOUT_LIVE + 2 * lost_count]
        return live[: 1 + 2 * lost_count]

    def ring_regions(self) -> list[RegionId]:
        """Return the regions at distances 1, 2, 4, ... in both directions."""
        count = len(self.regions)
        start = self.regions.index(self.region)
        regions: dict[RegionId, None] = {}
        distance = 1
        while distance <= count // 2:
            regions[self.regions[(start + distance) % count]] = None
            regions[self.regions[(start - distance) % count]] = None
            distance *= 2
        regions.pop(self.region, None)
        return list(regions)


def add_distances(
    distances: dict[EntryId, int], entries: list[EntryId], distance: int
) -> None:
    """Set the distance of the entries that have none yet."""
    for entry in entries:
        distances.setdefault(entry, distance)
