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

SPACING_S = 0.05
CONNECT_TIMEOUT_S = 1.0
SILENCE_REPORTS = 4
ENTRIES_PER_SECOND = 8
REPORTS_PER_TTL = 3
SENT_KEPT = 64
FAULTS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


def report_interval_s(
    region_entries: int, *, minimum_s: float, share_ttl_s: float
) -> float:
    """Return the seconds between a holder's reports while nothing changes.

    Larger regions report less often, so that their owner is not overrun, but
    always three times within the validity of a grant.

    >>> report_interval_s(4, minimum_s=1.0, share_ttl_s=10.0)
    1.0
    """
    wanted = max(minimum_s, region_entries / ENTRIES_PER_SECOND)
    return max(minimum_s, min(wanted, share_ttl_s / REPORTS_PER_TTL))


class HolderSession:
    """Reports to one owner and takes its grants, until either side ends it.

    Grants of another session or of a lower token than was seen are ignored,
    so that an owner that wakes from a pause changes nothing.
    """

    def __init__(self, holder: ShareHolder, region: RegionId, owner: EntryId) -> None:
        self.holder = holder
        self.region = region
        self.owner = owner
        self.holding = holder.holdings[region]
        self.wake = holder.wakes[region]
        holder.numbers += 1
        self.id = holder.numbers
        self.number = 0
        self.acked = 0
        self.sent: dict[int, float] = {}
        self.heard_at = boottime()
        self.stream: Stream[Report, Grant] | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
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
        with suppress(*FAULTS):
            async with stub.Hold.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self.stream = stream
                self.holder.sessions[self.region] = self
                sender = asyncio.create_task(self.send(stream))
                try:
                    await self.receive(stream)
                finally:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)

    async def receive(self, stream: Stream[Report, Grant]) -> None:
        """Take grants until the stream ends or falls silent."""
        limit_s = SILENCE_REPORTS * self.holder.report_s
        while True:
            async with asyncio.timeout(limit_s):
                grant = await stream.recv_message()
            if grant is None or not self.accept(grant):
                return

    async def send(self, stream: Stream[Report, Grant]) -> None:
        """Send a full report, then one at each change and about each second."""
        await stream.send_message(self.compose(full=True))
        while True:
            await asyncio.sleep(SPACING_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(self.holder.report_s):
                    await self.wake.wait()
            self.holder.tidy(self.region)
            await stream.send_message(self.compose(full=False))

    async def send_last(self) -> None:
        """Report what was released before the process stops."""
        if self.stream is not None:
            with suppress(*FAULTS):
                await self.stream.send_message(self.compose(full=False))

    def compose(self, *, full: bool) -> Report:
        """Return the next report; its moment of sending counts for the lease."""
        self.wake.clear()
        if full:
            self.holding.drop_lapsed()
        units = self.holding.units() if full else set(self.holding.released)
        self.holding.released.clear()
        self.number += 1
        self.sent[self.number] = boottime()
        self.sent.pop(self.number - SENT_KEPT, None)
        holder = self.holder
        return Report(
            region=self.region,
            entry=holder.node.id,
            incarnation=holder.node.incarnation,
            session=self.id,
            number=self.number,
            acked=self.acked,
            full=full,
            units=encode_units(units),
            demands=self.demands(),
            token=holder.fence.highest.get(self.name, 0),
        )

    def demands(self) -> list[Demand]:
        """Return how this entry stands with each service that is not at rest."""
        idle = self.holding.idle_by_service()
        found = []
        for service in set(idle) | set(self.holder.waiting):
            waiting = self.holder.demand(self.region, service)
            if waiting or idle[service]:
                found.append(
                    Demand(service=service, waiting=waiting, idle=idle[service])
                )
        return found

    def accept(self, grant: Grant) -> bool:
        """Take one grant; return whether the session goes on."""
        if grant.owner or not grant.token:
            if grant.owner:
                self.holder.hints[self.region] = EntryId(grant.owner)
            return False
        if grant.session != self.id:
            return True
        if not self.holder.fence.accept(self.name, FencingToken(grant.token)):
            return False
        if self.acked == 0:
            self.holder.note_joined(self.region, self.owner)
        self.acked = grant.sequence
        self.holding.token = FencingToken(grant.token)
        self.apply(grant)
        return self.holder.wanted(self.region)

    def apply(self, grant: Grant) -> None:
        """Change the holding as a grant says."""
        holding = self.holding
        was_valid = holding.valid()
        holding.recall(decode_units(grant.recalled))
        sent_at = self.sent.get(grant.echo)
        if sent_at is not None:
            holding.extend(sent_at, grant.valid_ms / 1000)
        gained = holding.add(decode_units(grant.added))
        for instance in list(holding.leaving):
            holding.leave_instance(instance)
        recalls = {ServiceId(one.service): one for one in grant.recalls}
        holding.recall_idle = Counter({s: one.idle for s, one in recalls.items()})
        holding.recall_next = Counter({s: one.next for s, one in recalls.items()})
        for service in recalls:
            self.holder.release_idle(self.region, service)
        if not was_valid and holding.valid():
            gained |= set(holding.service_of.values())
        if gained:
            self.holder.announce(gained)
        if holding.released:
            self.wake.set()
