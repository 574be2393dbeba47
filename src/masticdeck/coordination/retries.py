"""Budget of repeated attempts, per service.

Each first attempt earns a part of a repeat, each repeat spends a whole one.
The sum over all entries keeps the same ratio, so no agreement is needed. A
request that a caller marks as its own repeat earns nothing and is not repeated
again by the entry, so that the layers add up rather than multiply.
"""

from __future__ import annotations

from collections.abc import Callable

from masticdeck.ids import ServiceId

TOKENS_PER_REQUEST = 0.06
MAX_TOKENS = 5.0


class RetryBudget:
    """Repeats that this entry may still send, by service.

    >>> budget = RetryBudget(initial_tokens=0.0)
    >>> service = ServiceId("katalogs")
    >>> budget.try_withdraw(service)
    False
    >>> for _ in range(20):
    ...     budget.deposit(service)
    >>> budget.try_withdraw(service)
    True
    """

    def __init__(
        self,
        *,
        initial_tokens: float = 1.0,
        tokens_per_request: float = TOKENS_PER_REQUEST,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        self.initial_tokens = initial_tokens
        self.tokens_per_request = tokens_per_request
        self.max_tokens = max_tokens
        self.tokens: dict[ServiceId, float] = {}

    def deposit(self, service: ServiceId) -> None:
        """Count a first attempt."""
        saved = self.tokens.get(service, self.initial_tokens)
        self.tokens[service] = min(self.max_tokens, saved + self.tokens_per_request)

    def can_retry(self, service: ServiceId) -> bool:
        """Return whether a repeat may be sent now."""
        return self.tokens.get(service, self.initial_tokens) >= 1.0

    def try_withdraw(self, service: ServiceId) -> bool:
        """Return whether a repeat may be sent, and count it."""
        if not self.can_retry(service):
            return False
        self.tokens[service] = self.tokens.get(service, self.initial_tokens) - 1.0
        return True


SAFETY_FRACTION = 0.7
"""Part of the allowed repeats that is used, as entries learn late of each other."""


class SharedRetryBudget(RetryBudget):
    """This entry's part of the repeats that all entries may send together.

    In any window all entries may repeat ``ratio`` times the requests plus
    ``slack``. Each saves at most its part of the slack, so that the sum holds
    whichever entries the requests come to.

    >>> budget = SharedRetryBudget(ratio=0.2, slack=60, entry_count=lambda: 6)
    >>> service = ServiceId("katalogs")
    >>> for _ in range(1000):
    ...     budget.deposit(service)
    >>> sum(budget.try_withdraw(service) for _ in range(1000))
    7
    """

    def __init__(
        self, *, ratio: float, slack: float, entry_count: Callable[[], int]
    ) -> None:
        super().__init__()
        self.entry_count = entry_count
        self.set_limits(ratio=ratio, slack=slack)

    def set_limits(self, *, ratio: float, slack: float) -> None:
        """Take over changed bounds."""
        self.tokens_per_request = SAFETY_FRACTION * ratio
        self.slack = SAFETY_FRACTION * slack

    def deposit(self, service: ServiceId) -> None:
        """Count a first attempt."""
        self.max_tokens = max(1.0, self.slack / max(1, self.entry_count()))
        super().deposit(service)
