"""Drains: something that leaves gets no new work, whoever says so first.

An operator's drain, the platform's list of VMs, an instance's health answer
and the ``Masticdeck-Draining`` header of any answer are each enough. The news
goes from entry to entry, and every entry calls the hook ``instance_leaving``.
Instances that the accepted lists name as drained leave as well; every entry has
these from the configuration in force.
An instance returns when no source says any more that it is leaving.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

from masticdeck.coordination.drain_notes import (
    DrainNote,
    DrainNotes,
    DrainSource,
    names_said,
)
from masticdeck.coordination.drain_peers import DrainPeers
from masticdeck.coordination.drain_sources import (
    InstanceDrains,
    OperatorDrains,
    PlatformDrains,
)
from masticdeck.coordination.membership import Membership
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import InstanceId
from masticdeck.node import Node
from masticdeck.state.lists import Configuration

CONFIGURATION_SOURCE = "configuration"
REPAIR_S = 5.0
FIRST_REPAIR_S = 0.2
READS_TO_RETURN = {DrainSource.OPERATOR: 1, DrainSource.PLATFORM: 5}


class Drains:
    """This entry's view of what is draining."""

    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.membership = membership
        self.notes = DrainNotes()
        self.leaving: set[str] = set()
        self.absent: Counter[tuple[str, DrainSource]] = Counter()
        self.configured: set[str] = set()
        self.peers = DrainPeers(node, membership, self.notes, self.learn)
        self.tasks: list[asyncio.Task[None]] = []
        node.hooks.register(self)

    @hookimpl
    def version_in_force(self, configuration: Configuration) -> None:
        """Take in what the configuration in force names as drained."""
        drained: set[str] = set(configuration.plans.drained)
        changed = self.configured ^ drained
        self.configured = drained
        for name in sorted(changed):
            self.update(name, CONFIGURATION_SOURCE)

    async def start(self) -> None:
        """Begin to watch every source."""
        sources = (
            OperatorDrains(self.node, self.membership, self.observe_all),
            PlatformDrains(self.node, self.membership, self.observe_all),
            InstanceDrains(self.node, self.membership, self.observe),
        )
        self.tasks = [asyncio.create_task(source.run()) for source in sources]
        self.tasks.append(asyncio.create_task(self.repair()))

    async def stop(self) -> None:
        """Stop watching."""
        tasks = [*self.tasks, *self.peers.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def see_header(self, instance: InstanceId) -> None:
        """Take note that an answer carried ``Masticdeck-Draining``."""
        self.observe(instance, DrainSource.INSTANCE, True)

    def observe(self, name: str, source: DrainSource, leaving: bool) -> None:
        """Take note of what a source says now, and tell the others if it is new."""
        if self.notes.says(name, source) == leaving:
            return
        note = DrainNote(
            name=name, source=source, leaving=leaving, stamp=self.node.clock.stamp()
        )
        self.peers.spread(self.learn([note]))

    def observe_all(self, names: set[str], source: DrainSource) -> None:
        """Take note of everything that a source says is leaving now.

        The platform's list lags and differs from read to read, so its word is
        taken back only after several reads in a row without the name.
        """
        for name in names:
            self.absent.pop((name, source), None)
            self.observe(name, source, True)
        for name in names_said(self.notes, source) - names:
            self.absent[name, source] += 1
            if self.absent[name, source] >= READS_TO_RETURN[source]:
                del self.absent[name, source]
                self.observe(name, source, False)

    def learn(self, notes: Iterable[DrainNote]) -> list[DrainNote]:
        """Take notes in, call the hooks, and return those that were new."""
        new: list[DrainNote] = []
        for note in notes:
            self.node.clock.receive(note.stamp)
            if self.notes.merge(note):
                new.append(note)
                self.update(note.name, note.source.value)
        return new

    def update(self, name: str, source: str) -> None:
        """Call the hook when a source changed whether something is leaving."""
        leaving = self.notes.leaving(name) or name in self.configured
        if leaving == (name in self.leaving):
            return
        (self.leaving.add if leaving else self.leaving.discard)(name)
        self.announce(name, source, leaving=leaving)

    def announce(self, name: str, source: str, *, leaving: bool) -> None:
        """Tell the other components and the event log."""
        code = Code.DRAIN_SEEN if leaving else Code.DRAIN_ENDED
        if name in self.node.deployment.instance_by_id:
            instance = InstanceId(name)
            self.node.events.emit(code, instance=instance, source=source)
            hook = self.node.hooks.hook
            if leaving:
                hook.instance_leaving(instance=instance, source=source)
            else:
                hook.instance_returned(instance=instance, source=source)
        elif name in self.node.deployment.entry_by_id:
            self.node.events.emit(code, entry=name, source=source)
            if leaving and name == self.node.id:
                self.membership.leave()

    async def repair(self) -> None:
        """Compare notes with another entry now and then, for ever."""
        await asyncio.sleep(FIRST_REPAIR_S)
        while True:
            others = [
                one for one in self.membership.alive_entries() if one != self.node.id
            ]
            if others:
                await self.peers.repair(random.choice(others))
            await asyncio.sleep(REPAIR_S if others else FIRST_REPAIR_S)

    def describe(self) -> dict[str, Any]:
        """Return what is leaving, and who says so, for the page ``/-/drain``."""
        said = [note for note in self.notes if note.leaving]
        return {
            "leaving": sorted(self.leaving),
            "configuration": sorted(self.configured),
            "notes": [
                {"name": note.name, "source": note.source.value} for note in said
            ],
        }
