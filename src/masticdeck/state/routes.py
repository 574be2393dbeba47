"""Routes, services and caller limits of one configuration version."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, final

from masticdeck.ids import RegionId, ServiceId, Version

RouteId = NewType("RouteId", str)


class RouteKind(Enum):
    """What may be repeated: everything but ``UNSAFE`` requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


@final
@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service that receives a part of a route's requests."""

    service: ServiceId
    weight: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests below one path prefix of a host are handled.

    Times are in seconds: ``timeout_s`` bounds the whole handling of a request,
    ``objective_s`` is the latency that callers want. ``priority`` 0 is the most
    urgent. An empty ``home_regions`` allows every region.
    """

    id: RouteId
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[ServiceWeight, ...]
    max_attempts: int
    sticky: bool
    home_regions: frozenset[RegionId] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not RouteKind.UNSAFE


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class BackendService:
    """What is known of a service apart from its instances.

    A starting instance bears ``cold_requests_per_s`` for ``cold_start_s``.
    """

    id: ServiceId
    health_path: str
    connection_limit: int
    cold_start_s: float
    cold_requests_per_s: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller sends (bytes) and how long it takes (seconds)."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@final
@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration, indexed by host.

    The routes of a host are ordered by descending prefix length, so that the
    first one that begins a path is the longest match.
    """

    version: Version
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[ServiceId, BackendService]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def order_by_prefix(routes: list[Route]) -> tuple[Route, ...]:
    """Return routes in the order in which they are matched."""
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))
