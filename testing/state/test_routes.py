"""Tests of the choice of a route by host and path."""

from __future__ import annotations

import random

import pytest

from masticdeck.ids import ServiceId, Version
from masticdeck.state.routes import (
    HostRoutes,
    Route,
    RouteId,
    RouteKind,
    RouteTable,
    ServiceWeight,
)


def build_route(prefix: str, name: str = "r") -> Route:
    return Route(
        id=RouteId(name),
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        objective_s=1.0,
        priority=0,
        services=(ServiceWeight(ServiceId("s"), 1),),
        max_attempts=1,
        sticky=False,
    )


def match(routes: HostRoutes, path: str) -> str | None:
    route = routes.match(path)
    return None if route is None else route.prefix


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/", "/a/"),
        ("/a", None),
        ("/ab/x", None),
        ("/", None),
        ("", None),
        ("/a//b/", "/a/"),
    ],
)
def test_longest_prefix_of_the_path_is_chosen(path, prefix):
    routes = HostRoutes([build_route("/a/"), build_route("/a/b/")])
    assert match(routes, path) == prefix


def test_first_of_two_routes_with_the_same_prefix_is_chosen():
    routes = HostRoutes([build_route("/a/", "one"), build_route("/a/", "two")])
    assert routes.match("/a/1").id == "one"


def test_host_without_routes_matches_nothing():
    table = RouteTable(Version(1), {"h": HostRoutes([])}, {})
    assert table.match("h", "/a/") is None
    assert table.match("other", "/a/") is None


def test_choice_is_that_of_a_search_through_all_routes():
    source = random.Random(3)
    prefixes = [
        "/" + "".join(f"{source.choice('abc')}/" for _ in range(source.randint(1, 5)))
        for _ in range(300)
    ]
    routes = HostRoutes(map(build_route, prefixes))
    for _ in range(500):
        path = "/" + "".join(source.choice("abc/") for _ in range(12))
        expected = max(filter(path.startswith, prefixes), key=len, default=None)
        assert match(routes, path) == expected


def test_look_up_costs_the_same_with_many_routes_and_with_few():
    many = HostRoutes(build_route(f"/r{number:04}/x/") for number in range(2000))
    assert len(many.prefix_lengths) == 1
    assert match(many, "/r1234/x/1") == "/r1234/x/"
