"""Divides the budget of a workspace among entries by their demand.

What is taken from one entry is given to others only after the time for which it may
still be in use. Allowances are therefore kept under steady demand. They change when
entries come or go, when the budget changes, and when an entry needs more than it has.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Set
from functools import cached_property
from types import MappingProxyType
from typing import final

from masticdeck.coordination.quotas.allocation import (
    NO_SHARE,
    Share,
    WorkspaceShares,
)
from masticdeck.ids import EntryId

RESERVE_FRACTION = 0.2
"""Part of the budget that is kept for entries that come or need more at once."""

UNNEEDED_FRACTION = 0.5
"""Part of what the needs of the entries leave that may be kept."""

OVERLOAD_RESERVE_FRACTION = 0.02
"""The same while the needs exceed the budget."""

DEPLETED_FRACTION = 0.5
"""Part of the reserve below which it is filled again.

Filling it after each use would take allowances from entries all the time.
"""

NEED_DEVIATIONS = 3.3
"""Standard deviations of its demand by which an entry's need exceeds the mean.

Callers choose entries at random, so the requests of a window are Poisson distributed.
"""

SHORT_DEVIATIONS = 2.6
"""The same for the allowance below which an entry is short."""

NEED_MARGIN = 1.0
SHORT_MARGIN = 0.5
"""Requests that are added to the need, and to the limit of being short."""

KEEP_DEVIATIONS = 0.75
"""Standard deviations by which an allowance may fall short of the best one."""

REMAINDER_DIGITS = 3
"""Digits of the remainders of a division that are compared."""

MIN_MOVED_FRACTION = 0.03
"""Part of the budget that a change moves at least unless an entry is refusing."""

MAX_UNFAIR_FACTOR = 2.0
"""Fair part relative to the allowance, while the budget is short, worth a write."""


@final
class Distribution:
    """The next shares of one workspace.

    ``demand`` has the requests that entries were asked for in the last window, and
    ``members`` lists the entries that callers are directed to. Entries with demand get
    an allowance as well: callers may still use them.
    """

    def __init__(
        self,
        current: WorkspaceShares,
        budget: int,
        members: Iterable[EntryId],
        demand: Mapping[EntryId, float],
    ) -> None:
        self.current = current
        self.budget = budget
        self.members = sorted({*members, *demand})
        self.demand = pool(demand)
        self.needs = {
            entry: need(self.demand[entry]) if entry in demand else 0.0
            for entry in self.members
        }
        self.is_overloaded = sum(self.needs.values()) >= budget
        self.reserve = self.size_reserve()

    def size_reserve(self) -> int:
        """Return the part of the budget that is kept."""
        if self.is_overloaded:
            return int(OVERLOAD_RESERVE_FRACTION * self.budget)
        unneeded = self.budget - sum(self.needs.values())
        return math.ceil(
            min(UNNEEDED_FRACTION * unneeded, RESERVE_FRACTION * self.budget)
        )

    def better(self, *, is_urgent: bool) -> WorkspaceShares | None:
        """Return other shares if they are worth a write."""
        if self.budget != self.current.budget or self.has_left():
            return self.next()
        if self.current.reserved > self.budget:
            # Nothing can grow, so it is no use to take from others.
            return None
        unused = self.budget - self.reserve - self.assigned()
        has_unused = unused > MIN_MOVED_FRACTION * self.budget
        if not has_unused and not any(
            self.is_short(entry, best) for entry, best in self.best.items()
        ):
            return None
        shares = self.next()
        moved = sum(
            abs(shares.shares.get(entry, NO_SHARE).allowance - self.allowance(entry))
            for entry in self.members
        )
        is_worth = moved > (0 if is_urgent else MIN_MOVED_FRACTION * self.budget)
        return shares if is_worth else None

    def has_left(self) -> bool:
        """Return whether an entry has an allowance that gets no requests any more."""
        return any(
            share.allowance and entry not in self.needs
            for entry, share in self.current.shares.items()
        )

    def assigned(self) -> int:
        """Return the sum of the present allowances."""
        return sum(share.allowance for share in self.current.shares.values())

    def allowance(self, entry: EntryId) -> int:
        """Return the present allowance of an entry."""
        return self.current.shares.get(entry, NO_SHARE).allowance

    @cached_property
    def best(self) -> dict[EntryId, int]:
        """Return the allowances that fit the demand best, whole numbers.

        What is left of the budget beyond the needs and the reserve is divided evenly.
        """
        usable = self.budget - self.reserve
        spare = max(0.0, usable - sum(self.needs.values()))
        even = spare / max(1, len(self.members))
        weights = {entry: amount + even for entry, amount in self.needs.items()}
        present = {
            entry: share.allowance for entry, share in self.current.shares.items()
        }
        return apportion(usable, weights, present)

    def is_short(self, entry: EntryId, best: int) -> bool:
        """Return whether an entry needs noticeably more than it has."""
        present = self.allowance(entry)
        if not present:
            return best > 0
        demand = self.demand.get(entry, 0.0)
        return present < min(short_below(demand), keep_above(best))

    def targets(self) -> dict[EntryId, int]:
        """Return the allowances to reach.

        Present ones that are close to the best are kept. What the others get is taken
        from entries above their best allowance, in proportion to the surplus.
        """
        best = self.best
        targets = {
            entry: max(self.allowance(entry), amount)
            if self.allowance(entry) < keep_above(amount)
            else self.allowance(entry)
            for entry, amount in best.items()
        }
        excess = sum(targets.values()) - (self.budget - self.reserve)
        if excess > DEPLETED_FRACTION * self.reserve:
            surplus = {
                entry: float(targets[entry] - amount)
                for entry, amount in best.items()
                if targets[entry] > amount
            }
            reduction = min(excess, int(sum(surplus.values())))
            for entry, amount in apportion(reduction, surplus).items():
                targets[entry] -= amount
        deficit = sorted(best, key=lambda entry: targets[entry] - best[entry])
        for entry in deficit:
            if excess >= 0 or targets[entry] >= best[entry]:
                break
            addition = min(-excess, best[entry] - targets[entry])
            targets[entry] += addition
            excess += addition
        return targets

    def limits(self) -> tuple[dict[EntryId, int], int]:
        """Return what each entry may get at once, and how much may be added to that.

        That is what is reserved for an entry, and what is reserved for nobody. After a
        reduction of the budget, an allowance that is still in use counts only in
        proportion at entries that know of the reduction. As long as more than the
        budget is reserved, allowances therefore only become smaller.
        """
        current = self.current
        exceeds = current.reserved > current.budget
        if self.budget < current.budget:
            limits = {
                entry: (share.allowance if exceeds else share.reserved)
                * self.budget
                // current.budget
                for entry, share in current.shares.items()
            }
            free = max(0, current.budget - current.reserved)
            return limits, free * self.budget // current.budget
        if current.reserved > self.budget:
            return {
                entry: share.allowance for entry, share in current.shares.items()
            }, 0
        return {
            entry: share.reserved for entry, share in current.shares.items()
        }, self.budget - current.reserved

    def next(self) -> WorkspaceShares:
        """Return the next shares; entries that are short get something first."""
        targets = self.targets()
        limits, free = self.limits()
        allowances: dict[EntryId, int] = {}
        for entry in sorted(self.members, key=self.shortage_rank):
            limit = limits.get(entry, 0)
            growth = min(free, max(0, targets[entry] - limit))
            free -= growth
            allowances[entry] = min(targets[entry], limit + growth)
        return WorkspaceShares(self.budget, self.with_reserved(allowances))

    def shortage_rank(self, entry: EntryId) -> tuple[float, EntryId]:
        """Return the key that orders entries, the one with the largest need first."""
        return -self.demand.get(entry, 0.0) / max(1, self.allowance(entry)), entry

    def with_reserved(self, allowances: Mapping[EntryId, int]) -> dict[EntryId, Share]:
        """Return the shares with what earlier allocations may still use."""
        shares: dict[EntryId, Share] = {}
        for entry in {*allowances, *self.current.shares}:
            allowance = allowances.get(entry, 0)
            earlier = self.current.shares.get(entry, NO_SHARE).reserved
            reserved = max(allowance, earlier)
            if reserved:
                shares[entry] = Share(allowance, reserved)
        return shares


def must_change(
    shares: WorkspaceShares,
    budget: int,
    members: Set[EntryId],
    demand: Mapping[EntryId, float],
) -> bool:
    """Return whether shares are wrong or make an entry refuse requests.

    This is cheap, and false as long as demand is steady.
    """
    if budget != shares.budget:
        return True
    held = shares.shares
    for entry in held.keys() - members:
        if held[entry].allowance and entry not in demand:
            return True
    total = sum(demand.values())
    if need(total, len(demand)) <= budget:
        factor, margin, fair = 1.0, 0.0, 1.0
    else:
        factor, margin, fair = MAX_UNFAIR_FACTOR, 1.0, min(1.0, budget / total)
    for entry, requests in demand.items():
        share = held.get(entry, NO_SHARE)
        if requests * fair > factor * share.allowance + margin:
            return True
    return False


def may_change(
    shares: WorkspaceShares,
    budget: int,
    demand: Mapping[EntryId, float],
) -> bool:
    """Return whether other shares may be better than the present ones."""
    held = shares.shares
    assigned = sum(share.allowance for share in held.values())
    total = sum(demand.values())
    needs = need(total, len(demand))
    kept = min(RESERVE_FRACTION * budget, max(0.0, budget - needs))
    if budget - assigned - kept > MIN_MOVED_FRACTION * budget:
        return True
    if total <= budget:
        return any(
            held.get(entry, NO_SHARE).allowance < short_below(requests)
            for entry, requests in demand.items()
        )
    fair = budget / total
    return any(
        held.get(entry, NO_SHARE).allowance < keep_above(fair * requests)
        for entry, requests in demand.items()
    )


def pool(demand: Mapping[EntryId, float]) -> dict[EntryId, float]:
    """Return each entry's demand, shrunk towards the mean as far as it may be noise.

    This is the estimate of James and Stein for Poisson counts: differences no larger
    than those of random callers do not count. Allowances that followed them would be in
    transit most of the time.

    >>> pool({EntryId("a"): 1.0, EntryId("b"): 3.0})
    {'a': 2.0, 'b': 2.0}
    >>> pool({EntryId("a"): 0.0, EntryId("b"): 20.0})
    {'a': 1.0, 'b': 19.0}
    """
    if not demand:
        return {}
    mean = sum(demand.values()) / len(demand)
    variance = sum((requests - mean) ** 2 for requests in demand.values())
    variance /= len(demand)
    weight = 1 - min(1.0, mean / variance) if variance else 0.0
    return {
        entry: mean + weight * (requests - mean) for entry, requests in demand.items()
    }


def need(demand: float, entries: int = 1) -> float:
    """Return the requests that entries may have to admit in a window.

    The demand is that of all of them, and the result the largest of any division.
    """
    deviation = math.sqrt(demand * entries)
    return demand + NEED_DEVIATIONS * deviation + NEED_MARGIN * entries


def short_below(demand: float) -> float:
    """Return the allowance below which an entry with a demand is short."""
    return demand + SHORT_DEVIATIONS * math.sqrt(demand) + SHORT_MARGIN


def keep_above(best: float) -> float:
    """Return the allowance from which it need not become the best one."""
    return best - KEEP_DEVIATIONS * math.sqrt(best)


def apportion(
    total: int,
    weights: Mapping[EntryId, float],
    present: Mapping[EntryId, int] = MappingProxyType({}),
) -> dict[EntryId, int]:
    """Divide a whole number by weights; the largest remainders are rounded up.

    Of equal remainders, those that leave more as it is at ``present`` come first.

    >>> apportion(3, {EntryId("a"): 1.0, EntryId("b"): 1.0})
    {'a': 2, 'b': 1}
    >>> apportion(3, {EntryId("a"): 1.0, EntryId("b"): 1.0}, {EntryId("b"): 2})
    {'a': 1, 'b': 2}
    """
    factor = total / (sum(weights.values()) or 1.0)
    exact = {entry: factor * weight for entry, weight in weights.items()}
    parts = {entry: int(value) for entry, value in exact.items()}
    missing = total - sum(parts.values())
    if missing:
        by_remainder = sorted(
            exact,
            key=lambda entry: (
                round(parts[entry] - exact[entry], REMAINDER_DIGITS),
                -present.get(entry, 0),
                entry,
            ),
        )
        for entry in by_remainder[:missing]:
            parts[entry] += 1
    return parts
