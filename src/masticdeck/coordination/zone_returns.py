"""Keeps in the store until when the instances of a returned zone are cold.

Instances may be cold at the end of an evacuation although their records do not say so.
The entries that see its end know, but an entry that starts within the cold time sees no
evacuation, and would take the instances for warm ones. The entries that follow the
store therefore write down until when they count as cold.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from masticdeck.clock import walltime
from masticdeck.coordination.record_order.rules import RULES, WriterOrder
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code, EventLog
from masticdeck.ids import ZoneId
from masticdeck.protocol.records import INVALID_RECORD_ERRORS, RecordInvalid
from masticdeck.protocol.store import Store

RETURN_PREFIX = "masticdeck/zone-returns/"


class ZoneReturnRecorder:
    """Writes the record of a returned zone when this entry follows the store."""

    def __init__(
        self, store: Store, events: EventLog, *, follows_store: Callable[[], bool]
    ) -> None:
        self.store = store
        self.events = events
        self.follows_store = follows_store
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; a record is written when a zone returns."""

    async def stop(self) -> None:
        """Give up records that are being written."""
        for task in self.tasks:
            task.cancel()

    def record_return(self, zone: ZoneId, cold_s: float) -> None:
        """Begin to write that a zone's instances are cold for ``cold_s`` seconds."""
        if self.follows_store():
            task = asyncio.create_task(self.write(zone, encode_return(cold_s)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def write(self, zone: ZoneId, value: bytes) -> None:
        """Write the record; without it only entries that start now are affected."""
        try:
            await self.store.put(f"{RETURN_PREFIX}{zone}", value)
        except MasticdeckError as error:
            self.events.emit(
                Code.ZONE_RETURN_UNRECORDED,
                level=logging.WARNING,
                zone=zone,
                error=error.code,
            )


def encode_return(cold_s: float) -> bytes:
    """Return the record of a zone whose instances are cold for ``cold_s`` seconds."""
    return json.dumps({"cold_until_ms": round((walltime() + cold_s) * 1000)}).encode()


def decode_return(value: bytes) -> float:
    """Return how long a zone's instances stay cold, in seconds, or raise RecordInvalid.

    It may be negative, and is wrong by the difference of two VMs' times of day.
    """
    try:
        return float(json.loads(value)["cold_until_ms"]) / 1000 - walltime()
    except INVALID_RECORD_ERRORS as error:
        raise RecordInvalid(f"{type(error).__name__}: {error}"[:200]) from None


@RULES.register(RETURN_PREFIX, keeps_missing=True)
def read_return_order(value: bytes) -> WriterOrder | None:
    """Return the end of a zone's cold time, in milliseconds since the epoch."""
    try:
        return (int(json.loads(value)["cold_until_ms"]),)
    except INVALID_RECORD_ERRORS:
        return None
