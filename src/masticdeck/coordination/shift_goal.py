"""Computation of the goal of the steering table from the accepted lists.

A service may be served in the regions of its customers' plans. Callers in an
allowed region are served there; other callers are distributed over the allowed
regions in proportion to their slots.
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
    """Return the regions that may serve a service: all if no plan names any."""
    plan_ids = {
        customer.plan
        for customer in customers.customers
        if service in customer.services
    }
    service_plans = [plan for plan in plans.plans if plan.id in plan_ids]
    allowed = {region for plan in service_plans for region in plan.regions}
    if not allowed:
        return deployment.regions
    return tuple(region for region in deployment.regions if region in allowed)


def compute_goal(
    deployment: Deployment, customers: CustomerList, plans: PlanList
) -> RouteWeights:
    """Return the weight of each serving region per service and origin region."""
    slots = slots_by_region(deployment)
    goal: dict[Route, dict[RegionId, float]] = {}
    for service in deployment.services:
        allowed = allowed_regions(service.id, deployment, customers, plans)
        serving_regions = [region for region in allowed if slots[service.id, region]]
        total_slots = sum(slots[service.id, region] for region in serving_regions)
        for origin in deployment.regions:
            if origin in serving_regions or not total_slots:
                goal[service.id, origin] = {origin: 1.0}
            else:
                goal[service.id, origin] = {
                    region: slots[service.id, region] / total_slots
                    for region in serving_regions
                }
    return goal
