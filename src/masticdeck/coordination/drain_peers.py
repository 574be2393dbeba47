"""Spreads drain notes between entries."""

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

TELL_TIMEOUT_S = 0.5


class DrainPeers(DrainsBase):
    """Tells zone neighbours and one entry of each other zone, which passes on.

    ``learn`` takes received notes in and returns those that were new.
    """

    def __init__(
        self,
        node: Node,
        membership: Membership,
        notes: DrainNotes,
        learn: Callable[[Iterable[DrainNote]], list[DrainNote]],
    ) -> None:
        self.node = node
        self.membership = membership
        self.notes = notes
        self.learn = learn
        self.tasks: set[asyncio.Task[None]] = set()

    async def Tell(  # noqa: N802
        self, stream: Stream[DrainTell, DrainAnswer]
    ) -> None:
        """Take notes in, pass them on if asked to, and repair the sender."""
        message = await stream.recv_message()
        if message is None:
            return
        new = self.learn([decode_note(one) for one in message.notes])
        if new and message.pass_on:
            self.spread_in_zone(new)
        answer = DrainAnswer()
        if message.fingerprint and message.fingerprint != self.notes.fingerprint:
            answer.notes.extend(encode_note(note) for note in self.notes)
        await stream.send_message(answer)

    def zones(self) -> dict[ZoneId, list[EntryId]]:
        """Return the other live entries by zone."""
        zones: dict[ZoneId, list[EntryId]] = {}
        for entry in self.membership.alive_entries():
            if entry != self.node.id:
                zone = self.node.deployment.entry_by_id[entry].zone
                zones.setdefault(zone, []).append(entry)
        return zones

    def spread(self, notes: list[DrainNote]) -> None:
        """Tell every live entry, through one of each other zone."""
        self.spread_in_zone(notes)
        for zone, entries in self.zones().items():
            if zone != self.node.entry.zone:
                self.spawn(self.tell_first(entries, notes))

    def spread_in_zone(self, notes: list[DrainNote]) -> None:
        """Tell the other entries of the own zone."""
        for entry in self.zones().get(self.node.entry.zone, []):
            self.spawn(self.tell_first([entry], notes))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a telling in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def tell_first(self, entries: list[EntryId], notes: list[DrainNote]) -> None:
        """Tell the first entry that answers, which passes the notes on."""
        pass_on = self.node.entry.zone != (
            self.node.deployment.entry_by_id[entries[0]].zone
        )
        for entry in entries:
            if await self.tell(entry, notes, pass_on=pass_on) is not None:
                return

    async def tell(
        self,
        entry: EntryId,
        notes: list[DrainNote],
        *,
        pass_on: bool = False,
        fingerprint: int = 0,
    ) -> list[DrainNote] | None:
        """Tell one entry; return its notes if they differ, None if not reached."""
        message = DrainTell(
            notes=[encode_note(note) for note in notes],
            pass_on=pass_on,
            fingerprint=fingerprint,
        )
        try:
            async with asyncio.timeout(TELL_TIMEOUT_S):
                answer = await DrainsStub(self.node.peers.get(entry)).Tell(message)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            return None
        return [decode_note(one) for one in answer.notes]

    async def repair(self, entry: EntryId) -> None:
        """Compare all notes with another entry and learn what differs."""
        fingerprint = self.notes.fingerprint or 1
        self.learn(await self.tell(entry, [], fingerprint=fingerprint) or [])


def encode_note(note: DrainNote) -> DrainNoteMessage:
    """Return the message of a note."""
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
