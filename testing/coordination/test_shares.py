"""Shares: holdings, ledger and balance; sessions over real streams."""

from __future__ import annotations

import pytest

from masticdeck.coordination import held_units as held_units_module
from masticdeck.coordination.held_units import HeldUnits
from masticdeck.coordination.share_balance import balance
from masticdeck.coordination.share_ledger import (
    DISCONNECT_NOTICE_S,
    HolderRecord,
    UnitLedger,
)
from masticdeck.coordination.shares import Shares
from masticdeck.coordination.units import Unit
from masticdeck.ids import EntryId, Incarnation, InstanceId, RegionId, ServiceId
from testing.coordination.helpers import (
    MemoryStore,
    Peer,
    make_deployment,
    make_node,
    until,
)

REGION = RegionId("vidzeme")
SERVICE = ServiceId("katalogs")
LONGEST_WAIT_S = 10.0


class Clock:
    """A settable boot time."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(held_units_module, "boottime", clock)
    return clock


@pytest.fixture
def ledger() -> UnitLedger:
    ledger = UnitLedger(make_deployment(3), REGION)
    ledger.free_unknown_units()
    return ledger


@pytest.fixture
def holding(clock: Clock) -> HeldUnits:
    holding = HeldUnits(REGION, {InstanceId("a"): SERVICE})
    holding.extend_validity(clock.now, 10.0)
    holding.add_granted({Unit(InstanceId("a"), 0), Unit(InstanceId("a"), 1)})
    return holding


def connected(ledger: UnitLedger, entry: str) -> HolderRecord:
    holder = ledger.get_or_create_holder(EntryId(entry), Incarnation(1), 0.0)
    holder.connected = True
    holder.is_local = True
    return holder


def units_of(ledger: UnitLedger, holder: HolderRecord) -> int:
    return holder.count_units(ledger, SERVICE)


def test_a_unit_is_not_taken_once_its_grant_has_lapsed(holding, clock):
    assert holding.try_acquire(InstanceId("a")) is not None
    clock.now += 9.9
    assert holding.try_acquire(InstanceId("a")) is None


def test_validity_counts_from_the_sending_of_the_report(holding, clock):
    clock.now += 60.0
    holding.extend_validity(clock.now - 30.0, 10.0)
    assert not holding.is_valid()


def test_a_unit_in_use_is_released_only_when_its_request_ends(holding):
    unit = holding.try_acquire(InstanceId("a"))
    holding.recall({unit})
    assert unit in holding.units()
    assert holding.release(unit)
    assert unit not in holding.units()


def test_lapsed_idle_units_are_not_claimed_but_busy_ones_are(holding, clock):
    unit = holding.try_acquire(InstanceId("a"))
    clock.now += 60.0
    holding.discard_expired_idle()
    assert holding.units() == {unit}


def test_a_leaving_instance_gives_no_slot(holding):
    holding.mark_leaving(InstanceId("a"))
    assert holding.try_acquire(InstanceId("a")) is None
    assert len(holding.returned_units) == 2


def test_a_unit_of_one_holder_cannot_be_claimed_by_another(ledger):
    first, second = connected(ledger, "entry-1"), connected(ledger, "entry-2")
    units = ledger.grant(first, SERVICE, 2)
    assert ledger.claim_units(second, units) == units
    assert units_of(ledger, second) == 0


def test_units_of_a_silent_holder_return_after_grant_and_longest_wait(ledger):
    holder = connected(ledger, "entry-1")
    ledger.grant(holder, SERVICE, 4)
    ledger.record_grant_validity(holder, 110.0)
    assert ledger.expire_grants(110.0 + LONGEST_WAIT_S) == []
    assert ledger.expire_grants(111.0 + LONGEST_WAIT_S) == [holder]
    assert units_of(ledger, holder) == 0


def test_units_of_an_ended_process_return_after_the_backends_noticed(ledger):
    holder = connected(ledger, "entry-1")
    before = len(ledger.free_units[SERVICE])
    ledger.grant(holder, SERVICE, 4)
    ledger.quarantine_units(holder, 100.0)
    ledger.expire_grants(100.0 + DISCONNECT_NOTICE_S / 2)
    assert len(ledger.free_units[SERVICE]) == before - 4
    ledger.expire_grants(100.1 + DISCONNECT_NOTICE_S)
    assert len(ledger.free_units[SERVICE]) == before


def test_idle_units_are_spread_evenly(ledger):
    holders = [connected(ledger, f"entry-{n}") for n in (1, 2, 3)]
    balance(ledger)
    counts = [units_of(ledger, holder) for holder in holders]
    assert max(counts) - min(counts) <= 1
    assert sum(counts) == ledger.capacity[SERVICE]


def test_idle_units_are_asked_back_for_waiting_work(ledger):
    first, second = connected(ledger, "entry-1"), connected(ledger, "entry-2")
    balance(ledger)
    second.waiting[SERVICE] = 5
    second.idle[SERVICE] = 0
    plan = balance(ledger)
    assert plan.idle_recalls[first.id][SERVICE] == 5


def test_overload_moves_units_towards_the_larger_demand(ledger):
    first, second = connected(ledger, "entry-1"), connected(ledger, "entry-2")
    balance(ledger)
    for holder, waiting in ((first, 1), (second, 100)):
        holder.idle[SERVICE] = 0
        holder.waiting[SERVICE] = waiting
    assert balance(ledger).busy_recalls[first.id][SERVICE] > 0


def test_no_unit_of_a_leaving_instance_is_granted(ledger):
    holder = connected(ledger, "entry-1")
    names = [name for name, one in ledger.service_of.items() if one == SERVICE]
    ledger.leaving_instances.update(names)
    assert ledger.grant(holder, SERVICE, 10) == set()


@pytest.fixture
async def sharers():
    deployment = make_deployment(3)
    store = MemoryStore()
    made: list[tuple[Peer, Shares]] = []
    for entry in deployment.entries:
        node = make_node(deployment, entry.id, store, lease_ttl_s=0.6)
        peer = Peer(node)
        shares = Shares(node, peer.membership)
        peer.services.append(shares)
        made.append((peer, shares))
    for peer, shares in made:
        await peer.start()
        await shares.start()
    yield made
    for peer, shares in made:
        await shares.stop()
        await peer.crash()


def held(sharers, service=SERVICE) -> list[set[Unit]]:
    return [
        {
            unit
            for holding in shares.holder.held_units.values()
            for unit in holding.units()
            if holding.service_of[unit.instance] == service
        }
        for _, shares in sharers
    ]


def total(sharers) -> int:
    return sum(len(units) for units in held(sharers))


async def hold_all(sharers) -> None:
    for _, shares in sharers:
        shares.holder.report_waiting(SERVICE, 14 * 4)
    await until(lambda: total(sharers) == 14 * 4)


async def test_waiting_work_gets_every_unit_that_is_idle_elsewhere(sharers):
    holder = sharers[0][1].holder
    capacity = 14 * 4
    holder.report_waiting(SERVICE, capacity)
    await until(lambda: sum(holder.free(SERVICE).values()) == capacity)
    assert total(sharers) == capacity


async def test_a_new_owner_reads_back_and_grants_nothing_twice(sharers):
    await hold_all(sharers)
    region = next(
        (shares, owner)
        for _, shares in sharers
        for owner in shares.region_owners.values()
        if owner.settled and owner.may_grant()
    )[1]
    old = region.token
    await region.ownership.stop()
    owners = [
        shares.region_owners[region.region]
        for _, shares in sharers
        if shares.region_owners[region.region] is not region
    ]
    await until(lambda: any(one.token > old and one.settled for one in owners))
    await until(lambda: total(sharers) == 14 * 4)
    everything = held(sharers)
    assert sum(len(units) for units in everything) == len(set().union(*everything))


async def test_shares_stay_usable_while_the_store_is_down(sharers):
    await hold_all(sharers)
    store = sharers[0][0].node.store
    store.down = True
    owner = next(
        one
        for _, shares in sharers
        for one in shares.region_owners.values()
        if one.ownership.is_valid()
    )
    await until(lambda: not owner.ownership.is_valid())
    await until(owner.may_grant)
    for _, shares in sharers[1:]:
        shares.holder.report_waiting(SERVICE, 0)
    holder = sharers[0][1].holder
    await until(lambda: sum(holder.free(SERVICE).values()) == 14 * 4)
    store.down = False
