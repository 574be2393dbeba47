"""The operators' two lists and the accepted configuration made of them.

``CustomerList`` says which plan each customer has, which services are its own
and whether it may veto; ``PlanList`` says what each plan may use in capacity,
regions and rank of work, and which backend servers are taken out of use.
"""

from __future__ import annotations

import hashlib
import json
from functools import cached_property
from pathlib import Path
from typing import Annotated, Any, final

from pydantic import Field

from masticdeck.ids import (
    CustomerId,
    InstanceId,
    PlanId,
    Rank,
    RegionId,
    ServiceId,
    Version,
)
from masticdeck.state.deployment import Model

DIGEST_CHARACTERS = 32


class Customer(Model):
    """One customer under contract."""

    id: Annotated[CustomerId, Field(min_length=1, max_length=64, pattern=r"^[\w.-]+$")]
    plan: PlanId
    services: tuple[ServiceId, ...]
    veto: bool = False


class Plan(Model):
    """What a plan may use.

    ``capacity`` is the largest part (0 to 1) of each service's slots in the
    plan's regions; ``floor`` is the part of its capacity that each rank keeps
    in a flood of the others.
    """

    id: Annotated[PlanId, Field(min_length=1, max_length=64, pattern=r"^[\w.-]+$")]
    capacity: Annotated[float, Field(gt=0, le=1)]
    regions: tuple[RegionId, ...]
    top_rank: Rank = Rank.URGENT
    floor: dict[Rank, Annotated[float, Field(ge=0, le=1)]] = Field(default_factory=dict)


class CustomerList(Model):
    """The first list."""

    customers: tuple[Customer, ...]

    @cached_property
    def by_id(self) -> dict[CustomerId, Customer]:
        """Return the customers by id."""
        return {customer.id: customer for customer in self.customers}


class PlanList(Model):
    """The second list; ``drained`` names instances that get no new work."""

    plans: tuple[Plan, ...]
    drained: tuple[InstanceId, ...] = ()

    @cached_property
    def by_id(self) -> dict[PlanId, Plan]:
        """Return the plans by id."""
        return {plan.id: plan for plan in self.plans}


@final
class Lists(Model):
    """Both lists, as a proposal carries them."""

    customers: CustomerList
    plans: PlanList

    def sorted(self) -> Lists:
        """Return the same lists in the order of their ids."""
        customers = sorted(self.customers.customers, key=lambda one: one.id)
        plans = sorted(self.plans.plans, key=lambda one: one.id)
        drained = tuple(sorted(set(self.plans.drained)))
        return Lists(
            customers=CustomerList(customers=tuple(customers)),
            plans=PlanList(plans=tuple(plans), drained=drained),
        )

    @cached_property
    def digest(self) -> str:
        """Return a digest of the content that does not depend on its order."""
        document = self.sorted().model_dump(mode="json")
        text = json.dumps(document, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


class Configuration(Model):
    """An accepted configuration: both lists under one version number."""

    version: Version
    customers: CustomerList
    plans: PlanList

    @cached_property
    def lists(self) -> Lists:
        """Return the two lists without the version."""
        return Lists(customers=self.customers, plans=self.plans)


def make_configuration(version: Version, lists: Lists) -> Configuration:
    """Return a configuration of two lists."""
    return Configuration(version=version, customers=lists.customers, plans=lists.plans)


EMPTY = Lists(customers=CustomerList(customers=()), plans=PlanList(plans=()))


def schemas() -> dict[str, Any]:
    """Return the JSON schemas of the two list files by file name."""
    models: dict[str, type[Model]] = {"customers": CustomerList, "plans": PlanList}
    draft = "https://json-schema.org/draft/2020-12/schema"
    return {
        name: {"$schema": draft} | model.model_json_schema()
        for name, model in models.items()
    }


def read_text(path: Path) -> str:
    """Return a file's text; undecodable bytes are replaced and then refused."""
    return path.read_text(encoding="utf-8", errors="replace")
