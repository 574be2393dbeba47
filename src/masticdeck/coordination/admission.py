"""Queues per service: which waiting call gets the next slot, and who is refused.

A queue is ordered by rank, then fairly between customers by the capacity of
their plans, then by deadline. Each rank keeps a floor: a part of the grants
that a flood of other ranks cannot take. The floor is kept over several grants
rather than at each, so that a short burst of urgent work goes first. A call
whose expected wait exceeds what its deadline leaves is refused at once, before
its body is read.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from masticdeck.coordination.slots import Slot
from masticdeck.errors import Overloaded
from masticdeck.ids import CustomerId, InstanceId, Rank
from masticdeck.protocol.call import Call

RANKS = (Rank.URGENT, Rank.MIDDLE, Rank.LOW)
DEFAULT_FLOORS = {Rank.URGENT: 0.3, Rank.MIDDLE: 0.2, Rank.LOW: 0.1}
RATE_WINDOW_S = 1.0
DUE_CREDIT = 3.0
MOST_CREDIT = 6.0
LEAST_CREDIT = -3.0
ALWAYS_QUEUED = 2
MAX_RETRY_AFTER_S = 30.0
MIN_RATE = 0.1


class DecayingRate:
    """Events a second, averaged over a window that decays exponentially."""

    def __init__(self, window_s: float = RATE_WINDOW_S) -> None:
        self.window_s = window_s
        self.value = 0.0
        self.at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.get(now) + 1.0 / self.window_s
        self.at = now

    def get(self, now: float) -> float:
        """Return the rate as of now."""
        return self.value * math.exp((self.at - now) / self.window_s)


@dataclass(slots=True, eq=False, kw_only=True)
class Waiter:
    """A call that waits for a slot until ``latest``, in boot-time seconds."""

    call: Call
    avoid: frozenset[InstanceId]
    latest: float
    future: asyncio.Future[Slot]
    queued: bool = True


@dataclass(slots=True, eq=False)
class Lane:
    """Waiting calls of one customer in one rank, the earliest deadline first."""

    weight: float = 1.0
    finish: float = 0.0
    heap: list[tuple[float, int, Waiter]] = field(default_factory=list)

    def trim(self) -> bool:
        """Drop the calls that no longer wait; return whether any is left."""
        while self.heap and self.heap[0][2].future.done():
            heapq.heappop(self.heap)
        return bool(self.heap)


class RankQueue:
    """Waiting calls of one rank, fair between customers.

    Start-time fair queuing: a customer's virtual time advances by the inverse
    of its weight for each grant, and the customer with the least goes first.
    """

    def __init__(self) -> None:
        self.lanes: dict[CustomerId | None, Lane] = {}
        self.virtual = 0.0
        self.count = 0
        self.credit = 0.0
        self.granted = DecayingRate()

    def push(self, waiter: Waiter, number: int, weight: float) -> None:
        """Add a waiting call."""
        lane = self.lanes.get(waiter.call.customer)
        if lane is None:
            lane = self.lanes[waiter.call.customer] = Lane()
        if not lane.trim():
            lane.finish = max(lane.finish, self.virtual)
        lane.weight = weight
        heapq.heappush(lane.heap, (waiter.call.deadline, number, waiter))

    def first(self) -> Lane | None:
        """Return the lane whose turn it is."""
        best: Lane | None = None
        for customer, lane in list(self.lanes.items()):
            if not lane.trim():
                self.forget(customer, lane)
            elif best is None or lane.finish < best.finish:
                best = lane
        return best

    def forget(self, customer: CustomerId | None, lane: Lane) -> None:
        """Drop an empty lane whose virtual time holds nothing against it."""
        if lane.finish <= self.virtual:
            del self.lanes[customer]

    def charge(self, lane: Lane) -> None:
        """Remove the lane's first call, which got a slot."""
        heapq.heappop(lane.heap)
        self.virtual = max(self.virtual, lane.finish)
        lane.finish += 1.0 / lane.weight

    def ahead(self, call: Call, weight: float) -> float:
        """Return how many grants of this rank come before a new call's."""
        lane = self.lanes.get(call.customer)
        own = 1 + (len(lane.heap) if lane else 0)
        ahead = 0.0
        for customer, other in self.lanes.items():
            if customer != call.customer:
                ahead += min(len(other.heap), own * other.weight / weight)
        return ahead + own


