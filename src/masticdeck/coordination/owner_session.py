"""The owner's side of the stream with one holder."""

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
    """Receives a holder's reports and answers each with a grant.

    ``unacked_grants`` maps the sequence number of each unacknowledged grant to
    its units, which the holder's idle counts do not include yet.
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
        """Close the stream; the holder opens another with a full report."""
        if self.task is not None:
            self.task.cancel()

    async def run(self, stream: Stream[Report, Grant], first: Report) -> None:
        """Serve the stream until it ends or this node may no longer grant."""
        self.task = asyncio.current_task()
        send_task = asyncio.create_task(self.send_grants(stream))
        receive_task = asyncio.create_task(self.receive_reports(stream, first))
        try:
            await asyncio.wait(
                [send_task, receive_task], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            send_task.cancel()
            receive_task.cancel()
            await asyncio.gather(send_task, receive_task, return_exceptions=True)
            self.owner.close_session(self)

    async def receive_reports(
        self, stream: Stream[Report, Grant], first: Report
    ) -> None:
        """Handle reports until the stream ends."""
        self.handle_report(first)
        while (report := await stream.recv_message()) is not None:
            self.handle_report(report)

    def handle_report(self, report: Report) -> None:
        """Update the ledger with one report and schedule a balancing round."""
        ledger = self.owner.ledger
        self.report_number = report.number
        self.received_at = boottime()
        if not report.full:
            ledger.free_returned(self.holder, decode_units(report.units))
        for sequence in [
            sequence for sequence in self.unacked_grants if sequence <= report.acked
        ]:
            del self.unacked_grants[sequence]
        self.holder.waiting = Counter(
            {ServiceId(demand.service): demand.waiting for demand in report.demands}
        )
        idle = Counter(
            {ServiceId(demand.service): demand.idle for demand in report.demands}
        )
        for unit in self.units_to_grant.union(*self.unacked_grants.values()):
            idle[ledger.service_of_unit(unit)] += 1
        self.holder.idle = idle
        self.grant_needed.set()
        self.owner.schedule_balance()

    def apply_plan(
        self,
        granted: set[Unit],
        idle_recalls: Mapping[ServiceId, int],
        busy_recalls: Mapping[ServiceId, int],
    ) -> None:
        """Apply the result of a balancing round and send it if it changed."""
        if (
            granted
            or idle_recalls != self.idle_recalls
            or busy_recalls != self.busy_recalls
        ):
            self.units_to_grant |= granted
            self.idle_recalls = Counter(idle_recalls)
            self.busy_recalls = Counter(busy_recalls)
            self.grant_needed.set()

    async def send_grants(self, stream: Stream[Report, Grant]) -> None:
        """Send a grant for each report and each change of the plan."""
        while True:
            await self.grant_needed.wait()
            self.grant_needed.clear()
            if not self.owner.may_grant():
                return
            await stream.send_message(self.build_grant())

    def build_grant(self) -> Grant:
        """Return the next grant; record its validity in the ledger first."""
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
                    service=service,
                    idle=self.idle_recalls[service],
                    next=self.busy_recalls[service],
                )
                for service in sorted(set(self.idle_recalls) | set(self.busy_recalls))
            ],
        )
        if self.units_to_grant:
            self.unacked_grants[self.grant_sequence] = self.units_to_grant
        self.units_to_grant = set()
        self.units_to_recall = set()
        return grant
