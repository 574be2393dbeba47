"""Which units an owner grants, and which it asks back, by service.

Free units go to holders with waiting work; with none waiting they are dealt
out evenly, so that work finds a unit at once wherever it arrives. When no unit
is free, holders without waiting work are asked for idle ones; when all have
waiting work, those above their part of the demand give up units as their
requests end.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from masticdeck.coordination.share_ledger import HolderRecord, UnitLedger
from masticdeck.coordination.units import Unit
from masticdeck.ids import EntryId, ServiceId

FAIR_SHARE_SLACK_UNITS = 1


@dataclass(slots=True)
class BalancePlan:
    """Outcome of one round: units granted, and counts asked back by holder."""

    granted: dict[EntryId, set[Unit]] = field(default_factory=dict)
    idle_recalls: dict[EntryId, Counter[ServiceId]] = field(default_factory=dict)
    busy_recalls: dict[EntryId, Counter[ServiceId]] = field(default_factory=dict)


def balance(ledger: UnitLedger) -> BalancePlan:
    """Move free units in the ledger and return what holders have to be told."""
    plan = BalancePlan()
    holders = [holder for holder in ledger.holders.values() if holder.connected]
    for service in ledger.capacity:
        held = {holder.id: holder.count_units(ledger, service) for holder in holders}
        need = grant_to_waiting(ledger, plan, holders, service, held)
        if sum(need.values()):
            recall_idle(plan, holders, service, held, need)
            recall_excess(plan, holders, service, held, need)
        else:
            spread_free_units(ledger, plan, holders, service, held)
    return plan


def grant_to_waiting(
    ledger: UnitLedger,
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    held: dict[EntryId, int],
) -> Counter[EntryId]:
    """Grant free units one by one to the neediest; return what stays unmet."""
    need = Counter(
        {
            holder.id: holder.waiting[service] - holder.idle[service]
            for holder in holders
            if holder.waiting[service] > holder.idle[service]
        }
    )
    by_id = {holder.id: holder for holder in holders}
    while need:
        entry = max(need, key=lambda one: (need[one] / (1 + held[one]), one))
        units = ledger.grant(by_id[entry], service, 1)
        if not units:
            break
        plan.granted.setdefault(entry, set()).update(units)
        by_id[entry].idle[service] += 1
        held[entry] += 1
        need[entry] -= 1
        if need[entry] <= 0:
            del need[entry]
    return need


def recall_idle(
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    held: dict[EntryId, int],
    need: Counter[EntryId],
) -> None:
    """Ask holders without waiting work for idle units, now or as they become so."""
    left = sum(need.values())
    donors = [one for one in holders if not one.waiting[service] and held[one.id]]
    donors.sort(key=lambda one: -one.idle[service])
    for holder in donors:
        count = min(left, holder.idle[service])
        left -= count
        plan.idle_recalls.setdefault(holder.id, Counter())[service] = count
    if left:
        for holder in donors:
            plan.idle_recalls[holder.id][service] = min(
                held[holder.id], plan.idle_recalls[holder.id][service] + left
            )


def recall_excess(
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    held: dict[EntryId, int],
    need: Counter[EntryId],
) -> None:
    """Ask holders above their part of the demand for units as requests end."""
    demand = {
        holder.id: held[holder.id] - holder.idle[service] + holder.waiting[service]
        for holder in holders
    }
    total = sum(demand.values())
    capacity = sum(held.values())
    if not total:
        return
    fair = {entry: capacity * part / total for entry, part in demand.items()}
    short = sum(
        max(0, math.floor(fair[entry]) - held[entry] - FAIR_SHARE_SLACK_UNITS)
        for entry in need
    )
    for holder in holders:
        if not holder.waiting[service]:
            continue
        excess = held[holder.id] - math.ceil(fair[holder.id]) - FAIR_SHARE_SLACK_UNITS
        count = min(short, max(0, excess))
        if count > 0:
            plan.busy_recalls.setdefault(holder.id, Counter())[service] = count
            short -= count


def spread_free_units(
    ledger: UnitLedger,
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    held: dict[EntryId, int],
) -> None:
    """Deal free units out to the region's own holders that have fewest."""
    by_id = {holder.id: holder for holder in holders if holder.is_local}
    while by_id:
        entry = min(by_id, key=lambda one: (held[one], one))
        units = ledger.grant(by_id[entry], service, 1)
        if not units:
            return
        plan.granted.setdefault(entry, set()).update(units)
        by_id[entry].idle[service] += 1
        held[entry] += 1
