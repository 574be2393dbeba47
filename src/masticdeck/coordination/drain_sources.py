"""Sources of drain reports: operators, the platform and the instances."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import xxhash
from aiohttp import ClientError, ClientResponseError, ClientSession, ClientTimeout

from masticdeck.coordination.drain_notes import DrainSource
from masticdeck.coordination.membership import Membership
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.ids import EntryId, InstanceId
from masticdeck.node import Node
from masticdeck.protocol import headers
from masticdeck.protocol.vms import VmState
from masticdeck.state.deployment import Instance
from masticdeck.transport.answers import AnswerConnector, InvalidStatus, read_bounded

STORE_PREFIX = "drains/"
WATCH_TIMEOUT_S = 15.0
STORE_RETRY_DELAY_S = 0.3
WATCHER_CHECK_INTERVAL_S = 0.5
VM_LIST_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8
MAX_HEALTH_BYTES = 65_536
MAX_LOGGED_CHARACTERS = 200
WATCHERS_PER_REGION = 2

ObserveDrain = Callable[[str, DrainSource, bool, int], None]
"""Takes a name, its source, whether it is leaving, and the stamp of the question."""

ObserveLeavingNames = Callable[[set[str], DrainSource], None]


def is_watcher(node: Node, membership: Membership) -> bool:
    """Return whether this entry is a watcher of its region.

    The watchers are the region's live entries with the lowest ids.
    """
    deployment = node.deployment
    region = deployment.region_of[node.entry.zone]
    live_entries = [
        entry
        for entry in sorted(membership.alive_entries())
        if deployment.region_of[deployment.entry_by_id[entry].zone] == region
    ]
    return node.id in live_entries[:WATCHERS_PER_REGION]


class OperatorDrainWatcher:
    """Watches the store's ``drains/`` keys while this entry is a watcher."""

    def __init__(
        self, node: Node, membership: Membership, observe_all: ObserveLeavingNames
    ) -> None:
        self.node = node
        self.membership = membership
        self.observe_all = observe_all

    async def run(self) -> None:
        """Read and watch the keys until cancelled."""
        while True:
            if not is_watcher(self.node, self.membership):
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                await self.watch()
            except MasticdeckError:
                await asyncio.sleep(STORE_RETRY_DELAY_S)

    async def watch(self) -> None:
        """Report all drains in the store and wait for the next change."""
        listing = await self.node.store.list(STORE_PREFIX)
        names = {item.key.removeprefix(STORE_PREFIX) for item in listing.items}
        self.observe_all(names, DrainSource.OPERATOR)
        revision = listing.revision
        changes = await self.node.store.watch(
            STORE_PREFIX, revision, wait_s=WATCH_TIMEOUT_S
        )
        while not changes.changes and is_watcher(self.node, self.membership):
            revision = changes.revision
            changes = await self.node.store.watch(
                STORE_PREFIX, revision, wait_s=WATCH_TIMEOUT_S
            )


class PlatformDrainPoller:
    """Reads the platform's list of VMs while this entry is a watcher."""

    def __init__(
        self, node: Node, membership: Membership, observe_all: ObserveLeavingNames
    ) -> None:
        self.node = node
        self.membership = membership
        self.observe_all = observe_all

    async def run(self) -> None:
        """Read the list once a second until cancelled."""
        while True:
            await asyncio.sleep(VM_LIST_INTERVAL_S)
            if not is_watcher(self.node, self.membership):
                continue
            try:
                vms = await self.node.vms.read()
            except MasticdeckError:
                continue
            names = {vm.name for vm in vms if vm.state is VmState.LEAVING}
            self.observe_all(names, DrainSource.PLATFORM)


class InstanceDrainProber:
    """Probes ``/health`` of the instances in this entry's region.

    In each zone one entry probes a given instance, chosen by rendezvous hashing
    over the live entries. An instance that doesn't respond is not reported as
    draining.
    """

    def __init__(
        self, node: Node, membership: Membership, observe: ObserveDrain
    ) -> None:
        self.node = node
        self.membership = membership
        self.observe = observe
        self.session: ClientSession | None = None
        self.invalid_instances: set[InstanceId] = set()
        deployment = node.deployment
        region = deployment.region_of[node.entry.zone]
        self.instances = [
            instance
            for instance in deployment.instances
            if deployment.region_of[instance.zone] == region
        ]

    async def run(self) -> None:
        """Probe each instance once a second until cancelled."""
        timeout = ClientTimeout(total=PROBE_TIMEOUT_S)
        async with ClientSession(
            connector=AnswerConnector(), timeout=timeout
        ) as session:
            self.session = session
            async with asyncio.TaskGroup() as group:
                for instance in self.instances:
                    group.create_task(self.probe_periodically(instance))

    async def probe_periodically(self, instance: Instance) -> None:
        """Probe an instance periodically while this entry is its prober.

        The random initial delay spreads the probes over the interval.
        """
        await asyncio.sleep(random.uniform(0, PROBE_INTERVAL_S))
        while True:
            if self.prober_of(instance) == self.node.id:
                await self.probe(instance)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def prober_of(self, instance: Instance) -> EntryId:
        """Return the entry in this entry's zone that probes an instance."""
        entry_by_id = self.node.deployment.entry_by_id
        zone = self.node.entry.zone
        live_entries = [
            entry
            for entry in self.membership.alive_entries()
            if entry_by_id[entry].zone == zone
        ]
        return max(
            live_entries or [self.node.id],
            key=lambda entry: xxhash.xxh3_64_intdigest(
                f"{entry} {instance.id}".encode()
            ),
        )

    async def probe(self, instance: Instance) -> None:
        """Request an instance's health and report whether it is draining.

        A failed probe, or an error status without the draining header, reports
        nothing. The answer may have been given as soon as the probe was sent, so it
        undoes no report that arrived since.
        """
        if self.session is None:
            return
        asked_at = self.node.clock.stamp()
        url = f"http://{instance.host}:{instance.port}/health"
        try:
            async with self.session.get(url) as response:
                is_draining = headers.DRAINING in response.headers
                if response.status == 200:
                    body = await read_bounded(response, MAX_HEALTH_BYTES)
                    health = json.loads(body)
                    is_draining = is_draining or health.get("state") == "leaving"
        except (ClientResponseError, InvalidStatus) as error:
            self.record_invalid(instance, error)
            return
        except (
            ClientError,
            OSError,
            TimeoutError,
            ValueError,
            RecursionError,
            AttributeError,
        ):
            return
        self.invalid_instances.discard(instance.id)
        if is_draining or response.status == 200:
            self.observe(instance.id, DrainSource.INSTANCE, is_draining, asked_at)

    def record_invalid(self, instance: Instance, error: ClientError) -> None:
        """Log the first of several invalid health answers of an instance."""
        if instance.id in self.invalid_instances:
            return
        self.invalid_instances.add(instance.id)
        self.node.events.emit(
            Code.REQUEST_FAILED,
            level=logging.WARNING,
            instance=instance.id,
            end="invalid health answer",
            error=str(error)[:MAX_LOGGED_CHARACTERS],
        )
