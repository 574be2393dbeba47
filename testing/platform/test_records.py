"""Decoding of the platform's records, spoilt ones included."""

from __future__ import annotations

import json
from typing import Any

import pytest

from masticdeck.platform.records import PlatformRecords
from masticdeck.protocol.records import RecordInvalid, RecordKind
from masticdeck.state.fleet import InstanceState
from masticdeck.state.routes import RouteKind

INSTANCE: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "information": {"service": "s", "version": "v1", "zone": "cesis-a", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    "born": 17,
}
ROUTE: dict[str, Any] = {
    "name": "r",
    "prefix": "/a/",
    "kind": "safe",
    "timeout": "1200ms",
    "target_latency": "0.6s",
    "priority": 1,
    "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "max_attempts": 2,
    "sticky_sessions": True,
    "home_regions": ["vidzeme"],
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "services": [
        {
            "name": "s",
            "health_path": "/health",
            "connection_limit": 330,
            "cold_start": "3s",
            "cold_per_s": 4.3,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "hosts": [
        {"hostname": "A.example", "paths": [ROUTE, {**ROUTE, "prefix": "/a/b/"}]}
    ],
}


def changed(fields: dict[str, Any], path: str, value: Any) -> bytes:
    """Return a record with one field replaced, or dropped for ``...``."""
    copy = json.loads(json.dumps(fields))
    *parents, last = path.split(".")
    part = copy
    for name in parents:
        part = part[int(name) if name.isdigit() else name]
    if value is ...:
        del part[last]
    else:
        part[last] = value
    return json.dumps(copy).encode()


def decode_instance(value: bytes):
    return PlatformRecords().decode_instance("i-1", value, 100.0)


def test_instance_keeps_what_its_record_says():
    instance = decode_instance(json.dumps(INSTANCE).encode())
    assert (instance.host, instance.port) == ("10.128.0.9", 8080)
    assert (instance.service, instance.zone, instance.slots) == ("s", "cesis-a", 4)
    assert (instance.state, instance.born_ms) == (InstanceState.READY, 17)
    assert instance.cold_until == 0


def test_cold_time_counts_from_the_reading():
    value = changed(INSTANCE, "status.cold_remaining", "2.5s")
    assert decode_instance(value).cold_until == 102.5


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", ...),
        ("address", "nowhere"),
        ("address", "10.0.0.1:99999"),
        ("information", []),
        ("information.service", 5),
        ("information.zone", ""),
        ("information.slots", "4"),
        ("information.slots", 0),
        ("information.slots", True),
        ("status.state", "sleeping"),
        ("status.sequence", "x"),
        ("status.cold_remaining", 3),
        ("status.cold_remaining", "3m"),
        ("born", 1.5),
    ],
)
def test_spoilt_instance_names_nothing(path, value):
    with pytest.raises(RecordInvalid):
        decode_instance(changed(INSTANCE, path, value))


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"[]", b"null", b"[" * 100_000])
def test_unreadable_record_names_nothing(value):
    with pytest.raises(RecordInvalid):
        decode_instance(value)
    with pytest.raises(RecordInvalid):
        PlatformRecords().decode_routes(value)


def test_routes_match_by_host_and_longest_prefix():
    table = PlatformRecords().decode_routes(json.dumps(CONFIG).encode())
    assert table.version == 7
    assert table.match("a.example", "/a/b/c").prefix == "/a/b/"
    assert table.match("a.example", "/a/x").prefix == "/a/"
    assert table.match("a.example", "/x") is None
    assert table.match("b.example", "/a/x") is None


def test_route_keeps_what_the_configuration_says():
    route = (
        PlatformRecords()
        .decode_routes(json.dumps(CONFIG).encode())
        .match("a.example", "/a/x")
    )
    assert (route.kind, route.idempotent) == (RouteKind.SAFE, True)
    assert (route.timeout_s, route.objective_s) == (1.2, 0.6)
    assert [part.weight for part in route.services] == [90, 10]
    assert (route.priority, route.max_attempts, route.sticky) == (1, 2, True)
    assert route.home_regions == {"vidzeme"}


def test_route_to_one_service_has_no_split():
    value = changed(CONFIG, "hosts.0.paths.0.traffic_split", [])
    value = changed(json.loads(value), "hosts.0.paths.0.service", "s")
    route = PlatformRecords().decode_routes(value).match("a.example", "/a/x")
    assert [part.service for part in route.services] == ["s"]


def test_unchanged_route_of_the_next_version_is_not_decoded_again():
    records = PlatformRecords()
    first = records.decode_routes(changed(CONFIG, "version", 8))
    second = records.decode_routes(changed(CONFIG, "version", 9))
    assert second.version == 9
    assert second.match("a.example", "/a/x") is first.match("a.example", "/a/x")


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("hosts.0.paths.0.timeout", "900ms"),
        ("hosts.0.paths.0.traffic_split.0.weight", 50),
        ("hosts.0.paths.0.home_regions", ["kurzeme"]),
    ],
)
def test_changed_route_of_the_next_version_is_decoded(path, value):
    records = PlatformRecords()
    records.decode_routes(changed(CONFIG, "version", 8))
    next_version = changed(CONFIG, path, value)
    expected = PlatformRecords().decode_routes(next_version)
    route = records.decode_routes(next_version).match("a.example", "/a/x")
    assert route == expected.match("a.example", "/a/x")


def test_spoilt_version_does_not_spoil_the_next_one():
    records = PlatformRecords()
    records.decode_routes(changed(CONFIG, "version", 8))
    with pytest.raises(RecordInvalid):
        records.decode_routes(changed(CONFIG, "hosts.0.paths.0.kind", "odd"))
    table = records.decode_routes(changed(CONFIG, "version", 9))
    assert table.match("a.example", "/a/x").kind is RouteKind.SAFE


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", "7"),
        ("hosts", {}),
        ("hosts.0.paths.0.kind", "odd"),
        ("hosts.0.paths.0.timeout", 1200),
        ("services.0.name", ...),
        ("limits", ...),
    ],
)
def test_spoilt_configuration_is_invalid(path, value):
    value = changed(CONFIG, path, value)
    if path == "hosts":
        assert PlatformRecords().decode_routes(value).hosts == {}
        return
    with pytest.raises(RecordInvalid):
        PlatformRecords().decode_routes(value)


@pytest.mark.parametrize(
    ("key", "kind", "name"),
    [
        ("op/config", RecordKind.ROUTES, ""),
        ("op/evacuate/cesis-a", RecordKind.EVACUATION, "cesis-a"),
        ("servers/i-1", RecordKind.INSTANCE, "i-1"),
        ("op/other", RecordKind.OTHER, "op/other"),
    ],
)
def test_keys_tell_what_they_hold(key, kind, name):
    assert PlatformRecords().classify(key) == (kind, name)
