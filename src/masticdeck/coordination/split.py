"""Distributes the requests of a route among services by weight."""

from __future__ import annotations

from masticdeck.ids import ServiceId
from masticdeck.state.routes import Route, RouteId, ServiceWeight


class TrafficSplit:
    """Smooth weighted round robin for each route.

    For each request the credit of every service grows by its weight. The service
    with the highest credit gets the request, and the sum of the weights is taken
    off its credit. The proportions hold over any sequence of requests, and no
    service gets a burst.

    >>> split = TrafficSplit()
    >>> half = ServiceWeight(ServiceId("a"), 1), ServiceWeight(ServiceId("b"), 1)
    >>> [split.choose_weighted(RouteId("r"), half) for _ in range(4)]
    ['a', 'b', 'a', 'b']
    """

    def __init__(self) -> None:
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
        service_credits = self.credits[route]
        for weighted in services:
            service_credits[weighted.service] += weighted.weight
        chosen = max(
            services, key=lambda weighted: service_credits[weighted.service]
        ).service
        service_credits[chosen] -= sum(weighted.weight for weighted in services)
        return chosen
