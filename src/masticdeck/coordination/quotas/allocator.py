"""Writes the allocation of the budgets, at the entry that is first in line for it.

Every entry has this component; the one that comes first by rendezvous hash among the
registered entries acts. If two act, the compare-and-swap of the store orders their
writes, and each write is safe by itself (see ``allocation``).
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import final

import xxhash

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.feed import RecordReplica
from masticdeck.coordination.quotas.allocation import (
    ALLOCATION_KEY,
    NO_SHARES,
    Allocation,
    WorkspaceShares,
    decode_allocation,
    encode_allocation,
    read_allocation_order,
)
from masticdeck.coordination.quotas.demand import (
    ALLOCATE_INTERVAL_S,
    DemandReports,
)
from masticdeck.coordination.quotas.distribution import (
    Distribution,
    may_change,
    must_change,
)
from masticdeck.coordination.quotas.history import AllocationHistory
from masticdeck.coordination.quotas.terms import QuotaTerms
from masticdeck.errors import MasticdeckError, StoreConflict
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, Revision, WorkspaceId
from masticdeck.protocol.positions import counter_of, era_of
from masticdeck.protocol.records import RecordInvalid
from masticdeck.protocol.store import ABSENT, Store
from masticdeck.state.workspaces import RateLimit, WorkspaceTable

MIN_CHANGE_INTERVAL_S = 5.0
"""Seconds between writes while no entry refuses what its workspace may send."""

MAX_LISTED_WORKSPACES = 5
"""Workspaces that an event or metric names."""

TAKEOVER_PAUSE_S = 3.0
"""Seconds from which an entry that takes over divides anything.

Reports reach it once the other entries have seen that the one before is gone.
"""

LEARNING_S = 60.0
"""Seconds after that pause in which entries with an allowance count as asked.

