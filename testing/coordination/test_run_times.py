"""Tests of expected run times and of the silence timeout derived from them."""

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
FIRST = InstanceId("one")
SECOND = InstanceId("two")


@pytest.fixture
def run_times() -> RunTimes:
    """Return run times of a first run and of a later one for the same key."""
    run_times = RunTimes()
    run_times.record_run(ROUTE, FIRST, "7", 0.9)
    run_times.record_run(ROUTE, FIRST, "7", 0.3)
    return run_times


@pytest.mark.parametrize(
    ("instance", "key", "expected"),
    [(FIRST, "7", 0.3), (SECOND, "7", 0.9), (FIRST, "8", 0.9), (FIRST, None, 0.9)],
    ids=["known", "other instance", "other key", "no key"],
)
def test_later_run_for_a_key_is_expected_to_be_shorter(
    run_times, instance, key, expected
):
    assert run_times.expected_s(ROUTE, instance, key) == expected


def test_other_route_has_no_expected_run_time(run_times):
    other_route = replace(ROUTE, id=RouteId("other"))
    assert run_times.expected_s(other_route, FIRST, "7") is None
    assert run_times.silence_timeout_s(other_route, 10.0) is None


def test_oldest_key_is_removed(run_times):
    for number in range(MAX_KEYS_PER_INSTANCE):
        run_times.record_run(ROUTE, FIRST, f"more-{number}", 0.9)
    assert not run_times.has_answered(ROUTE, FIRST, "7")


def test_new_incarnation_has_answered_no_key(run_times):
    run_times.remove(FIRST)
    assert run_times.expected_s(ROUTE, FIRST, "7") == 0.9


def test_run_cancelled_after_the_expected_time_raises_the_expectation(run_times):
    run_times.record_unfinished(ROUTE, SECOND, "7", 0.5)
    assert run_times.expected_s(ROUTE, SECOND, "7") == 0.9
    run_times.record_unfinished(ROUTE, SECOND, "7", 1.9)
    assert run_times.expected_s(ROUTE, SECOND, "7") == pytest.approx(1.1)


@pytest.mark.parametrize(
    ("remaining_s", "timeout_s"),
    [(1.2, None), (2.6, None), (3.0, 1.8)],
    ids=["too short for the silence timeout", "no time for another run", "enough"],
)
def test_silence_timeout_leaves_time_for_another_run(run_times, remaining_s, timeout_s):
    assert run_times.silence_timeout_s(ROUTE, remaining_s) == timeout_s


def test_silence_timeout_has_a_minimum():
    run_times = RunTimes()
    run_times.record_run(ROUTE, FIRST, None, 0.001)
    assert run_times.silence_timeout_s(ROUTE, 2.0) == MIN_SILENCE_TIMEOUT_S
