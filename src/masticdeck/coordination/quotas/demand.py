"""What entries are asked for, and have admitted, as their reports state it."""

from __future__ import annotations

import math
from collections.abc import Mapping, Set
from dataclasses import dataclass
from typing import final

from masticdeck.ids import EntryId, Revision, WorkspaceId

ALLOCATE_INTERVAL_S = 1.0
"""Seconds between two allocations, and between two reports of an entry."""

MAX_REPORT_AGE_S = 4.0
"""Age from which a report of demand no longer counts."""

RISE_WEIGHT = 0.3
"""Weight of a new report in the smoothed demand if it is higher."""

FALL_WEIGHT = 0.15
"""The same if it is lower.

What is taken from one entry is given to another one only after some seconds, so an
allowance that follows each fluctuation could not be used.
"""

FADE_WEIGHT = 0.03
"""The same below ``SMALL_DEMAND``, so that an entry is remembered for two minutes.

An entry whose callers have long pauses would lose and regain its allowance.
"""

SMALL_DEMAND = 0.5
"""Requests in a window below which smoothed demand fades slowly."""

MIN_DEMAND = 0.005
"""Requests in a window below which an entry counts as without demand."""

EVIDENCE_FADE = 1 / 60
"""Part of the requests seen that is forgotten in an interval.

An entry is remembered for longer, see ``FADE_WEIGHT``.
"""

MIN_SPREAD_FRACTION = 0.75
"""Entries that were asked, relative to those that random callers would have asked.

From there on the others count as likely to be asked as well. Without that, the entries
that are asked first take the allowances of all others for some time.
"""


@final
@dataclass(frozen=True, slots=True)
class Confirmation:
    """What an entry had admitted in the last window when it used an allocation.

    From then on it admits no more in a window than this or its allowance.
    """

    revision: Revision
    admitted: Mapping[WorkspaceId, int]


@final
class DemandReports:
    """Smoothed demand by entry and workspace, from the reports of the entries."""

    def __init__(self) -> None:
        self.by_entry: dict[EntryId, dict[WorkspaceId, float]] = {}
        self.received_at: dict[EntryId, float] = {}
        self.evidence: dict[WorkspaceId, float] = {}
        self.confirmations: dict[EntryId, Confirmation] = {}

    def record(
        self,
        entry: EntryId,
        requests: Mapping[WorkspaceId, int],
        now: float,
        *,
        confirmation: Confirmation | None = None,
    ) -> None:
        """Take in a report; workspaces that it leaves out were not asked for.

        ``confirmation`` is None if the entry cannot tell what it has admitted.
        """
        if confirmation is not None:
            self.confirmations[entry] = confirmation
        known = self.by_entry.setdefault(entry, {})
        self.received_at[entry] = now
        for workspace in [name for name in known if name not in requests]:
            is_small = known[workspace] < SMALL_DEMAND
            known[workspace] *= 1 - (FADE_WEIGHT if is_small else FALL_WEIGHT)
            if known[workspace] < MIN_DEMAND:
                del known[workspace]
        for workspace, count in requests.items():
            value = known.get(workspace, float(count))
            weight = RISE_WEIGHT if count > value else FALL_WEIGHT
            known[workspace] = value + weight * (count - value)

    def by_workspace(
        self, now: float, members: Set[EntryId], window_s: float
    ) -> dict[WorkspaceId, dict[EntryId, float]]:
        """Return the demand by workspace and entry, once in an interval.

        Silent entries are dropped. Members that were not asked are added, without
        demand, if the requests are spread as those of random callers.
        """
        for entry, received_at in list(self.received_at.items()):
            if now - received_at > MAX_REPORT_AGE_S:
                del self.received_at[entry], self.by_entry[entry]
        demand: dict[WorkspaceId, dict[EntryId, float]] = {}
        for entry, requests in self.by_entry.items():
            for workspace, count in requests.items():
                demand.setdefault(workspace, {})[entry] = count
        evidence: dict[WorkspaceId, float] = {}
        for workspace, by_entry in demand.items():
            seen = (1 - EVIDENCE_FADE) * self.evidence.get(workspace, 0.0)
            seen += sum(by_entry.values()) * ALLOCATE_INTERVAL_S / window_s
            evidence[workspace] = seen
            if members and len(by_entry) < len(members):
                expected = len(members) * (1 - math.exp(-seen / len(members)))
                if len(by_entry) >= MIN_SPREAD_FRACTION * expected:
                    for entry in members:
                        by_entry.setdefault(entry, 0.0)
        self.evidence = evidence
        return demand
