"""Routes, services and caller limits of one configuration version."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, final

from masticdeck.ids import RegionId, ServiceId, Version
from masticdeck.state.workspaces import WorkspaceTable

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
    urgent. An empty ``home_regions`` allows every region. Requests on a ``public``
    route need no key.
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
    public: bool = False

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
class HostRoutes:
    """The routes of one host, indexed by prefix.

    A look-up costs one dictionary access for each different length of a prefix,
    whatever the number of routes.

    >>> routes = HostRoutes([route("/a/"), route("/a/b/")])
    >>> routes.match("/a/b/1").prefix
    '/a/b/'
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.by_prefix: dict[str, Route] = {}
        for route in routes:
            self.by_prefix.setdefault(route.prefix, route)
        self.prefix_lengths = sorted(set(map(len, self.by_prefix)), reverse=True)

    def __iter__(self) -> Iterator[Route]:
        """Return the routes in the order of the configuration."""
        return iter(self.by_prefix.values())

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for length in self.prefix_lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@final
@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration, indexed by host.

    ``workspaces`` is None if requests need no keys.
    """

    version: Version
    hosts: Mapping[str, HostRoutes]
    services: Mapping[ServiceId, BackendService]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: WorkspaceTable | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        routes = self.hosts.get(host)
        return None if routes is None else routes.match(path)
