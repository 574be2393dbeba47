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

SUCCESSORS = 2
EXTRA_SUSPECTS = 4
FIRST_CONTACTS = 3
LIVE = frozenset({MemberState.ALIVE, MemberState.LEAVING})


@final
@dataclass(frozen=True, slots=True)
class MembershipView:
    """State of every entry as one node knows it, and who failed lately.

    ``recently_lost`` holds entries that were seen alive and that are suspected now or
    were declared gone within the last minute.
    """

    states: Mapping[EntryId, MemberState]
    recently_lost: frozenset[EntryId]

    def live(self, entries: list[EntryId]) -> list[EntryId]:
        """Return the entries that are alive or leaving, in the given order."""
        return [entry for entry in entries if self.states[entry] in LIVE]


class Overlay:
    """Places of the entries, and the streams that follow from a view."""

    def __init__(self, deployment: Deployment, me: EntryId) -> None:
        self.me = me
        self.zone = deployment.entry_by_id[me].zone
        self.region = deployment.region_of[self.zone]
        self.zones: dict[ZoneId, list[EntryId]] = {}
        self.zones_of: dict[RegionId, list[ZoneId]] = {}
        for entry in sorted(deployment.entries, key=lambda one: one.id):
            self.zones.setdefault(entry.zone, []).append(entry.id)
        for zone in sorted(self.zones):
            self.zones_of.setdefault(deployment.region_of[zone], []).append(zone)
        self.regions = sorted(self.zones_of)

    def dial_targets(self, view: MembershipView) -> dict[EntryId, int]:
        """Return whom to dial, with the distance: 0 zone, 1 region, 2 beyond."""
        found: dict[EntryId, int] = {}
        ring = self.successors(view)
        if len(view.live(self.zones[self.zone])) > 2 * SUCCESSORS:
            found.update(dict.fromkeys(ring, 0))
        else:
            self.add(found, ring, 0, view)
        if self.is_relay(self.zones[self.zone], view):
            for zone in self.zones_of[self.region]:
                if zone != self.zone:
                    self.add(found, self.contacts(self.zones[zone], view), 1, view)
        if self.is_relay(self.members_of(self.region), view):
            for region in self.ring_regions():
                entries = self.members_of(region)
                self.add(found, self.contacts(entries, view), 2, view)
        return found

    def add(
        self,
        found: dict[EntryId, int],
        entries: list[EntryId],
        far: int,
        view: MembershipView,
    ) -> None:
        """Add contacts that this side has to dial: the lower id of a live pair."""
        for entry in entries:
            if self.me < entry or view.states[entry] not in LIVE:
                found.setdefault(entry, far)

    def is_relay(self, entries: list[EntryId], view: MembershipView) -> bool:
        """Return whether this node is the first live one of the entries."""
        live = view.live(entries)
        return bool(live) and live[0] == self.me

    def members_of(self, region: RegionId) -> list[EntryId]:
        """Return the entries of a region, zone by zone."""
        return [entry for zone in self.zones_of[region] for entry in self.zones[zone]]

    def successors(self, view: MembershipView) -> list[EntryId]:
        """Return the next live members on the zone's ring.

        Suspected members on the way are watched as well, so that a member
        that comes back is seen.
        """
        ring = self.zones[self.zone]
        if len(view.live(ring)) <= 2 * SUCCESSORS:
            others = [one for one in ring if one != self.me]
            return [one for one in others if view.states[one] is not MemberState.GONE]
        start = ring.index(self.me)
        found: list[EntryId] = []
        live = 0
        for entry in ring[start + 1 :] + ring[:start]:
            if view.states[entry] is MemberState.GONE:
                continue
            found.append(entry)
            live += view.states[entry] in LIVE
            if live == SUCCESSORS or len(found) == SUCCESSORS + EXTRA_SUSPECTS:
                break
        return found

    def contacts(self, entries: list[EntryId], view: MembershipView) -> list[EntryId]:
        """Return whom a relay dials in another zone or region.

        The first live member; with every member lost lately three times as
        many are dialled, so that the loss of a whole zone is found in few
        rounds.
        """
        present = [one for one in entries if view.states[one] is not MemberState.GONE]
        live = view.live(present)
        lost = sum(1 for entry in entries if entry in view.recently_lost)
        if not live:
            return present[: FIRST_CONTACTS + 2 * lost]
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
