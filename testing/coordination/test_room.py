"""What an entry believes of the room at one instance."""

from __future__ import annotations

import pytest

from masticdeck.coordination.room import (
    FULL_FACTOR,
    REPORT_HALF_LIFE_S,
    InstanceRoom,
    Rooms,
)
from masticdeck.protocol.dialect import InstanceUse

SLOTS = 4
NOW = 1000.0


def reported(*running: int, waiting: int = 0) -> InstanceRoom:
    """Return a room after reports of so many running requests, the last one now."""
    rooms, room = Rooms(), InstanceRoom(SLOTS)
    for count in running:
        rooms.report(room, InstanceUse(count, waiting, SLOTS), NOW)
    return room


def test_load_just_reported_counts_in_full():
    assert reported(SLOTS).used(NOW) == SLOTS
    assert not reported(SLOTS).has_room(NOW)


def test_old_report_fades_into_the_average_of_all_reports():
    room = reported(0, 0, 0, SLOTS)
    assert room.used(NOW) == SLOTS
    half = room.used(NOW + REPORT_HALF_LIFE_S)
    assert half == pytest.approx((SLOTS + room.usual_others) / 2)
    assert room.used(NOW + 60) == pytest.approx(room.usual_others)


def test_instance_that_is_usually_full_is_not_taken_for_empty():
    room = reported(*[SLOTS] * 20)
    room.own = 1
    assert not room.has_room(NOW + 60)


def test_instance_that_is_usually_full_gets_one_request_to_tell_of_room():
    room = reported(*[SLOTS] * 20)
    assert not room.has_room(NOW + REPORT_HALF_LIFE_S / 2)
    assert room.has_room(NOW + REPORT_HALF_LIFE_S * 2)


def test_instance_that_never_reported_gets_a_part_of_its_slots():
    room = InstanceRoom(SLOTS)
    assert room.has_room(NOW)
    room.own = SLOTS // 2
    assert not room.has_room(NOW)


def test_instance_that_turned_a_request_away_has_a_long_queue_for_a_while():
    room = InstanceRoom(SLOTS)
    Rooms().report_full(room, NOW)
    assert not room.has_queue(NOW + 0.5)
    assert room.used(NOW) > FULL_FACTOR * SLOTS
    assert room.has_queue(NOW + 2.0)
