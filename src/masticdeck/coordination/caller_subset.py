"""Selects the few entries that callers of an availability zone are directed to.

If callers spread over all entries of a large fleet, each entry gets so few requests
that most of them need a new connection to their instance, and that its load reports
are outdated when the next decision depends on them. The directory therefore names
only a part of a zone's entries. The entries with the largest VMs come first, and
equal ones are ordered by a hash, so that all entries with the same view name the
same ones without coordination. The others are ready: one that leaves or fails is
replaced as soon as its record is gone.

Source: deterministic subsetting as in Beyer et al., "Site Reliability Engineering",
chapter 20, 2016, here with unequal VMs and by callers' zone.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from masticdeck.ids import EntryId, ZoneId
from masticdeck.state.fleet import FleetEntry

CPU_S_PER_REQUEST = 0.0015
"""Processor time that an entry needs for a request, in seconds of a whole core."""

LINK_MBIT_PER_REQUEST = 0.06
"""Mean size of a request and its response, in Mbit; a few are large files."""

MIN_SELECTED_ENTRIES = 4
"""Entries of a zone that are always named; some may fail at the same moment."""

SELECTED_CAPACITY_FRACTION = 1 / 3
"""Fraction of a zone's capacity that the selected entries have at least.

It bears a multiple of the usual load, so the selection need not follow the load.
"""


def capacity_per_s(entry: FleetEntry) -> float:
    """Return the requests per second that an entry's VM can forward."""
    return min(
        entry.cpu_cores / CPU_S_PER_REQUEST, entry.link_mbps / LINK_MBIT_PER_REQUEST
    )


def capacity_rank(entry: FleetEntry) -> tuple[float, int]:
    """Return the key that orders entries, the one with the largest VM first.

    Entries on equal VMs are ordered by a hash, so that each of them comes first in
    some fleets.
    """
    return -capacity_per_s(entry), xxhash.xxh64_intdigest(entry.id.encode())


def select_entries(entries: Iterable[FleetEntry]) -> list[FleetEntry]:
    """Return the entries of one zone that its callers are directed to."""
    ranked_entries = sorted(entries, key=capacity_rank)
    wanted_capacity = SELECTED_CAPACITY_FRACTION * sum(
        capacity_per_s(entry) for entry in ranked_entries
    )
    selected: list[FleetEntry] = []
    selected_capacity = 0.0
    for entry in ranked_entries:
        if (
            len(selected) >= MIN_SELECTED_ENTRIES
            and selected_capacity >= wanted_capacity
        ):
            break
        selected.append(entry)
        selected_capacity += capacity_per_s(entry)
    return selected


def select_by_zone(
    entries: Iterable[FleetEntry],
) -> dict[ZoneId, list[FleetEntry]]:
    """Return the selected entries of each zone that has any."""
    by_zone: dict[ZoneId, dict[EntryId, FleetEntry]] = {}
    for entry in entries:
        by_zone.setdefault(entry.zone, {})[entry.id] = entry
    return {
        zone: select_entries(zone_entries.values())
        for zone, zone_entries in by_zone.items()
    }
