"""Budget of repeated attempts, per service.

Each first attempt earns a part of a repeat, each repeat spends a whole one.
The sum over all entries keeps the same ratio, so no agreement is needed. A
request that a caller marks as its own repeat earns nothing and is not repeated
again by the entry, so that the layers add up rather than multiply.
"""

from __future__ import annotations

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

    def spend(self, service: ServiceId) -> bool:
        """Return whether a repeat may be sent, and count it."""
        saved = self.saved.get(service, self.initial)
        if saved < 1.0:
            return False
        self.saved[service] = saved - 1.0
        return True
