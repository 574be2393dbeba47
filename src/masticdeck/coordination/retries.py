"""Token buckets that bound the retries of each service.

A first attempt adds a fraction of a token and a retry takes a whole one. The sum
over all entries has the same ratio, so the entries need not coordinate. A request
that the caller marks as its own retry adds nothing and is not retried by the
entry, so that the retries of both layers add up rather than multiply.

Saved tokens need coordination, since those of all entries may be taken together.
``SharedRetryBudget`` bounds their sum whatever the number of entries.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

from masticdeck.clock import boottime
from masticdeck.coordination.entry_order import EntryOrder
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

PERIODS_PER_WINDOW = 100
"""Parts of a window in which requests are counted together."""


@final
@dataclass(slots=True, eq=False)
class RetryWindow:
    """This entry's requests and retries of one service in the last window.

    ``requests`` has the number of a period and the requests in it, in order of time.
    """

    requests: deque[tuple[int, int]] = field(default_factory=deque)
    request_count: int = 0
    retried_at: deque[float] = field(default_factory=deque)

    def record_request(self, period: int) -> None:
        """Count a first attempt."""
        count = 0
        if self.requests and self.requests[-1][0] == period:
            _, count = self.requests.pop()
        self.requests.append((period, count + 1))
        self.request_count += 1

    def discard_before(self, period: int, time: float) -> None:
        """Discard the requests of earlier periods and the retries before a time."""
        while self.requests and self.requests[0][0] < period:
            self.request_count -= self.requests.popleft()[1]
        while self.retried_at and self.retried_at[0] <= time:
            self.retried_at.popleft()


class SharedRetryBudget(RetryBudget):
    """This entry's portion of the retries that all entries may send together.

    In any window all entries may send ``ratio`` times as many retries as requests,
    plus ``slack``. Each entry accumulates at most its portion of the slack, so
    that the sum is kept however the requests are distributed among the entries.

    A portion may be less than one retry. If each entry rounded it up, the sum would
    follow the number of entries. So an entry sends a whole retry only if the requests
    of the window and its portion give one; what they give is rounded up or down by the
    place of the entry in ``order``, so that the parts of all entries add up.

    ``is_counted`` tells whether the others count this entry. If they do not, they have
    divided its portion among themselves.

    >>> from masticdeck.ids import EntryId
    >>> order = EntryOrder(EntryId("a"), members=lambda: set("abcdef"))
    >>> budget = SharedRetryBudget(ratio=0.2, slack=60, window_s=10, order=order)
    >>> budget.started_at -= budget.window_s
    >>> service = ServiceId("katalogs")
    >>> for _ in range(1000):
    ...     budget.deposit(service)
    >>> sum(budget.try_withdraw(service) for _ in range(1000))
    7
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        order: EntryOrder,
        is_counted: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.order = order
        self.is_counted = is_counted
        self.started_at = boottime()
        self.windows: dict[ServiceId, RetryWindow] = {}
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Set the limits that all entries share."""
        self.tokens_per_request = SAFETY_FRACTION * ratio
        self.slack = SAFETY_FRACTION * slack
        self.window_s = window_s

    def portion(self) -> float:
        """Return this entry's portion of the slack.

        It grows during the first window, so that restarts do not renew it.
        """
        if not self.order.contains_own_entry() or not self.is_counted():
            return 0.0
        run_fraction = min(1.0, (boottime() - self.started_at) / self.window_s)
        return run_fraction * self.slack / self.order.size()

    def deposit(self, service: ServiceId) -> None:
        """Add the tokens of a first attempt."""
        self.max_tokens = max(1.0, self.portion())
        super().deposit(service)
        now = boottime()
        self.current_window(service, now).record_request(self.period_at(now))

    def can_retry(self, service: ServiceId) -> bool:
        """Return whether a retry may be sent now."""
        return super().can_retry(service) and self.count_left(service) >= 1

    def try_withdraw(self, service: ServiceId) -> bool:
        """Take the token of a retry; return whether it may be sent."""
        if not super().try_withdraw(service):
            return False
        self.windows[service].retried_at.append(boottime())
        return True

    def count_left(self, service: ServiceId) -> int:
        """Return the retries that the requests of the window and the portion allow."""
        window = self.current_window(service, boottime())
        allowed = self.portion() + self.tokens_per_request * window.request_count
        whole = math.floor(allowed + self.order.fraction(service))
        return whole - len(window.retried_at)

    def current_window(self, service: ServiceId, now: float) -> RetryWindow:
        """Return the window of a service that ends now."""
        window = self.windows.setdefault(service, RetryWindow())
        since = now - self.window_s
        window.discard_before(self.period_at(since) + 1, since)
        return window

    def period_at(self, time: float) -> int:
        """Return the number of the period at a boot time."""
        return math.floor(time * PERIODS_PER_WINDOW / self.window_s)
