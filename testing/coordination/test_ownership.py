"""Ownership: one owner, fencing, lost answers, pauses and outages."""

from __future__ import annotations

from typing import Any

import pytest

from masticdeck.coordination import ownership as module
from masticdeck.coordination.ownership import Fence, Ownership, rendezvous_order
from masticdeck.ids import EntryId, FencingToken
from testing.coordination.helpers import (
    MemoryStore,
    make_deployment,
    make_node,
    until,
)

TTL_S = 0.6


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def make(store: MemoryStore) -> Any:
    deployment = make_deployment(3)

    def build(entry: str) -> Ownership:
        return Ownership(make_node(deployment, entry, store), "region/x", ttl_s=TTL_S)

    return build


async def test_one_of_two_becomes_owner_and_the_other_follows(make):
    first, second = make("entry-1"), make("entry-2")
    await first.start()
    await until(first.is_valid)
    await second.start()
    await until(lambda: second.owner == "entry-1")
    assert not second.is_valid()
    old = first.token
    await first.stop()
    await until(second.is_valid)
    assert second.token > old
    await second.stop()


async def test_a_lost_answer_of_the_write_is_read_back(make, store):
    owner = make("entry-1")
    store.lose_answers = 1
    await owner.start()
    await until(owner.is_valid)
    assert store.revision == 1
    await owner.stop()


async def test_a_pause_past_the_lease_ends_validity_at_once(make, monkeypatch):
    owner = make("entry-1")
    await owner.start()
    await until(owner.is_valid)
    later = module.boottime() + TTL_S
    monkeypatch.setattr(module, "boottime", lambda: later)
    assert not owner.is_valid()
    assert not owner.may_act_without_store(600.0)
    await owner.stop()


async def test_an_owner_outlasts_an_outage_only_while_the_store_fails(make, store):
    owner = make("entry-1")
    await owner.start()
    await until(owner.is_valid)
    store.down = True
    await until(lambda: owner.may_act_without_store(600.0))
    assert not owner.is_valid()
    assert not owner.may_act_without_store(0.0)
    store.leases.clear()
    store.items.clear()
    store.down = False
    old = owner.token
    await until(lambda: owner.token not in (0, old))
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
        "region/x", [e for e in entries if e != entries[3]]
    )
