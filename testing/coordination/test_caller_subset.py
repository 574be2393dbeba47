"""Tests of the selection of the entries that callers are directed to."""

from __future__ import annotations

import pytest

from masticdeck.coordination.caller_subset import (
    MIN_SELECTED_ENTRIES,
    SELECTED_CAPACITY_FRACTION,
    capacity_per_s,
    select_by_zone,
    select_entries,
)
from masticdeck.ids import EntryId, ZoneId
from masticdeck.state.fleet import FleetEntry

SMALL = {"cpu_cores": 0.43, "link_mbps": 20.0}
LARGE = {"cpu_cores": 2.15, "link_mbps": 200.0}


def build_entry(name: str, zone: str = "a1", **size: float) -> FleetEntry:
    return FleetEntry(
        id=EntryId(name),
        zone=ZoneId(zone),
        caller_address=f"{name}:1",
        peer_host="127.0.0.1",
        peer_port=1,
        incarnation=1,
        **size,
    )


def build_zone(large: int, small: int, zone: str = "a1") -> list[FleetEntry]:
    return [
        build_entry(f"{zone}-large-{number}", zone, **LARGE) for number in range(large)
    ] + [
        build_entry(f"{zone}-small-{number}", zone, **SMALL) for number in range(small)
    ]


def select_names(entries: list[FleetEntry]) -> list[str]:
    return [entry.id for entry in select_entries(entries)]


@pytest.mark.parametrize("count", range(MIN_SELECTED_ENTRIES + 1))
def test_all_entries_of_a_small_zone_are_selected(count):
    entries = build_zone(0, count)
    assert set(select_names(entries)) == {entry.id for entry in entries}


@pytest.mark.parametrize(("large", "small"), [(3, 19), (0, 22), (1, 40), (22, 0)])
def test_selection_has_its_part_of_the_capacity_of_a_large_zone(large, small):
    entries = build_zone(large, small)
    selected = select_entries(entries)
    assert MIN_SELECTED_ENTRIES <= len(selected) <= len(entries) / 2
    assert sum(map(capacity_per_s, selected)) >= SELECTED_CAPACITY_FRACTION * sum(
        map(capacity_per_s, entries)
    )


def test_largest_vms_are_selected_first():
    names = select_names(build_zone(3, 19))
    assert names[:3] == sorted(names[:3], key=lambda name: "small" in name)
    assert sum("large" in name for name in names) == 3


def test_narrow_link_makes_a_vm_small():
    entries = [*build_zone(0, 10), build_entry("narrow", cpu_cores=2.15, link_mbps=5)]
    assert "narrow" not in select_names(entries)


def test_selection_does_not_depend_on_the_order_in_which_entries_are_known():
    entries = build_zone(2, 20)
    assert select_names(entries) == select_names(entries[::-1])


@pytest.mark.parametrize("count", [12, 23, 24, 25])
def test_selected_entries_stay_when_one_of_them_leaves(count):
    entries = build_zone(0, count)
    before = select_names(entries)
    after = select_names([entry for entry in entries if entry.id != before[0]])
    assert set(before[1:]) <= set(after)


def test_entry_that_leaves_a_small_selection_is_replaced():
    entries = build_zone(0, 3 * MIN_SELECTED_ENTRIES)
    before = select_names(entries)
    after = select_names([entry for entry in entries if entry.id != before[0]])
    assert len(before) == len(after) == MIN_SELECTED_ENTRIES


def test_equal_entries_of_many_zones_are_selected_equally_often():
    counts = dict.fromkeys(range(12), 0)
    for zone in range(200):
        entries = [build_entry(f"z{zone}-{number}", **SMALL) for number in range(12)]
        for name in select_names(entries):
            counts[int(name.rpartition("-")[2])] += 1
    assert max(counts.values()) < 2 * min(counts.values())


def test_each_zone_selects_its_own_entries():
    entries = build_zone(1, 9, "a1") + build_zone(0, 2, "b1")
    by_zone = select_by_zone(entries)
    assert set(by_zone) == {"a1", "b1"}
    assert {entry.zone for entry in by_zone[ZoneId("a1")]} == {"a1"}
    assert len(by_zone[ZoneId("b1")]) == 2
