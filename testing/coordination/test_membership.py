"""Membership over real streams: arrival, leaving, death, silence, refutation."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from masticdeck.ids import EntryId, MemberState
from testing.coordination.helpers import Peer, make_deployment, make_node, until

ENTRIES = 9


@pytest_asyncio.fixture
async def peers() -> AsyncIterator[list[Peer]]:
    deployment = make_deployment(ENTRIES)
    made = [Peer(make_node(deployment, entry.id)) for entry in deployment.entries]
    for peer in made:
        await peer.start()
    yield made
    for peer in made:
        await peer.crash()


def everyone_sees(peers: list[Peer], entry: str, state: MemberState) -> bool:
    return all(
        peer.membership.members[EntryId(entry)].state is state
        for peer in peers
        if peer.node.id != entry
    )


async def test_every_entry_learns_of_every_entry(peers):
    await until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    await until(lambda: len({p.membership.digest for p in peers}) == 1)


async def test_a_leaving_entry_is_left_out_of_new_work_everywhere(peers):
    await until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    peers[4].membership.leave()
    leaving = peers[4].node.id
    await until(lambda: everyone_sees(peers, leaving, MemberState.LEAVING))
    assert all(leaving not in p.membership.alive_entries() for p in peers)


@pytest.mark.parametrize("index", [0, 5, 8], ids=["relay", "middle", "last"])
async def test_a_dead_process_is_gone_everywhere_by_its_refused_port(peers, index):
    await until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    dead = peers.pop(index)
    await dead.crash()
    await until(lambda: everyone_sees(peers, dead.node.id, MemberState.GONE))


async def test_a_false_claim_of_death_is_refuted(peers):
    await until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    victim = peers[3].node.id
    accuser = peers[0].membership
    accuser.claim_state(accuser.members[victim], MemberState.GONE)
    await until(lambda: accuser.members[victim].counter > 0)
    await until(lambda: everyone_sees(peers, victim, MemberState.ALIVE))
