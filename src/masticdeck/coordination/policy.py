"""Which instance serves a call, and when: the registry of policies.

A policy takes slots from a ``SlotSource`` and hands them to calls. The name of
the policy is a setting; ``baseline`` is the first version, kept for
comparison: the least loaded instance, first in first out, no ranks.
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


class AttemptEnd(Enum):
    """How one attempt at an instance ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not sent"
    BROKEN = "broken"
    LATE = "late"
    CANCELLED = "cancelled"


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Outcome of one attempt; ``seconds`` runs from sending to the last byte."""

    end: AttemptEnd
    seconds: float
    status: int = 0
    bytes: int = 0


class Policy(Protocol):
    """Decides which call gets which slot, and when."""

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot for the call, waiting for one if need be.

        ``avoid`` names instances that earlier attempts at the call met.
        Raises Overloaded or DeadlinePassed, both true refusals.
        """

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Give the slot back and learn from the attempt's result."""

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return the rank asked for, lowered to what the customer may use."""

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Return whether another attempt is safe and within the budget."""

    def count_small(self, slot: Slot, size: int) -> None:
        """Count the bytes of a small answer on the link that it came over."""

    async def pace_large(self, slot: Slot, size: int) -> None:
        """Wait until a piece of a large answer may be passed on."""


policies: Registry[Callable[[Node, SlotSource], Policy]] = Registry("policy")


@policies.register("baseline")
class BaselinePolicy:
    """Least loaded instance, first in first out, no ranks."""

    def __init__(self, node: Node, slots: SlotSource) -> None:
        self.node = node
        self.slots = slots
        self.waiting: dict[ServiceId, deque[asyncio.Future[Slot]]] = {
            service.id: deque() for service in node.deployment.services
        }
        node.hooks.register(self)

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot of the instance with most free slots."""
        queue = self.waiting[call.service]
        slot = None if queue else self.take(call.service, avoid)
        if slot is not None:
            return slot
        future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        queue.append(future)
        self.slots.report_waiting(call.service, len(queue))
        try:
            async with asyncio.timeout(call.deadline - boottime()):
                return await future
        except TimeoutError:
            raise self.refuse(future) from None
        except asyncio.CancelledError:
            self.refuse(future)
            raise
        finally:
            if future in queue:
                queue.remove(future)
            self.slots.report_waiting(call.service, len(queue))

    def refuse(self, future: asyncio.Future[Slot]) -> DeadlinePassed | Overloaded:
        """Return the refusal for a call whose wait ended without a slot."""
        if future.done() and not future.cancelled():
            self.slots.release(future.result())
            return DeadlinePassed("while a slot was handed over")
        return Overloaded("all slots stayed in use", retry_after_s=1.0)

    def take(
        self, service: ServiceId, avoid: frozenset[InstanceId] = frozenset()
    ) -> Slot | None:
        """Take a slot of the instance with most free slots, others first."""
        free = self.slots.free(service)
        if not free:
            return None
        choice = [one for one in free if one not in avoid] if avoid else free
        return self.slots.try_acquire(max(choice or free, key=lambda one: free[one]))

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Give the slot back and hand it to the longest waiting call."""
        self.slots.release(slot)
        self.dispatch(slot.service)

    def dispatch(self, service: ServiceId) -> None:
        """Hand free slots to waiting calls."""
        queue = self.waiting[service]
        while queue:
            slot = self.take(service)
            if slot is None:
                return
            self.hand(queue, slot)

    def hand(self, queue: deque[asyncio.Future[Slot]], slot: Slot) -> None:
        """Give a slot to the first call that still waits."""
        while queue:
            future = queue.popleft()
            if not future.done():
                future.set_result(slot)
                return
        self.slots.release(slot)

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return the rank asked for."""
        return rank

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Allow one more attempt at what is idempotent or did not run."""
        safe = call.idempotent or error.outcome is Outcome.NOT_RUN
        return safe and attempts < MAX_ATTEMPTS

    def count_small(self, slot: Slot, size: int) -> None:
        """Do nothing; this policy knows no links."""

    async def pace_large(self, slot: Slot, size: int) -> None:
        """Do nothing; this policy knows no links."""

    @hookimpl
    def slots_available(self, service: ServiceId) -> None:
        """Hand newly arrived slots to waiting calls."""
        self.dispatch(service)
