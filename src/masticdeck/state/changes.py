"""Deltas between two configurations, and which customers a change touches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar, final

from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId, InstanceId, RegionId
from masticdeck.state.deployment import Deployment, Model
from masticdeck.state.lists import Customer, CustomerList, Lists, Plan, PlanList

ItemT = TypeVar("ItemT", Customer, Plan)


class DeltaConflict(MasticdeckError):
    """A delta changes an item that is no longer as the delta found it."""

    code = "MD4002"
    title = "the change conflicts with a version accepted since its base"
    remedy = (
        "run masticdeckctl show to see the lists in force, make the edit on them "
        "and propose again"
    )
    status = 409


class Edit(Model, Generic[ItemT]):
    """One item before and after; None when it is added or removed."""

    before: ItemT | None
    after: ItemT | None


@final
class Delta(Model):
    """What a change does to the two lists, item by item."""

    customers: tuple[Edit[Customer], ...] = ()
    plans: tuple[Edit[Plan], ...] = ()
    drained: tuple[InstanceId, ...] = ()
    undrained: tuple[InstanceId, ...] = ()

    @property
    def empty(self) -> bool:
        """Return whether nothing changes."""
        return not (self.customers or self.plans or self.drained or self.undrained)


def make_delta(old: Lists, new: Lists) -> Delta:
    """Return the delta that turns one pair of lists into another."""
    before, after = set(old.plans.drained), set(new.plans.drained)
    return Delta(
        customers=edits(old.customers.customers, new.customers.customers),
        plans=edits(old.plans.plans, new.plans.plans),
        drained=tuple(sorted(after - before)),
        undrained=tuple(sorted(before - after)),
    )


def edits(old: tuple[ItemT, ...], new: tuple[ItemT, ...]) -> tuple[Edit[ItemT], ...]:
    """Return an edit for each item that differs, in the order of the ids."""
    before = {str(item.id): item for item in old}
    after = {str(item.id): item for item in new}
    return tuple(
        Edit(before=before.get(name), after=after.get(name))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    )


def apply_delta(lists: Lists, delta: Delta) -> Lists:
    """Return the lists after a delta, sorted by id; raises DeltaConflict."""
    customers = merge(lists.customers.customers, delta.customers)
    plans = merge(lists.plans.plans, delta.plans)
    drained = (set(lists.plans.drained) | set(delta.drained)) - set(delta.undrained)
    return Lists(
        customers=CustomerList(customers=customers),
        plans=PlanList(plans=plans, drained=tuple(sorted(drained))),
    )


def merge(
    items: tuple[ItemT, ...], changes: tuple[Edit[ItemT], ...]
) -> tuple[ItemT, ...]:
    """Return items after edits; raises DeltaConflict with every id at odds."""
    merged = {str(item.id): item for item in items}
    at_odds: list[str] = []
    for edit in changes:
        item = edit.after or edit.before
        if item is None:
            continue
        if merged.get(item.id) not in (edit.before, edit.after):
            at_odds.append(item.id)
        elif edit.after is None:
            merged.pop(item.id, None)
        else:
            merged[item.id] = edit.after
    if at_odds:
        raise DeltaConflict(f"changed since the base: {', '.join(sorted(at_odds))}")
    return tuple(merged[name] for name in sorted(merged))


@final
@dataclass(frozen=True, slots=True)
class Touch:
    """A customer whom a change touches, and why.

    ``shared`` is true when only a region that it shares with a changed
    customer makes the change touch it.
    """

    customer: CustomerId
    reasons: tuple[str, ...]
    shared: bool
    veto: bool


def touched(old: Lists, new: Lists, deployment: Deployment) -> tuple[Touch, ...]:
    """Return the customers whom a change touches, by id.

    A customer is touched when its own line, its plan or an instance of its
    services changes, and when another customer may use more than before of a
    region that its plan names. Whether it holds a veto is read from the old
    lists, so that no change can take away the right to stop it.
    """
    delta = make_delta(old, new)
    found: dict[CustomerId, Touch] = {}
    ids = sorted(old.customers.by_id.keys() | new.customers.by_id.keys())
    direct = {name: direct_reasons(name, old, new, delta, deployment) for name in ids}
    grown = {name: grown_regions(name, old, new) for name in ids}
    for name in ids:
        shared = [
            f"{other} may use more of region {region}"
            for other in ids
            if other != name
            for region in sorted(grown[other] & regions_of(name, old))
        ]
        if direct[name] or shared:
            before = old.customers.by_id.get(name)
            found[name] = Touch(
                customer=name,
                reasons=tuple(direct[name] + shared),
                shared=not direct[name],
                veto=before is not None and before.veto,
            )
    return tuple(found.values())


def direct_reasons(
    name: CustomerId, old: Lists, new: Lists, delta: Delta, deployment: Deployment
) -> list[str]:
    """Return why a change touches a customer's own line, plan or services."""
    before, after = old.customers.by_id.get(name), new.customers.by_id.get(name)
    reasons: list[str] = []
    if before is None or after is None:
        return ["the customer is added" if before is None else "it is removed"]
    if before != after:
        reasons.append("its line in the customer list changes")
    if old.plans.by_id.get(before.plan) != new.plans.by_id.get(before.plan):
        reasons.append(f"its plan {before.plan} changes")
    for change, verb in ((delta.drained, "drained"), (delta.undrained, "back in use")):
        for one in change:
            instance = deployment.instance_by_id.get(one)
            if instance is not None and instance.service in before.services:
                reasons.append(f"instance {one} of {instance.service} is {verb}")
    return reasons


def plan_of(name: CustomerId, lists: Lists) -> Plan | None:
    """Return the plan of a customer, or None without one."""
    customer = lists.customers.by_id.get(name)
    return None if customer is None else lists.plans.by_id.get(customer.plan)


def regions_of(name: CustomerId, lists: Lists) -> set[RegionId]:
    """Return the regions that a customer's plan names."""
    plan = plan_of(name, lists)
    return set() if plan is None else set(plan.regions)


def grown_regions(name: CustomerId, old: Lists, new: Lists) -> set[RegionId]:
    """Return the regions of which a customer may use more than before."""
    before, after = plan_of(name, old), plan_of(name, new)
    if after is None:
        return set()
    if before is None:
        return set(after.regions)
    services_before = set(old.customers.by_id[name].services)
    services_after = set(new.customers.by_id[name].services)
    more = (
        after.capacity > before.capacity
        or after.top_rank.order < before.top_rank.order
        or any(part > before.floor.get(rank, 0) for rank, part in after.floor.items())
        or bool(services_after - services_before)
    )
    regions = set(after.regions)
    return regions if more else regions - set(before.regions)
