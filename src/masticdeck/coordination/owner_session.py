"""The owner's end of one holder's stream."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

from grpclib.server import Stream

from masticdeck.clock import boottime
from masticdeck.coordination.share_ledger import HolderRecord
from masticdeck.coordination.units import Unit, decode_units, encode_units
from masticdeck.ids import EntryId, ServiceId
from masticdeck.protocol.generated.shares_pb2 import Grant, Recall, Report

if TYPE_CHECKING:
    from masticdeck.coordination.region_owner import RegionOwner


class OwnerSession:
    """Takes a holder's reports and answers each with a grant.

    ``unacked_grants`` keeps the units of grants that the holder has not confirmed,
    because its counts of idle units lack them.
    """

    def __init__(self, owner: RegionOwner, report: Report) -> None:
        self.owner = owner
        self.entry = EntryId(report.entry)
        self.id = report.session
        self.grant_sequence = 0
        self.report_number = 0
        self.received_at = 0.0
        self.units_to_grant: set[Unit] = set()
        self.units_to_recall: set[Unit] = set()
        self.unacked_grants: dict[int, set[Unit]] = {}
        self.idle_recalls: Counter[ServiceId] = Counter()
        self.busy_recalls: Counter[ServiceId] = Counter()
        self.grant_needed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.holder: HolderRecord = owner.open_session(report, self)

    def end(self) -> None:
        """End the stream; the holder opens another and reports all it has."""
        if self.task is not None:
            self.task.cancel()

    async def run(self, stream: Stream[Report, Grant], first: Report) -> None:
        """Serve the stream until it ends or this node may not grant any more."""
        self.task = asyncio.current_task()
        sender = asyncio.create_task(self.send_grants(stream))
        reader = asyncio.create_task(self.receive_reports(stream, first))
        try:
            await asyncio.wait([sender, reader], return_when=asyncio.FIRST_COMPLETED)
        finally:
            sender.cancel()
            reader.cancel()
            await asyncio.gather(sender, reader, return_exceptions=True)
            self.owner.close_session(self)

    async def receive_reports(
        self, stream: Stream[Report, Grant], first: Report
    ) -> None:
        """Take reports."""
        self.handle_report(first)
        while (report := await stream.recv_message()) is not None:
            self.handle_report(report)

    def handle_report(self, report: Report) -> None:
        """Enter one report into the ledger."""
        ledger = self.owner.ledger
        self.report_number = report.number
        self.received_at = boottime()
        if not report.full:
            ledger.free_returned(self.holder, decode_units(report.units))
        for sequence in [one for one in self.unacked_grants if one <= report.acked]:
            del self.unacked_grants[sequence]
        self.holder.waiting = Counter(
            {ServiceId(one.service): one.waiting for one in report.demands}
        )
        idle = Counter({ServiceId(one.service): one.idle for one in report.demands})
        for unit in self.units_to_grant.union(*self.unacked_grants.values()):
            idle[ledger.service_of_unit(unit)] += 1
        self.holder.idle = idle
        self.grant_needed.set()
        self.owner.schedule_balance()

    def apply_plan(
        self,
        added: set[Unit],
        idle: Mapping[ServiceId, int],
        following: Mapping[ServiceId, int],
    ) -> None:
        """Take the outcome of a round of balancing and send it if it is news."""
        if added or idle != self.idle_recalls or following != self.busy_recalls:
            self.units_to_grant |= added
            self.idle_recalls = Counter(idle)
            self.busy_recalls = Counter(following)
            self.grant_needed.set()

    async def send_grants(self, stream: Stream[Report, Grant]) -> None:
        """Send a grant for each report and each change."""
        while True:
            await self.grant_needed.wait()
            self.grant_needed.clear()
            if not self.owner.may_grant():
                return
            await stream.send_message(self.build_grant())

    def build_grant(self) -> Grant:
        """Return the next grant, after noting how long it may be valid."""
        valid_s = self.owner.grant_validity_s()
        self.owner.ledger.record_grant_validity(self.holder, self.received_at + valid_s)
        self.grant_sequence += 1
        grant = Grant(
            token=self.owner.token,
            session=self.id,
            sequence=self.grant_sequence,
            echo=self.report_number,
            valid_ms=int(valid_s * 1000),
            added=encode_units(self.units_to_grant),
            recalled=encode_units(self.units_to_recall),
            recalls=[
                Recall(
                    service=one,
                    idle=self.idle_recalls[one],
                    next=self.busy_recalls[one],
                )
                for one in sorted(set(self.idle_recalls) | set(self.busy_recalls))
            ],
        )
        if self.units_to_grant:
            self.unacked_grants[self.grant_sequence] = self.units_to_grant
        self.units_to_grant = set()
        self.units_to_recall = set()
        return grant
