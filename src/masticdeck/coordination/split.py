"""Division of a route's requests among services in proportion to weights."""

from __future__ import annotations

from masticdeck.ids import ServiceId
from masticdeck.state.routes import Route, RouteId, ServiceWeight


class TrafficSplit:
    """Smooth weighted round robin for each route.

    Each request raises every service's credit by its weight and goes to the
    service with the most, which pays the sum of the weights. The shares are
    exact over any run of requests, and no service gets a burst.

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
        """Return the service whose turn it is; new weights begin anew."""
        if self.weights.get(route) != services:
            self.weights[route] = services
            self.credits[route] = {part.service: 0.0 for part in services}
        credit = self.credits[route]
        for part in services:
            credit[part.service] += part.weight
        chosen = max(services, key=lambda part: credit[part.service]).service
        credit[chosen] -= sum(part.weight for part in services)
        return chosen
