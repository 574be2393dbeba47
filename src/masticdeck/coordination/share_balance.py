"""Decides by service which units an owner grants and which it recalls.

Free units are granted to holders with waiting requests. If no request waits,
they are spread evenly, so that a request finds a unit at once wherever it
arrives. If no unit is free, idle units are recalled from holders without
waiting requests. If all holders have waiting requests, those above their fair
share return units as their requests end.
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
    """Result of one balancing round, by holder: granted units, recall counts.

    ``busy_recalls`` counts the units to return when their requests end.
    """

    granted: dict[EntryId, set[Unit]] = field(default_factory=dict)
    idle_recalls: dict[EntryId, Counter[ServiceId]] = field(default_factory=dict)
    busy_recalls: dict[EntryId, Counter[ServiceId]] = field(default_factory=dict)


def balance(ledger: UnitLedger) -> BalancePlan:
    """Grant free units in the ledger and return the grants and recalls."""
    plan = BalancePlan()
    holders = [holder for holder in ledger.holders.values() if holder.connected]
    for service in ledger.capacity:
        unit_counts = {
            holder.id: holder.count_units(ledger, service) for holder in holders
        }
        unmet_need = grant_to_waiting(ledger, plan, holders, service, unit_counts)
        if sum(unmet_need.values()):
            recall_idle(plan, holders, service, unit_counts, unmet_need)
            recall_excess(plan, holders, service, unit_counts, unmet_need)
        else:
            spread_free_units(ledger, plan, holders, service, unit_counts)
    return plan


def grant_to_waiting(
    ledger: UnitLedger,
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    unit_counts: dict[EntryId, int],
) -> Counter[EntryId]:
    """Grant free units one by one by highest need; return the unmet need.

    A holder's need is divided by the number of units that it already has.
    """
    unmet_need = Counter(
        {
            holder.id: holder.waiting[service] - holder.idle[service]
            for holder in holders
            if holder.waiting[service] > holder.idle[service]
        }
    )
    by_id = {holder.id: holder for holder in holders}
    while unmet_need:
        entry = max(
            unmet_need,
            key=lambda entry: (unmet_need[entry] / (1 + unit_counts[entry]), entry),
        )
        units = ledger.grant(by_id[entry], service, 1)
        if not units:
            break
        plan.granted.setdefault(entry, set()).update(units)
        by_id[entry].idle[service] += 1
        unit_counts[entry] += 1
        unmet_need[entry] -= 1
        if unmet_need[entry] <= 0:
            del unmet_need[entry]
    return unmet_need


def recall_idle(
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    unit_counts: dict[EntryId, int],
    unmet_need: Counter[EntryId],
) -> None:
    """Recall units from holders without waiting requests.

    Idle units come first. What they cannot cover is recalled as further units
    of these holders become idle.
    """
    remaining = sum(unmet_need.values())
    donors = [
        holder
        for holder in holders
        if not holder.waiting[service] and unit_counts[holder.id]
    ]
    donors.sort(key=lambda holder: -holder.idle[service])
    for holder in donors:
        count = min(remaining, holder.idle[service])
        remaining -= count
        plan.idle_recalls.setdefault(holder.id, Counter())[service] = count
    if remaining:
        for holder in donors:
            plan.idle_recalls[holder.id][service] = min(
                unit_counts[holder.id],
                plan.idle_recalls[holder.id][service] + remaining,
            )


def recall_excess(
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    unit_counts: dict[EntryId, int],
    unmet_need: Counter[EntryId],
) -> None:
    """Recall units, as requests end, from holders above their fair share."""
    demand = {
        holder.id: unit_counts[holder.id]
        - holder.idle[service]
        + holder.waiting[service]
        for holder in holders
    }
    total_demand = sum(demand.values())
    capacity = sum(unit_counts.values())
    if not total_demand:
        return
    fair_share = {
        entry: capacity * entry_demand / total_demand
        for entry, entry_demand in demand.items()
    }
    shortage = sum(
        max(
            0,
            math.floor(fair_share[entry]) - unit_counts[entry] - FAIR_SHARE_SLACK_UNITS,
        )
        for entry in unmet_need
    )
    for holder in holders:
        if not holder.waiting[service]:
            continue
        excess = (
            unit_counts[holder.id]
            - math.ceil(fair_share[holder.id])
            - FAIR_SHARE_SLACK_UNITS
        )
        count = min(shortage, max(0, excess))
        if count > 0:
            plan.busy_recalls.setdefault(holder.id, Counter())[service] = count
            shortage -= count


def spread_free_units(
    ledger: UnitLedger,
    plan: BalancePlan,
    holders: list[HolderRecord],
    service: ServiceId,
    unit_counts: dict[EntryId, int],
) -> None:
    """Grant free units one by one to the local holder that has fewest."""
    by_id = {holder.id: holder for holder in holders if holder.is_local}
    while by_id:
        entry = min(by_id, key=lambda entry: (unit_counts[entry], entry))
        units = ledger.grant(by_id[entry], service, 1)
        if not units:
            return
        plan.granted.setdefault(entry, set()).update(units)
        by_id[entry].idle[service] += 1
        unit_counts[entry] += 1
