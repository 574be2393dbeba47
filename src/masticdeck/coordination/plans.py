"""What the accepted plans allow: ranks, weights between customers, floors."""

from __future__ import annotations

from collections.abc import Mapping

from masticdeck.coordination.admission import DEFAULT_FLOORS
from masticdeck.ids import CustomerId, Rank, ServiceId
from masticdeck.state.lists import Configuration, Plan

DEFAULT_WEIGHT = 1.0


class PlanRules:
    """The plans in force; before any is, every rank is allowed to everyone."""

    def __init__(self) -> None:
        self.plan_by_customer: dict[CustomerId, Plan] = {}
        self.plan_by_service: dict[ServiceId, Plan] = {}

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration's plans in force."""
        by_id = {plan.id: plan for plan in configuration.plans.plans}
        customers = [
            one for one in configuration.customers.customers if one.plan in by_id
        ]
        self.plan_by_customer = {one.id: by_id[one.plan] for one in customers}
        self.plan_by_service = {
            service: by_id[one.plan] for one in customers for service in one.services
        }

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return the rank asked for, lowered to what the customer's plan allows."""
        plan = None if customer is None else self.plan_by_customer.get(customer)
        if plan is None or rank.order >= plan.top_rank.order:
            return rank
        return plan.top_rank

    def weight(self, customer: CustomerId | None) -> float:
        """Return the customer's weight in its rank: its plan's capacity."""
        plan = None if customer is None else self.plan_by_customer.get(customer)
        return DEFAULT_WEIGHT if plan is None else plan.capacity

    def floors(self, service: ServiceId) -> Mapping[Rank, float]:
        """Return the floors that the plan of the service's customer sets."""
        plan = self.plan_by_service.get(service)
        return DEFAULT_FLOORS | plan.floor if plan else DEFAULT_FLOORS
