"""One kept-open stream from a holder to the owner of a region."""

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
    """Return the seconds between a holder's reports while nothing changes.

    Larger regions report less often, so that their owner is not overrun, but
    always three times within the validity of a grant.

    >>> report_interval_s(4, minimum_s=1.0, share_ttl_s=10.0)
    1.0
    """
    wanted = max(minimum_s, region_entries / MAX_REPORTS_PER_S)
    return max(minimum_s, min(wanted, share_ttl_s / MIN_REPORTS_PER_TTL))


class HolderSession:
    """Reports to one owner and takes its grants, until either side ends it.

    Grants of another session or of a lower token than was seen are ignored,
    so that an owner that wakes from a pause changes nothing.
    """

    def __init__(self, holder: ShareHolder, region: RegionId, owner: EntryId) -> None:
        self.holder = holder
        self.region = region
        self.owner = owner
        self.held_units = holder.held_units[region]
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
        """Return the owned name to which the tokens belong."""
        return f"region/{self.region}"

    def end(self) -> None:
        """End the session; the holder opens another one."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Keep the session until it ends; cancellation ends both."""
        self.task = asyncio.create_task(self.exchange())
        try:
            await asyncio.wait([self.task])
        finally:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            if self.holder.sessions.get(self.region) is self:
                del self.holder.sessions[self.region]

    async def exchange(self) -> None:
        """Open the stream, report, and take grants."""
        stub = SharesStub(self.holder.node.peers.get(self.owner))
        sender: asyncio.Task[None] | None = None
        with suppress(*STREAM_ERRORS):
            async with stub.Hold.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self.stream = stream
                self.holder.sessions[self.region] = self
                sender = asyncio.create_task(self.send_reports(stream))
                try:
                    await self.receive_grants(stream)
                finally:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)

    async def receive_grants(self, stream: Stream[Report, Grant]) -> None:
        """Take grants until the stream ends or falls silent."""
        limit_s = SILENCE_TIMEOUT_REPORTS * self.holder.report_interval_s
        while True:
            async with asyncio.timeout(limit_s):
                grant = await stream.recv_message()
            if grant is None or not self.handle_grant(grant):
                return

    async def send_reports(self, stream: Stream[Report, Grant]) -> None:
        """Send a full report, then one at each change and about each second."""
        await stream.send_message(self.build_report(full=True))
        while True:
            await asyncio.sleep(MIN_REPORT_SPACING_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(self.holder.report_interval_s):
                    await self.report_needed.wait()
            self.holder.return_unused_remote(self.region)
            await stream.send_message(self.build_report(full=False))

    async def send_final_report(self) -> None:
        """Report what was released before the process stops."""
        if self.stream is not None:
            with suppress(*STREAM_ERRORS):
                await self.stream.send_message(self.build_report(full=False))

    def build_report(self, *, full: bool) -> Report:
        """Return the next report; its moment of sending counts for the lease."""
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
        """Return how this entry stands with each service that is not at rest."""
        idle = self.held_units.count_idle_by_service()
        found = []
        for service in set(idle) | set(self.holder.waiting):
            waiting = self.holder.demand(self.region, service)
            if waiting or idle[service]:
                found.append(
                    Demand(service=service, waiting=waiting, idle=idle[service])
                )
        return found

    def handle_grant(self, grant: Grant) -> bool:
        """Take one grant; return whether the session goes on."""
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
        """Change the holding as a grant says."""
        holding = self.held_units
        was_valid = holding.is_valid()
        holding.recall(decode_units(grant.recalled))
        sent_at = self.sent_at.get(grant.echo)
        if sent_at is not None:
            holding.extend_validity(sent_at, grant.valid_ms / 1000)
        gained = holding.add_granted(decode_units(grant.added))
        for instance in list(holding.leaving_instances):
            holding.mark_leaving(instance)
        recalls = {ServiceId(one.service): one for one in grant.recalls}
        holding.idle_recalls = Counter({s: one.idle for s, one in recalls.items()})
        holding.busy_recalls = Counter({s: one.next for s, one in recalls.items()})
        for service in recalls:
            self.holder.return_recalled_idle(self.region, service)
        if not was_valid and holding.is_valid():
            gained |= set(holding.service_of.values())
        if gained:
            self.holder.notify_slots_available(gained)
        if holding.returned_units:
            self.report_needed.set()
