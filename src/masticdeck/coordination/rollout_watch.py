"""Watches the ledger in the store and puts accepted versions in force."""

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

WATCH_WAIT_S = 15.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
IDLE_S = 0.5
START_WAIT_S = 1.0
MIN_PULL_INTERVAL_S = 1.0


class StoreWatch:
    """The store's side of the roll-out; waits for changes only as a watcher."""

    def __init__(self, node: Node, rollout: Rollout, peers: RolloutPeers) -> None:
        self.node = node
        self.rollout = rollout
        self.peers = peers
        self.behind = False
        self.pulled_at = 0.0
        self.task: asyncio.Task[None] | None = None
        self.random = random.Random(node.id)

    async def start(self) -> None:
        """Read the store once, for at most a second, and begin to watch."""
        with suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_S):
                await self.pull()
        self.task = asyncio.create_task(self.run(), name="store watch")

    async def stop(self) -> None:
        """Stop watching."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])

    async def run(self) -> None:
        """Watch while this entry is a watcher of its zone, for ever."""
        while True:
            if self.rollout.known and not self.peers.is_watcher():
                await asyncio.sleep(IDLE_S)
                continue
            try:
                revision = await self.read()
                while self.peers.is_watcher():
                    revision = await self.watch(revision)
            except MasticdeckError:
                await asyncio.sleep(self.random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def pull(self) -> bool:
        """Read the ledger once; return whether the store answered.

        An entry that knows a version asks at most once a second and only as a
        watcher, so that callers cannot drive up the store's reads.
        """
        if self.rollout.known:
            recent = boottime() - self.pulled_at < MIN_PULL_INTERVAL_S
            if recent or not self.peers.is_watcher():
                return False
        self.pulled_at = boottime()
        try:
            await self.read()
        except MasticdeckError:
            return False
        return True

    async def read(self) -> Revision:
        """Read the ledger and return its revision."""
        item = await self.node.store.get(LEDGER_KEY)
        self.take(None if item is None else item.value)
        return ABSENT if item is None else item.revision

    async def watch(self, after: Revision) -> Revision:
        """Wait for a change of the ledger and return the revision to go on from."""
        changes = await self.node.store.watch(LEDGER_KEY, after, wait_s=WATCH_WAIT_S)
        for change in changes.changes:
            if change.key == LEDGER_KEY:
                self.take(change.value)
        return max(after, changes.revision)

    def take(self, value: bytes | None) -> None:
        """Put the ledger's version in force unless it is older."""
        if value is None:
            self.note_behind(behind=self.rollout.version > 0)
            self.rollout.confirm()
            return
        ledger = decode_ledger(value)
        self.note_behind(behind=ledger.version < self.rollout.version)
        if ledger.version > 0:
            self.rollout.install(ledger.version, ledger.lists, source="store")
        self.rollout.confirm()

    def note_behind(self, *, behind: bool) -> None:
        """Emit an event when the store begins to show an older version."""
        if behind and not self.behind:
            self.node.events.emit(
                Code.STORE_BEHIND, level=logging.WARNING, version=self.rollout.version
            )
        self.behind = behind
