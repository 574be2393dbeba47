"""Reports of demand from each entry to the one that divides the budgets."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.quotas.allocator import (
    MAX_LISTED_WORKSPACES,
    first_allocator,
)
from masticdeck.coordination.quotas.demand import (
    ALLOCATE_INTERVAL_S,
    Confirmation,
    DemandReports,
)
from masticdeck.coordination.quotas.limiter import QuotaLimiter
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, Era, Revision, WorkspaceId
from masticdeck.metrics import Metrics
from masticdeck.protocol.generated.quotas_grpc import QuotasBase, QuotasStub
from masticdeck.protocol.generated.quotas_pb2 import (
    QuotaDemand,
    QuotaReport,
    QuotaReportReply,
)
from masticdeck.protocol.positions import NO_ERA, counter_of, era_of, with_era
from masticdeck.state.fleet import Fleet, FleetEntry

if TYPE_CHECKING:
    from grpclib.server import Stream

REPORT_TIMEOUT_S = 0.8
"""Longest wait for the reply; the next report is due soon after."""

REFUSALS_INTERVAL_S = 10.0
"""Seconds between two summaries of refused requests."""

OTHER_WORKSPACES = "other"


@final
class QuotaService(QuotasBase):
    """Takes in the reports of other entries.

    ``era`` returns the store's era, to which a report of an older version belongs.
    """

    def __init__(
        self, reports: DemandReports, era: Callable[[], Era] = lambda: NO_ERA
    ) -> None:
        self.reports = reports
        self.era = era

    async def Report(  # noqa: N802
        self, stream: Stream[QuotaReport, QuotaReportReply]
    ) -> None:
        """Take in one report."""
        report = await stream.recv_message()
        if report is not None:
            requests = {
                WorkspaceId(demand.workspace): demand.requests
                for demand in report.demands
            }
            admitted = {
                WorkspaceId(demand.workspace): demand.admitted
                for demand in report.demands
                if demand.admitted
            }
            self.reports.record(
                EntryId(report.entry),
                requests,
                boottime(),
                confirmation=Confirmation(
                    with_era(report.revision, report.era, self.era()), admitted
                )
                if report.is_complete
                else None,
            )
        await stream.send_message(QuotaReportReply())


@final
class DemandReporter(BackgroundTask):
    """Reports this entry's demand while workspaces have limits."""

    def __init__(
        self,
        entry: EntryId,
        fleet: Fleet,
        limiter: QuotaLimiter,
        reports: DemandReports,
        events: EventLog,
        metrics: Metrics,
        *,
        is_needed: Callable[[], bool],
        revision: Callable[[], Revision],
    ) -> None:
        super().__init__(events)
        self.revision = revision
        self.reported_revision = Revision(0)
        self.entry = entry
        self.fleet = fleet
        self.limiter = limiter
        self.reports = reports
        self.metrics = metrics
        self.is_needed = is_needed
        self.channel: Channel | None = None
        self.allocator: FleetEntry | None = None
        self.refusals_published_at = boottime()
        self.has_published = False

    async def run(self) -> None:
        """Report at intervals until cancelled."""
        try:
            while True:
                await asyncio.sleep(ALLOCATE_INTERVAL_S)
                if self.is_needed():
                    self.publish_refusals(boottime())
                    await self.report_once(boottime())
        finally:
            self.close_channel()

    def publish_refusals(self, now: float) -> None:
        """Log and publish at intervals which workspaces were refused requests."""
        if now - self.refusals_published_at < REFUSALS_INTERVAL_S:
            return
        self.refusals_published_at = now
        refused = self.limiter.take_refusals()
        if not refused and not self.has_published:
            return
        self.has_published = bool(refused)
        counts = summarize(refused)
        self.metrics.gauge_by("quota_refused_in_10_s", "workspace", counts)
        if refused:
            self.events.emit(
                Code.QUOTA_REFUSALS,
                refused=refused.total(),
                workspaces=",".join(
                    f"{name}:{count}" for name, count in counts.items()
                ),
            )

    async def report_once(self, now: float) -> None:
        """Deliver one report; one that fails is followed by the next."""
        demand = self.limiter.demand(now)
        revision = self.revision()
        allocator = first_allocator(self.fleet.entries)
        if allocator is None:
            return
        if allocator == self.entry:
            self.reports.record(
                self.entry, demand, now, confirmation=self.confirm(revision, now)
            )
        elif (demand or revision != self.reported_revision) and await self.send(
            self.fleet.entries[allocator], demand, revision, now
        ):
            self.reported_revision = revision

    def confirm(self, revision: Revision, now: float) -> Confirmation | None:
        """Return what was admitted under an allocation, None if that is not known."""
        if not self.limiter.is_complete(now):
            return None
        return Confirmation(revision, self.limiter.admitted_in_window(now))

    async def send(
        self,
        allocator: FleetEntry,
        demand: Mapping[WorkspaceId, int],
        revision: Revision,
        now: float,
    ) -> bool:
        """Send a report to another entry; return whether it was received."""
        if self.allocator != allocator or self.channel is None:
            self.close_channel()
            self.allocator = allocator
            self.channel = Channel(allocator.peer_host, allocator.peer_port)
        admitted = self.limiter.admitted_in_window(now)
        message = QuotaReport(
            entry=self.entry,
            demands=[
                QuotaDemand(
                    workspace=workspace,
                    requests=requests,
                    admitted=admitted.get(workspace, 0),
                )
                for workspace, requests in demand.items()
            ],
            revision=counter_of(revision),
            era=era_of(revision),
            is_complete=self.limiter.is_complete(now),
        )
        try:
            await QuotasStub(self.channel).Report(message, timeout=REPORT_TIMEOUT_S)
        except (TimeoutError, OSError, GRPCError, StreamTerminatedError):
            self.metrics.count("quota_reports_lost")
            self.close_channel()
            return False
        return True

    def close_channel(self) -> None:
        """Close the connection to the allocator."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None


def summarize(counts: Counter[WorkspaceId]) -> dict[str, int]:
    """Return the largest counts by workspace, and the sum of all others.

    >>> names = "aaaabbbccdefg"
    >>> summarize(Counter(map(WorkspaceId, names)))
    {'a': 4, 'b': 3, 'c': 2, 'd': 1, 'e': 1, 'other': 2}
    """
    largest = counts.most_common(MAX_LISTED_WORKSPACES)
    listed: dict[str, int] = dict(largest)
    rest = counts.total() - sum(listed.values())
    return {**listed, OTHER_WORKSPACES: rest} if rest else listed
