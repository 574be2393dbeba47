"""Drains: keep new work from instances and entries that are leaving.

An instance or entry is leaving if any source reports it: an operator's drain, the
platform's list of VMs, an instance's health response, or the
``Masticdeck-Draining`` header of any response. Entries exchange these reports, and
every entry calls the hook ``instance_leaving``. Instances that the accepted lists
name as drained are leaving too; every entry reads those from the configuration in
force. An instance returns when no source reports it as leaving any more.
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
    names_leaving,
)
from masticdeck.coordination.drain_peers import DrainPeerService
from masticdeck.coordination.drain_sources import (
    InstanceDrainProber,
    OperatorDrainWatcher,
    PlatformDrainPoller,
)
from masticdeck.coordination.membership import Membership
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import InstanceId
from masticdeck.node import Node
from masticdeck.state.lists import Configuration

CONFIGURATION_SOURCE = "configuration"
ANTI_ENTROPY_INTERVAL_S = 5.0
INITIAL_ANTI_ENTROPY_DELAY_S = 0.2
ABSENT_READS_TO_RETURN = {DrainSource.OPERATOR: 1, DrainSource.PLATFORM: 5}


class Drains:
    """This entry's view of the instances and entries that are leaving."""

    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.membership = membership
        self.notes = DrainNotes()
        self.leaving_names: set[str] = set()
        self.absent_reads: Counter[tuple[str, DrainSource]] = Counter()
        self.configured_names: set[str] = set()
        self.peer_service = DrainPeerService(
            node, membership, self.notes, self.record_notes
        )
        self.tasks: list[asyncio.Task[None]] = []
        node.hooks.register(self)

    @hookimpl
    def version_in_force(self, configuration: Configuration) -> None:
        """Update the instances that the configuration in force names as drained."""
        drained_names: set[str] = set(configuration.plans.drained)
        changed_names = self.configured_names ^ drained_names
        self.configured_names = drained_names
        for name in sorted(changed_names):
            self.update_leaving(name, CONFIGURATION_SOURCE)

    async def start(self) -> None:
        """Start to watch every source and to synchronize with other entries."""
        sources = (
            OperatorDrainWatcher(self.node, self.membership, self.observe_all),
            PlatformDrainPoller(self.node, self.membership, self.observe_all),
            InstanceDrainProber(self.node, self.membership, self.observe),
        )
        self.tasks = [asyncio.create_task(source.run()) for source in sources]
        self.tasks.append(asyncio.create_task(self.run_anti_entropy()))

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = [*self.tasks, *self.peer_service.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def observe_draining_header(self, instance: InstanceId) -> None:
        """Record that a response carried the ``Masticdeck-Draining`` header."""
        self.observe(instance, DrainSource.INSTANCE, True)

    def observe(
        self,
        name: str,
        source: DrainSource,
        leaving: bool,
        asked_at: int | None = None,
    ) -> None:
        """Record a source's report and broadcast it if it is a change.

        ``asked_at`` is the stamp from which on the report may hold, None for now. A
        report that arrived since goes before it.
        """
        if self.notes.is_reported_leaving(name, source) == leaving:
            return
        stamp = self.node.clock.stamp() if asked_at is None else asked_at
        note = DrainNote(name=name, source=source, leaving=leaving, stamp=stamp)
        self.peer_service.broadcast(self.record_notes([note]))

    def observe_all(self, names: set[str], source: DrainSource) -> None:
        """Record the complete set of names that a source reports as leaving.

        The platform's list lags and differs from read to read, so a name returns
        only after it is absent from several consecutive reads.
        """
        for name in names:
            self.absent_reads.pop((name, source), None)
            self.observe(name, source, True)
        for name in names_leaving(self.notes, source) - names:
            self.absent_reads[name, source] += 1
            if self.absent_reads[name, source] >= ABSENT_READS_TO_RETURN[source]:
                del self.absent_reads[name, source]
                self.observe(name, source, False)

    def record_notes(self, notes: Iterable[DrainNote]) -> list[DrainNote]:
        """Store notes, call the hooks for changes, and return the new notes."""
        new_notes: list[DrainNote] = []
        for note in notes:
            self.node.clock.receive(note.stamp)
            if self.notes.merge(note):
                new_notes.append(note)
                self.update_leaving(note.name, note.source.value)
        return new_notes

    def update_leaving(self, name: str, source: str) -> None:
        """Call the hook if an instance or entry started or stopped leaving."""
        leaving = self.notes.is_leaving(name) or name in self.configured_names
        if leaving == (name in self.leaving_names):
            return
        (self.leaving_names.add if leaving else self.leaving_names.discard)(name)
        self.notify(name, source, leaving=leaving)

    def notify(self, name: str, source: str, *, leaving: bool) -> None:
        """Emit an event and call the hook for an instance.

        If this entry itself is drained, it announces that it is leaving.
        """
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

    async def run_anti_entropy(self) -> None:
        """Periodically synchronize notes with a random live entry.

        This repairs what a lost broadcast or a restart left out. Until another
        entry is known to be alive, the shorter initial delay applies.
        """
        await asyncio.sleep(INITIAL_ANTI_ENTROPY_DELAY_S)
        while True:
            peers = [
                entry
                for entry in self.membership.alive_entries()
                if entry != self.node.id
            ]
            if peers:
                await self.peer_service.synchronize(random.choice(peers))
            await asyncio.sleep(
                ANTI_ENTROPY_INTERVAL_S if peers else INITIAL_ANTI_ENTROPY_DELAY_S
            )

    def describe(self) -> dict[str, Any]:
        """Return what is leaving and which sources report it, for ``/-/drain``."""
        leaving_notes = [note for note in self.notes if note.leaving]
        return {
            "leaving": sorted(self.leaving_names),
            "configuration": sorted(self.configured_names),
            "notes": [
                {"name": note.name, "source": note.source.value}
                for note in leaving_notes
            ],
        }
