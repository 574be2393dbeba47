"""Which instances may serve a request, without a network."""

from __future__ import annotations

from collections import Counter

import pytest

from masticdeck.coordination.placement import COPIES, Placement
from masticdeck.ids import InstanceId, RegionId, ServiceId, ZoneId
from masticdeck.state.fleet import Fleet, FleetInstance, InstanceState
from masticdeck.state.routes import Route, RouteId, RouteKind, ServiceWeight

SERVICE = ServiceId("s")
REGION_OF = {
    ZoneId("a1"): RegionId("a"),
    ZoneId("a2"): RegionId("a"),
    ZoneId("b1"): RegionId("b"),
    ZoneId("b2"): RegionId("b"),
}


def build_route(kind: RouteKind = RouteKind.SAFE, *, sticky: bool = True, homes=()):
    return Route(
        id=RouteId("r"),
        prefix="/r/",
        kind=kind,
        timeout_s=2.0,
        objective_s=1.0,
        priority=1,
        services=(ServiceWeight(SERVICE, 1),),
        max_attempts=2,
        sticky=sticky,
        home_regions=frozenset(homes),
    )


def instance(name: str, zone: str, **fields) -> FleetInstance:
    values = {
        "id": InstanceId(name),
        "service": SERVICE,
        "host": "127.0.0.1",
        "port": 1,
        "zone": ZoneId(zone),
        "slots": 4,
        "state": InstanceState.READY,
        "born_ms": 1,
    }
    return FleetInstance(**{**values, **fields})


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet(dict(REGION_OF))
    for zone in REGION_OF:
        for number in range(3):
            fleet.put_instance(instance(f"{zone}-{number}", zone))
    return fleet


def place(fleet: Fleet, zone: str, route: Route, key: str | None) -> list[str]:
    placement = Placement(fleet, zone=ZoneId(zone))
    found = placement.candidates(route, SERVICE, key, lambda one: True)
    return [one.id for one in found]


def test_every_entry_gives_a_key_the_same_instances(fleet):
    for key in map(str, range(50)):
        places = {tuple(place(fleet, zone, build_route(), key)) for zone in REGION_OF}
        assert len(places) == 1
        assert len(places.pop()) == COPIES


def test_keys_spread_over_the_instances(fleet):
    counts = Counter(
        place(fleet, "a1", build_route(), str(key))[0] for key in range(1200)
    )
    assert len(counts) == 12
    assert max(counts.values()) < 2 * min(counts.values())


def test_only_the_keys_of_a_leaving_instance_move(fleet):
    before = {key: place(fleet, "a1", build_route(), str(key)) for key in range(300)}
    fleet.remove_instance(InstanceId("b1-0"))
    for key, instances in before.items():
        kept = [one for one in instances if one != "b1-0"]
        assert place(fleet, "a1", build_route(), str(key))[: len(kept)] == kept


def test_large_answers_come_from_the_own_zone_only(fleet):
    route = build_route(RouteKind.DOWNLOAD)
    for key in map(str, range(50)):
        assert all(one.startswith("a2-") for one in place(fleet, "a2", route, key))


def test_large_answers_come_from_the_region_when_the_zone_has_none(fleet):
    fleet.begin_evacuation(ZoneId("a2"))
    route = build_route(RouteKind.DOWNLOAD)
    for key in map(str, range(50)):
        assert all(one.startswith("a1-") for one in place(fleet, "a2", route, key))


def test_requests_without_a_key_go_to_the_nearest_first(fleet):
    found = place(fleet, "a1", build_route(sticky=False), None)
    assert [one[:2] for one in found] == ["a1"] * 3 + ["a2"] * 3 + ["b1"] * 3 + [
        "b2"
    ] * 3 or {one[:1] for one in found[6:]} == {"b"}
    assert {one[:2] for one in found[:3]} == {"a1"}


@pytest.mark.parametrize("key", [None, "7"])
def test_home_regions_bind(fleet, key):
    found = place(fleet, "a1", build_route(homes=["b"]), key)
    assert found
    assert all(one.startswith("b") for one in found)


@pytest.mark.parametrize("key", [None, "7"])
def test_draining_and_evacuated_instances_are_left_out(fleet, key):
    fleet.begin_evacuation(ZoneId("a1"))
    for number in range(3):
        name = f"a2-{number}"
        fleet.put_instance(instance(name, "a2", state=InstanceState.DRAINING))
    found = place(fleet, "a1", build_route(), key)
    assert all(one.startswith("b") for one in found)


def test_instance_in_a_zone_without_a_region_is_left_out(fleet):
    fleet.put_instance(instance("x", "nowhere"))
    assert "x" not in place(fleet, "a1", build_route(sticky=False), None)


def test_request_in_a_hurry_takes_the_nearer_of_its_two_instances(fleet):
    placement = Placement(fleet, zone=ZoneId("a1"))
    far = fleet.instances[InstanceId("b1-0")]
    placement.learn_trip(far, 0.5)
    for key in map(str, range(50)):
        found = placement.candidates(build_route(), SERVICE, key, lambda one: True)
        assert {one.id for one in found} == set(place(fleet, "a1", build_route(), key))
        assert placement.distance(found[0]) <= placement.distance(found[1])
