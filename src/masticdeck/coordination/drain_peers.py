"""Exchange of drain notes between entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import TYPE_CHECKING, Any

from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.coordination.drain_notes import DrainNote, DrainNotes, DrainSource
from masticdeck.coordination.membership import Membership
from masticdeck.ids import EntryId, ZoneId
from masticdeck.node import Node
from masticdeck.protocol.generated.drains_grpc import DrainsBase, DrainsStub
from masticdeck.protocol.generated.drains_pb2 import (
    DrainAnswer,
    DrainNoteMessage,
    DrainTell,
)

if TYPE_CHECKING:
    from grpclib.server import Stream

SEND_TIMEOUT_S = 0.5


class DrainPeerService(DrainsBase):
    """Sends notes to the entries of its zone and to one entry of each other zone.

    An entry in another zone forwards new notes inside its own zone.
    ``record_notes`` stores received notes and returns those that were new.
    """

    def __init__(
        self,
        node: Node,
        membership: Membership,
        notes: DrainNotes,
        record_notes: Callable[[Iterable[DrainNote]], list[DrainNote]],
    ) -> None:
        self.node = node
        self.membership = membership
        self.notes = notes
        self.record_notes = record_notes
        self.tasks: set[asyncio.Task[None]] = set()

    async def Tell(  # noqa: N802
        self, stream: Stream[DrainTell, DrainAnswer]
    ) -> None:
        """Record received notes and forward new ones if the sender requests it.

        The reply holds all notes of this entry if the fingerprints differ.
        """
        message = await stream.recv_message()
        if message is None:
            return
        new_notes = self.record_notes([decode_note(note) for note in message.notes])
        if new_notes and message.pass_on:
            self.broadcast_in_zone(new_notes)
        reply = DrainAnswer()
        if message.fingerprint and message.fingerprint != self.notes.fingerprint:
            reply.notes.extend(encode_note(note) for note in self.notes)
        await stream.send_message(reply)

    def live_peers_by_zone(self) -> dict[ZoneId, list[EntryId]]:
        """Return the other live entries, grouped by zone."""
        entries_by_zone: dict[ZoneId, list[EntryId]] = {}
        for entry in self.membership.alive_entries():
            if entry != self.node.id:
                zone = self.node.deployment.entry_by_id[entry].zone
                entries_by_zone.setdefault(zone, []).append(entry)
        return entries_by_zone

    def broadcast(self, notes: list[DrainNote]) -> None:
        """Send notes to every live entry, through one entry in each other zone."""
        self.broadcast_in_zone(notes)
        for zone, entries in self.live_peers_by_zone().items():
            if zone != self.node.entry.zone:
                self.spawn(self.send_to_first_reachable(entries, notes))

    def broadcast_in_zone(self, notes: list[DrainNote]) -> None:
        """Send notes to the other live entries in this entry's zone."""
        for entry in self.live_peers_by_zone().get(self.node.entry.zone, []):
            self.spawn(self.send_to_first_reachable([entry], notes))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_to_first_reachable(
        self, entries: list[EntryId], notes: list[DrainNote]
    ) -> None:
        """Send notes to the entries in turn until one of them replies.

        An entry in another zone is requested to forward them there.
        """
        pass_on = self.node.entry.zone != (
            self.node.deployment.entry_by_id[entries[0]].zone
        )
        for entry in entries:
            if await self.send(entry, notes, pass_on=pass_on) is not None:
                return

    async def send(
        self,
        entry: EntryId,
        notes: list[DrainNote],
        *,
        pass_on: bool = False,
        fingerprint: int = 0,
    ) -> list[DrainNote] | None:
        """Send notes to an entry.

        Returns the entry's own notes if the fingerprints differ, an empty list if
        they don't, and None if the entry did not reply.
        """
        message = DrainTell(
            notes=[encode_note(note) for note in notes],
            pass_on=pass_on,
            fingerprint=fingerprint,
        )
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                reply = await DrainsStub(self.node.peers.get(entry)).Tell(message)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            return None
        return [decode_note(note) for note in reply.notes]

    async def synchronize(self, entry: EntryId) -> None:
        """Compare fingerprints with an entry and merge its notes if they differ.

        Fingerprint 0 on the wire means no comparison, so 1 stands in for it.
        """
        fingerprint = self.notes.fingerprint or 1
        self.record_notes(await self.send(entry, [], fingerprint=fingerprint) or [])


def encode_note(note: DrainNote) -> DrainNoteMessage:
    """Return the message that carries a note."""
    return DrainNoteMessage(
        name=note.name,
        source=note.source.value,
        leaving=note.leaving,
        stamp=note.stamp,
    )


def decode_note(message: DrainNoteMessage) -> DrainNote:
    """Return the note in a message."""
    return DrainNote(
        name=message.name,
        source=DrainSource(message.source),
        leaving=message.leaving,
        stamp=message.stamp,
    )
