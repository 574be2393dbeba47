"""The owner's end of one holder's stream."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

from grpclib.server import Stream

from masticdeck.clock import boottime
from masticdeck.coordination.share_ledger import Holder
from masticdeck.coordination.units import Unit, decode_units, encode_units
from masticdeck.ids import EntryId, ServiceId
from masticdeck.protocol.generated.shares_pb2 import Grant, Recall, Report

if TYPE_CHECKING:
    from masticdeck.coordination.region_owner import RegionOwner


class OwnerSession:
    """Takes a holder's reports and answers each with a grant.

    ``unacked`` keeps the units of grants that the holder has not confirmed,
    because its counts of idle units lack them.
    """

    def __init__(self, owner: RegionOwner, report: Report) -> None:
        self.owner = owner
        self.entry = EntryId(report.entry)
        self.id = report.session
        self.sequence = 0
        self.number = 0
        self.received_at = 0.0
        self.added: set[Unit] = set()
        self.recalled: set[Unit] = set()
        self.unacked: dict[int, set[Unit]] = {}
        self.idle: Counter[ServiceId] = Counter()
        self.next: Counter[ServiceId] = Counter()
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.holder: Holder = owner.join(report, self)

    def end(self) -> None:
        """End the stream; the holder opens another and reports all it has."""
        if self.task is not None:
            self.task.cancel()

    async def run(self, stream: Stream[Report, Grant], first: Report) -> None:
        """Serve the stream until it ends or this node may not grant any more."""
        self.task = asyncio.current_task()
        sender = asyncio.create_task(self.send(stream))
        reader = asyncio.create_task(self.read(stream, first))
        try:
            await asyncio.wait([sender, reader], return_when=asyncio.FIRST_COMPLETED)
        finally:
            sender.cancel()
            reader.cancel()
            await asyncio.gather(sender, reader, return_exceptions=True)
            self.owner.leave(self)

    async def read(self, stream: Stream[Report, Grant], first: Report) -> None:
        """Take reports."""
        self.take(first)
        while (report := await stream.recv_message()) is not None:
            self.take(report)

    def take(self, report: Report) -> None:
        """Enter one report into the ledger."""
        ledger = self.owner.ledger
        self.number = report.number
        self.received_at = boottime()
        if not report.full:
            ledger.release(self.holder, decode_units(report.units))
        for sequence in [one for one in self.unacked if one <= report.acked]:
            del self.unacked[sequence]
        self.holder.waiting = Counter(
            {ServiceId(one.service): one.waiting for one in report.demands}
        )
        idle = Counter({ServiceId(one.service): one.idle for one in report.demands})
        for unit in self.added.union(*self.unacked.values()):
            idle[ledger.service(unit)] += 1
        self.holder.idle = idle
        self.wake.set()
        self.owner.balance_soon()

    def plan(
        self,
        added: set[Unit],
        idle: Mapping[ServiceId, int],
        following: Mapping[ServiceId, int],
    ) -> None:
        """Take the outcome of a round of balancing and send it if it is news."""
        if added or idle != self.idle or following != self.next:
            self.added |= added
            self.idle = Counter(idle)
            self.next = Counter(following)
            self.wake.set()

    async def send(self, stream: Stream[Report, Grant]) -> None:
        """Send a grant for each report and each change."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            if not self.owner.may_grant():
                return
            await stream.send_message(self.compose())

    def compose(self) -> Grant:
        """Return the next grant, after noting how long it may be valid."""
        valid_s = self.owner.validity_s()
        self.owner.ledger.promise(self.holder, self.received_at + valid_s)
        self.sequence += 1
        grant = Grant(
            token=self.owner.token,
            session=self.id,
            sequence=self.sequence,
            echo=self.number,
            valid_ms=int(valid_s * 1000),
            added=encode_units(self.added),
            recalled=encode_units(self.recalled),
            recalls=[
                Recall(service=one, idle=self.idle[one], next=self.next[one])
                for one in sorted(set(self.idle) | set(self.next))
            ],
        )
        if self.added:
            self.unacked[self.sequence] = self.added
        self.added = set()
        self.recalled = set()
        return grant
