"""In-process entries with real streams between them, and an in-memory store."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from grpclib.server import Server

from bench.fleet import place
from masticdeck.clock import HybridClock, boottime
from masticdeck.config import Config
from masticdeck.coordination.membership import Membership
from masticdeck.errors import StoreConflict, StoreUnavailable
from masticdeck.events import EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import EntryId, Incarnation, LeaseId, Revision
from masticdeck.node import Node
from masticdeck.protocol.positions import NO_ERA
from masticdeck.protocol.store import Change, Changes, KeyValue, Listing
from masticdeck.state.deployment import Deployment
from masticdeck.transport.peers import PeerChannels

HEARTBEAT_S = 0.05
incarnations = itertools.count(1)


def make_deployment(entries: int) -> Deployment:
    return Deployment.model_validate(place("riga", entries=entries))


async def wait_until(condition: Callable[[], Any], *, timeout_s: float = 10.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class MemoryStore:
    """In-memory store; ``down`` and ``lose_answers`` inject faults."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[KeyValue, LeaseId | None]] = {}
        self.leases: dict[LeaseId, tuple[float, float]] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.calls = 0
        self.era = NO_ERA

    def era_age_s(self) -> float | None:
        return None

    def check_available(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailable("down")
        now = boottime()
        for lease, (_, expires_at) in list(self.leases.items()):
            if expires_at < now:
                self.end_lease(lease)

    def end_lease(self, lease: LeaseId) -> None:
        self.leases.pop(lease, None)
        for key, (_, bound_lease) in list(self.items.items()):
            if bound_lease == lease:
                del self.items[key]

    async def reply(self, value: Any) -> Any:
        await asyncio.sleep(0)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailable("answer lost")
        return value

    async def get(self, key: str) -> KeyValue | None:
        self.check_available()
        return self.items[key][0] if key in self.items else None

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        self.check_available()
        matching = [
            item for key, (item, _) in self.items.items() if key.startswith(prefix)
        ]
        return Listing(tuple(matching), Revision(self.revision))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: Revision | None = None,
        lease: LeaseId | None = None,
    ) -> Revision:
        self.check_available()
        current_revision = self.items[key][0].revision if key in self.items else 0
        if (expect is not None and expect != current_revision) or (
            lease is not None and lease not in self.leases
        ):
            raise StoreConflict(key)
        self.revision += 1
        item = KeyValue(key, value, Revision(self.revision))
        self.items[key] = (item, lease)
        return await self.reply(Revision(self.revision))

    async def delete(self, key: str, *, expect: Revision | None = None) -> None:
        self.check_available()
        self.items.pop(key, None)

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        self.check_available()
        lease = LeaseId(f"lease-{self.calls}")
        self.leases[lease] = (ttl_s, boottime() + ttl_s)
        return lease

    async def renew_lease(self, lease: LeaseId) -> None:
        self.check_available()
        if lease not in self.leases:
            raise StoreConflict(lease)
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, boottime() + ttl_s)

    async def revoke_lease(self, lease: LeaseId) -> None:
        self.check_available()
        self.end_lease(lease)

    async def watch(self, prefix: str, after: Revision, *, wait_s: float) -> Changes:
        started_at = boottime()
        while boottime() - started_at < wait_s:
            self.check_available()
            item = await self.get(prefix)
            if item is None or item.revision > after:
                value = None if item is None else item.value
                change = Change(prefix, value, Revision(self.revision))
                return Changes((change,), Revision(self.revision))
            await asyncio.sleep(0.01)
        return Changes((), Revision(self.revision))


def make_node(
    deployment: Deployment, entry: str, store: Any = None, **settings: Any
) -> Node:
    clock = HybridClock()
    config = Config(
        entry=EntryId(entry),
        deployment="unused",
        **({"heartbeat_s": HEARTBEAT_S} | settings),
    )
    return Node(
        config=config,
        deployment=deployment,
        incarnation=Incarnation(next(incarnations)),
        clock=clock,
        events=EventLog(entry, clock),
        hooks=create_hooks(),
        store=MemoryStore() if store is None else store,
        vms=None,  # type: ignore[arg-type]
        peers=PeerChannels(deployment),
    )


class CrashableServer(Server):
    """A gRPC server whose connections can be aborted, as by a crashed process."""

    def __init__(self, services: list[Any]) -> None:
        super().__init__(services)
        self.protocols: list[Any] = []

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        self.protocols.append(protocol)
        return protocol

    def abort_connections(self) -> None:
        self.close()
        for protocol in self.protocols:
            transport = getattr(protocol.connection, "_transport", None)
            if transport is not None:
                transport.abort()


class PeerEntry:
    """An entry with a peer server and membership."""

    def __init__(self, node: Node, *services: Any) -> None:
        self.node = node
        self.membership = Membership(node)
        self.services = [self.membership.links, *services]
        self.server: CrashableServer

    async def start(self) -> None:
        self.server = CrashableServer(self.services)
        await self.server.start(self.node.entry.host, self.node.entry.peer_port)
        await self.membership.start()

    async def stop(self) -> None:
        await self.membership.stop()
        self.server.abort_connections()
        await self.node.peers.stop()
        await self.server.wait_closed()

    async def crash(self) -> None:
        """Stop without announcing it to the other entries."""
        self.membership.leave = lambda: None  # type: ignore[method-assign]
        await self.stop()
