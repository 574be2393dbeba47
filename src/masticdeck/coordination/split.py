"""Distributes the requests of a route among services by weight."""

from __future__ import annotations

from masticdeck.coordination.entry_order import EntryOrder
from masticdeck.ids import ServiceId
from masticdeck.state.routes import Route, RouteId, ServiceWeight

FIRST_POSITIONS = 100
"""Positions of the sequence at which entries begin.

The first requests of all entries have the proportions to within one in so many.
"""


class TrafficSplit:
    """Smooth weighted round robin for each route.

    For each request the credit of every service grows by its weight. The service
    with the highest credit gets the request, and the sum of the weights is taken
    off its credit. The proportions hold over any sequence of requests, and no
    service gets a burst.

    If all entries began at the same position, the first requests of all would go to the
    same service. So each begins at its place in ``order``; without it, at the first.

    >>> split = TrafficSplit()
    >>> half = ServiceWeight(ServiceId("a"), 1), ServiceWeight(ServiceId("b"), 1)
    >>> [split.choose_weighted(RouteId("r"), half) for _ in range(4)]
    ['a', 'b', 'a', 'b']
    """

    def __init__(self, order: EntryOrder | None = None) -> None:
        self.order = order
        self.credits: dict[RouteId, dict[ServiceId, float]] = {}
        self.weights: dict[RouteId, tuple[ServiceWeight, ...]] = {}

    def choose(self, route: Route) -> ServiceId:
        """Return the service for the next request on a route."""
        if len(route.services) == 1:
            return route.services[0].service
        return self.choose_weighted(route.id, route.services)

    def choose_weighted(
        self, route: RouteId, services: tuple[ServiceWeight, ...]
    ) -> ServiceId:
        """Return the service for the next request; new weights reset the credits."""
        if self.weights.get(route) != services:
            self.weights[route] = services
            self.credits[route] = {weighted.service: 0.0 for weighted in services}
            for _ in range(self.first_position(route)):
                self.take_next(route, services)
        return self.take_next(route, services)

    def first_position(self, route: RouteId) -> int:
        """Return the requests of the sequence that this entry leaves out at first."""
        if self.order is None:
            return 0
        return int(self.order.fraction(route) * FIRST_POSITIONS)

    def take_next(
        self, route: RouteId, services: tuple[ServiceWeight, ...]
    ) -> ServiceId:
        """Return the next service of the sequence."""
        service_credits = self.credits[route]
        for weighted in services:
            service_credits[weighted.service] += weighted.weight
        chosen = max(
            services, key=lambda weighted: service_credits[weighted.service]
        ).service
        service_credits[chosen] -= sum(weighted.weight for weighted in services)
        return chosen
