"""Concurrency limits learnt from outcomes, and ejection with its cap."""

from __future__ import annotations

import pytest

from masticdeck.coordination.health import MAX_EJECTED_FRACTION, Health
from masticdeck.coordination.limits import Limits
from masticdeck.ids import InstanceId, ServiceId, ZoneId
from masticdeck.state.deployment import Instance

SERVICE = ServiceId("katalogs")


def instances(count=9):
    return tuple(
        Instance(
            id=InstanceId(f"katalogs-{number}"),
            service=SERVICE,
            zone=ZoneId("vidzeme-a"),
            host="127.0.0.1",
            port=1000 + number,
            slots=4,
            connections=330,
        )
        for number in range(count)
    )


def limits(seed=1):
    ones = instances()
    return Limits(ones, dict.fromkeys((one.id for one in ones), 0.1), seed=seed)


def test_shed_answers_lower_the_limit_and_answers_raise_it():
    found = limits()
    one = instances()[0].id
    found.shed(one, 0.0)
    lowered = found.by_instance[one].limit
    assert lowered < 4
    found.answered(one, 0.1, 1.0)
    assert found.by_instance[one].limit > lowered


def test_entries_do_not_return_to_a_shedding_instance_together():
    one = instances()[0].id
    ends = set()
    for seed in range(10):
        found = limits(seed)
        found.shed(one, 0.0)
        ends.add(found.by_instance[one].paused_until)
    assert len(ends) == 10
    assert max(ends) > 1.5 * min(ends)


def test_limit_below_one_becomes_a_pause():
    found = limits()
    one = instances()[0].id
    for _ in range(8):
        found.shed(one, 0.0)
    found.taken(one)
    found.returned(one, 100.0)
    assert not found.by_instance[one].allows(100.0)
    assert found.by_instance[one].allows(110.0)


def test_returned_instance_ramps_up_from_one_request():
    found = limits()
    one = instances()[0].id
    found.restart(one)
    sizes = [found.by_instance[one].limit]
    for _ in range(3):
        found.answered(one, 0.1, 0.0)
        sizes.append(found.by_instance[one].limit)
    assert sizes == [1.0, 2.0, 4.0, 4.0]


def test_load_endpoint_that_says_idle_while_work_is_shed_loses_trust():
    found = limits()
    one = instances()[0].id
    found.hear(one, 0.0)
    for _ in range(5):
        found.shed(one, 0.0)
    assert found.by_instance[one].trust < 0.05
    assert found.by_instance[one].limit < 1.0


def test_slow_instance_is_tried_again_after_a_while():
    found = limits()
    one = instances()[0].id
    for _ in range(20):
        found.answered(one, 1.0, 0.0)
    assert found.by_instance[one].expected_s(0.0) > 0.9
    assert found.by_instance[one].expected_s(60.0) < 0.2


def test_ejection_never_takes_more_than_the_cap():
    ones = instances(9)
    health = Health(ones, seed=1)
    for one in ones:
        for _ in range(5):
            health.record_failure(one.id, 0.0, unreachable=False)
    allowed = [one for one in ones if health.allows(one.id, 0, 0.1)]
    assert len(allowed) >= (1 - MAX_EJECTED_FRACTION) * len(ones)
    assert len(allowed) < len(ones)


def test_ejected_instances_return_at_different_times_one_request_at_a_time():
    ones = instances(9)
    health = Health(ones, seed=1)
    for one in ones:
        health.record_failure(one.id, 0.0, unreachable=True)
    ends = {state.ejected_until for state in health.by_instance.values()}
    assert len(ends) == 9
    assert health.allows(ones[0].id, 0, 9.0)
    assert not health.allows(ones[0].id, 1, 9.0)
    assert health.record_success(ones[0].id)
    assert health.allows(ones[0].id, 1, 9.0)


@pytest.mark.parametrize(
    ("failures", "ejected"), [(2, False), (3, True)], ids=["two", "three"]
)
def test_single_failures_eject_nothing(failures, ejected):
    ones = instances(9)
    health = Health(ones, seed=1)
    for _ in range(failures):
        health.record_failure(ones[0].id, 0.0, unreachable=False)
    assert health.allows(ones[0].id, 0, 0.1) is not ejected


def test_urgent_work_leaves_trials_to_work_that_can_wait():
    one = instances()[0].id
    health = Health(instances(), seed=1)
    health.record_failure(one, 0.0, unreachable=True)
    assert health.allows(one, 0, 2.0)
    assert not health.allows(one, 0, 2.0, urgent=True)
    assert health.allows(one, 0, 20.0, urgent=True)


def test_shed_answer_lowers_the_limit_below_what_is_in_use():
    found = limits()
    one = instances()[0].id
    found.taken(one)
    found.shed(one, 0.0)
    assert found.by_instance[one].limit < 1.0
