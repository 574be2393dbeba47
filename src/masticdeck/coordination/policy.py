"""Scheduling policies, which decide which instance serves a call, and when.

A policy acquires slots from a ``SlotSource`` and assigns them to calls. It is
selected by name in the settings. The ``baseline`` policy picks the least loaded
instance and queues calls first in, first out, without ranks; it is kept for
comparison.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, final

from masticdeck.clock import boottime
from masticdeck.coordination.slots import Slot, SlotSource
from masticdeck.errors import DeadlinePassed, MasticdeckError, Overloaded
from masticdeck.hookspec import hookimpl
from masticdeck.ids import CustomerId, InstanceId, Outcome, Rank, ServiceId
from masticdeck.node import Node
from masticdeck.protocol.call import Call
from masticdeck.registry import Registry

MAX_ATTEMPTS = 2


class AttemptOutcome(Enum):
    """How an attempt to serve a call at one instance ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not sent"
    INTERRUPTED = "broken"
    DEADLINE_EXCEEDED = "late"
    CANCELLED = "cancelled"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of one attempt; ``duration_s`` runs from sending to the last byte."""

    outcome: AttemptOutcome
    duration_s: float
    status: int = 0
    body_bytes: int = 0


class Policy(Protocol):
    """Interface of a scheduling policy."""

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot for the call, waiting for one if necessary.

        ``avoid`` contains the instances of earlier attempts. Raises Overloaded
        or DeadlinePassed; in both cases the call was not sent to an instance.
        """

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Release the slot and record the attempt's result."""

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return ``rank``, lowered to the highest rank the customer may use."""

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Return whether another attempt is safe and within the retry budget."""

    def record_small_response(self, slot: Slot, size_bytes: int) -> None:
        """Record the bytes of a small response on the link it came over."""

    async def pace_large_response(self, slot: Slot, size_bytes: int) -> None:
        """Wait until a chunk of a large response may be forwarded."""


policies: Registry[Callable[[Node, SlotSource], Policy]] = Registry("policy")


@policies.register("baseline")
class BaselinePolicy:
    """Picks the least loaded instance; calls wait first in, first out."""

    def __init__(self, node: Node, slots: SlotSource) -> None:
        self.node = node
        self.slots = slots
        self.waiting_futures: dict[ServiceId, deque[asyncio.Future[Slot]]] = {
            service.id: deque() for service in node.deployment.services
        }
        node.hooks.register(self)

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot of the instance with the most free slots."""
        queue = self.waiting_futures[call.service]
        slot = None if queue else self.try_acquire(call.service, avoid)
        if slot is not None:
            return slot
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        queue.append(future)
        self.slots.report_waiting(call.service, len(queue))
        try:
            async with asyncio.timeout(call.deadline - boottime()):
                return await future
        except TimeoutError:
            raise self.end_wait(future) from None
        except asyncio.CancelledError:
            self.end_wait(future)
            raise
        finally:
            if future in queue:
                queue.remove(future)
            self.slots.report_waiting(call.service, len(queue))

    def end_wait(self, future: asyncio.Future[Slot]) -> DeadlinePassed | Overloaded:
        """Return the error for a call whose wait ended, releasing a late slot."""
        if future.done() and not future.cancelled():
            self.slots.release(future.result())
            return DeadlinePassed("the deadline passed as a slot was assigned")
        return Overloaded("no slot became free before the deadline", retry_after_s=1.0)

    def try_acquire(
        self, service: ServiceId, avoid: frozenset[InstanceId] = frozenset()
    ) -> Slot | None:
        """Acquire a slot of the instance with the most free slots, or return None.

        Instances in ``avoid`` are used only when no other has a free slot.
        """
        free_slots = self.slots.free_slots(service)
        if not free_slots:
            return None
        preferred = (
            [instance for instance in free_slots if instance not in avoid]
            if avoid
            else free_slots
        )
        return self.slots.try_acquire(
            max(preferred or free_slots, key=lambda instance: free_slots[instance])
        )

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Release the slot and assign it to the call that has waited longest."""
        self.slots.release(slot)
        self.dispatch(slot.service)

    def dispatch(self, service: ServiceId) -> None:
        """Assign free slots to waiting calls."""
        queue = self.waiting_futures[service]
        while queue:
            slot = self.try_acquire(service)
            if slot is None:
                return
            self.hand_over(queue, slot)

    def hand_over(self, queue: deque[asyncio.Future[Slot]], slot: Slot) -> None:
        """Assign a slot to the first call that still waits, or release it."""
        while queue:
            future = queue.popleft()
            if not future.done():
                future.set_result(slot)
                return
        self.slots.release(slot)

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return ``rank`` unchanged."""
        return rank

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Allow a second attempt if the call is idempotent or was not run."""
        is_safe = call.idempotent or error.outcome is Outcome.NOT_RUN
        return is_safe and attempts < MAX_ATTEMPTS

    def record_small_response(self, slot: Slot, size_bytes: int) -> None:
        """Do nothing: this policy does not track links."""

    async def pace_large_response(self, slot: Slot, size_bytes: int) -> None:
        """Do nothing: this policy does not track links."""

    @hookimpl
    def slots_available(self, service: ServiceId) -> None:
        """Assign new slots to waiting calls."""
        self.dispatch(service)
