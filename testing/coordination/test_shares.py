"""Shares: held units, ledger and balancing; sessions over real streams."""

from __future__ import annotations

import pytest

from masticdeck.coordination import holding as holding_module
from masticdeck.coordination.holding import HeldUnits
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
    PeerEntry,
    make_deployment,
    make_node,
    wait_until,
)

REGION = RegionId("vidzeme")
SERVICE = ServiceId("katalogs")
MAX_AGREED_WAIT_S = 10.0


class Clock:
    """A boot-time clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(holding_module, "boottime", clock)
    return clock


@pytest.fixture
def ledger() -> UnitLedger:
    ledger = UnitLedger(make_deployment(3), REGION)
    ledger.free_unknown_units()
    return ledger


@pytest.fixture
def held_units(clock: Clock) -> HeldUnits:
    held_units = HeldUnits(REGION, {InstanceId("a"): SERVICE})
    held_units.extend_validity(clock.now, 10.0)
    held_units.add_granted({Unit(InstanceId("a"), 0), Unit(InstanceId("a"), 1)})
    return held_units


def connect_holder(ledger: UnitLedger, entry: str) -> HolderRecord:
    holder = ledger.get_or_create_holder(EntryId(entry), Incarnation(1), 0.0)
    holder.connected = True
    holder.is_local = True
    return holder


def count_units(ledger: UnitLedger, holder: HolderRecord) -> int:
    return holder.count_units(ledger, SERVICE)


def test_unit_cannot_be_acquired_after_its_grant_expired(held_units, clock):
    assert held_units.try_acquire(InstanceId("a")) is not None
    clock.now += 9.9
    assert held_units.try_acquire(InstanceId("a")) is None


def test_validity_is_measured_from_when_the_report_was_sent(held_units, clock):
    clock.now += 60.0
    held_units.extend_validity(clock.now - 30.0, 10.0)
    assert not held_units.is_valid()


def test_recalled_busy_unit_is_returned_only_when_its_request_ends(held_units):
    unit = held_units.try_acquire(InstanceId("a"))
    held_units.recall({unit})
    assert unit in held_units.units()
    assert held_units.release(unit)
    assert unit not in held_units.units()


def test_busy_units_stay_held_but_idle_ones_are_discarded_after_expiry(
    held_units, clock
):
    unit = held_units.try_acquire(InstanceId("a"))
    clock.now += 60.0
    held_units.discard_expired_idle()
    assert held_units.units() == {unit}


def test_no_unit_of_a_leaving_instance_can_be_acquired(held_units):
    held_units.mark_leaving(InstanceId("a"))
    assert held_units.try_acquire(InstanceId("a")) is None
    assert len(held_units.returned_units) == 2


def test_unit_of_one_holder_cannot_be_claimed_by_another(ledger):
    first, second = connect_holder(ledger, "entry-1"), connect_holder(ledger, "entry-2")
    units = ledger.grant(first, SERVICE, 2)
    assert ledger.claim_units(second, units) == units
    assert count_units(ledger, second) == 0


def test_units_of_a_silent_holder_are_freed_after_grant_and_maximum_wait(ledger):
    holder = connect_holder(ledger, "entry-1")
    ledger.grant(holder, SERVICE, 4)
    ledger.record_grant_validity(holder, 110.0)
    assert ledger.expire_grants(110.0 + MAX_AGREED_WAIT_S) == []
    assert ledger.expire_grants(111.0 + MAX_AGREED_WAIT_S) == [holder]
    assert count_units(ledger, holder) == 0


def test_units_of_an_ended_process_are_freed_after_the_disconnect_notice(ledger):
    holder = connect_holder(ledger, "entry-1")
    initially_free = len(ledger.free_units[SERVICE])
    ledger.grant(holder, SERVICE, 4)
    ledger.quarantine_units(holder, 100.0)
    ledger.expire_grants(100.0 + DISCONNECT_NOTICE_S / 2)
    assert len(ledger.free_units[SERVICE]) == initially_free - 4
    ledger.expire_grants(100.1 + DISCONNECT_NOTICE_S)
    assert len(ledger.free_units[SERVICE]) == initially_free


def test_free_units_are_spread_evenly_while_no_request_waits(ledger):
    holders = [connect_holder(ledger, f"entry-{n}") for n in (1, 2, 3)]
    balance(ledger)
    counts = [count_units(ledger, holder) for holder in holders]
    assert max(counts) - min(counts) <= 1
    assert sum(counts) == ledger.capacity[SERVICE]


def test_idle_units_are_recalled_for_waiting_requests(ledger):
    first, second = connect_holder(ledger, "entry-1"), connect_holder(ledger, "entry-2")
    balance(ledger)
    second.waiting[SERVICE] = 5
    second.idle[SERVICE] = 0
    plan = balance(ledger)
    assert plan.idle_recalls[first.id][SERVICE] == 5


def test_busy_units_are_recalled_from_the_holder_with_less_demand(ledger):
    first, second = connect_holder(ledger, "entry-1"), connect_holder(ledger, "entry-2")
    balance(ledger)
    for holder, waiting in ((first, 1), (second, 100)):
        holder.idle[SERVICE] = 0
        holder.waiting[SERVICE] = waiting
    assert balance(ledger).busy_recalls[first.id][SERVICE] > 0


def test_no_unit_of_a_leaving_instance_is_granted(ledger):
    holder = connect_holder(ledger, "entry-1")
    instances = [
        instance
        for instance, service in ledger.service_of.items()
        if service == SERVICE
    ]
    ledger.leaving_instances.update(instances)
    assert ledger.grant(holder, SERVICE, 10) == set()


@pytest.fixture
async def share_nodes():
    deployment = make_deployment(3)
    store = MemoryStore()
    started: list[tuple[PeerEntry, Shares]] = []
    for entry in deployment.entries:
        node = make_node(deployment, entry.id, store, lease_ttl_s=0.6)
        peer = PeerEntry(node)
        shares = Shares(node, peer.membership)
        peer.services.append(shares)
        started.append((peer, shares))
    for peer, shares in started:
        await peer.start()
        await shares.start()
    yield started
    for peer, shares in started:
        await shares.stop()
        await peer.crash()


def held_units_by_node(share_nodes, service=SERVICE) -> list[set[Unit]]:
    return [
        {
            unit
            for held_units in shares.holder.units_by_region.values()
            for unit in held_units.units()
            if held_units.service_of[unit.instance] == service
        }
        for _, shares in share_nodes
    ]


def count_held(share_nodes) -> int:
    return sum(len(units) for units in held_units_by_node(share_nodes))


async def wait_until_all_held(share_nodes) -> None:
    for _, shares in share_nodes:
        shares.holder.report_waiting(SERVICE, 14 * 4)
    await wait_until(lambda: count_held(share_nodes) == 14 * 4)


async def test_waiting_requests_get_every_unit_that_is_idle_elsewhere(share_nodes):
    holder = share_nodes[0][1].holder
    capacity = 14 * 4
    holder.report_waiting(SERVICE, capacity)
    await wait_until(lambda: sum(holder.free_slots(SERVICE).values()) == capacity)
    assert count_held(share_nodes) == capacity


async def test_new_owner_reads_back_and_grants_no_unit_twice(share_nodes):
    await wait_until_all_held(share_nodes)
    old_owner = next(
        (shares, owner)
        for _, shares in share_nodes
        for owner in shares.region_owners.values()
        if owner.settled and owner.may_grant()
    )[1]
    old_token = old_owner.token
    await old_owner.ownership.stop()
    owners = [
        shares.region_owners[old_owner.region]
        for _, shares in share_nodes
        if shares.region_owners[old_owner.region] is not old_owner
    ]
    await wait_until(
        lambda: any(owner.token > old_token and owner.settled for owner in owners)
    )
    await wait_until(lambda: count_held(share_nodes) == 14 * 4)
    held_units = held_units_by_node(share_nodes)
    assert sum(len(units) for units in held_units) == len(set().union(*held_units))


async def test_shares_move_while_the_store_is_down(share_nodes):
    await wait_until_all_held(share_nodes)
    store = share_nodes[0][0].node.store
    store.down = True
    owner = next(
        owner
        for _, shares in share_nodes
        for owner in shares.region_owners.values()
        if owner.ownership.is_valid()
    )
    await wait_until(lambda: not owner.ownership.is_valid())
    await wait_until(owner.may_grant)
    for _, shares in share_nodes[1:]:
        shares.holder.report_waiting(SERVICE, 0)
    holder = share_nodes[0][1].holder
    await wait_until(lambda: sum(holder.free_slots(SERVICE).values()) == 14 * 4)
    store.down = False
