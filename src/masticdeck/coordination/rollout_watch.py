"""Watches the ledger in the store and puts newly accepted versions in force."""

from __future__ import annotations

import asyncio
import logging
import random
from contextlib import suppress

from masticdeck.clock import boottime
from masticdeck.coordination.ledger import LEDGER_KEY, decode_ledger
from masticdeck.coordination.rollout import Rollout
from masticdeck.coordination.rollout_peers import RolloutPeers
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.ids import Revision
from masticdeck.node import Node
from masticdeck.protocol.store import ABSENT

WATCH_TIMEOUT_S = 15.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.4
WATCHER_CHECK_INTERVAL_S = 0.5
START_PULL_TIMEOUT_S = 1.0
MIN_PULL_INTERVAL_S = 1.0


class LedgerWatcher:
    """Receives accepted versions from the store.

    Only the watchers of a zone keep a watch open; the other entries receive
    versions from peers.
    """

    def __init__(self, node: Node, rollout: Rollout, peers: RolloutPeers) -> None:
        self.node = node
        self.rollout = rollout
        self.peers = peers
        self.is_store_behind = False
        self.last_pull_at = 0.0
        self.task: asyncio.Task[None] | None = None
        self.random = random.Random(node.id)

    async def start(self) -> None:
        """Read the ledger once, for at most a second, and start to watch it."""
        with suppress(TimeoutError):
            async with asyncio.timeout(START_PULL_TIMEOUT_S):
                await self.pull()
        self.task = asyncio.create_task(self.run(), name="store watch")

    async def stop(self) -> None:
        """Stop watching."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])

    async def run(self) -> None:
        """Watch the ledger while this entry is a watcher, until cancelled."""
        while True:
            if self.rollout.is_initialized and not self.peers.is_watcher():
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                revision = await self.read()
                while self.peers.is_watcher():
                    revision = await self.watch(revision)
            except MasticdeckError:
                await asyncio.sleep(
                    self.random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                )

    async def pull(self) -> bool:
        """Read the ledger once; return whether the store answered.

        An initialized entry reads at most once a second and only if it is a
        watcher, so that callers cannot increase the load on the store.
        """
        if self.rollout.is_initialized:
            was_pulled_recently = boottime() - self.last_pull_at < MIN_PULL_INTERVAL_S
            if was_pulled_recently or not self.peers.is_watcher():
                return False
        self.last_pull_at = boottime()
        try:
            await self.read()
        except MasticdeckError:
            return False
        return True

    async def read(self) -> Revision:
        """Read the ledger, apply it and return its revision."""
        item = await self.node.store.get(LEDGER_KEY)
        self.apply_ledger(None if item is None else item.value)
        return ABSENT if item is None else item.revision

    async def watch(self, after: Revision) -> Revision:
        """Wait for a change of the ledger; return the revision to continue after."""
        changes = await self.node.store.watch(LEDGER_KEY, after, wait_s=WATCH_TIMEOUT_S)
        for change in changes.changes:
            if change.key == LEDGER_KEY:
                self.apply_ledger(change.value)
        return max(after, changes.revision)

    def apply_ledger(self, value: bytes | None) -> None:
        """Put the ledger's version in force if it is newer."""
        if value is None:
            self.update_store_behind(is_behind=self.rollout.version > 0)
            self.rollout.mark_current()
            return
        ledger = decode_ledger(value)
        self.update_store_behind(is_behind=ledger.version < self.rollout.version)
        if ledger.version > 0:
            self.rollout.install(ledger.version, ledger.lists, source="store")
        self.rollout.mark_current()

    def update_store_behind(self, *, is_behind: bool) -> None:
        """Record whether the store is behind; emit an event when it falls behind."""
        if is_behind and not self.is_store_behind:
            self.node.events.emit(
                Code.STORE_BEHIND, level=logging.WARNING, version=self.rollout.version
            )
        self.is_store_behind = is_behind
