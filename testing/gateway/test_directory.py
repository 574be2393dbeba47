"""Tests of the answers to callers that ask where to connect."""

from __future__ import annotations

import pytest

from masticdeck.clock import HybridClock
from masticdeck.coordination.caller_subset import select_entries
from masticdeck.events import EventLog
from masticdeck.gateway.directory import MAX_ADDRESSES, Directory
from masticdeck.ids import RegionId, ZoneId
from masticdeck.state.fleet import Fleet, FleetEntry
from testing.coordination.test_caller_subset import build_entry, build_zone

REGION_OF = {
    ZoneId("a1"): RegionId("a"),
    ZoneId("a2"): RegionId("a"),
    ZoneId("b1"): RegionId("b"),
}
SMALL_ZONE = 19
LARGE = 3


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(dict(REGION_OF))
    for zone in REGION_OF:
        for entry in build_zone(LARGE, SMALL_ZONE, zone):
            fleet.put_entry(entry)
    return fleet


def build_directory(fleet: Fleet, own: FleetEntry) -> Directory:
    return Directory(fleet, own, EventLog("own", HybridClock()))


def directory_of(fleet: Fleet, name: str) -> Directory:
    return build_directory(
        fleet, next(e for e in fleet.entries.values() if e.id == name)
    )


def resolve(directory: Directory, zone: str = "a1", region: str = "a") -> set[str]:
    return set(directory.resolve(ZoneId(zone), RegionId(region)))


def remove_zone(fleet: Fleet, zone: str) -> None:
    for entry in list(fleet.entries.values()):
        if entry.zone == zone:
            fleet.remove_entry(entry.id)


def test_all_entries_direct_callers_of_a_zone_to_the_same_few(fleet):
    answers = {
        frozenset(resolve(build_directory(fleet, own)))
        for own in fleet.entries.values()
    }
    [addresses] = answers
    assert len(addresses) < (LARGE + SMALL_ZONE) / 2
    assert all(address.startswith("a1-") for address in addresses)


def test_callers_of_a_zone_without_entries_use_those_of_its_region(fleet):
    directory = directory_of(fleet, "b1-large-0")
    own_addresses = resolve(directory, "a2")
    remove_zone(fleet, "a1")
    assert resolve(directory) == own_addresses


def test_callers_of_a_lost_region_are_directed_to_the_others(fleet):
    directory = directory_of(fleet, "b1-large-0")
    remove_zone(fleet, "a1")
    remove_zone(fleet, "a2")
    assert all(address.startswith("b1-") for address in resolve(directory))
    assert resolve(directory)


def test_leaving_entry_is_replaced_in_its_own_answers(fleet):
    directory = directory_of(fleet, "a1-large-0")
    before = resolve(directory)
    assert "a1-large-0:1" in before
    directory.leaving = True
    after = resolve(directory)
    assert "a1-large-0:1" not in after
    assert before - {"a1-large-0:1"} < after


def test_removed_entry_is_replaced_in_the_next_answer(fleet):
    directory = directory_of(fleet, "b1-large-0")
    assert "a1-large-1:1" in resolve(directory)
    fleet.remove_entry(next(name for name in fleet.entries if name == "a1-large-1"))
    after = resolve(directory)
    assert "a1-large-1:1" not in after
    assert len(after) >= LARGE


def test_shares_of_common_limits_add_up_to_one_over_the_selected_entries(fleet):
    selected = [
        entry
        for zone in REGION_OF
        for entry in select_entries(
            [entry for entry in fleet.entries.values() if entry.zone == zone]
        )
    ]
    shares = [1 / build_directory(fleet, own).count_selected() for own in selected]
    assert sum(shares) == pytest.approx(1.0)


def test_entry_that_is_not_selected_counts_itself(fleet):
    names = {entry.id for entry in select_entries(build_zone(LARGE, SMALL_ZONE))}
    selected = directory_of(fleet, next(iter(names)))
    other = directory_of(
        fleet,
        next(
            entry.id
            for entry in fleet.entries.values()
            if entry.zone == "a1" and entry.id not in names
        ),
    )
    assert other.count_selected() == selected.count_selected() + 1


def test_answer_is_bounded(fleet):
    for number in range(400):
        fleet.put_entry(build_entry(f"a1-more-{number}", "a1"))
    assert len(resolve(directory_of(fleet, "a1-large-0"))) == MAX_ADDRESSES


def test_entry_answers_for_itself_before_its_record_is_seen():
    own = build_entry("own", "a1")
    assert resolve(build_directory(Fleet(dict(REGION_OF)), own)) == {"own:1"}
