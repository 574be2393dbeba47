"""Rules of the accepted plans: allowed ranks, customer weights and rank floors."""

from __future__ import annotations

from collections.abc import Mapping

from masticdeck.coordination.admission import DEFAULT_FLOORS
from masticdeck.ids import CustomerId, Rank, ServiceId
from masticdeck.state.lists import Configuration, Plan

DEFAULT_WEIGHT = 1.0


class PlanRules:
    """The plans in force; until there are any, every customer may use every rank."""

    def __init__(self) -> None:
        self.plan_by_customer: dict[CustomerId, Plan] = {}
        self.plan_by_service: dict[ServiceId, Plan] = {}

    def apply(self, configuration: Configuration) -> None:
        """Replace the plans in force by those of a configuration."""
        plan_by_id = {plan.id: plan for plan in configuration.plans.plans}
        customers = [
            customer
            for customer in configuration.customers.customers
            if customer.plan in plan_by_id
        ]
        self.plan_by_customer = {
            customer.id: plan_by_id[customer.plan] for customer in customers
        }
        self.plan_by_service = {
            service: plan_by_id[customer.plan]
            for customer in customers
            for service in customer.services
        }

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return ``rank``, lowered to the highest rank the customer's plan allows."""
        plan = None if customer is None else self.plan_by_customer.get(customer)
        if plan is None or rank.order >= plan.top_rank.order:
            return rank
        return plan.top_rank

    def weight(self, customer: CustomerId | None) -> float:
        """Return the customer's weight within a rank: the capacity of its plan."""
        plan = None if customer is None else self.plan_by_customer.get(customer)
        return DEFAULT_WEIGHT if plan is None else plan.capacity

    def floors(self, service: ServiceId) -> Mapping[Rank, float]:
        """Return the rank floors set by the plan of the service's customer."""
        plan = self.plan_by_service.get(service)
        return DEFAULT_FLOORS | plan.floor if plan else DEFAULT_FLOORS
