"""The platform's stored records, decoded into the fleet's types.

A record that another writer has spoilt raises RecordInvalid; the caller drops
that record and keeps the others.
"""

from __future__ import annotations

import ipaddress
import json
import math
import re
from collections.abc import Callable
from typing import Any, TypeVar

from masticdeck.coordination.record_order.rules import (
    LATE_WRITE_S,
    RULES,
    WriterOrder,
)
from masticdeck.ids import (
    InstanceId,
    RegionId,
    ServiceId,
    Version,
    WorkspaceId,
    ZoneId,
)
from masticdeck.platform.keys import DIGEST_FIELD, conceal_keys
from masticdeck.platform.store import CONFIG_KEY
from masticdeck.platform.units import parse_duration
from masticdeck.protocol.records import (
    INVALID_RECORD_ERRORS,
    RecordInvalid,
    RecordKind,
)
from masticdeck.state.fleet import FleetInstance, InstanceState
from masticdeck.state.routes import (
    BackendService,
    CallerLimits,
    HostRoutes,
    Route,
    RouteId,
    RouteKind,
    RouteTable,
    ServiceWeight,
)
from masticdeck.state.workspaces import (
    KeyDigest,
    RateLimit,
    Workspace,
    WorkspaceTable,
)

EVACUATION_PREFIX = "op/evacuate/"
INSTANCE_PREFIX = "servers/"
MAX_SLOTS = 100_000
MAX_PORT = 65_535

MAX_WHOLE = 2**63 - 1
"""Largest whole number in a record; counters and times in milliseconds fit."""

ADDRESS = re.compile(r"(?P<host>[^\[\]:]+|\[[^\[\]]+\]):(?P<port>[0-9]{1,5})")
INSTANCE_ID = re.compile(r"[!-~]{1,190}")
"""Visible ASCII: the id goes into a header of each request."""

T = TypeVar("T")

DecodedRoute = tuple[dict[str, Any], Route]
"""A route of a configuration as it was written, and decoded."""


class PlatformRecords:
    """Decoder of the records that the operator and the instances write.

    Most routes of a configuration are those of the version before, so that decoded
    ones are kept: with 2,000 routes decoding takes long enough to delay requests.
    """

    def __init__(self) -> None:
        self.decoded_routes: dict[tuple[str, str], DecodedRoute] = {}

    def classify(self, key: str) -> tuple[RecordKind, str]:
        """Return what a key holds and the name of its subject."""
        if key == CONFIG_KEY:
            return RecordKind.ROUTES, ""
        if key.startswith(EVACUATION_PREFIX):
            return RecordKind.EVACUATION, key[len(EVACUATION_PREFIX) :]
        if key.startswith(INSTANCE_PREFIX):
            return RecordKind.INSTANCE, key[len(INSTANCE_PREFIX) :]
        return RecordKind.OTHER, key

    def conceal(self, key: str, value: bytes) -> bytes:
        """Return the value of a record without keys of workspaces."""
        return conceal_keys(value) if key == CONFIG_KEY else value

    def decode_routes(self, value: bytes) -> RouteTable:
        """Return the configuration of a record."""
        return guarded(self.decode_route_table, value)

    def decode_route_table(self, fields: dict[str, Any]) -> RouteTable:
        """Return a configuration and keep its routes for the next version."""
        decoded: dict[tuple[str, str], DecodedRoute] = {}

        def decode_path(path: dict[str, Any]) -> Route:
            key = path["name"], path["prefix"]
            known = self.decoded_routes.get(key)
            route = known[1] if known and known[0] == path else decode_route(path)
            decoded[key] = path, route
            return route

        table = decode_routes(fields, decode_path)
        self.decoded_routes = decoded
        return table

    def decode_instance(self, name: str, value: bytes, now: float) -> FleetInstance:
        """Return an instance; ``now`` is the boot time at which it was read."""
        return guarded(
            lambda fields: decode_instance(InstanceId(name), fields, now), value
        )


@RULES.register(CONFIG_KEY, held_s=math.inf, keeps_missing=True)
def read_config_order(value: bytes) -> WriterOrder | None:
    """Return the version of a configuration; no lower one follows it."""
    try:
        return (whole(json.loads(value)["version"]),)
    except INVALID_RECORD_ERRORS:
        return None


@RULES.register(INSTANCE_PREFIX, late_write_s=LATE_WRITE_S)
def read_instance_order(value: bytes) -> WriterOrder | None:
    """Return the start of an instance and the count of its writes since then."""
    try:
        fields = json.loads(value)
        return whole(fields["born"]), whole(fields["status"]["sequence"])
    except INVALID_RECORD_ERRORS:
        return None


def guarded(decode: Callable[[dict[str, Any]], T], value: bytes) -> T:
    """Decode a JSON record; any shape that does not fit is RecordInvalid."""
    try:
        return decode(json.loads(value))
    except INVALID_RECORD_ERRORS as error:
        raise RecordInvalid(f"{type(error).__name__}: {error}"[:200]) from None


def decode_routes(
    fields: dict[str, Any], decode_path: Callable[[dict[str, Any]], Route]
) -> RouteTable:
    """Return a configuration; ``decode_path`` decodes one of its routes."""
    hosts = {
        text(host["hostname"]).lower(): HostRoutes(
            decode_path(path) for path in host["paths"]
        )
        for host in fields["hosts"]
    }
    services = [decode_service(service) for service in fields["services"]]
    return RouteTable(
        version=Version(whole(fields["version"])),
        hosts=hosts,
        services={service.id: service for service in services},
        limits=decode_limits(fields["limits"]),
        workspaces=decode_workspaces(fields.get("tenants")),
    )