The entry that takes over does not know who was asked before.
"""

FUTILE_PAUSE_S = 3.0
"""Seconds for which a workspace whose entries are short is left alone if no other
division of its budget is better. The computation would be repeated in each interval.
"""

CHECKS_PER_TURN = 5
MAX_TURNS = 15
"""Workspaces that are checked in an interval while nothing is urgent, and the most
intervals in which all are. One check takes half a millisecond with 66 entries.
"""

ALLOCATOR_NAME = "quota-allocator"

NO_DEMAND: Mapping[EntryId, float] = {}


def first_allocator(entries: Iterable[EntryId]) -> EntryId | None:
    """Return the entry that divides the budgets, None without entries."""
    return max(entries, key=allocator_rank, default=None)


def allocator_rank(entry: EntryId) -> tuple[int, EntryId]:
    """Return the key by which the entry that divides the budgets is chosen."""
    return xxhash.xxh64_intdigest(f"{ALLOCATOR_NAME}/{entry}".encode()), entry


@final
class QuotaAllocator(BackgroundTask):
    """Divides the budgets of workspaces among the entries.

    ``workspaces`` returns those of the configuration in force, ``members`` the entries
    that callers are directed to, and ``is_allocator`` whether this entry acts.
    """

    def __init__(
        self,
        store: Store,
        replica: RecordReplica,
        events: EventLog,
        *,
        terms: Callable[[], QuotaTerms],
        workspaces: Callable[[], WorkspaceTable | None],
        members: Callable[[], frozenset[EntryId]],
        is_allocator: Callable[[], bool],
        clock: Callable[[], float] = boottime,
    ) -> None:
        super().__init__(events)
        self.clock = clock
        self.store = store
        self.replica = replica
        self.terms = terms
        self.workspaces = workspaces
        self.members = members
        self.is_allocator = is_allocator
        self.reports = DemandReports()
        self.history = AllocationHistory()
        self.number = 0
        self.changed_at = -math.inf
        self.acting_since: float | None = None
        self.turn = 0
        self.paused: dict[WorkspaceId, float] = {}
        self.table: WorkspaceTable | None = None
        self.limits: dict[WorkspaceId, RateLimit] = {}

    async def run(self) -> None:
        """Allocate at intervals until cancelled."""
        while True:
            await asyncio.sleep(ALLOCATE_INTERVAL_S)
            try:
                await self.allocate_once(self.clock())
            except StoreConflict:
                # Another entry was faster; its record arrives with the feed.
                continue
            except MasticdeckError as error:
                self.events.emit(
                    Code.QUOTAS_UNWRITTEN, level=logging.WARNING, error=error
                )

    async def allocate_once(self, now: float) -> None:
        """Write the next allocation if this entry acts and it is worth a write."""
        current, revision = self.observe(now)
        table = self.workspaces()
        if table is None or not self.is_allocator():
            self.acting_since = None
            return
        if self.acting_since is None:
            self.acting_since = now if revision else -math.inf
        if now - self.acting_since < TAKEOVER_PAUSE_S:
            return
        if now - self.history.unknown_since < self.terms().reuse_after_s:
            return
        if self.replica.proof_age_s(now) >= self.terms().max_proof_age_s:
            return
        following = self.next_allocation(current, table, now)
        if following is None:
            if not self.replica.is_unrestored(ALLOCATION_KEY):
                return
            following = current
        self.changed_at = now
        self.number += 1
        value = encode_allocation(following, self.number)
        written = await self.store.put(ALLOCATION_KEY, value, expect=revision)
        self.history.record_written(written, following, self.clock())
        self.events.emit(
            Code.QUOTAS_ALLOCATED,
            era=era_of(written),
            revision=counter_of(written),
            number=self.number,
            workspaces=len(following),
            members=len(self.members()),
            reports=len(self.reports.received_at),
            bytes=len(value),
            over=self.describe_overload(following),
        )

    def describe_overload(self, allocation: Allocation) -> str:
        """Return the workspaces that ask for most beyond their budget."""
        demand: Counter[WorkspaceId] = Counter()
        for requests in self.reports.by_entry.values():
            for workspace, count in requests.items():
                demand[workspace] += round(count)
        excess = Counter(
            {
                workspace: requests - allocation[workspace].budget
                for workspace, requests in demand.items()
                if workspace in allocation
            }
        )
        return ",".join(
            f"{workspace}:+{requests}"
            for workspace, requests in excess.most_common(MAX_LISTED_WORKSPACES)
            if requests > 0
        )

    def observe(self, now: float) -> tuple[Allocation, Revision]:
        """Return the present allocation and the revision that a write replaces.

        A record that is older than this entry's last write has not arrived yet. After
        the store came back from a copy, the known allocation counts until the next one
        is written, which replaces whatever the copy has.
        """
        record = self.replica.records.get(ALLOCATION_KEY)
        if record is None:
            deleted_at = self.replica.deletion_revisions.get(ALLOCATION_KEY, ABSENT)
            if deleted_at > max(self.history.revision, self.history.deleted_at):
                self.history.deleted_at = deleted_at
                self.history.record_lost(ABSENT, now)
        elif record.revision > self.history.revision:
            order = read_allocation_order(record.value)
            self.number = max(self.number, order[0] if order else 0)
            try:
                allocation = decode_allocation(record.value)
            except RecordInvalid:
                self.history.record_lost(record.revision, now)
            else:
                self.history.record_seen(record.revision, allocation, now)
        current = self.history.with_reserved(
            now, self.terms().reuse_after_s, self.reports.confirmations
        )
        revision = self.history.revision
        if revision and era_of(revision) < self.replica.era:
            revision = self.replica.revision_in_store(ALLOCATION_KEY)
        return current, revision

    def use_table(self, table: WorkspaceTable) -> None:
        """Take over the limits of a configuration."""
        if table is not self.table:
            self.table = table
            self.limits = {
                workspace.id: workspace.limit
                for workspace in table.by_id.values()
                if workspace.limit is not None
            }
            self.paused.clear()

    def demand(
        self, current: Allocation, members: frozenset[EntryId], now: float
    ) -> dict[WorkspaceId, dict[EntryId, float]]:
        """Return the demand by workspace and entry, with those likely to be asked."""
        acting_s = math.inf if self.acting_since is None else now - self.acting_since
        is_learning = acting_s < TAKEOVER_PAUSE_S + LEARNING_S
        demand = self.reports.by_workspace(
            now, frozenset() if is_learning else members, self.terms().window_s
        )
        if is_learning:
            for workspace, shares in current.items():
                known = demand.setdefault(workspace, {})
                for entry, share in shares.shares.items():
                    if share.allowance and entry in members:
                        known.setdefault(entry, 0.0)
        return demand

    def next_allocation(
        self, current: Allocation, table: WorkspaceTable, now: float
    ) -> Allocation | None:
        """Return the next allocation, None if the present one still fits."""
        self.use_table(table)
        if not self.limits and not current:
            return None
        terms = self.terms()
        members = self.members()
        demand = self.demand(current, members, now)
        is_due = now - self.changed_at >= MIN_CHANGE_INTERVAL_S
        following = {
            workspace: shares
            for workspace, shares in current.items()
            if workspace in self.limits or shares.reserved
        }
        self.turn += 1
        turns = min(MAX_TURNS, math.ceil(len(self.limits) / CHECKS_PER_TURN))
        changed: dict[WorkspaceId, WorkspaceShares] = {}
        for number, (workspace, limit) in enumerate(self.limits.items()):
            shares = current.get(workspace, NO_SHARES)
            requests = demand.get(workspace, NO_DEMAND)
            budget = terms.budget(limit)
            is_paused = budget == shares.budget and now < self.paused.get(
                workspace, now
            )
            is_urgent = not is_paused and must_change(shares, budget, members, requests)
            if not is_urgent and (
                not is_due
                or (number + self.turn) % turns
                or not may_change(shares, budget, requests)
            ):
                continue
            distribution = Distribution(shares, budget, members, requests)
            better = distribution.better(is_urgent=is_urgent)
            if better is not None:
                changed[workspace] = better
            elif is_urgent:
                self.paused[workspace] = now + FUTILE_PAUSE_S
        for workspace, shares in current.items():
            if workspace not in self.limits and any(
                share.allowance for share in shares.shares.values()
            ):
                changed[workspace] = withdraw(shares)
        return {**following, **changed} if changed else None


def withdraw(shares: WorkspaceShares) -> WorkspaceShares:
    """Return shares without allowances, of a workspace that has no limit any more."""
    return Distribution(shares, shares.budget, (), {}).next()
