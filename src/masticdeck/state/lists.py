"""The operators' two lists and the accepted configuration made of them.

``CustomerList`` says which plan each customer has, which services are its own
and whether it may veto; ``PlanList`` says what each plan may use in capacity,
regions and rank of work.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from masticdeck.ids import CustomerId, PlanId, Rank, RegionId, ServiceId, Version
from masticdeck.state.deployment import Model


class Customer(Model):
    """One customer under contract."""

    id: CustomerId
    plan: PlanId
    services: tuple[ServiceId, ...]
    veto: bool = False


class Plan(Model):
    """What a plan may use.

    ``capacity`` is the largest part (0 to 1) of each service's slots in the
    plan's regions; ``floor`` is the part of its capacity that each rank keeps
    in a flood of the others.
    """

    id: PlanId
    capacity: Annotated[float, Field(gt=0, le=1)]
    regions: tuple[RegionId, ...]
    top_rank: Rank = Rank.URGENT
    floor: dict[Rank, Annotated[float, Field(ge=0, le=1)]] = Field(default_factory=dict)


class CustomerList(Model):
    """The first list."""

    customers: tuple[Customer, ...]


class PlanList(Model):
    """The second list."""

    plans: tuple[Plan, ...]


class Configuration(Model):
    """An accepted configuration: both lists under one version number."""

    version: Version
    customers: CustomerList
    plans: PlanList
