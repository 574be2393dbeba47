"""What an entry believes of the room at one instance."""

from __future__ import annotations

import pytest

from masticdeck.coordination.instance_load import (
    MAX_REQUESTS_PER_SLOT,
    REPORT_HALF_LIFE_S,
    InstanceLoad,
    InstanceLoads,
)
from masticdeck.protocol.dialect import InstanceUse

SLOTS = 4
NOW = 1000.0


def reported(*running: int, waiting: int = 0) -> InstanceLoad:
    """Return a room after reports of so many running requests, the last one now."""
    rooms, room = InstanceLoads(), InstanceLoad(SLOTS)
    for count in running:
        rooms.record_report(room, InstanceUse(count, waiting, SLOTS), NOW)
    return room


def test_load_just_reported_counts_in_full():
    assert reported(SLOTS).estimate_requests(NOW) == SLOTS
    assert not reported(SLOTS).has_free_slot(NOW)


def test_old_report_fades_into_the_average_of_all_reports():
    room = reported(0, 0, 0, SLOTS)
    assert room.estimate_requests(NOW) == SLOTS
    half = room.estimate_requests(NOW + REPORT_HALF_LIFE_S)
    assert half == pytest.approx((SLOTS + room.mean_other_requests) / 2)
    assert room.estimate_requests(NOW + 60) == pytest.approx(room.mean_other_requests)


def test_instance_that_is_usually_full_is_not_taken_for_empty():
    room = reported(*[SLOTS] * 20)
    room.own_requests = 1
    assert not room.has_free_slot(NOW + 60)


def test_instance_that_is_usually_full_gets_one_request_to_tell_of_room():
    room = reported(*[SLOTS] * 20)
    assert not room.has_free_slot(NOW + REPORT_HALF_LIFE_S / 2)
    assert room.has_free_slot(NOW + REPORT_HALF_LIFE_S * 2)


def test_instance_that_never_reported_gets_a_part_of_its_slots():
    room = InstanceLoad(SLOTS)
    assert room.has_free_slot(NOW)
    room.own_requests = SLOTS // 2
    assert not room.has_free_slot(NOW)


def test_instance_that_turned_a_request_away_has_a_long_queue_for_a_while():
    room = InstanceLoad(SLOTS)
    InstanceLoads().record_rejection(room, NOW)
    assert not room.has_queue_capacity(NOW + 0.5)
    assert room.estimate_requests(NOW) > MAX_REQUESTS_PER_SLOT * SLOTS
    assert room.has_queue_capacity(NOW + 2.0)
