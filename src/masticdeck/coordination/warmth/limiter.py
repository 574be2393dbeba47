"""Bounds what instances get while nothing confirms that they are not cold.

Any of them may have become cold, so each is to get no more than a cold one bears,
summed over all entries. The entries cannot ask each other about each request. Each of
them knows what it has sent lately, and its responses report how much the others did, so
it keeps to its own part of the bound, as it was when the doubt began:

- Where all entries together sent less than the bound, everyone goes on, with some room
  for chance. The sum may exceed the bound for a moment.
- Where they sent more, everyone sends its part of the bound and no more. Entries whose
  part is less than a request in a window send one after the other, at the plain rate
  of a cold instance. Some have a request at the same moment by chance.
- Where an entry has sent nothing lately, it sends one request in a window, if the
  instances of the service that it knows got less than the bound. Otherwise it sends one
  now and then, one such entry after the other, so that all of them together use a part
  of the slack.

A request that finds its instance closed waits, or goes to another one, as if the
instance had no free slot.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

from masticdeck.coordination.entry_order import EntryOrder
from masticdeck.coordination.instance_load import InstanceLoad, InstanceLoads
from masticdeck.coordination.warmth.confirmation import WarmthConfirmation
from masticdeck.ids import InstanceId, ServiceId
from masticdeck.state.fleet import FleetInstance

WINDOW_S = 1.0
"""Length of the window in which the requests to a cold instance are bounded."""

MAX_RECENT_SENDS = 16
"""Own requests to an instance that are remembered."""

MAX_SEND_AGE_S = 10.0
"""Age up to which own requests to an instance count as its usual ones."""

CALM_SLACK = 0.7
"""Fraction of the slack up to which an instance is calm: it got less than the bound."""

FEW_REPORTS = 8
"""Reports of an instance that weigh as much as all others of its service."""

USED_SLACK = 0.4
"""Fraction of the slack that entries use at instances that are not calm."""

NEWCOMER_SLACK = 0.3
"""Fraction of the slack that entries use there if they have sent nothing lately."""

CHANCE_REQUESTS = 2
"""Requests in a window beyond an entry's part, where the sum is below the bound."""


@final
@dataclass(frozen=True, slots=True)
class ColdBound:
    """What a cold instance bears in a second: ``rate * load_factor + slack``."""

    load_factor: float
    slack: float


@final
@dataclass(frozen=True, slots=True)
class SendLimit:
    """Limit of one entry at one instance: requests in a window, and their gap.

    Nothing is sent before boot time ``from_at``, and the gap is that between requests
    from then on.
    """

    per_window: int
    min_gap_s: float = 0.0
    from_at: float = -math.inf


@final
@dataclass(slots=True, eq=False)
class RecentSends:
    """Boot times of own requests to an instance, and others that its reports had."""

    service: ServiceId
    load: InstanceLoad
    times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_SENDS))
    others: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_SENDS))

    @property
    def last_at(self) -> float:
        """Return the boot time of the last request, minus infinity without one."""
        return self.times[-1] if self.times else -math.inf

    def count_since(self, since: float) -> int:
        """Return the number of requests sent after a boot time."""
        return sum(at > since for at in self.times)

    def rate_per_s(self, now: float) -> float:
        """Return the requests per second of late, 0 if there were none."""
        count = self.count_since(now - MAX_SEND_AGE_S)
        if count < 2:
            return count / MAX_SEND_AGE_S
        return (count - 1) / (now - self.times[-count])

    def total_per_s(self, now: float) -> float:
        """Return the requests per second of all entries, without others if unknown.

        By Little's law, the requests of others at the instance divided by the time that
        each of them takes are those that arrive in a second. Responses report how many
        there are.
        """
        own_per_s = self.rate_per_s(now)
        latency_s = self.load.mean_latency_s
        if not latency_s:
            return own_per_s
        others = [*self.others, self.load.other_requests]
        return own_per_s + sum(others) / len(others) / latency_s

    @property
    def report_count(self) -> int:
        """Return the number of reports behind ``total_per_s``."""
        return len(self.others) + 1


