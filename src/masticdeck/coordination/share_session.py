"""The holder's side of the stream to the owner of a region."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

from grpclib.client import Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.clock import boottime
from masticdeck.coordination.units import decode_units, encode_units
from masticdeck.ids import EntryId, FencingToken, RegionId, ServiceId
from masticdeck.protocol.generated.shares_grpc import SharesStub
from masticdeck.protocol.generated.shares_pb2 import Demand, Grant, Report

if TYPE_CHECKING:
    from masticdeck.coordination.share_holder import ShareHolder

MIN_REPORT_SPACING_S = 0.05
CONNECT_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_REPORTS = 4
MAX_REPORTS_PER_S = 8
MIN_REPORTS_PER_TTL = 3
MAX_SENT_TIMES = 64
STREAM_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


def report_interval_s(
    region_entries: int, *, minimum_s: float, share_ttl_s: float
) -> float:
    """Return the interval between a holder's reports while nothing changes.

    Holders of larger regions report less often, so as not to overload the
    owner, but at least MIN_REPORTS_PER_TTL times within a grant's validity
    where ``minimum_s`` allows it.

    >>> report_interval_s(4, minimum_s=1.0, share_ttl_s=10.0)
    1.0
    """
    interval_s = max(minimum_s, region_entries / MAX_REPORTS_PER_S)
    return max(minimum_s, min(interval_s, share_ttl_s / MIN_REPORTS_PER_TTL))


class HolderSession:
    """Reports to one owner and applies its grants until either side ends it.

    Grants of other sessions are ignored, and a grant with a lower token than
    observed ends the session, so that an owner that resumes from a pause has
    no effect.
    """

    def __init__(self, holder: ShareHolder, region: RegionId, owner: EntryId) -> None:
        self.holder = holder
        self.region = region
        self.owner = owner
        self.held_units = holder.units_by_region[region]
        self.report_needed = holder.report_needed[region]
        holder.session_count += 1
        self.id = holder.session_count
        self.report_number = 0
        self.acked_sequence = 0
        self.sent_at: dict[int, float] = {}
        self.opened_at = boottime()
        self.stream: Stream[Report, Grant] | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def ownership_name(self) -> str:
        """Return the name under which the region is owned."""
        return f"region/{self.region}"

    def end(self) -> None:
        """End the session; the holder then opens another one."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Run the session until it ends or this call is cancelled."""
        self.task = asyncio.create_task(self.exchange())
        try:
            await asyncio.wait([self.task])
        finally:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            if self.holder.sessions.get(self.region) is self:
                del self.holder.sessions[self.region]

    async def exchange(self) -> None:
        """Open the stream, send reports and receive grants."""
        stub = SharesStub(self.holder.node.peers.get(self.owner))
        send_task: asyncio.Task[None] | None = None
        with suppress(*STREAM_ERRORS):
            async with stub.Hold.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self.stream = stream
                self.holder.sessions[self.region] = self
                send_task = asyncio.create_task(self.send_reports(stream))
                try:
                    await self.receive_grants(stream)
                finally:
                    send_task.cancel()
                    await asyncio.gather(send_task, return_exceptions=True)

    async def receive_grants(self, stream: Stream[Report, Grant]) -> None:
        """Handle grants until the stream ends or the silence timeout passes."""
        timeout_s = SILENCE_TIMEOUT_REPORTS * self.holder.report_interval_s
        while True:
            async with asyncio.timeout(timeout_s):
                grant = await stream.recv_message()
            if grant is None or not self.handle_grant(grant):
                return

    async def send_reports(self, stream: Stream[Report, Grant]) -> None:
        """Send a full report, then one at each change and each report interval."""
        await stream.send_message(self.build_report(full=True))
        while True:
            await asyncio.sleep(MIN_REPORT_SPACING_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(self.holder.report_interval_s):
                    await self.report_needed.wait()
            self.holder.return_unused_remote(self.region)
            await stream.send_message(self.build_report(full=False))

    async def send_final_report(self) -> None:
        """Report the returned units before the process stops."""
        if self.stream is not None:
            with suppress(*STREAM_ERRORS):
                await self.stream.send_message(self.build_report(full=False))

    def build_report(self, *, full: bool) -> Report:
        """Return the next report and record its time of sending.

        The validity of the grant that answers it counts from that time.
        """
        self.report_needed.clear()
        if full:
            self.held_units.discard_expired_idle()
        units = self.held_units.units() if full else set(self.held_units.returned_units)
        self.held_units.returned_units.clear()
        self.report_number += 1
        self.sent_at[self.report_number] = boottime()
        self.sent_at.pop(self.report_number - MAX_SENT_TIMES, None)
        holder = self.holder
        return Report(
            region=self.region,
            entry=holder.node.id,
            incarnation=holder.node.incarnation,
            session=self.id,
            number=self.report_number,
            acked=self.acked_sequence,
            full=full,
            units=encode_units(units),
            demands=self.build_demands(),
            token=holder.fence.highest_tokens.get(self.ownership_name, 0),
        )

    def build_demands(self) -> list[Demand]:
        """Return the waiting and idle counts of each service that has any."""
        idle = self.held_units.count_idle_by_service()
        demands = []
        for service in set(idle) | set(self.holder.waiting):
            waiting = self.holder.demand(self.region, service)
            if waiting or idle[service]:
                demands.append(
                    Demand(service=service, waiting=waiting, idle=idle[service])
                )
        return demands

    def handle_grant(self, grant: Grant) -> bool:
        """Handle one grant; return whether the session continues."""
        if grant.owner or not grant.token:
            if grant.owner:
                self.holder.owner_hints[self.region] = EntryId(grant.owner)
            return False
        if grant.session != self.id:
            return True
        if not self.holder.fence.accept(self.ownership_name, FencingToken(grant.token)):
            return False
        if self.acked_sequence == 0:
            self.holder.record_joined(self.region, self.owner)
        self.acked_sequence = grant.sequence
        self.held_units.token = FencingToken(grant.token)
        self.apply_grant(grant)
        return self.holder.needs_session(self.region)

    def apply_grant(self, grant: Grant) -> None:
        """Apply a grant to the held units and report returned units."""
        held_units = self.held_units
        was_valid = held_units.is_valid()
        held_units.recall(decode_units(grant.recalled))
        sent_at = self.sent_at.get(grant.echo)
        if sent_at is not None:
            held_units.extend_validity(sent_at, grant.valid_ms / 1000)
        gained_services = held_units.add_granted(decode_units(grant.added))
        for instance in list(held_units.leaving_instances):
            held_units.mark_leaving(instance)
        recalls = {ServiceId(recall.service): recall for recall in grant.recalls}
        held_units.idle_recalls = Counter(
            {service: recall.idle for service, recall in recalls.items()}
        )
        held_units.busy_recalls = Counter(
            {service: recall.next for service, recall in recalls.items()}
        )
        for service in recalls:
            self.holder.return_recalled_idle(self.region, service)
        if not was_valid and held_units.is_valid():
            gained_services |= set(held_units.service_of.values())
        if gained_services:
            self.holder.notify_slots_available(gained_services)
        if held_units.returned_units:
            self.report_needed.set()
