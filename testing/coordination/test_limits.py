"""Tests of adaptive concurrency limits and of the ejection of instances."""

from __future__ import annotations

import pytest

from masticdeck.coordination.health import MAX_EJECTED_FRACTION, Health
from masticdeck.coordination.limits import ConcurrencyLimits
from masticdeck.ids import InstanceId, ServiceId, ZoneId
from masticdeck.state.deployment import Instance

SERVICE = ServiceId("katalogs")


def make_instances(count=9):
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


def make_limits(seed=1):
    instances = make_instances()
    return ConcurrencyLimits(
        instances, dict.fromkeys((item.id for item in instances), 0.1), seed=seed
    )


def test_sheds_lower_the_limit_and_responses_raise_it():
    limits = make_limits()
    instance = make_instances()[0].id
    limits.record_shed(instance, 0.0)
    lowered_limit = limits.by_instance[instance].limit
    assert lowered_limit < 4
    limits.record_response(instance, 0.1, 1.0)
    assert limits.by_instance[instance].limit > lowered_limit


def test_pause_after_a_shed_is_random():
    """With equal pauses, all entries would resume at once and overload it again."""
    instance = make_instances()[0].id
    pause_ends = set()
    for seed in range(10):
        limits = make_limits(seed)
        limits.record_shed(instance, 0.0)
        pause_ends.add(limits.by_instance[instance].paused_until)
    assert len(pause_ends) == 10
    assert max(pause_ends) > 1.5 * min(pause_ends)


def test_limit_below_one_pauses_the_instance_between_requests():
    limits = make_limits()
    instance = make_instances()[0].id
    for _ in range(8):
        limits.record_shed(instance, 0.0)
    limits.record_start(instance)
    limits.record_end(instance, 100.0)
    assert not limits.by_instance[instance].allows_request(100.0)
    assert limits.by_instance[instance].allows_request(110.0)


def test_limit_of_a_returning_instance_doubles_from_one():
    limits = make_limits()
    instance = make_instances()[0].id
    limits.start_ramp_up(instance)
    limit_history = [limits.by_instance[instance].limit]
    for _ in range(3):
        limits.record_response(instance, 0.1, 0.0)
        limit_history.append(limits.by_instance[instance].limit)
    assert limit_history == [1.0, 2.0, 4.0, 4.0]


def test_instance_that_sheds_while_reporting_idle_loses_load_trust():
    limits = make_limits()
    instance = make_instances()[0].id
    limits.record_load(instance, 0.0)
    for _ in range(5):
        limits.record_shed(instance, 0.0)
    assert limits.by_instance[instance].load_trust < 0.05
    assert limits.by_instance[instance].limit < 1.0


def test_latency_estimate_of_a_slow_instance_decays_to_nominal():
    limits = make_limits()
    instance = make_instances()[0].id
    for _ in range(20):
        limits.record_response(instance, 1.0, 0.0)
    assert limits.by_instance[instance].expected_latency_s(0.0) > 0.9
    assert limits.by_instance[instance].expected_latency_s(60.0) < 0.2


def test_ejections_never_exceed_the_cap():
    instances = make_instances(9)
    health = Health(instances, seed=1)
    for instance in instances:
        for _ in range(5):
            health.record_failure(instance.id, 0.0, unreachable=False)
    allowed = [item for item in instances if health.allows(item.id, 0, 0.1)]
    assert len(allowed) >= (1 - MAX_EJECTED_FRACTION) * len(instances)
    assert len(allowed) < len(instances)


def test_ejected_instances_return_at_different_times_with_one_trial_request():
    instances = make_instances(9)
    health = Health(instances, seed=1)
    for instance in instances:
        health.record_failure(instance.id, 0.0, unreachable=True)
    ejection_ends = {state.ejected_until for state in health.by_instance.values()}
    assert len(ejection_ends) == 9
    assert health.allows(instances[0].id, 0, 9.0)
    assert not health.allows(instances[0].id, 1, 9.0)
    assert health.record_success(instances[0].id)
    assert health.allows(instances[0].id, 1, 9.0)


@pytest.mark.parametrize(
    ("failures", "ejected"), [(2, False), (3, True)], ids=["two", "three"]
)
def test_only_consecutive_failures_eject_an_instance(failures, ejected):
    instances = make_instances(9)
    health = Health(instances, seed=1)
    for _ in range(failures):
        health.record_failure(instances[0].id, 0.0, unreachable=False)
    assert health.allows(instances[0].id, 0, 0.1) is not ejected


def test_trial_requests_are_left_to_non_urgent_calls_at_first():
    instance = make_instances()[0].id
    health = Health(make_instances(), seed=1)
    health.record_failure(instance, 0.0, unreachable=True)
    assert health.allows(instance, 0, 2.0)
    assert not health.allows(instance, 0, 2.0, urgent=True)
    assert health.allows(instance, 0, 20.0, urgent=True)


def test_shed_lowers_the_limit_below_the_requests_in_flight():
    """A limit above the requests in flight would not reduce the instance's load."""
    limits = make_limits()
    instance = make_instances()[0].id
    limits.record_start(instance)
    limits.record_shed(instance, 0.0)
    assert limits.by_instance[instance].limit < 1.0