class UnconfirmedLimiter:
    """Tells whether an instance accepts one more request of this entry now.

    ``bound`` returns what the deployment's settings allow, None for no bound,
    ``cold_rate_per_s`` what a cold instance of a service bears. ``order`` gives the
    place of this entry among those that callers are directed to.
    """

    def __init__(
        self,
        confirmation: WarmthConfirmation,
        loads: InstanceLoads,
        *,
        bound: Callable[[], ColdBound | None],
        cold_rate_per_s: Callable[[ServiceId], float],
        order: EntryOrder,
    ) -> None:
        self.confirmation = confirmation
        self.loads = loads
        self.bound = bound
        self.cold_rate_per_s = cold_rate_per_s
        self.order = order
        self.sends: dict[InstanceId, RecentSends] = {}
        self.limits: dict[InstanceId, SendLimit] = {}
        self.limits_since = math.inf
        self.mean_totals: dict[ServiceId, float] = {}
        self.checked_at = -math.inf
        self.checked_bound: ColdBound | None = None

    def accepts(self, instance: FleetInstance, now: float) -> bool:
        """Return whether this entry may send an instance one more request now."""
        bound = self.bound_in_force(now)
        if bound is None:
            return True
        if self.limits_since != self.confirmation.began_at:
            self.begin(now)
        limit = self.limits.get(instance.id)
        if limit is None:
            limit = self.limits[instance.id] = self.find_limit(instance, bound, now)
        sends = self.sends.get(instance.id)
        if now < limit.from_at or not limit.per_window:
            return False
        if sends is None:
            return True
        return sends.count_since(now - WINDOW_S) < limit.per_window and (
            sends.last_at < limit.from_at or now - sends.last_at >= limit.min_gap_s
        )

    def bound_in_force(self, now: float) -> ColdBound | None:
        """Return the bound, None if nothing has to be bounded now.

        A choice among many instances asks for each of them at the same moment.
        """
        if now != self.checked_at:
            self.checked_at = now
            bound = self.bound()
            is_needed = bound is not None and not self.confirmation.is_confirmed(now)
            self.checked_bound = bound if is_needed else None
        return self.checked_bound

    def begin(self, now: float) -> None:
        """Take down what the instances got before a doubt."""
        self.limits_since = self.confirmation.began_at
        self.limits.clear()
        reports: Counter[ServiceId] = Counter()
        weighted: defaultdict[ServiceId, float] = defaultdict(float)
        for sends in self.sends.values():
            reports[sends.service] += sends.report_count
            weighted[sends.service] += sends.report_count * sends.total_per_s(now)
        self.mean_totals = {
            service: weighted[service] / count for service, count in reports.items()
        }

    def estimate_total_per_s(self, sends: RecentSends, now: float) -> float:
        """Return the requests per second that an instance gets from all entries.

        Few reports say little, so those of the service's other instances count too.
        """
        reports = sends.report_count
        total_per_s = sends.total_per_s(now)
        usual_per_s = self.mean_totals.get(sends.service, total_per_s)
        return (reports * total_per_s + FEW_REPORTS * usual_per_s) / (
            reports + FEW_REPORTS
        )

    def find_limit(
        self, instance: FleetInstance, bound: ColdBound, now: float
    ) -> SendLimit:
        """Return this entry's limit at an instance."""
        plain_per_s = self.cold_rate_per_s(instance.service)
        rate_per_s = plain_per_s * bound.load_factor
        calm_per_s = rate_per_s + CALM_SLACK * bound.slack
        sends = self.sends.get(instance.id)
        own_per_s = 0.0 if sends is None else sends.rate_per_s(now)
        if sends is None or not own_per_s:
            return self.newcomer_limit(instance, bound, calm_per_s, now)
        total_per_s = self.estimate_total_per_s(sends, now)
        own_fraction = min(1.0, own_per_s / total_per_s)
        if total_per_s <= calm_per_s:
            return SendLimit(int(calm_per_s * own_fraction) + CHANCE_REQUESTS)
        own_part = (rate_per_s + USED_SLACK * bound.slack) * own_fraction
        if own_part >= 1:
            return SendLimit(int(own_part))
        return self.staggered_limit(instance, 1 / (plain_per_s * own_fraction), now)

    def newcomer_limit(
        self, instance: FleetInstance, bound: ColdBound, calm_per_s: float, now: float
    ) -> SendLimit:
        """Return this entry's limit at an instance to which it has sent nothing lately.

        The other instances of the service tell whether this one has room.
        """
        if self.mean_totals.get(instance.service, math.inf) <= calm_per_s:
            return SendLimit(1)
        newcomers_per_s = NEWCOMER_SLACK * bound.slack
        if not newcomers_per_s:
            return SendLimit(0)
        return self.staggered_limit(instance, self.order.size() / newcomers_per_s, now)

    def staggered_limit(
        self, instance: FleetInstance, gap_s: float, now: float
    ) -> SendLimit:
        """Return a limit of one request in each gap, at another time than others."""
        fraction = self.order.fraction(f"{instance.id}/{instance.born_ms}")
        return SendLimit(1, gap_s, now + fraction * gap_s)

    def record_sent(self, instance: FleetInstance, now: float) -> None:
        """Count a request that is being sent to an instance."""
        sends = self.sends.get(instance.id)
        if sends is None:
            load = self.loads.get(instance)
            sends = self.sends[instance.id] = RecentSends(instance.service, load)
        if sends.load.reported_at > sends.last_at:
            sends.others.append(sends.load.other_requests)
        sends.times.append(now)

    def remove(self, instance: FleetInstance) -> None:
        """Forget an instance that no longer exists."""
        self.sends.pop(instance.id, None)
        self.limits.pop(instance.id, None)
