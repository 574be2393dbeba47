"""Membership over real streams: joining, leaving, process end and refutation."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from masticdeck.ids import EntryId, MemberState
from testing.coordination.helpers import (
    PeerEntry,
    make_deployment,
    make_node,
    wait_until,
)

ENTRIES = 9


@pytest_asyncio.fixture
async def peers() -> AsyncIterator[list[PeerEntry]]:
    deployment = make_deployment(ENTRIES)
    started = [
        PeerEntry(make_node(deployment, entry.id)) for entry in deployment.entries
    ]
    for peer in started:
        await peer.start()
    yield started
    for peer in started:
        await peer.crash()


def all_peers_observe(peers: list[PeerEntry], entry: str, state: MemberState) -> bool:
    return all(
        peer.membership.members[EntryId(entry)].state is state
        for peer in peers
        if peer.node.id != entry
    )


async def test_every_entry_observes_every_other_entry(peers):
    await wait_until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    await wait_until(lambda: len({p.membership.digest for p in peers}) == 1)


async def test_leaving_entry_is_excluded_from_new_work_everywhere(peers):
    await wait_until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    peers[4].membership.leave()
    leaving = peers[4].node.id
    await wait_until(lambda: all_peers_observe(peers, leaving, MemberState.LEAVING))
    assert all(leaving not in p.membership.alive_entries() for p in peers)


@pytest.mark.parametrize("index", [0, 5, 8], ids=["relay", "middle", "last"])
async def test_process_whose_port_refuses_connections_is_gone_everywhere(peers, index):
    await wait_until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    crashed = peers.pop(index)
    await crashed.crash()
    await wait_until(
        lambda: all_peers_observe(peers, crashed.node.id, MemberState.GONE)
    )


async def test_false_claim_that_an_entry_is_gone_is_refuted(peers):
    await wait_until(
        lambda: all(len(p.membership.alive_entries()) == ENTRIES for p in peers)
    )
    accused = peers[3].node.id
    accuser = peers[0].membership
    accuser.claim_state(accuser.members[accused], MemberState.GONE)
    await wait_until(lambda: accuser.members[accused].counter > 0)
    await wait_until(lambda: all_peers_observe(peers, accused, MemberState.ALIVE))
