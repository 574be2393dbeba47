"""Budget of repeated attempts, per service.

Each first attempt earns a part of a repeat, each repeat spends a whole one.
The sum over all entries keeps the same ratio, so no agreement is needed. A
request that a caller marks as its own repeat earns nothing and is not repeated
again by the entry, so that the layers add up rather than multiply.
"""

from __future__ import annotations

from collections.abc import Callable

from masticdeck.ids import ServiceId

EARNED = 0.06
MOST_SAVED = 5.0


class RetryBudget:
    """Repeats that this entry may still send, by service.

    >>> budget = RetryBudget(saved=0.0)
    >>> service = ServiceId("katalogs")
    >>> budget.spend(service)
    False
    >>> for _ in range(20):
    ...     budget.earn(service)
    >>> budget.spend(service)
    True
    """

    def __init__(
        self,
        *,
        saved: float = 1.0,
        earned: float = EARNED,
        most_saved: float = MOST_SAVED,
    ) -> None:
        self.initial = saved
        self.earned = earned
        self.most_saved = most_saved
        self.saved: dict[ServiceId, float] = {}

    def earn(self, service: ServiceId) -> None:
        """Count a first attempt."""
        saved = self.saved.get(service, self.initial)
        self.saved[service] = min(self.most_saved, saved + self.earned)

    def affords(self, service: ServiceId) -> bool:
        """Return whether a repeat may be sent now."""
        return self.saved.get(service, self.initial) >= 1.0

    def spend(self, service: ServiceId) -> bool:
        """Return whether a repeat may be sent, and count it."""
        if not self.affords(service):
            return False
        self.saved[service] = self.saved.get(service, self.initial) - 1.0
        return True


SHARED_PART = 0.7
"""Part of the allowed repeats that is used, as entries learn late of each other."""


class SharedBudget(RetryBudget):
    """This entry's part of the repeats that all entries may send together.

    In any window all entries may repeat ``ratio`` times the requests plus
    ``slack``. Each saves at most its part of the slack, so that the sum holds
    whichever entries the requests come to.

    >>> budget = SharedBudget(ratio=0.2, slack=60, entries=lambda: 6)
    >>> service = ServiceId("katalogs")
    >>> for _ in range(1000):
    ...     budget.earn(service)
    >>> sum(budget.spend(service) for _ in range(1000))
    7
    """

    def __init__(
        self, *, ratio: float, slack: float, entries: Callable[[], int]
    ) -> None:
        super().__init__()
        self.entries = entries
        self.allow(ratio=ratio, slack=slack)

    def allow(self, *, ratio: float, slack: float) -> None:
        """Take over changed bounds."""
        self.earned = SHARED_PART * ratio
        self.slack = SHARED_PART * slack

    def earn(self, service: ServiceId) -> None:
        """Count a first attempt."""
        self.most_saved = max(1.0, self.slack / max(1, self.entries()))
        super().earn(service)
