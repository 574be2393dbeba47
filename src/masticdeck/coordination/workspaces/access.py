"""Decides whether a request may run, and under which route and workspace.

The decision is made when a request arrives and again before each time that it is sent,
because keys are added, moved and removed while requests wait. With a bound on the
revocation of keys, a key is used only while the configuration is provably recent
enough, so that an entry that hears nothing stops using keys by itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import final

from masticdeck.ids import RegionId
from masticdeck.state.routes import Route, RouteTable
from masticdeck.state.workspaces import KeyDigest, Workspace

MAX_PROOF_FRACTION = 0.8
"""Age of the proof, relative to the bound, up to which keys are used.

The rest covers the time between the decision and the arrival at an instance.
"""

MAX_PROOF_FRACTION_FOR_REFUSALS = 0.6
"""Age of the proof, relative to the bound, up to which unknown keys are refused.

With an older configuration the key may have been added since.
"""

NO_REGION = RegionId("")
"""Home region of a request whose route and workspace have none in common."""

EffectiveKey = tuple[int, int]
"""Identities of a route and a workspace; names need not be unique."""


class RouteNotFound(Exception):
    """No route of the configuration in force matches the request."""


class KeyUnknown(Exception):
    """The request has no key, or one that no workspace has."""


class KeyUnproved(Exception):
    """The configuration may be too old to decide about keys."""


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Route and workspace of a request that may run.

    ``route`` has the priority and the home regions of the workspace as well.
    ``workspace`` is None if the request needs no key.
    """

    route: Route
    workspace: Workspace | None


class WorkspaceAccess:
    """Finds route and workspace of requests.

    ``proof_age_s`` returns the time since the configuration was provably current, and
    ``revocation_s`` the time after which a removed key is refused everywhere, None
    without such a bound.
    """

    def __init__(
        self,
        routes: Callable[[], RouteTable | None],
        *,
        proof_age_s: Callable[[], float] = lambda: 0.0,
        revocation_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self.routes = routes
        self.proof_age_s = proof_age_s
        self.revocation_s = revocation_s
        self.table: RouteTable | None = None
        self.effective_routes: dict[EffectiveKey, Route] = {}

    def find(self, host: str, path: str, key: KeyDigest | None) -> Grant:
        """Return the grant of a request under the configuration in force.

        Raises RouteNotFound, KeyUnknown and KeyUnproved.
        """
        table = self.routes()
        route = None if table is None else table.match(host, path)
        if table is None or route is None:
            raise RouteNotFound
        if table.workspaces is None or route.public:
            return Grant(route, None)
        if not self.may_use_keys():
            raise KeyUnproved
        workspace = None if key is None else table.workspaces.find(key)
        if workspace is None:
            if not self.is_proved(MAX_PROOF_FRACTION_FOR_REFUSALS):
                raise KeyUnproved
            raise KeyUnknown
        return Grant(self.effective_route(table, route, workspace), workspace)

    def needs_keys(self) -> bool:
        """Return whether the configuration in force has workspaces."""
        table = self.routes()
        return table is not None and table.workspaces is not None

    def may_use_keys(self) -> bool:
        """Return whether the configuration is recent enough to accept keys."""
        return self.is_proved(MAX_PROOF_FRACTION)

    def may_be_recommended(self) -> bool:
        """Return whether callers may be directed to this entry.

        Without a sound way to the store for so long, it is about to refuse keys.
        """
        return not self.needs_keys() or self.is_proved(MAX_PROOF_FRACTION_FOR_REFUSALS)

    def is_proved(self, fraction: float) -> bool:
        """Return whether the proof is younger than a fraction of the bound, if any."""
        bound_s = self.revocation_s()
        return bound_s is None or self.proof_age_s() < fraction * bound_s

    def effective_route(
        self, table: RouteTable, route: Route, workspace: Workspace
    ) -> Route:
        """Return the route with the priority and home regions of the workspace."""
        if table is not self.table:
            self.table = table
            self.effective_routes.clear()
        cache_key = id(route), id(workspace)
        effective = self.effective_routes.get(cache_key)
        if effective is None:
            effective = self.effective_routes[cache_key] = combine(route, workspace)
        return effective


def combine(route: Route, workspace: Workspace) -> Route:
    """Return a route as it applies to the requests of a workspace."""
    priority = route.priority if workspace.priority is None else workspace.priority
    home_regions = route.home_regions or workspace.home_regions
    if route.home_regions and workspace.home_regions:
        home_regions = route.home_regions & workspace.home_regions
        home_regions = home_regions or frozenset({NO_REGION})
    return replace(route, priority=priority, home_regions=home_regions)
