"""One account of the memory that callers' data takes in a process.

Every connection has a holding: heads, bodies and answers that its caller has not read.
Python objects of a head take many times its bytes, so that they are charged as objects.

The account has three parts. A connection may use the last one, the reserve, only while
it holds no more than its share; ordinary requests do. Bodies and unread answers beyond
the share may use all but the reserve, heads beyond it half of that. When a part is
full, a head beyond the share is refused. For anything else, connections that hold much
more in heads and unread answers are closed, the largest first; if there are none, the
one that asks is refused.

>>> memory = CallerMemory(MemoryLimits(total_bytes=1200, share_bytes=60))
>>> large, small = Holding(memory, close=list), Holding(memory, close=list)
>>> large.add_head(400), large.add_head(400), small.add_head(50)
(True, False, True)
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import final

HEADER_OBJECT_BYTES = 176
"""Memory of a header beyond its bytes: two byte strings, a pair and its place."""

HEADS_PART = 0.5
"""Fraction of the part outside the reserve that large heads may use."""

MIN_RATIO = 2
"""How many times as much a connection holds that is closed for another one."""

FREED_PART = 1 / 64
"""Fraction of the account that is freed at once, because each choice costs a scan."""

MAX_CLOSED_AT_ONCE = 64
"""Connections that one choice closes at most."""


@final
@dataclass(frozen=True)
class MemoryLimits:
    """Bounds on callers' data; ``reserve`` is a fraction, all others are bytes.

    A connection reads no further requests while those that wait on it hold
    ``read_ahead_bytes``.
    """

    total_bytes: int = 100_663_296
    reserve: float = 1 / 6
    share_bytes: int = 32_768
    read_ahead_bytes: int = 65_536


class Action(Enum):
    """What is done for lack of memory."""

    REFUSED = "refused"
    CLOSED = "closed"


@final
@dataclass(frozen=True, slots=True)
class MemoryDecision:
    """A connection that was refused or closed, and the inputs of the decision."""

    action: Action
    head_bytes: int
    body_bytes: int
    unsent_bytes: int
    asked_bytes: int
    held_bytes: int
    total_bytes: int
    connections: int


@final
class Holding:
    """What one connection holds; ``close`` ends the connection and frees it."""

    __slots__ = (
        "body_bytes",
        "close",
        "head_bytes",
        "is_ended",
        "memory",
        "unsent_bytes",
    )

    def __init__(self, memory: CallerMemory, close: Callable[[], object]) -> None:
        self.memory = memory
        self.close = close
        self.head_bytes = 0
        self.body_bytes = 0
        self.unsent_bytes = 0
        self.is_ended = False
        memory.holdings.add(self)

    @property
    def total_bytes(self) -> int:
        """Return all that is held."""
        return self.head_bytes + self.body_bytes + self.unsent_bytes

    @property
    def rank_bytes(self) -> int:
        """Return the bytes by which connections are chosen for closing.

        Bodies do not count: a long upload inside the limits is an ordinary request.
        """
        return self.head_bytes + self.unsent_bytes

    def add_head(self, size: int) -> bool:
        """Charge bytes of a head; returns False if there is no room."""
        if self.is_ended or not self.memory.make_room(self, size, is_head=True):
            return False
        self.head_bytes += size
        self.memory.held_bytes += size
        return True

    def add_body(self, size: int) -> bool:
        """Charge bytes of a body; returns False if there is no room."""
        if self.is_ended or not self.memory.make_room(self, size):
            return False
        self.body_bytes += size
        self.memory.held_bytes += size
        return True

    def set_unsent(self, size: int) -> bool:
        """Charge the bytes that the caller has not read; False without room."""
        growth = size - self.unsent_bytes
        if self.is_ended:
            return True
        if growth > 0 and not self.memory.make_room(self, growth):
            return False
        self.unsent_bytes = size
        self.memory.held_bytes += growth
        return True

    def release_head(self, size: int) -> None:
        """Give back bytes of a head."""
        size = min(size, self.head_bytes)
        self.head_bytes -= size
        self.memory.held_bytes -= size

    def release_body(self, size: int) -> None:
        """Give back bytes of a body."""
        size = min(size, self.body_bytes)
        self.body_bytes -= size
        self.memory.held_bytes -= size

    def end(self) -> None:
        """Give back everything; nothing is charged any more."""
        self.memory.held_bytes -= self.total_bytes
        self.head_bytes = self.body_bytes = self.unsent_bytes = 0
        self.is_ended = True
        self.memory.holdings.discard(self)


class CallerMemory:
    """The account of a process."""

    def __init__(
        self,
        limits: MemoryLimits | None = None,
        on_decision: Callable[[MemoryDecision], None] = lambda _: None,
    ) -> None:
        self.limits = limits or MemoryLimits()
        self.on_decision = on_decision
        self.held_bytes = 0
        self.holdings: set[Holding] = set()

    def has_room(self, holding: Holding, size: int, *, is_head: bool = False) -> bool:
        """Return whether a connection may hold some more bytes."""
        limits = self.limits
        after = self.held_bytes + size
        own = holding.head_bytes + holding.body_bytes + holding.unsent_bytes
        if own + size <= limits.share_bytes:
            return after <= limits.total_bytes
        room = limits.total_bytes * (1 - limits.reserve)
        return after <= (room * HEADS_PART if is_head else room)

    def make_room(self, holding: Holding, size: int, *, is_head: bool = False) -> bool:
        """Return whether there is room, after closing connections that hold more."""
        if self.has_room(holding, size, is_head=is_head):
            return True
        # Heads grow while they are read: each large one would close those before it.
        if not is_head or holding.total_bytes + size <= self.limits.share_bytes:
            wanted = max(size, int(self.limits.total_bytes * FREED_PART))
            for victim in choose_victims(self.holdings, holding, size, wanted):
                self.report(Action.CLOSED, victim, size)
                victim.close()
                victim.end()
        if self.has_room(holding, size, is_head=is_head):
            return True
        self.report(Action.REFUSED, holding, size)
        return False

    def report(self, action: Action, holding: Holding, size: int) -> None:
        """Report a decision with its inputs."""
        self.on_decision(
            MemoryDecision(
                action=action,
                head_bytes=holding.head_bytes,
                body_bytes=holding.body_bytes,
                unsent_bytes=holding.unsent_bytes,
                asked_bytes=size,
                held_bytes=self.held_bytes,
                total_bytes=self.limits.total_bytes,
                connections=len(self.holdings),
            )
        )


def choose_victims(
    holdings: Iterable[Holding], holding: Holding, size: int, wanted: int
) -> list[Holding]:
    """Return the connections to close so that another one may hold ``size`` more.

    They hold at least ``MIN_RATIO`` times as much as it would, apart from bodies, so
    that closing them frees more than is charged, and a connection that holds much
    closes no smaller one.
    """
    least = MIN_RATIO * (holding.rank_bytes + size)
    victims: list[Holding] = []
    freed = 0
    for victim in heapq.nlargest(
        MAX_CLOSED_AT_ONCE, holdings, key=lambda one: one.rank_bytes
    ):
        if freed >= wanted or victim.rank_bytes < least:
            break
        if victim is not holding:
            victims.append(victim)
            freed += victim.total_bytes
    return victims
