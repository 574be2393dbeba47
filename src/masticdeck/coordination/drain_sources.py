"""Where drains are heard of: operators, the platform and the instances."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import xxhash
from aiohttp import ClientError, ClientSession, ClientTimeout

from masticdeck.coordination.drain_notes import DrainSource
from masticdeck.coordination.membership import Membership
from masticdeck.errors import MasticdeckError
from masticdeck.ids import EntryId
from masticdeck.node import Node
from masticdeck.protocol import headers
from masticdeck.protocol.vms import VmState
from masticdeck.state.deployment import Instance

PREFIX = "drains/"
WATCH_WAIT_S = 15.0
RETRY_S = 0.3
IDLE_S = 0.5
VMS_S = 1.0
PROBE_S = 1.0
PROBE_TIMEOUT_S = 0.8
WATCHERS_PER_REGION = 2

Observe = Callable[[str, DrainSource, bool], None]
ObserveAll = Callable[[set[str], DrainSource], None]


def is_watcher(node: Node, membership: Membership) -> bool:
    """Return whether this entry is one of its region's two watchers."""
    deployment = node.deployment
    region = deployment.region_of[node.entry.zone]
    live = [
        entry
        for entry in sorted(membership.alive_entries())
        if deployment.region_of[deployment.entry_by_id[entry].zone] == region
    ]
    return node.id in live[:WATCHERS_PER_REGION]


class OperatorDrains:
    """Watches the store's ``drains/`` keys on two entries of each region."""

    def __init__(self, node: Node, membership: Membership, seen: ObserveAll) -> None:
        self.node = node
        self.membership = membership
        self.seen = seen

    async def run(self) -> None:
        """Read and watch, for ever."""
        while True:
            if not is_watcher(self.node, self.membership):
                await asyncio.sleep(IDLE_S)
                continue
            try:
                await self.watch()
            except MasticdeckError:
                await asyncio.sleep(RETRY_S)

    async def watch(self) -> None:
        """Read all drains and wait for the next change."""
        listing = await self.node.store.list(PREFIX)
        names = {item.key.removeprefix(PREFIX) for item in listing.items}
        self.seen(names, DrainSource.OPERATOR)
        after = listing.revision
        changes = await self.node.store.watch(PREFIX, after, wait_s=WATCH_WAIT_S)
        while not changes.changes and is_watcher(self.node, self.membership):
            after = changes.revision
            changes = await self.node.store.watch(PREFIX, after, wait_s=WATCH_WAIT_S)


class PlatformDrains:
    """Reads the platform's list of VMs on two entries of each region."""

    def __init__(self, node: Node, membership: Membership, seen: ObserveAll) -> None:
        self.node = node
        self.membership = membership
        self.seen = seen

    async def run(self) -> None:
        """Read the list once a second, for ever."""
        while True:
            await asyncio.sleep(VMS_S)
            if not is_watcher(self.node, self.membership):
                continue
            try:
                vms = await self.node.vms.read()
            except MasticdeckError:
                continue
            names = {vm.name for vm in vms if vm.state is VmState.LEAVING}
            self.seen(names, DrainSource.PLATFORM)


class InstanceDrains:
    """Probes ``/health`` of the own region's instances.

    Inside each zone one entry probes an instance, chosen by rendezvous hash
    over the live entries. An instance that does not answer is not draining.
    """

    def __init__(self, node: Node, membership: Membership, observe: Observe) -> None:
        self.node = node
        self.membership = membership
        self.observe = observe
        self.session: ClientSession | None = None
        deployment = node.deployment
        region = deployment.region_of[node.entry.zone]
        self.instances = [
            instance
            for instance in deployment.instances
            if deployment.region_of[instance.zone] == region
        ]

    async def run(self) -> None:
        """Probe each instance once a second, for ever."""
        timeout = ClientTimeout(total=PROBE_TIMEOUT_S)
        async with ClientSession(timeout=timeout) as session:
            self.session = session
            async with asyncio.TaskGroup() as group:
                for instance in self.instances:
                    group.create_task(self.probe_on(instance))

    async def probe_on(self, instance: Instance) -> None:
        """Probe one instance while this entry is its prober."""
        await asyncio.sleep(random.uniform(0, PROBE_S))
        while True:
            if self.prober_of(instance) == self.node.id:
                await self.probe(instance)
            await asyncio.sleep(PROBE_S)

    def prober_of(self, instance: Instance) -> EntryId:
        """Return the entry of the own zone that probes an instance."""
        entries = self.node.deployment.entry_by_id
        zone = self.node.entry.zone
        live = [
            one for one in self.membership.alive_entries() if entries[one].zone == zone
        ]
        return max(
            live or [self.node.id],
            key=lambda one: xxhash.xxh3_64_intdigest(f"{one} {instance.id}".encode()),
        )

    async def probe(self, instance: Instance) -> None:
        """Ask one instance for its health and note what it says."""
        if self.session is None:
            return
        url = f"http://{instance.host}:{instance.port}/health"
        try:
            async with self.session.get(url) as response:
                draining = headers.DRAINING in response.headers
                if response.status == 200:
                    answer = await response.json(content_type=None)
                    draining = draining or answer.get("state") == "leaving"
        except (ClientError, OSError, TimeoutError, ValueError, AttributeError):
            return
        if draining or response.status == 200:
            self.observe(instance.id, DrainSource.INSTANCE, draining)
