"""Measures what single decisions of an entry cost as the fleet grows.

Run with ``make decision-costs``. Times are processor time for one call in
microseconds, the smallest of several rounds.
"""

from __future__ import annotations

import json
import time
import zlib
from collections.abc import Callable

from masticdeck.coordination.feed_peers import COMPRESSION_LEVEL
from masticdeck.coordination.placement import Placement
from masticdeck.ids import InstanceId, RegionId, ServiceId, ZoneId
from masticdeck.platform.records import PlatformRecords
from masticdeck.state.fleet import Fleet, FleetInstance, InstanceState
from masticdeck.state.routes import (
    HostRoutes,
    Route,
    RouteId,
    RouteKind,
    ServiceWeight,
)

SIZES = (50, 250, 1000)
"""Instances of a service, or routes of a host."""

CONFIGURATION_ROUTES = 2000
KEYS = 70
ROUNDS = 7
SERVICE = ServiceId("s")
REGION_OF = {
    ZoneId(f"{region}{number}"): RegionId(region)
    for region in "abc"
    for number in range(3)
}
ZONES = list(REGION_OF)


def measure(action: Callable[[], object], calls: int) -> float:
    """Return the microseconds of processor time that one of ``calls`` takes."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        action()
        best = min(best, time.process_time() - started)
    return best / calls * 1e6


def build_route(prefix: str = "/r/") -> Route:
    """Return a route for requests with keys."""
    return Route(
        id=RouteId(prefix),
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        objective_s=1.0,
        priority=0,
        services=(ServiceWeight(SERVICE, 1),),
        max_attempts=2,
        sticky=True,
    )


def put_instance(fleet: Fleet, number: int) -> None:
    """Add an instance to a fleet."""
    fleet.put_instance(
        FleetInstance(
            id=InstanceId(f"i{number}"),
            service=SERVICE,
            host="127.0.0.1",
            port=1,
            zone=ZONES[number % len(ZONES)],
            slots=4,
            state=InstanceState.READY,
            born_ms=1,
        )
    )


def measure_choice(size: int, *, changes: bool) -> float:
    """Return the cost of the candidates for a key, with a change before each round."""
    fleet = Fleet(dict(REGION_OF))
    for number in range(size):
        put_instance(fleet, number)
    placement = Placement(fleet, zone=ZONES[0])
    route = build_route()
    keys = [str(key) for key in range(KEYS)]
    replaced = iter(range(size, size + 100))

    def choose_all() -> None:
        if changes:
            number = next(replaced)
            fleet.remove_instance(InstanceId(f"i{number - size}"))
            put_instance(fleet, number)
        for key in keys:
            placement.candidates(route, SERVICE, key, lambda instance: True)

    choose_all()
    return measure(choose_all, KEYS)


def measure_match(size: int) -> float:
    """Return the cost of finding the route of a path."""
    routes = HostRoutes(build_route(f"/r{number:04}/x/") for number in range(size))
    paths = [f"/r{number:04}/x/1" for number in range(0, size, max(1, size // 50))]

    def match_all() -> None:
        for path in paths:
            routes.match(path)

    return measure(lambda: [match_all() for _ in range(100)], 100 * len(paths))


def build_configuration() -> bytes:
    """Return the operator's record of a configuration with many routes."""
    paths = [
        {
            "name": f"route-{number}",
            "prefix": f"/r{number}/",
            "kind": "safe",
            "timeout": "2500ms",
            "target_latency": "1s",
            "priority": 1,
            "service": "s",
            "max_attempts": 2,
            "sticky_sessions": True,
        }
        for number in range(CONFIGURATION_ROUTES)
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_000_000,
        "header_timeout": "10s",
        "idle_timeout": "60s",
    }
    hosts = [{"hostname": "h", "paths": paths}]
    fields = {"version": 1, "services": [], "limits": limits, "hosts": hosts}
    return json.dumps(fields).encode()


def main() -> None:
    """Print one line for each decision and size."""
    for size in SIZES:
        print(f"choose, {size} instances: {measure_choice(size, changes=False):.1f} us")
    for size in SIZES:
        cost_us = measure_choice(size, changes=True)
        print(f"choose, one of {size} instances replaced for 70: {cost_us:.1f} us")
    for size in SIZES:
        print(f"match, {size} routes: {measure_match(size):.2f} us")
    value = build_configuration()
    compressed = zlib.compress(value, COMPRESSION_LEVEL)
    known = PlatformRecords()
    known.decode_routes(value)
    print(f"configuration: {len(value)} bytes, compressed {len(compressed)}")
    first_us = measure(lambda: PlatformRecords().decode_routes(value), 1)
    next_us = measure(lambda: known.decode_routes(value), 1)
    compress_us = measure(lambda: zlib.compress(value, COMPRESSION_LEVEL), 1)
    decompress_us = measure(lambda: zlib.decompress(compressed), 1)
    print(f"decode: {first_us:.0f} us, the next version: {next_us:.0f} us")
    print(f"compress: {compress_us:.0f} us, decompress: {decompress_us:.0f} us")


if __name__ == "__main__":
    main()
