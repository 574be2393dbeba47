"""Owner side of capped shifts: decides when to step and writes the table.

The store key ``steering/table`` holds the table in force and the fencing token
of the owner that wrote it. A new owner first rewrites the same table with its
own token. This changes the key's revision, so that a delayed write of an
earlier owner fails its compare-and-swap.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from masticdeck.clock import boottime
from masticdeck.coordination.ownership import Ownership
from masticdeck.coordination.shift_demand import TrafficDemand
from masticdeck.coordination.shift_rule import (
    RouteWeights,
    StaleTable,
    StepInput,
    next_targets,
)
from masticdeck.errors import MasticdeckError, StoreConflict, StoreUnavailable
from masticdeck.events import Code
from masticdeck.ids import EntryId, FencingToken, Revision, Version
from masticdeck.node import Node
from masticdeck.protocol.store import ABSENT
from masticdeck.state.steering import SteeringTable, decode_table, home_table

TABLE_KEY = "steering/table"
MAX_PAST_TABLES = 8
NO_TOKEN = FencingToken(0)


@dataclass(slots=True)
class FollowedStep:
    """Step that an entry follows, and the boot time since which it does."""

    step: int
    since: float


@dataclass(slots=True)
class OwnerState:
    """State of the owner, rebuilt whenever ownership is acquired."""

    token: FencingToken = NO_TOKEN
    revision: Revision = ABSENT
    table: SteeringTable | None = None
    published_at: float = 0.0
    past_tables: dict[int, SteeringTable] = field(default_factory=dict)
    followed_steps: dict[EntryId, FollowedStep] = field(default_factory=dict)


class StepOwner:
    """Writes the next table once every entry has settled on the current one."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        demand: TrafficDemand,
        list_entries: Callable[[], list[EntryId]],
    ) -> None:
        self.node = node
        self.ownership = ownership
        self.demand = demand
        self.list_entries = list_entries
        self.state = OwnerState()

    @property
    def settle_s(self) -> float:
        """Return how long callers may use a table after it was replaced."""
        config = self.node.config
        return config.shift_window_s + config.lookup_ttl_s

    def record_step(self, entry: EntryId, step: int) -> None:
        """Record the step that an entry's look-ups follow."""
        followed = self.state.followed_steps.get(entry)
        if followed is None or followed.step != step:
            self.state.followed_steps[entry] = FollowedStep(step, boottime())

    async def claim(self) -> SteeringTable | None:
        """Rewrite the table in force with this owner's token, once per token."""
        token = self.ownership.token
        if self.state.token == token and self.state.table is not None:
            return self.state.table
        item = await self.node.store.get(TABLE_KEY)
        table = (
            self.create_first_table()
            if item is None
            else decode_stored_table(item.value)[1]
        )
        revision = ABSENT if item is None else item.revision
        self.state = OwnerState(followed_steps=self.state.followed_steps)
        await self.write(table, expect=revision)
        self.state.token = token
        self.node.events.emit(Code.SHIFT_CLAIMED, step=table.step, token=token)
        return table

    def create_first_table(self) -> SteeringTable:
        """Return the initial table, used when the store has none."""
        deployment = self.node.deployment
        services = [service.id for service in deployment.services]
        first = home_table(services, deployment.regions)
        return SteeringTable(1, first.version, first.regions, first.targets)

    async def step_if_due(
        self, goal: RouteWeights, version: Version
    ) -> SteeringTable | None:
        """Write the next table if a step is due; return it, else None."""
        table = self.state.table
        if table is None or not self.is_due(table):
            return None
        now = boottime()
        step_input = StepInput(
            goal=goal,
            cap=self.node.config.shift_cap,
            demand=self.demand.by_route(now),
            usable_slots=self.demand.usable_slots(),
            stale_tables=self.stale_tables(table),
        )
        targets = next_targets(table, step_input)
        if targets == dict(table.targets):
            return None
        next_table = SteeringTable(table.step + 1, version, table.regions, targets)
        await self.write(next_table, expect=self.state.revision)
        self.node.events.emit(Code.SHIFT_STEPPED, step=next_table.step, version=version)
        return next_table

    def is_due(self, table: SteeringTable) -> bool:
        """Return whether every entry has settled, or the lag limit has passed."""
        now = boottime()
        if now - self.state.published_at < self.settle_s:
            return False
        is_lag_limit_passed = (
            now - self.state.published_at >= self.node.config.shift_lag_limit_s
        )
        return is_lag_limit_passed or not self.laggards(table)

    def laggards(self, table: SteeringTable) -> list[EntryId]:
        """Return the entries that have not settled on ``table``."""
        now = boottime()
        lagging = []
        for entry in self.list_entries():
            followed = self.state.followed_steps.get(entry)
            is_settled = followed is not None and now - followed.since >= self.settle_s
            if followed is None or followed.step != table.step or not is_settled:
                lagging.append(entry)
        return lagging

    def stale_tables(self, table: SteeringTable) -> list[StaleTable]:
        """Return the tables of lagging entries, with their fraction of the callers."""
        caller_fraction = 1.0 / max(1, len(self.node.deployment.entries))
        stale_tables = []
        for entry in self.laggards(table):
            followed = self.state.followed_steps.get(entry)
            step = table.step if followed is None else followed.step
            stale_table = self.state.past_tables.get(step)
            if stale_table is None and step != table.step:
                stale_table = create_disjoint_table(table)
            if stale_table is not None:
                stale_tables.append(StaleTable(stale_table, caller_fraction))
        return stale_tables

    async def write(self, table: SteeringTable, *, expect: Revision) -> None:
        """Write a table by compare-and-swap, reading it back after an error.

        Raises StoreConflict when another owner has written the table, and
        StoreUnavailable when the outcome is unknown.
        """
        if not self.ownership.is_valid():
            raise StoreConflict("this entry no longer owns the steering table")
        value = encode_stored_table(self.ownership.token, table)
        try:
            revision = await self.node.store.put(TABLE_KEY, value, expect=expect)
        except (StoreUnavailable, StoreConflict) as error:
            revision = await self.read_back(value, error)
        self.record_written(table, revision)

    async def read_back(self, value: bytes, error: MasticdeckError) -> Revision:
        """Return the revision of a write that took effect, else raise ``error``."""
        item = await self.node.store.get(TABLE_KEY)
        if item is not None and item.value == value:
            return item.revision
        self.state.table = None
        self.node.events.emit(Code.SHIFT_CONFLICT, error=error.code)
        raise error

    def record_written(self, table: SteeringTable, revision: Revision) -> None:
        """Record a table that was written, discarding the oldest past tables."""
        past_tables = self.state.past_tables
        past_tables[table.step] = table
        for step in sorted(past_tables)[:-MAX_PAST_TABLES]:
            del past_tables[step]
        self.state.table = table
        self.state.revision = revision
        self.state.published_at = boottime()


def create_disjoint_table(table: SteeringTable) -> SteeringTable:
    """Return a table that differs in every bucket: the worst case for a laggard."""
    region_count = len(table.regions)
    targets = {
        route: bytes((region + 1) % max(region_count, 2) for region in row)
        for route, row in table.targets.items()
    }
    return SteeringTable(0, table.version, table.regions, targets)


def encode_stored_table(token: FencingToken, table: SteeringTable) -> bytes:
    """Return the stored value for a token and table."""
    return json.dumps({"token": token, "table": table.encode().decode()}).encode()


def decode_stored_table(value: bytes) -> tuple[FencingToken, SteeringTable]:
    """Return the token and table of a stored value; raises SteeringInvalid."""
    try:
        document = json.loads(value)
        token, text = FencingToken(int(document["token"])), str(document["table"])
    except (KeyError, TypeError, ValueError):
        token, text = FencingToken(0), ""
    return token, decode_table(text.encode())
