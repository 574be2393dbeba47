"""Admits requests of a workspace at this entry, within its allowance."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from masticdeck.clock import boottime
from masticdeck.coordination.quotas.allocation import (
    ALLOCATION_KEY,
    NO_SHARE,
    NO_SHARES,
    Allocation,
    decode_allocation,
)
from masticdeck.coordination.quotas.distribution import apportion
from masticdeck.coordination.quotas.terms import RESTART_FRACTION, QuotaTerms
from masticdeck.coordination.quotas.window import SlidingWindow
from masticdeck.ids import EntryId, WorkspaceId
from masticdeck.state.workspaces import Workspace

MIN_RETRY_S = 0.2
"""``Retry-After`` while the demand at this entry only exceeds the allowance a little.

Other entries probably have allowance left, and callers that return choose among them.
"""

MODERATE_FACTOR = 1.5
MODERATE_MARGIN = 2
"""Multiple of the allowance, and requests, up to which the demand exceeds it a little.
"""

NO_ALLOWANCE_RETRY_S = 1.0
"""The same at an entry without an allowance: the time to the next allocation."""

RETRY_SPREAD_FACTOR = 1.5
"""Latest return of a rejected caller, in multiples of the shortest time."""


class QuotaExceeded(Exception):
    """The workspace has used its allowance; the request was not sent."""

    def __init__(self, retry_after_s: float, allowance: int, used: int) -> None:
        super().__init__(f"{used} of {allowance} requests in the window")
        self.retry_after_s = retry_after_s
        self.allowance = allowance
        self.used = used


class QuotaUnproved(Exception):
    """The allocation may be outdated; the request was not sent."""


@final
@dataclass(frozen=True, slots=True)
class Admission:
    """A request that was counted, and when; it may be taken back."""

    workspace: WorkspaceId
    at: float


@final
class QuotaLimiter:
    """Counts the requests of limited workspaces in sliding windows.

    ``proof_age_s`` returns the time since the replica was provably current. A process
    that has just started at boot time ``started_at`` does not know what its predecessor
    has admitted, but that is no more than what the first record that is provably newer
    than the start reserves for the entry.
    """

    def __init__(
        self,
        entry: EntryId,
        *,
        terms: Callable[[], QuotaTerms],
        proof_age_s: Callable[[], float],
        started_at: float,
        clock: Callable[[], float] = boottime,
        seed: int | None = None,
    ) -> None:
        self.entry = entry
        self.terms = terms
        self.proof_age_s = proof_age_s
        self.started_at = started_at
        self.random = random.Random(seed)
        self.clock = clock
        self.allocation: Allocation = {}
        self.first_allocation: Allocation | None = None
        self.admitted: dict[WorkspaceId, SlidingWindow] = {}
        self.asked: dict[WorkspaceId, SlidingWindow] = {}
        self.refused: Counter[WorkspaceId] = Counter()

    def record_changed(self, key: str, value: bytes | None) -> None:
        """Use the allocation of a record, or none if it raises RecordInvalid.

        What was replaced by an unreadable record must not be used any longer.
        """
        if key != ALLOCATION_KEY:
            return
        self.note_first_allocation(self.clock())
        self.allocation = {}
        if value is not None:
            self.allocation = decode_allocation(value)

    def note_first_allocation(self, now: float) -> None:
        """Keep the first allocation that is provably newer than the start."""
        if (
            self.first_allocation is None
            and self.proof_age_s() <= now - self.started_at
        ):
            self.first_allocation = self.allocation

    def usable(self, allowance: int, workspace: Workspace, now: float) -> int:
        """Return what the requests of the predecessor leave of an allowance.

        If every process has restarted, the former ones have admitted no more than what
        was reserved for all entries. The rest of the bound is divided among the entries
        by their allowances.
        """
        terms = self.terms()
        if now - self.started_at >= terms.window_s:
            return allowance
        self.note_first_allocation(now)
        if self.first_allocation is None or workspace.limit is None:
            return math.floor(RESTART_FRACTION * allowance)
        first = self.first_allocation.get(workspace.id, NO_SHARES)
        present = self.allocation.get(workspace.id, NO_SHARES)
        reserved = max(first.reserved, present.reserved)
        spare = max(0, math.floor(terms.bound(workspace.limit)) - reserved)
        part = apportion(
            spare,
            {entry: float(share.allowance) for entry, share in present.shares.items()},
        ).get(self.entry, 0)
        own_reserved = first.shares.get(self.entry, NO_SHARE).reserved
        return min(allowance, max(part, allowance - own_reserved))

    def admit(self, workspace: Workspace, now: float) -> Admission | None:
        """Count a request, or raise QuotaExceeded or QuotaUnproved.

        Returns None if the workspace has no limit.
        """
        if workspace.limit is None:
            return None
        terms = self.terms()
        asked = self.window(self.asked, workspace.id, terms)
        asked.add(now)
        if self.proof_age_s() >= terms.max_proof_age_s:
            raise QuotaUnproved
        shares = self.allocation.get(workspace.id, NO_SHARES)
        allowance = shares.allowance(self.entry, terms.budget(workspace.limit))
        allowance = self.usable(allowance, workspace, now)
        admitted = self.window(self.admitted, workspace.id, terms)
        used = admitted.count(now)
        if used >= allowance:
            self.refused[workspace.id] += 1
            is_moderate = asked.total <= MODERATE_FACTOR * allowance + MODERATE_MARGIN
            wait_s = MIN_RETRY_S if is_moderate else admitted.oldest_expires_s(now)
            raise QuotaExceeded(self.retry_after_s(wait_s), allowance, used)
        admitted.add(now)
        return Admission(workspace.id, now)

    def take_back(self, admission: Admission) -> None:
        """Do not count a request that certainly did not run."""
        window = self.admitted.get(admission.workspace)
        if window is not None:
            window.remove(admission.at)

    def window(
        self,
        windows: dict[WorkspaceId, SlidingWindow],
        workspace: WorkspaceId,
        terms: QuotaTerms,
    ) -> SlidingWindow:
        """Return the window of a workspace; a new one is empty."""
        window = windows.get(workspace)
        if window is None:
            window = windows[workspace] = SlidingWindow(terms.window_s)
        return window

    def retry_after_s(self, wait_s: float) -> float:
        """Return the seconds until another request may be admitted, spread."""
        spread = self.random.uniform(1.0, RETRY_SPREAD_FACTOR)
        return round((wait_s or NO_ALLOWANCE_RETRY_S) * spread, 3)

    def take_refusals(self) -> Counter[WorkspaceId]:
        """Return the refusals over the allowance since the last call."""
        refused, self.refused = self.refused, Counter()
        return refused

    def demand(self, now: float) -> dict[WorkspaceId, int]:
        """Return what was asked for in the last window; idle workspaces are dropped."""
        counts = {
            workspace: window.count(now) for workspace, window in self.asked.items()
        }
        for workspace, count in counts.items():
            if not count:
                del self.asked[workspace]
                self.drop_if_idle(workspace, now)
        return {workspace: count for workspace, count in counts.items() if count}

    def admitted_in_window(self, now: float) -> dict[WorkspaceId, int]:
        """Return what was admitted in the last window."""
        counts = {
            workspace: window.count(now) for workspace, window in self.admitted.items()
        }
        return {workspace: count for workspace, count in counts.items() if count}

    def is_complete(self, now: float) -> bool:
        """Return whether the windows hold all that this entry has admitted."""
        return now - self.started_at >= self.terms().window_s

    def drop_if_idle(self, workspace: WorkspaceId, now: float) -> None:
        """Forget the window of a workspace without requests."""
        window = self.admitted.get(workspace)
        if window is not None and not window.count(now):
            del self.admitted[workspace]
