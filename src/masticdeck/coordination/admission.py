"""Per-service admission queues: scheduling of waiting calls and early rejection.

Calls are ordered by rank, then by weighted fair queuing between customers
(weighted by the capacity of their plans), then by deadline. Each rank has a
floor: the minimum fraction of grants it gets while calls of other ranks flood
the queue. The floor is enforced over several grants rather than at each one,
so that a short burst of urgent calls is still served first. A call that is not
expected to get a slot before its deadline is rejected immediately, before its
body is read.
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

RANKS_BY_URGENCY = (Rank.URGENT, Rank.MIDDLE, Rank.LOW)
DEFAULT_FLOORS = {Rank.URGENT: 0.3, Rank.MIDDLE: 0.2, Rank.LOW: 0.1}
RATE_WINDOW_S = 1.0
FLOOR_CREDIT_THRESHOLD = 3.0
MAX_CREDIT = 6.0
MIN_CREDIT = -3.0
UNCHECKED_QUEUE_LENGTH = 2
MAX_RETRY_AFTER_S = 30.0
MIN_RATE_PER_S = 0.1


class DecayingRate:
    """Events per second, as an exponentially decaying average."""

    def __init__(self, window_s: float = RATE_WINDOW_S) -> None:
        self.window_s = window_s
        self.rate_per_s = 0.0
        self.updated_at = 0.0

    def add(self, now: float) -> None:
        """Record one event."""
        self.rate_per_s = self.rate_at(now) + 1.0 / self.window_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate in events per second, decayed to ``now``."""
        return self.rate_per_s * math.exp((self.updated_at - now) / self.window_s)


@dataclass(slots=True, eq=False, kw_only=True)
class WaitingCall:
    """A call that waits for a slot until ``latest_start`` (boot-time seconds)."""

    call: Call
    avoid: frozenset[InstanceId]
    latest_start: float
    future: asyncio.Future[Slot]
    is_queued: bool = True


@dataclass(slots=True, eq=False)
class CustomerQueue:
    """Waiting calls of one customer in one rank, earliest deadline first."""

    weight: float = 1.0
    virtual_finish: float = 0.0
    heap: list[tuple[float, int, WaitingCall]] = field(default_factory=list)

    def discard_done(self) -> bool:
        """Remove finished calls from the head; return whether any call is left."""
        while self.heap and self.heap[0][2].future.done():
            heapq.heappop(self.heap)
        return bool(self.heap)


class RankQueue:
    """Waiting calls of one rank, scheduled fairly between customers.

    Uses start-time fair queuing: each grant advances a customer's virtual time
    by the inverse of its weight, and the customer with the lowest virtual time
    is served next.
    """

    def __init__(self) -> None:
        self.customer_queues: dict[CustomerId | None, CustomerQueue] = {}
        self.virtual_time = 0.0
        self.waiting_count = 0
        self.credit = 0.0
        self.grant_rate = DecayingRate()

    def push(
        self, waiting_call: WaitingCall, sequence_number: int, weight: float
    ) -> None:
        """Add a waiting call."""
        customer_queue = self.customer_queues.get(waiting_call.call.customer)
        if customer_queue is None:
            customer_queue = self.customer_queues[waiting_call.call.customer] = (
                CustomerQueue()
            )
        if not customer_queue.discard_done():
            customer_queue.virtual_finish = max(
                customer_queue.virtual_finish, self.virtual_time
            )
        customer_queue.weight = weight
        heapq.heappush(
            customer_queue.heap,
            (waiting_call.call.deadline, sequence_number, waiting_call),
        )

    def next_customer_queue(self) -> CustomerQueue | None:
        """Return the customer queue to serve next, or None if no call waits."""
        next_queue: CustomerQueue | None = None
        for customer, customer_queue in list(self.customer_queues.items()):
            if not customer_queue.discard_done():
                self.remove_if_idle(customer, customer_queue)
            elif (
                next_queue is None
                or customer_queue.virtual_finish < next_queue.virtual_finish
            ):
                next_queue = customer_queue
        return next_queue

    def remove_if_idle(
        self, customer: CustomerId | None, customer_queue: CustomerQueue
    ) -> None:
        """Remove an empty queue unless its virtual time is ahead of this rank's."""
        if customer_queue.virtual_finish <= self.virtual_time:
            del self.customer_queues[customer]

    def pop_first(self, customer_queue: CustomerQueue) -> None:
        """Remove the queue's first call and advance virtual time."""
        heapq.heappop(customer_queue.heap)
        self.virtual_time = max(self.virtual_time, customer_queue.virtual_finish)
        customer_queue.virtual_finish += 1.0 / customer_queue.weight

    def grants_until_turn(self, call: Call, weight: float) -> float:
        """Return how many grants of this rank a new call needs, including its own."""
        customer_queue = self.customer_queues.get(call.customer)
        own_grants = 1 + (len(customer_queue.heap) if customer_queue else 0)
        other_grants = 0.0
        for customer, queue in self.customer_queues.items():
            if customer != call.customer:
                other_grants += min(len(queue.heap), own_grants * queue.weight / weight)
        return other_grants + own_grants


