"""Which members a node keeps a heartbeat stream with.

Inside a zone every node watches its successors on a ring in order of id. One
relay per zone, the lowest live id, also watches the relays of the region's
other zones; the relay of the region's first live zone watches those of
regions at distances 1, 2, 4, ... on a ring of regions, so that a change
crosses all regions in a few hops. No election: every node derives the same
relays from the same records.
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
    """State of every entry as one node knows it, and who failed lately.

    ``recently_lost`` holds entries that were seen alive and that are suspected now or
    were declared gone within the last minute.
    """

    states: Mapping[EntryId, MemberState]
    recently_lost: frozenset[EntryId]

    def live_entries(self, entries: list[EntryId]) -> list[EntryId]:
        """Return the entries that are alive or leaving, in the given order."""
        return [entry for entry in entries if self.states[entry] in LIVE_STATES]


class Overlay:
    """Places of the entries, and the streams that follow from a view."""

    def __init__(self, deployment: Deployment, me: EntryId) -> None:
        self.own_id = me
        self.zone = deployment.entry_by_id[me].zone
        self.region = deployment.region_of[self.zone]
        self.entries_by_zone: dict[ZoneId, list[EntryId]] = {}
        self.zones_by_region: dict[RegionId, list[ZoneId]] = {}
        for entry in sorted(deployment.entries, key=lambda one: one.id):
            self.entries_by_zone.setdefault(entry.zone, []).append(entry.id)
        for zone in sorted(self.entries_by_zone):
            self.zones_by_region.setdefault(deployment.region_of[zone], []).append(zone)
        self.regions = sorted(self.zones_by_region)

    def dial_targets(self, view: MembershipView) -> dict[EntryId, int]:
        """Return whom to dial, with the distance: 0 zone, 1 region, 2 beyond."""
        found: dict[EntryId, int] = {}
        ring = self.successors(view)
        if (
            len(view.live_entries(self.entries_by_zone[self.zone]))
            > 2 * SUCCESSOR_COUNT
        ):
            found.update(dict.fromkeys(ring, 0))
        else:
            self.add_dial_targets(found, ring, 0, view)
        if self.is_relay(self.entries_by_zone[self.zone], view):
            for zone in self.zones_by_region[self.region]:
                if zone != self.zone:
                    self.add_dial_targets(
                        found,
                        self.relay_contacts(self.entries_by_zone[zone], view),
                        1,
                        view,
                    )
        if self.is_relay(self.region_entries(self.region), view):
            for region in self.ring_regions():
                entries = self.region_entries(region)
                self.add_dial_targets(
                    found, self.relay_contacts(entries, view), 2, view
                )
        return found

    def add_dial_targets(
        self,
        found: dict[EntryId, int],
        entries: list[EntryId],
        far: int,
        view: MembershipView,
    ) -> None:
        """Add contacts that this side has to dial: the lower id of a live pair."""
        for entry in entries:
            if self.own_id < entry or view.states[entry] not in LIVE_STATES:
                found.setdefault(entry, far)

    def is_relay(self, entries: list[EntryId], view: MembershipView) -> bool:
        """Return whether this node is the first live one of the entries."""
        live = view.live_entries(entries)
        return bool(live) and live[0] == self.own_id

    def region_entries(self, region: RegionId) -> list[EntryId]:
        """Return the entries of a region, zone by zone."""
        return [
            entry
            for zone in self.zones_by_region[region]
            for entry in self.entries_by_zone[zone]
        ]

    def successors(self, view: MembershipView) -> list[EntryId]:
        """Return the next live members on the zone's ring.

        Suspected members on the way are watched as well, so that a member
        that comes back is seen.
        """
        ring = self.entries_by_zone[self.zone]
        if len(view.live_entries(ring)) <= 2 * SUCCESSOR_COUNT:
            others = [one for one in ring if one != self.own_id]
            return [one for one in others if view.states[one] is not MemberState.GONE]
        start = ring.index(self.own_id)
        found: list[EntryId] = []
        live = 0
        for entry in ring[start + 1 :] + ring[:start]:
            if view.states[entry] is MemberState.GONE:
                continue
            found.append(entry)
            live += view.states[entry] in LIVE_STATES
            if (
                live == SUCCESSOR_COUNT
                or len(found) == SUCCESSOR_COUNT + MAX_EXTRA_SUSPECTS
            ):
                break
        return found

    def relay_contacts(
        self, entries: list[EntryId], view: MembershipView
    ) -> list[EntryId]:
        """Return whom a relay dials in another zone or region.

        The first live member; with every member lost lately three times as
        many are dialled, so that the loss of a whole zone is found in few
        rounds.
        """
        present = [one for one in entries if view.states[one] is not MemberState.GONE]
        live = view.live_entries(present)
        lost = sum(1 for entry in entries if entry in view.recently_lost)
        if not live:
            return present[: CONTACTS_WITHOUT_LIVE + 2 * lost]
        return live[: 1 + 2 * lost]

    def ring_regions(self) -> list[RegionId]:
        """Return the regions at distances 1, 2, 4, ... in both directions."""
        count = len(self.regions)
        start = self.regions.index(self.region)
        found: dict[RegionId, None] = {}
        step = 1
        while step <= count // 2:
            found[self.regions[(start + step) % count]] = None
            found[self.regions[(start - step) % count]] = None
            step *= 2
        found.pop(self.region, None)
        return list(found)
