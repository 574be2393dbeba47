"""Rate-limited application of received steering tables to this node's look-ups.

Whatever table is received, the one in use changes by at most the cap per
origin, and not again until the shift window has passed and callers' cached
look-ups have expired. A node that was partitioned for several steps therefore
catches up gradually.
"""

from __future__ import annotations

from collections.abc import Callable

from masticdeck.clock import boottime
from masticdeck.coordination.shift_rule import move_towards
from masticdeck.events import Code, EventLog
from masticdeck.state.steering import SteeringTable


class TableFollower:
    """Holds the table in use and the newest one received.

    ``cap`` is the largest fraction of a row's buckets that may change at once.
    """

    def __init__(
        self,
        events: EventLog,
        listener: Callable[[SteeringTable], None],
        *,
        cap: float,
        min_interval_s: float,
    ) -> None:
        self.events = events
        self.listener = listener
        self.cap = cap
        self.min_interval_s = min_interval_s
        self.current_table: SteeringTable | None = None
        self.newest_table: SteeringTable | None = None
        self.changed_at = 0.0

    @property
    def current_step(self) -> int:
        """Return the step of the table in use, or 0 if there is none."""
        return 0 if self.current_table is None else self.current_table.step

    @property
    def newest_step(self) -> int:
        """Return the step of the newest table received, or 0 if there is none."""
        return 0 if self.newest_table is None else self.newest_table.step

    def receive(self, table: SteeringTable) -> None:
        """Store a table if it is newer than the last one; advance if possible."""
        if self.newest_table is None or table.step > self.newest_table.step:
            self.newest_table = table
        self.advance()

    def advance(self) -> None:
        """Move the table in use towards the newest one, if the interval has passed."""
        if self.newest_table is None or self.newest_table is self.current_table:
            return
        now = boottime()
        if self.current_table is None:
            self.use_table(self.newest_table, now)
        elif now - self.changed_at >= self.min_interval_s:
            self.use_table(
                move_towards(self.current_table, self.newest_table, self.cap), now
            )

    def use_table(self, table: SteeringTable, now: float) -> None:
        """Start using a table for look-ups."""
        self.current_table = table
        self.changed_at = now
        self.listener(table)
        self.events.emit(Code.SHIFT_FOLLOWED, step=table.step, version=table.version)
