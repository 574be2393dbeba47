"""What a limit on a workspace allows in a window of time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

from masticdeck.state.workspaces import RateLimit

MAX_BUDGET = 1_000_000_000
"""Largest number of requests in a record; larger limits are as good as none."""

RESTART_FRACTION = 0.125
"""Part of the budget that the bound leaves for restarted processes at least.

A predecessor may have used all of its allowance just before. A larger part lowers what
is divided among the entries.
"""

DEFAULT_MAX_PROOF_AGE_S = 3.0
"""Age of the proof up to which an allocation is used, without a bound on keys."""

PROOF_FRACTION_OF_REVOCATION = 0.6
"""The same as a fraction of the bound on the revocation of keys."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTerms:
    """How requests are counted against limits.

    In any ``window_s`` seconds all entries together may admit as many requests as
    ``bound`` returns. An allocation is used while the replica is provably younger than
    ``max_proof_age_s``.
    """

    window_s: float
    overage: float
    slack: float
    max_proof_age_s: float = DEFAULT_MAX_PROOF_AGE_S

    @property
    def reuse_after_s(self) -> float:
        """Return the time after which a withdrawn allowance may be given to others.

        Until then its holder may not know of it, or its last requests count.
        """
        return self.max_proof_age_s + self.window_s

    def bound(self, limit: RateLimit) -> float:
        """Return the most requests in a window, restarts of entries included."""
        requests = limit.rate_per_s * self.window_s + limit.burst
        return requests * (1 + self.overage) + self.slack

    def budget(self, limit: RateLimit) -> int:
        """Return the sum of the allowances that entries may have at a time."""
        return math.floor(min(MAX_BUDGET, self.bound(limit) / (1 + RESTART_FRACTION)))
