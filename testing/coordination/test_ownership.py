"""Ownership: a single owner, fencing, lost answers, pauses and store outages."""

from __future__ import annotations

import copy
from types import SimpleNamespace
from typing import Any

import pytest

from bench.standins.platform import Platform
from masticdeck.coordination import ownership as ownership_module
from masticdeck.coordination.ownership import Fence, Ownership, rendezvous_order
from masticdeck.entry.operator_views import status_view
from masticdeck.ids import EntryId, FencingToken
from masticdeck.protocol.positions import counter_of
from testing.coordination.helpers import (
    MemoryStore,
    make_deployment,
    make_node,
    wait_until,
)
from testing.memory_store import MemoryStore as HttpMemoryStore

TTL_S = 0.6


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def make_ownership(store: MemoryStore) -> Any:
    deployment = make_deployment(3)

    def build(entry: str) -> Ownership:
        return Ownership(make_node(deployment, entry, store), "region/x", ttl_s=TTL_S)

    return build


async def test_second_candidate_acquires_a_larger_token_after_the_first_stops(
    make_ownership,
):
    first, second = make_ownership("entry-1"), make_ownership("entry-2")
    await first.start()
    await wait_until(first.is_valid)
    await second.start()
    await wait_until(lambda: second.owner == "entry-1")
    assert not second.is_valid()
    first_token = first.token
    await first.stop()
    await wait_until(second.is_valid)
    assert second.token > first_token
    await second.stop()


async def test_write_whose_answer_was_lost_is_detected_by_reading_the_key(
    make_ownership, store
):
    owner = make_ownership("entry-1")
    store.lose_answers = 1
    await owner.start()
    await wait_until(owner.is_valid)
    assert store.revision == 1
    await owner.stop()


async def test_ownership_is_invalid_after_a_pause_longer_than_the_lease(
    make_ownership, monkeypatch
):
    owner = make_ownership("entry-1")
    await owner.start()
    await wait_until(owner.is_valid)
    after_expiry = ownership_module.boottime() + TTL_S
    monkeypatch.setattr(ownership_module, "boottime", lambda: after_expiry)
    assert not owner.is_valid()
    assert not owner.may_act_without_store(600.0)
    await owner.stop()


async def test_expired_lease_is_usable_only_while_the_store_is_unavailable(
    make_ownership, store
):
    owner = make_ownership("entry-1")
    await owner.start()
    await wait_until(owner.is_valid)
    store.down = True
    await wait_until(lambda: owner.may_act_without_store(600.0))
    assert not owner.is_valid()
    assert not owner.may_act_without_store(0.0)
    store.leases.clear()
    store.items.clear()
    store.down = False
    previous_token = owner.token
    await wait_until(lambda: owner.token not in (0, previous_token))
    await owner.stop()


async def test_owner_of_an_earlier_era_is_fenced_although_its_counter_was_higher():
    """Guards against two owners after the store came back from an older copy."""
    platform = Platform()
    stores = [HttpMemoryStore(platform), HttpMemoryStore(platform)]
    deployment = make_deployment(3)
    first, second = (
        Ownership(make_node(deployment, entry, store), "region/x", ttl_s=30.0)
        for entry, store in zip(("entry-1", "entry-2"), stores, strict=True)
    )
    earlier = copy.deepcopy(platform.state)
    for number in range(20):
        await stores[0].put(f"unrelated/{number}", b"")
    await first.start()
    await wait_until(first.is_valid)
    platform.restore(earlier)
    await second.start()
    await wait_until(second.is_valid)
    assert counter_of(second.token) < counter_of(first.token)
    fence = Fence()
    assert fence.accept("region/x", second.token)
    assert not fence.accept("region/x", first.token)
    stores[0].note_era(stores[1].era)
    assert not first.is_valid()
    rollout = SimpleNamespace(version=1, digest="", is_initialized=False)
    view = status_view(first.node, rollout)
    assert (view["era"], view["era_age_s"] is None) == (1, True)
    for owner in (first, second):
        await owner.stop()


def test_fence_refuses_a_lower_token():
    fence = Fence()
    assert fence.accept("a", FencingToken(5))
    assert not fence.accept("a", FencingToken(4))
    assert fence.accept("b", FencingToken(1))


def test_removing_an_entry_keeps_the_order_of_the_others():
    entries = [EntryId(f"entry-{n}") for n in range(20)]
    order = rendezvous_order("region/x", entries)
    order.remove(entries[3])
    assert order == rendezvous_order(
        "region/x", [entry for entry in entries if entry != entries[3]]
    )