class ServiceQueue:
    """Waiting calls of one service at this entry."""

    def __init__(self, floors: Mapping[Rank, float] | None = None) -> None:
        self.floors = dict(DEFAULT_FLOORS if floors is None else floors)
        self.ranks = {rank: RankQueue() for rank in RANKS}
        self.numbers = itertools.count()
        self.waiting = 0

    def push(self, waiter: Waiter, weight: float) -> None:
        """Add a waiting call; ``done`` must be called when its wait ends."""
        queue = self.ranks[waiter.call.rank]
        queue.push(waiter, next(self.numbers), weight)
        queue.count += 1
        self.waiting += 1

    def done(self, waiter: Waiter) -> None:
        """Count a call out that no longer waits; may be called again."""
        if not waiter.queued:
            return
        waiter.queued = False
        self.ranks[waiter.call.rank].count -= 1
        self.waiting -= 1

    def candidates(self) -> Iterator[tuple[RankQueue, Lane]]:
        """Return whose turn it is: ranks below their floor, then the most urgent.

        Later ones follow for a slot that the first cannot use.
        """
        due = [queue for queue in self.ranks.values() if queue.credit >= DUE_CREDIT]
        due.sort(key=lambda queue: -queue.credit)
        for queue in dict.fromkeys((*due, *self.ranks.values())):
            lane = queue.first() if queue.count else None
            if lane is not None:
                yield queue, lane

    def grant(self, chosen: RankQueue, lane: Lane, now: float) -> Waiter:
        """Remove the selected call and settle what each rank is owed."""
        for rank, queue in self.ranks.items():
            if queue.count:
                credit = queue.credit + self.floors.get(rank, 0.0)
                queue.credit = min(MOST_CREDIT, credit)
        chosen.credit = max(LEAST_CREDIT, chosen.credit - 1.0)
        chosen.granted.add(now)
        waiter = lane.heap[0][2]
        chosen.charge(lane)
        self.done(waiter)
        return waiter

    def expected_wait_s(
        self, call: Call, weight: float, capacity_per_s: float, now: float
    ) -> float:
        """Return the wait that a call would meet, from measured service times.

        ``capacity_per_s`` is what this entry's slots of the service finish in
        a second; more urgent ranks take their measured rate of it, but never
        more than the floors leave.
        """
        above = sum(
            self.ranks[rank].granted.get(now)
            for rank in RANKS
            if rank.order < call.rank.order
        )
        floor = self.floors.get(call.rank, 0.0) * capacity_per_s
        kept = sum(
            self.floors.get(rank, 0.0) * capacity_per_s
            for rank in RANKS
            if rank.order > call.rank.order and self.ranks[rank].count
        )
        rate = max(capacity_per_s - above - kept, floor, MIN_RATE)
        return self.ranks[call.rank].ahead(call, weight) / rate

    def check(
        self,
        call: Call,
        weight: float,
        capacity_per_s: float,
        latest: float,
        now: float,
    ) -> None:
        """Refuse a call that cannot get a slot in time; raises Overloaded."""
        if self.ranks[call.rank].count < ALWAYS_QUEUED and latest > now:
            return
        wait_s = self.expected_wait_s(call, weight, capacity_per_s, now)
        if now + wait_s > latest:
            raise Overloaded(
                f"expected wait {wait_s:.1f} s",
                retry_after_s=min(max(1.0, wait_s), MAX_RETRY_AFTER_S),
            )
