"""The goal of the steering table, worked out from the accepted lists.

A service may be served in the regions of the plans of its customers. Callers
of an allowed region stay there; those of another go to the allowed regions in
proportion to their slots.
"""

from __future__ import annotations

from masticdeck.coordination.shift_demand import slots_by_region
from masticdeck.coordination.shift_rule import RouteWeights
from masticdeck.ids import RegionId, ServiceId
from masticdeck.state.deployment import Deployment
from masticdeck.state.lists import CustomerList, PlanList
from masticdeck.state.steering import Route


def allowed_regions(
    service: ServiceId,
    deployment: Deployment,
    customers: CustomerList,
    plans: PlanList,
) -> tuple[RegionId, ...]:
    """Return the regions in which a service may be served; all without a plan."""
    names = {one.plan for one in customers.customers if service in one.services}
    chosen = [plan for plan in plans.plans if plan.id in names]
    allowed = {region for plan in chosen for region in plan.regions}
    if not allowed:
        return deployment.regions
    return tuple(region for region in deployment.regions if region in allowed)


def compute_goal(
    deployment: Deployment, customers: CustomerList, plans: PlanList
) -> RouteWeights:
    """Return the weights that the accepted lists ask for."""
    slots = slots_by_region(deployment)
    goal: dict[Route, dict[RegionId, float]] = {}
    for service in deployment.services:
        allowed = allowed_regions(service.id, deployment, customers, plans)
        served = [region for region in allowed if slots[service.id, region]]
        total = sum(slots[service.id, region] for region in served)
        for origin in deployment.regions:
            if origin in served or not total:
                goal[service.id, origin] = {origin: 1.0}
            else:
                goal[service.id, origin] = {
                    region: slots[service.id, region] / total for region in served
                }
    return goal
