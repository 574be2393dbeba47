"""Tests of the load that an entry estimates for an instance."""

from __future__ import annotations

import pytest

from masticdeck.coordination.instance_load import (
    MAX_QUEUED_REQUESTS,
    MAX_REPORT_HALF_LIFE_S,
    MAX_REQUESTS_PER_SLOT,
    REPORT_HALF_LIFE_RUNS,
    SLOWDOWN_HALF_LIFE_S,
    InstanceLoad,
    InstanceLoads,
)
from masticdeck.protocol.dialect import InstanceUse

SLOTS = 4
FULL = SLOTS + MAX_QUEUED_REQUESTS
NOW = 1000.0


def build_reported_load(*running: int, waiting: int = 0) -> InstanceLoad:
    """Return a load after reports of these numbers of running requests."""
    loads, load = InstanceLoads(), InstanceLoad(SLOTS)
    for count in running:
        loads.record_report(load, InstanceUse(count, waiting, SLOTS), NOW)
    return load


def test_recent_report_has_full_weight():
    assert build_reported_load(FULL).estimate_requests(NOW) == FULL
    assert not build_reported_load(FULL).has_free_slot(NOW)


def test_instance_with_an_empty_queue_gets_one_request_for_it():
    assert build_reported_load(FULL - 1).has_free_slot(NOW)
    assert not build_reported_load(SLOTS, waiting=MAX_QUEUED_REQUESTS).has_free_slot(
        NOW
    )


def test_estimate_moves_from_an_old_report_to_the_average_of_all():
    load = build_reported_load(0, 0, 0, SLOTS)
    assert load.estimate_requests(NOW) == SLOTS
    half = load.estimate_requests(NOW + MAX_REPORT_HALF_LIFE_S)
    assert half == pytest.approx((SLOTS + load.mean_other_requests) / 2)
    assert load.estimate_requests(NOW + 60) == pytest.approx(load.mean_other_requests)


def test_instance_that_is_usually_full_is_not_considered_empty():
    load = build_reported_load(*[FULL] * 20)
    load.own_requests = 1
    assert not load.has_free_slot(NOW + 60)


def test_instance_that_is_usually_full_gets_one_request_when_its_report_is_outdated():
    load = build_reported_load(*[FULL] * 20)
    assert not load.has_free_slot(NOW + MAX_REPORT_HALF_LIFE_S / 2)
    assert load.has_free_slot(NOW + MAX_REPORT_HALF_LIFE_S * 2)


def test_report_of_an_instance_with_short_runs_is_outdated_sooner():
    load = build_reported_load(0, 0, 0, SLOTS)
    load.mean_latency_s = 0.2
    half = load.estimate_requests(NOW + REPORT_HALF_LIFE_RUNS * 0.2)
    assert half == pytest.approx((SLOTS + load.mean_other_requests) / 2)


def test_report_of_an_instance_with_long_runs_keeps_the_longest_half_life():
    load = build_reported_load(0, 0, 0, SLOTS)
    load.mean_latency_s = 60.0
    half = load.estimate_requests(NOW + MAX_REPORT_HALF_LIFE_S)
    assert half == pytest.approx((SLOTS + load.mean_other_requests) / 2)


def test_reported_slowdown_fades():
    loads, load = InstanceLoads(), InstanceLoad(SLOTS)
    loads.record_report(load, InstanceUse(1, 0, SLOTS, slowdown=3.0), NOW)
    assert load.estimate_slowdown(NOW) == 3.0
    assert load.estimate_slowdown(NOW + SLOWDOWN_HALF_LIFE_S) == pytest.approx(2.0)
    assert load.estimate_slowdown(NOW + 60) == pytest.approx(1.0)


def test_rejection_does_not_renew_an_old_slowdown():
    loads, load = InstanceLoads(), InstanceLoad(SLOTS)
    loads.record_report(load, InstanceUse(1, 0, SLOTS, slowdown=3.0), NOW)
    loads.record_rejection(load, NOW + 60)
    assert load.estimate_slowdown(NOW + 60) == pytest.approx(1.0)


def test_instance_without_reports_gets_a_fraction_of_its_slots():
    load = InstanceLoad(SLOTS)
    assert load.has_free_slot(NOW)
    load.own_requests = SLOTS // 2
    assert not load.has_free_slot(NOW)


def test_instance_that_rejected_a_request_has_a_long_queue_for_a_while():
    load = InstanceLoad(SLOTS)
    InstanceLoads().record_rejection(load, NOW)
    assert not load.has_queue_capacity(NOW + 0.5)
    assert load.estimate_requests(NOW) > MAX_REQUESTS_PER_SLOT * SLOTS
    assert load.has_queue_capacity(NOW + 2.0)
