"""Uses the coordination library in one process, without the programs.

Three nodes watch each other over loopback; one becomes the owner of a name,
and when it stops another one follows with a larger token. Run it from the
root of the repository::

    PYTHONPATH=src:. python examples/embedding.py
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from aiohttp import web

from bench.fleet import free_ports, place
from bench.standins.platform import Platform, build_app
from masticdeck.clock import HybridClock
from masticdeck.config import Config
from masticdeck.coordination import Membership, Ownership
from masticdeck.events import EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import EntryId, Incarnation
from masticdeck.node import Node
from masticdeck.protocol.store import HttpStore
from masticdeck.protocol.vms import HttpVmList
from masticdeck.state.deployment import Deployment
from masticdeck.transport.peers import PeerChannels, PeerServer

NAME = "nightly-report"
ENTRIES = 3


class Member:
    """One node with membership and a part in the ownership of NAME."""

    def __init__(self, deployment: Deployment, entry: EntryId, url: str) -> None:
        clock = HybridClock()
        self.node = Node(
            config=Config(entry=entry, deployment=Path("unused")),
            deployment=deployment,
            incarnation=Incarnation(time.time_ns()),
            clock=clock,
            events=EventLog(entry, clock),
            hooks=create_hooks(),
            store=HttpStore(url),
            vms=HttpVmList(url),
            peers=PeerChannels(deployment),
        )
        self.membership = Membership(self.node)
        self.ownership = Ownership(self.node, NAME, membership=self.membership)
        line = self.node.entry
        self.server = PeerServer(line.host, line.peer_port, [self.membership.links])

    async def start(self) -> None:
        """Listen, then watch the others and compete."""
        assert isinstance(self.node.store, HttpStore)
        await self.node.store.start()
        await self.server.start()
        await self.membership.start()
        await self.ownership.start()

    async def stop(self) -> None:
        """Give the name up and leave."""
        assert isinstance(self.node.store, HttpStore)
        await self.ownership.stop()
        await self.membership.stop()
        await self.server.stop()
        await self.node.peers.stop()
        await self.node.store.stop()


async def find_owner(members: list[Member]) -> Member:
    """Wait until one of the members owns the name."""
    while True:
        for member in members:
            if member.ownership.is_valid():
                return member
        await asyncio.sleep(0.05)


async def main() -> None:
    """Show an owner, its planned stop, and its successor."""
    port = free_ports(1)[0]
    runner = web.AppRunner(build_app(Platform()))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    deployment = Deployment.model_validate(place("riga", entries=ENTRIES))
    url = f"http://127.0.0.1:{port}"
    members = [Member(deployment, one.id, url) for one in deployment.entries]
    for member in members:
        await member.start()
    first = await find_owner(members)
    print(f"{first.node.id} owns {NAME} with token {first.ownership.token}")
    members.remove(first)
    await first.stop()
    second = await find_owner(members)
    print(f"{second.node.id} owns {NAME} with token {second.ownership.token}")
    for member in members:
        await member.stop()
    await runner.cleanup()


if __name__ == "__main__":
    asyncio.run(main())
