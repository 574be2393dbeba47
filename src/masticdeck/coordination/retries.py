"""Token buckets that bound the retries of each service.

A first attempt adds a fraction of a token and a retry takes a whole one. The sum
over all entries has the same ratio, so the entries need not coordinate. A request
that the caller marks as its own retry adds nothing and is not retried by the
entry, so that the retries of both layers add up rather than multiply.
"""

from __future__ import annotations

from collections.abc import Callable

from masticdeck.ids import ServiceId

TOKENS_PER_REQUEST = 0.06
MAX_TOKENS = 5.0


class RetryBudget:
    """Retries that this entry may still send, by service.

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
        """Add the tokens of a first attempt."""
        tokens = self.tokens.get(service, self.initial_tokens)
        self.tokens[service] = min(self.max_tokens, tokens + self.tokens_per_request)

    def can_retry(self, service: ServiceId) -> bool:
        """Return whether a retry may be sent now."""
        return self.tokens.get(service, self.initial_tokens) >= 1.0

    def try_withdraw(self, service: ServiceId) -> bool:
        """Take the token of a retry; return whether it may be sent."""
        if not self.can_retry(service):
            return False
        self.tokens[service] = self.tokens.get(service, self.initial_tokens) - 1.0
        return True


SAFETY_FRACTION = 0.7
"""Fraction of the allowed retries that is used.

The margin is needed because an entry learns of other entries with a delay.
"""


class SharedRetryBudget(RetryBudget):
    """This entry's portion of the retries that all entries may send together.

    In any period all entries may send ``ratio`` times as many retries as requests,
    plus ``slack``. Each entry accumulates at most its portion of the slack, so
    that the sum is kept however the requests are distributed among the entries.

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
        """Set the limits that all entries share."""
        self.tokens_per_request = SAFETY_FRACTION * ratio
        self.slack = SAFETY_FRACTION * slack

    def deposit(self, service: ServiceId) -> None:
        """Add the tokens of a first attempt."""
        self.max_tokens = max(1.0, self.slack / max(1, self.entry_count()))
        super().deposit(service)