def decode_workspaces(rows: list[dict[str, Any]] | None) -> WorkspaceTable | None:
    """Return the workspaces, None if the configuration does not name any.

    An empty list names none that may send requests. A workspace that cannot be read is
    left out: its keys are refused, and those of the others remain in use.
    """
    if rows is None:
        return None
    workspaces: list[tuple[Workspace, list[KeyDigest]]] = []
    omitted: list[str] = []
    for row in rows:
        try:
            workspaces.append((decode_workspace(row), decode_digests(row)))
        except INVALID_RECORD_ERRORS as error:
            omitted.append(f"{type(error).__name__}: {error}"[:200])
    return WorkspaceTable(workspaces, omitted=omitted)


def decode_digests(fields: dict[str, Any]) -> list[KeyDigest]:
    """Return the digests of a workspace's keys."""
    digests = fields.get(DIGEST_FIELD) or []
    if not isinstance(digests, list) or set(map(type, digests)) - {str}:
        raise TypeError("the digests are not a list of text")
    return digests


def decode_workspace(fields: dict[str, Any]) -> Workspace:
    """Return one workspace without its keys.

    Its name goes into a header of each request.
    """
    name = text(fields["name"])
    if name != name.strip():
        raise ValueError("the name cannot be sent in a header")
    rate_per_s = amount(fields.get("rate_per_s") or 0)
    burst = amount(fields.get("burst") or 0)
    priority = fields.get("priority")
    return Workspace(
        id=WorkspaceId(name),
        priority=None if priority is None else whole(priority),
        home_regions=frozenset(
            RegionId(text(region)) for region in fields.get("home_regions") or ()
        ),
        limit=RateLimit(rate_per_s, burst) if rate_per_s else None,
    )


def decode_route(fields: dict[str, Any]) -> Route:
    """Return one route."""
    split = fields.get("traffic_split") or [{"service": fields["service"], "weight": 1}]
    return Route(
        id=RouteId(text(fields["name"])),
        prefix=text(fields["prefix"]),
        kind=RouteKind(fields["kind"]),
        timeout_s=parse_duration(fields["timeout"]),
        objective_s=parse_duration(fields["target_latency"]),
        priority=whole(fields["priority"]),
        services=tuple(
            ServiceWeight(ServiceId(text(part["service"])), float(part["weight"]))
            for part in split
        ),
        max_attempts=max(1, whole(fields["max_attempts"])),
        sticky=bool(fields.get("sticky_sessions")),
        home_regions=frozenset(
            RegionId(text(region)) for region in fields.get("home_regions") or ()
        ),
        public=bool(fields.get("public")),
    )


def decode_service(fields: dict[str, Any]) -> BackendService:
    """Return one service."""
    return BackendService(
        id=ServiceId(text(fields["name"])),
        health_path=text(fields["health_path"]),
        connection_limit=whole(fields["connection_limit"]),
        cold_start_s=parse_duration(fields["cold_start"]),
        cold_requests_per_s=float(fields["cold_per_s"]),
    )


def decode_limits(fields: dict[str, Any]) -> CallerLimits:
    """Return the bounds on what callers send."""
    return CallerLimits(
        max_header_bytes=whole(fields["max_header_bytes"]),
        max_body_bytes=whole(fields["max_body_bytes"]),
        header_timeout_s=parse_duration(fields["header_timeout"]),
        idle_timeout_s=parse_duration(fields["idle_timeout"]),
    )


def decode_instance(
    instance: InstanceId, fields: dict[str, Any], now: float
) -> FleetInstance:
    """Return one instance.

    ``information`` holds what stays for an incarnation and ``status`` what
    changes; ``sequence`` only counts the instance's own writes.
    """
    if INSTANCE_ID.fullmatch(instance) is None:
        raise ValueError(f"{instance!r} is not an id")
    fixed, status = fields["information"], fields["status"]
    host, port = ip_address(fields["address"])
    slots = whole(fixed["slots"])
    if not 0 < slots <= MAX_SLOTS:
        raise ValueError("slots out of range")
    whole(status["sequence"])
    cold_s = parse_duration(status["cold_remaining"])
    return FleetInstance(
        id=instance,
        service=ServiceId(text(fixed["service"])),
        host=host,
        port=port,
        zone=ZoneId(text(fixed["zone"])),
        slots=slots,
        state=InstanceState(status["state"]),
        born_ms=whole(fields.get("born", 0)),
        cold_until=now + cold_s if cold_s else 0.0,
    )


def ip_address(value: object) -> tuple[str, int]:
    """Return host and port of an address, or raise ValueError or TypeError.

    There are no names of hosts on the platform.

    >>> ip_address("10.1.0.15:8641")
    ('10.1.0.15', 8641)
    >>> ip_address("[::1]:80")
    ('::1', 80)
    """
    match = ADDRESS.fullmatch(text(value))
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise ValueError("not an address with a port")
    return str(ipaddress.ip_address(match["host"].strip("[]"))), int(match["port"])


def text(value: object) -> str:
    """Return a printable string that is not empty, or raise TypeError."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise TypeError(f"{value!r} is not text")
    return value


def amount(value: object) -> float:
    """Return a number from 0 to ``MAX_WHOLE``, or raise TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not 0 <= value <= MAX_WHOLE:
        raise ValueError("a number out of range")
    return float(value)


def whole(value: object) -> int:
    """Return a whole number from 0 to ``MAX_WHOLE``, or raise TypeError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    if not 0 <= value <= MAX_WHOLE:
        raise ValueError("a whole number out of range")
    return value
