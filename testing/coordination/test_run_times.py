"""Expected run times and the patience that follows from them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from masticdeck.coordination.run_times import (
    MAX_KEYS_PER_INSTANCE,
    MIN_SILENCE_TIMEOUT_S,
    RunTimes,
)
from masticdeck.ids import InstanceId
from masticdeck.state.routes import RouteId
from testing.coordination.test_placement import build_route

ROUTE = build_route()
ONE = InstanceId("one")
TWO = InstanceId("two")


@pytest.fixture
def runs() -> RunTimes:
    """Return times of a first run and of a run for a known object."""
    runs = RunTimes()
    runs.record_run(ROUTE, ONE, "7", 0.9)
    runs.record_run(ROUTE, ONE, "7", 0.3)
    return runs


@pytest.mark.parametrize(
    ("instance", "key", "expected"),
    [(ONE, "7", 0.3), (TWO, "7", 0.9), (ONE, "8", 0.9), (ONE, None, 0.9)],
    ids=["known", "other instance", "other key", "no key"],
)
def test_known_object_is_expected_to_run_shorter(runs, instance, key, expected):
    assert runs.expected_s(ROUTE, instance, key) == expected


def test_nothing_is_expected_of_another_route(runs):
    other = replace(ROUTE, id=RouteId("other"))
    assert runs.expected_s(other, ONE, "7") is None
    assert runs.silence_timeout_s(other, 10.0) is None


def test_oldest_key_is_forgotten(runs):
    for number in range(MAX_KEYS_PER_INSTANCE):
        runs.record_run(ROUTE, ONE, f"more-{number}", 0.9)
    assert not runs.has_answered(ROUTE, ONE, "7")


def test_new_incarnation_knows_no_key(runs):
    runs.remove(ONE)
    assert runs.expected_s(ROUTE, ONE, "7") == 0.9


def test_run_that_was_cut_late_raises_the_expectation(runs):
    runs.record_unfinished(ROUTE, TWO, "7", 0.5)
    assert runs.expected_s(ROUTE, TWO, "7") == 0.9
    runs.record_unfinished(ROUTE, TWO, "7", 1.9)
    assert runs.expected_s(ROUTE, TWO, "7") == pytest.approx(1.1)


@pytest.mark.parametrize(
    ("left_s", "patience_s"),
    [(1.2, None), (2.6, None), (3.0, 1.8)],
    ids=["shorter than a run and a half", "no time for another run", "enough"],
)
def test_patience_leaves_room_for_a_first_run_and_another_one(runs, left_s, patience_s):
    assert runs.silence_timeout_s(ROUTE, left_s) == patience_s


def test_patience_has_a_lower_bound():
    runs = RunTimes()
    runs.record_run(ROUTE, ONE, None, 0.001)
    assert runs.silence_timeout_s(ROUTE, 2.0) == MIN_SILENCE_TIMEOUT_S