class ServiceQueue:
    """Waiting calls of one service at this entry."""

    def __init__(self, floors: Mapping[Rank, float] | None = None) -> None:
        self.floors = dict(DEFAULT_FLOORS if floors is None else floors)
        self.rank_queues = {rank: RankQueue() for rank in RANKS_BY_URGENCY}
        self.sequence_numbers = itertools.count()
        self.waiting_count = 0

    def push(self, waiting_call: WaitingCall, weight: float) -> None:
        """Add a waiting call; ``end_wait`` must be called when its wait ends."""
        queue = self.rank_queues[waiting_call.call.rank]
        queue.push(waiting_call, next(self.sequence_numbers), weight)
        queue.waiting_count += 1
        self.waiting_count += 1

    def end_wait(self, waiting_call: WaitingCall) -> None:
        """Update the counts for a call that no longer waits; idempotent."""
        if not waiting_call.is_queued:
            return
        waiting_call.is_queued = False
        self.rank_queues[waiting_call.call.rank].waiting_count -= 1
        self.waiting_count -= 1

    def candidates(self) -> Iterator[tuple[RankQueue, CustomerQueue]]:
        """Yield the queues to serve: ranks below their floor, then by urgency.

        The caller moves on to the next one when the first call of a queue
        cannot use any free slot.
        """
        below_floor = [
            queue
            for queue in self.rank_queues.values()
            if queue.credit >= FLOOR_CREDIT_THRESHOLD
        ]
        below_floor.sort(key=lambda queue: -queue.credit)
        for queue in dict.fromkeys((*below_floor, *self.rank_queues.values())):
            customer_queue = (
                queue.next_customer_queue() if queue.waiting_count else None
            )
            if customer_queue is not None:
                yield queue, customer_queue

    def grant(
        self, rank_queue: RankQueue, customer_queue: CustomerQueue, now: float
    ) -> WaitingCall:
        """Remove the selected call and update the credit of each rank."""
        for rank, queue in self.rank_queues.items():
            if queue.waiting_count:
                credit = queue.credit + self.floors.get(rank, 0.0)
                queue.credit = min(MAX_CREDIT, credit)
        rank_queue.credit = max(MIN_CREDIT, rank_queue.credit - 1.0)
        rank_queue.grant_rate.add(now)
        waiting_call = customer_queue.heap[0][2]
        rank_queue.pop_first(customer_queue)
        self.end_wait(waiting_call)
        return waiting_call

    def expected_wait_s(
        self, call: Call, weight: float, capacity_per_s: float, now: float
    ) -> float:
        """Return the expected queueing delay of a new call, in seconds.

        ``capacity_per_s`` is the number of requests per second that this
        entry's slots of the service complete. More urgent ranks are assumed to
        keep their measured grant rate, and less urgent ranks with waiting calls
        to use their floors; this rank gets the rest, but at least its floor.
        """
        urgent_per_s = sum(
            self.rank_queues[rank].grant_rate.rate_at(now)
            for rank in RANKS_BY_URGENCY
            if rank.order < call.rank.order
        )
        floor_per_s = self.floors.get(call.rank, 0.0) * capacity_per_s
        reserved_per_s = sum(
            self.floors.get(rank, 0.0) * capacity_per_s
            for rank in RANKS_BY_URGENCY
            if rank.order > call.rank.order and self.rank_queues[rank].waiting_count
        )
        available_per_s = max(
            capacity_per_s - urgent_per_s - reserved_per_s, floor_per_s, MIN_RATE_PER_S
        )
        return (
            self.rank_queues[call.rank].grants_until_turn(call, weight)
            / available_per_s
        )

    def check_admission(
        self,
        call: Call,
        weight: float,
        capacity_per_s: float,
        latest_start: float,
        now: float,
    ) -> None:
        """Reject a call that is not expected to get a slot by ``latest_start``.

        Raises Overloaded. A call is never rejected while its rank has fewer
        than ``UNCHECKED_QUEUE_LENGTH`` waiting calls and ``latest_start`` lies
        in the future.
        """
        if (
            self.rank_queues[call.rank].waiting_count < UNCHECKED_QUEUE_LENGTH
            and latest_start > now
        ):
            return
        wait_s = self.expected_wait_s(call, weight, capacity_per_s, now)
        if now + wait_s > latest_start:
            raise Overloaded(
                f"expected queueing delay of {wait_s:.1f} s ends after the deadline",
                retry_after_s=min(max(1.0, wait_s), MAX_RETRY_AFTER_S),
            )
