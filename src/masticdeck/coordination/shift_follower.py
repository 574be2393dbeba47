"""The table that this node's look-ups follow, at this node's own pace.

Whatever arrives, the table in use changes by at most the cap in each origin's
row, and not again before the callers' caches and the window have passed. A
node that was cut off for several steps thus goes through them one by one.
"""

from __future__ import annotations

from collections.abc import Callable

from masticdeck.clock import boottime
from masticdeck.coordination.shift_rule import blend
from masticdeck.events import Code, EventLog
from masticdeck.state.steering import SteeringTable


class Follower:
    """Holds the table in use and the newest one received."""

    def __init__(
        self,
        events: EventLog,
        listener: Callable[[SteeringTable], None],
        *,
        cap: float,
        pace_s: float,
    ) -> None:
        self.events = events
        self.listener = listener
        self.cap = cap
        self.pace_s = pace_s
        self.held: SteeringTable | None = None
        self.wanted: SteeringTable | None = None
        self.changed_at = 0.0

    @property
    def held_step(self) -> int:
        """Return the step of the table in use, 0 before the first."""
        return 0 if self.held is None else self.held.step

    @property
    def wanted_step(self) -> int:
        """Return the newest step received, 0 before the first."""
        return 0 if self.wanted is None else self.wanted.step

    def receive(self, table: SteeringTable) -> None:
        """Take a newer table in; an older one changes nothing."""
        if self.wanted is None or table.step > self.wanted.step:
            self.wanted = table
        self.advance()

    def advance(self) -> None:
        """Move the table in use towards the newest one, if the pace allows."""
        if self.wanted is None or self.wanted is self.held:
            return
        now = boottime()
        if self.held is None:
            self.use(self.wanted, now)
        elif now - self.changed_at >= self.pace_s:
            self.use(blend(self.held, self.wanted, self.cap), now)

    def use(self, table: SteeringTable, now: float) -> None:
        """Let the look-ups follow a table."""
        self.held = table
        self.changed_at = now
        self.listener(table)
        self.events.emit(Code.SHIFT_FOLLOWED, step=table.step, version=table.version)
