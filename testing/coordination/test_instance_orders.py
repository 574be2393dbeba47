"""Tests of the kept orders of a service's instances, against a full sort."""

from __future__ import annotations

import random
import tracemalloc
from itertools import islice

import pytest
import xxhash

from masticdeck.coordination import instance_orders
from masticdeck.coordination.instance_orders import (
    KEPT_INSTANCES,
    MAX_PENDING_CHANGES,
    RecentOrders,
    ServiceOrders,
    rendezvous_weight,
)
from masticdeck.ids import InstanceId, ServiceId, ZoneId
from masticdeck.state.fleet import Fleet
from testing.coordination.test_placement import REGION_OF, SERVICE, build_instance

ZONES = list(REGION_OF)
KEYS = [str(number) for number in range(12)]


def rank_zone(preferred: str, instance) -> int:
    return int(instance.zone != preferred)


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(dict(REGION_OF))
    for number in range(60):
        fleet.put_instance(build_instance(f"i{number}", ZONES[number % len(ZONES)]))
    return fleet


@pytest.fixture
def orders(fleet) -> ServiceOrders[str]:
    return ServiceOrders(fleet, SERVICE, rank_zone)


def sort_all(fleet: Fleet, key: str, area: str) -> list[str]:
    return [
        instance.id
        for instance in sorted(
            fleet.in_service(SERVICE),
            key=lambda instance: (
                rank_zone(area, instance),
                -rendezvous_weight(key, instance.id),
            ),
        )
    ]


def list_ids(orders: ServiceOrders[str], key: str, area: str = "a1") -> list[str]:
    return [instance.id for instance in orders.iterate(key, area)]


@pytest.mark.parametrize("area", ["a1", "b2", "nowhere"])
def test_order_is_that_of_a_full_sort(fleet, orders, area):
    for key in KEYS:
        assert list_ids(orders, key, area) == sort_all(fleet, key, area)


@pytest.mark.parametrize("seed", range(6))
def test_order_stays_that_of_a_full_sort_while_the_fleet_changes(fleet, orders, seed):
    source = random.Random(seed)
    for step in range(3 * MAX_PENDING_CHANGES):
        if source.random() < 0.5 and len(fleet.instances) > 3:
            fleet.remove_instance(source.choice(list(fleet.instances)))
        elif source.random() < 0.2 and fleet.instances:
            moved = source.choice(list(fleet.instances))
            fleet.put_instance(build_instance(moved, source.choice(ZONES)))
        else:
            fleet.put_instance(build_instance(f"n{step}", source.choice(ZONES)))
        if source.random() < 0.05:
            zone = ZoneId(source.choice(ZONES))
            fleet.begin_evacuation(zone)
            list_ids(orders, "x")
            fleet.end_evacuation(zone, cold_until=0.0)
        key = source.choice(KEYS)
        assert list_ids(orders, key) == sort_all(fleet, key, "a1")


def test_changed_record_of_an_instance_is_returned_in_its_place(fleet, orders):
    first_id = list_ids(orders, "7")[0]
    zone = fleet.instances[InstanceId(first_id)].zone
    fleet.put_instance(build_instance(first_id, zone, slots=9))
    assert next(orders.iterate("7", "a1")).slots == 9


def test_first_instances_of_a_known_key_take_no_hash_when_another_one_leaves(
    fleet, orders, monkeypatch
):
    keys_before = {key: list(islice(orders.iterate(key, "a1"), 2)) for key in KEYS}
    hashed: list[str] = []
    original = rendezvous_weight
    monkeypatch.setattr(
        instance_orders,
        "rendezvous_weight",
        lambda key, instance: hashed.append(instance) or original(key, instance),
    )
    fleet.remove_instance(InstanceId("i5"))
    for key, instances in keys_before.items():
        after = list(islice(orders.iterate(key, "a1"), 2))
        assert after[0] == next(i for i in instances if i.id != "i5")
    assert not hashed
    fleet.put_instance(build_instance("new", "a1"))
    for key in KEYS:
        next(orders.iterate(key, "a1"))
    assert set(hashed) == {"new"}


def test_kept_order_is_bounded(fleet, orders):
    for number in range(60):
        fleet.put_instance(build_instance(f"more{number}", "a1"))
        next(orders.iterate("7", "a1"))
        [order] = orders.kept.values()
        assert len(order.positions) <= 2 * KEPT_INSTANCES


def test_orders_of_many_keys_take_a_bounded_amount_of_memory(fleet, monkeypatch):
    """Guards against an entry that runs out of memory over ordinary requests."""
    monkeypatch.setattr(instance_orders, "MAX_KEPT_ORDERS", 300)
    recent = RecentOrders()
    services = [
        ServiceOrders(fleet, SERVICE, rank_zone, recent),
        ServiceOrders(fleet, ServiceId("other"), rank_zone, recent),
    ]
    tracemalloc.start()
    try:
        sizes = []
        for number in range(3_000):
            for orders in services:
                next(orders.iterate(f"{number}-{'x' * 5_000}", "a1"), None)
                next(orders.iterate("often", "a1"), None)
            if number >= 300:
                sizes.append(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()
    assert sum(len(orders.kept) for orders in services) == 300
    assert max(sizes) < 300 * 5_000
    assert all(
        (xxhash.xxh3_128_intdigest(b"often"), "a1") in orders.kept
        for orders in services
    )


def test_service_without_instances_has_an_empty_order():
    assert list_ids(ServiceOrders(Fleet({}), SERVICE, rank_zone), "7") == []
