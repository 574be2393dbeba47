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
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from masticdeck.coordination.queueing.fair_queue import FairQueue, Level, Ticket
from masticdeck.coordination.slots import Slot
from masticdeck.errors import Overloaded
from masticdeck.ids import InstanceId, Rank
from masticdeck.protocol.call import Call

RANKS_BY_URGENCY = (Rank.URGENT, Rank.MIDDLE, Rank.LOW)
DEFAULT_FLOORS = {Rank.URGENT: 0.3, Rank.MIDDLE: 0.2, Rank.LOW: 0.1}
UNCHECKED_QUEUE_LENGTH = 2
MAX_RETRY_AFTER_S = 30.0
MIN_RATE_PER_S = 0.1


@dataclass(slots=True, eq=False, kw_only=True)
class WaitingCall:
    """A call that waits for a slot until ``latest_start`` (boot-time seconds)."""

    call: Call
    avoid: frozenset[InstanceId]
    latest_start: float
    future: asyncio.Future[Slot]
    ticket: Ticket[WaitingCall] | None = None


class ServiceQueue:
    """Waiting calls of one service at this entry."""

    def __init__(self, floors: Mapping[Rank, float] | None = None) -> None:
        self.queue: FairQueue[WaitingCall] = FairQueue(floors={})
        self.floors = DEFAULT_FLOORS if floors is None else floors

    @property
    def floors(self) -> Mapping[Rank, float]:
        """Return the least fraction of grants of each rank."""
        return self._floors

    @floors.setter
    def floors(self, floors: Mapping[Rank, float]) -> None:
        self._floors = dict(floors)
        self.queue.floors = {rank.order: floor for rank, floor in floors.items()}

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting calls."""
        return len(self.queue)

    def push(self, waiting_call: WaitingCall, weight: float) -> None:
        """Add a waiting call; ``end_wait`` must be called when its wait ends."""
        call = waiting_call.call
        waiting_call.ticket = self.queue.push(
            waiting_call,
            priority=call.rank.order,
            key=(call.deadline,),
            flow=call.customer,
            weight=weight,
            group=waiting_call.avoid,
        )

    def end_wait(self, waiting_call: WaitingCall) -> None:
        """Remove a call that no longer waits; idempotent."""
        if waiting_call.ticket is not None:
            self.queue.remove(waiting_call.ticket)

    def candidates(self) -> Iterator[tuple[Level[WaitingCall], Ticket[WaitingCall]]]:
        """Yield the calls to serve: ranks below their floor, then by urgency.

        The caller moves on to the next one when a call cannot use any free slot.
        """
        for ticket in self.queue.in_turn():
            if ticket.item.future.done():
                self.queue.remove(ticket)
            else:
                yield ticket.group.flow.level, ticket

    def grant(
        self, level: Level[WaitingCall], ticket: Ticket[WaitingCall], now: float
    ) -> WaitingCall:
        """Remove the selected call and update the credit of each rank."""
        level.grant_rate.add(now)
        return self.queue.pop(ticket, now)

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
            self.queue.level(rank.order).grant_rate.rate_at(now)
            for rank in RANKS_BY_URGENCY
            if rank.order < call.rank.order
        )
        floor_per_s = self.floors.get(call.rank, 0.0) * capacity_per_s
        reserved_per_s = sum(
            self.floors.get(rank, 0.0) * capacity_per_s
            for rank in RANKS_BY_URGENCY
            if rank.order > call.rank.order
            and self.queue.level(rank.order).waiting_count
        )
        available_per_s = max(
            capacity_per_s - urgent_per_s - reserved_per_s, floor_per_s, MIN_RATE_PER_S
        )
        return (
            self.queue.level(call.rank.order).grants_until_turn(call.customer, weight)
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
            self.queue.level(call.rank.order).waiting_count < UNCHECKED_QUEUE_LENGTH
            and latest_start > now
        ):
            return
        wait_s = self.expected_wait_s(call, weight, capacity_per_s, now)
        if now + wait_s > latest_start:
            raise Overloaded(
                f"expected queueing delay of {wait_s:.1f} s ends after the deadline",
                retry_after_s=min(max(1.0, wait_s), MAX_RETRY_AFTER_S),
            )
