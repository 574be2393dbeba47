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
FLOOR_CREDIT_THRESHOLD = 3.0
MAX_CREDIT = 6.0
MIN_CREDIT = -3.0
UNCHECKED_QUEUE_LENGTH = 2
MAX_RETRY_AFTER_S = 30.0
MIN_RATE_PER_S = 0.1


class DecayingRate:
    """Events a second, averaged over a window that decays exponentially."""

    def __init__(self, window_s: float = RATE_WINDOW_S) -> None:
        self.window_s = window_s
        self.rate_per_s = 0.0
        self.updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.rate_per_s = self.rate_at(now) + 1.0 / self.window_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate as of now."""
        return self.rate_per_s * math.exp((self.updated_at - now) / self.window_s)


@dataclass(slots=True, eq=False, kw_only=True)
class WaitingCall:
    """A call that waits for a slot until ``latest_start``, in boot-time seconds."""

    call: Call
    avoid: frozenset[InstanceId]
    latest_start: float
    future: asyncio.Future[Slot]
    is_queued: bool = True


@dataclass(slots=True, eq=False)
class CustomerQueue:
    """Waiting calls of one customer in one rank, the earliest deadline first."""

    weight: float = 1.0
    virtual_finish: float = 0.0
    heap: list[tuple[float, int, WaitingCall]] = field(default_factory=list)

    def discard_done(self) -> bool:
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
        self.customer_queues: dict[CustomerId | None, CustomerQueue] = {}
        self.virtual_time = 0.0
        self.waiting_count = 0
        self.credit = 0.0
        self.grant_rate = DecayingRate()

    def push(self, waiter: WaitingCall, number: int, weight: float) -> None:
        """Add a waiting call."""
        lane = self.customer_queues.get(waiter.call.customer)
        if lane is None:
            lane = self.customer_queues[waiter.call.customer] = CustomerQueue()
        if not lane.discard_done():
            lane.virtual_finish = max(lane.virtual_finish, self.virtual_time)
        lane.weight = weight
        heapq.heappush(lane.heap, (waiter.call.deadline, number, waiter))

    def next_customer_queue(self) -> CustomerQueue | None:
        """Return the lane whose turn it is."""
        best: CustomerQueue | None = None
        for customer, lane in list(self.customer_queues.items()):
            if not lane.discard_done():
                self.remove_if_idle(customer, lane)
            elif best is None or lane.virtual_finish < best.virtual_finish:
                best = lane
        return best

    def remove_if_idle(self, customer: CustomerId | None, lane: CustomerQueue) -> None:
        """Drop an empty lane whose virtual time holds nothing against it."""
        if lane.virtual_finish <= self.virtual_time:
            del self.customer_queues[customer]

    def pop_first(self, lane: CustomerQueue) -> None:
        """Remove the lane's first call, which got a slot."""
        heapq.heappop(lane.heap)
        self.virtual_time = max(self.virtual_time, lane.virtual_finish)
        lane.virtual_finish += 1.0 / lane.weight

    def grants_until_turn(self, call: Call, weight: float) -> float:
        """Return how many grants of this rank come before a new call's."""
        lane = self.customer_queues.get(call.customer)
        own = 1 + (len(lane.heap) if lane else 0)
        ahead = 0.0
        for customer, other in self.customer_queues.items():
            if customer != call.customer:
                ahead += min(len(other.heap), own * other.weight / weight)
        return ahead + own


class ServiceQueue:
    """Waiting calls of one service at this entry."""

    def __init__(self, floors: Mapping[Rank, float] | None = None) -> None:
        self.floors = dict(DEFAULT_FLOORS if floors is None else floors)
        self.rank_queues = {rank: RankQueue() for rank in RANKS}
        self.sequence_numbers = itertools.count()
        self.waiting_count = 0

    def push(self, waiter: WaitingCall, weight: float) -> None:
        """Add a waiting call; ``end_wait`` must be called when its wait ends."""
        queue = self.rank_queues[waiter.call.rank]
        queue.push(waiter, next(self.sequence_numbers), weight)
        queue.waiting_count += 1
        self.waiting_count += 1

    def end_wait(self, waiter: WaitingCall) -> None:
        """Count a call out that no longer waits; may be called again."""
        if not waiter.is_queued:
            return
        waiter.is_queued = False
        self.rank_queues[waiter.call.rank].waiting_count -= 1
        self.waiting_count -= 1

    def candidates(self) -> Iterator[tuple[RankQueue, CustomerQueue]]:
        """Return whose turn it is: ranks below their floor, then the most urgent.

        Later ones follow for a slot that the first cannot use.
        """
        due = [
            queue
            for queue in self.rank_queues.values()
            if queue.credit >= FLOOR_CREDIT_THRESHOLD
        ]
        due.sort(key=lambda queue: -queue.credit)
        for queue in dict.fromkeys((*due, *self.rank_queues.values())):
            lane = queue.next_customer_queue() if queue.waiting_count else None
            if lane is not None:
                yield queue, lane

    def grant(self, chosen: RankQueue, lane: CustomerQueue, now: float) -> WaitingCall:
        """Remove the selected call and settle what each rank is owed."""
        for rank, queue in self.rank_queues.items():
            if queue.waiting_count:
                credit = queue.credit + self.floors.get(rank, 0.0)
                queue.credit = min(MAX_CREDIT, credit)
        chosen.credit = max(MIN_CREDIT, chosen.credit - 1.0)
        chosen.grant_rate.add(now)
        waiter = lane.heap[0][2]
        chosen.pop_first(lane)
        self.end_wait(waiter)
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
            self.rank_queues[rank].grant_rate.rate_at(now)
            for rank in RANKS
            if rank.order < call.rank.order
        )
        floor = self.floors.get(call.rank, 0.0) * capacity_per_s
        kept = sum(
            self.floors.get(rank, 0.0) * capacity_per_s
            for rank in RANKS
            if rank.order > call.rank.order and self.rank_queues[rank].waiting_count
        )
        rate = max(capacity_per_s - above - kept, floor, MIN_RATE_PER_S)
        return self.rank_queues[call.rank].grants_until_turn(call, weight) / rate

    def check_admission(
        self,
        call: Call,
        weight: float,
        capacity_per_s: float,
        latest: float,
        now: float,
    ) -> None:
        """Refuse a call that cannot get a slot in time; raises Overloaded."""
        if (
            self.rank_queues[call.rank].waiting_count < UNCHECKED_QUEUE_LENGTH
            and latest > now
        ):
            return
        wait_s = self.expected_wait_s(call, weight, capacity_per_s, now)
        if now + wait_s > latest:
            raise Overloaded(
                f"expected wait {wait_s:.1f} s",
                retry_after_s=min(max(1.0, wait_s), MAX_RETRY_AFTER_S),
            )
