"""Checks of the two lists against each other and against the deployment.

All faults are returned at once; each names file, line, field and remedy.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import final

from masticdeck.errors import MasticdeckError
from masticdeck.ids import RegionId, ServiceId
from masticdeck.state.deployment import Deployment
from masticdeck.state.documents import (
    Document,
    Fault,
    FieldPath,
    parse_document,
    validate,
)
from masticdeck.state.lists import Customer, CustomerList, Lists, Plan, PlanList

CUSTOMERS_FILE = "customers.jsonc"
PLANS_FILE = "plans.jsonc"
ROUNDING = 1e-9
MAX_FAULTS_SHOWN = 50


class ListsInvalid(MasticdeckError):
    """The two lists have errors, all listed in the detail, one on each line."""

    code = "MD1102"
    title = "lists invalid"
    remedy = "correct the named fields and check again"
    status = 422

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(one) for one in self.faults[:MAX_FAULTS_SHOWN]))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ListSources:
    """Both documents, which give faults their files and lines."""

    customers: Document
    plans: Document


def read_lists(
    customers: str,
    plans: str,
    deployment: Deployment,
    *,
    customers_file: str = CUSTOMERS_FILE,
    plans_file: str = PLANS_FILE,
) -> Lists:
    """Return the lists in two texts, or raise ListsInvalid with every fault."""
    sources = ListSources(
        customers=parse_document(customers, file=customers_file),
        plans=parse_document(plans, file=plans_file),
    )
    customer_list, faults = validate(sources.customers, CustomerList)
    plan_list, more = validate(sources.plans, PlanList)
    faults += more
    if customer_list is None or plan_list is None:
        raise ListsInvalid(sorted(faults))
    lists = Lists(customers=customer_list, plans=plan_list)
    faults = list(cross_check(lists, deployment, sources))
    if faults:
        raise ListsInvalid(sorted(faults))
    return lists


def check_lists(lists: Lists, deployment: Deployment) -> list[Fault]:
    """Return the faults of lists that came without their files."""
    sources = ListSources(
        customers=Document(CUSTOMERS_FILE, None, {}),
        plans=Document(PLANS_FILE, None, {}),
    )
    return sorted(cross_check(lists, deployment, sources))


def cross_check(
    lists: Lists, deployment: Deployment, sources: ListSources
) -> Iterator[Fault]:
    """Yield every fault of valid lists against each other and the deployment."""
    yield from check_customers(lists, deployment, sources.customers)
    yield from check_plans(lists, deployment, sources.plans)
    yield from check_drained(lists, deployment, sources.plans)
    yield from check_regions(lists, deployment, sources.customers)
    yield from check_capacity(lists, sources.customers)


def check_customers(
    lists: Lists, deployment: Deployment, document: Document
) -> Iterator[Fault]:
    """Yield unknown plans and services, and ids that occur twice."""
    seen = Counter(one.id for one in lists.customers.customers)
    for index, customer in enumerate(lists.customers.customers):
        path: FieldPath = ("customers", index)
        if seen[customer.id] > 1:
            problem = f"customer {customer.id!r} occurs twice"
            yield document.fault((*path, "id"), problem, "keep one of the two")
        if customer.plan not in lists.plans.by_id:
            problem = f"plan {customer.plan!r} is not in the plan list"
            remedy = f"use one of {join(lists.plans.by_id)} or add the plan"
            yield document.fault((*path, "plan"), problem, remedy)
        for position, service in enumerate(customer.services):
            field = (*path, "services", position)
            if service not in deployment.service_by_id:
                problem = f"service {service!r} is not in the deployment"
                remedy = f"use one of {join(deployment.service_by_id)}"
                yield document.fault(field, problem, remedy)
            elif service in customer.services[:position]:
                problem = f"service {service!r} occurs twice"
                yield document.fault(field, problem, "keep one of the two")


def check_plans(
    lists: Lists, deployment: Deployment, document: Document
) -> Iterator[Fault]:
    """Yield unknown regions, ids that occur twice and floors beyond one."""
    seen = Counter(one.id for one in lists.plans.plans)
    for index, plan in enumerate(lists.plans.plans):
        path: FieldPath = ("plans", index)
        if seen[plan.id] > 1:
            problem = f"plan {plan.id!r} occurs twice"
            yield document.fault((*path, "id"), problem, "keep one of the two")
        if not plan.regions:
            remedy = f"name at least one of {join(deployment.regions)}"
            yield document.fault((*path, "regions"), "no region is named", remedy)
        for position, region in enumerate(plan.regions):
            if region not in deployment.regions:
                problem = f"region {region!r} is not in the deployment"
                remedy = f"use one of {join(deployment.regions)}"
                yield document.fault((*path, "regions", position), problem, remedy)
        total = sum(plan.floor.values())
        if total > 1 + ROUNDING:
            problem = f"the floors sum to {total:.2f}"
            remedy = "lower them until they sum to at most 1"
            yield document.fault((*path, "floor"), problem, remedy)


def check_drained(
    lists: Lists, deployment: Deployment, document: Document
) -> Iterator[Fault]:
    """Yield unknown instances and services that would lose their last one."""
    left = dict.fromkeys(deployment.service_by_id, 0)
    for instance in deployment.instances:
        left[instance.service] += instance.id not in lists.plans.drained
    for position, name in enumerate(lists.plans.drained):
        path: FieldPath = ("drained", position)
        drained = deployment.instance_by_id.get(name)
        if drained is None:
            problem = f"instance {name!r} is not in the deployment"
            yield document.fault(path, problem, "use an instance of the deployment")
        elif left[drained.service] == 0:
            problem = f"this drains the last instance of {drained.service!r}"
            yield document.fault(path, problem, "leave at least one instance in use")


def usable_slots(
    lists: Lists, deployment: Deployment
) -> dict[tuple[RegionId, ServiceId], int]:
    """Return the slots that are not drained by region and service."""
    slots: dict[tuple[RegionId, ServiceId], int] = defaultdict(int)
    for instance in deployment.instances:
        if instance.id not in lists.plans.drained:
            region = deployment.region_of[instance.zone]
            slots[region, instance.service] += instance.slots
    return slots


def check_regions(
    lists: Lists, deployment: Deployment, document: Document
) -> Iterator[Fault]:
    """Yield the services of customers that no region of their plan can bear."""
    slots = usable_slots(lists, deployment)
    for index, customer in enumerate(lists.customers.customers):
        plan = lists.plans.by_id.get(customer.plan)
        if plan is None or not plan.regions:
            continue
        for position, service in enumerate(customer.services):
            usable = sum(slots.get((region, service), 0) for region in plan.regions)
            known = service in deployment.service_by_id
            if known and usable * plan.capacity < 1 - ROUNDING:
                problem = (
                    f"no region of plan {plan.id!r} can bear {service!r}: "
                    f"{usable} usable slots at capacity {plan.capacity:g}"
                )
                remedy = "add a region, raise the capacity or drain fewer instances"
                path = ("customers", index, "services", position)
                yield document.fault(path, problem, remedy)


def check_capacity(lists: Lists, document: Document) -> Iterator[Fault]:
    """Yield each service and region in which the plans sum beyond one."""
    uses: dict[tuple[RegionId, ServiceId], list[tuple[int, int, Customer, Plan]]]
    uses = defaultdict(list)
    for index, customer in enumerate(lists.customers.customers):
        plan = lists.plans.by_id.get(customer.plan)
        if plan is None:
            continue
        for position, service in enumerate(dict.fromkeys(customer.services)):
            for region in dict.fromkeys(plan.regions):
                uses[region, service].append((index, position, customer, plan))
    for (region, service), users in uses.items():
        total = sum(plan.capacity for *_, plan in users)
        if total > 1 + ROUNDING:
            index, position, *_ = users[-1]
            names = ", ".join(
                f"{customer.id} {plan.capacity:g}" for *_, customer, plan in users
            )
            problem = f"plans take {total:.2f} of {service!r} in {region!r} ({names})"
            remedy = "lower their capacity until they sum to at most 1"
            path = ("customers", index, "services", position)
            yield document.fault(path, problem, remedy)


def join(names: Iterable[str]) -> str:
    """Return names as one sorted, comma-separated text."""
    return ", ".join(sorted(names)) or "(none)"
