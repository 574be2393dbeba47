"""The owner's side of capped shifts: when to step, and the write in the store.

The key ``steering/table`` holds the table in force with the token of the owner
that wrote it. A new owner first writes the same table under its own token, so
that a write which an earlier owner began before a pause meets another revision
and changes nothing.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from masticdeck.clock import boottime
from masticdeck.coordination.ownership import Ownership
from masticdeck.coordination.shift_demand import Demand
from masticdeck.coordination.shift_rule import (
    OldTable,
    StepInput,
    Weights,
    next_targets,
)
from masticdeck.errors import MasticdeckError, StoreConflict, StoreUnavailable
from masticdeck.events import Code
from masticdeck.ids import EntryId, FencingToken, Revision, Version
from masticdeck.node import Node
from masticdeck.protocol.store import ABSENT
from masticdeck.state.steering import SteeringTable, decode_table, home_table

TABLE_KEY = "steering/table"
TABLES_KEPT = 8
NO_TOKEN = FencingToken(0)


@dataclass(slots=True)
class Seen:
    """Step that an entry follows, and since when."""

    step: int
    since: float


@dataclass(slots=True)
class OwnerState:
    """What the owner knows; rebuilt by each new owner."""

    token: FencingToken = NO_TOKEN
    revision: Revision = ABSENT
    table: SteeringTable | None = None
    published_at: float = 0.0
    past: dict[int, SteeringTable] = field(default_factory=dict)
    seen: dict[EntryId, Seen] = field(default_factory=dict)


class StepOwner:
    """Writes the next table when every entry has settled on the last one."""

    def __init__(
        self,
        node: Node,
        ownership: Ownership,
        demand: Demand,
        entries: Callable[[], list[EntryId]],
    ) -> None:
        self.node = node
        self.ownership = ownership
        self.demand = demand
        self.entries = entries
        self.state = OwnerState()

    @property
    def settle_s(self) -> float:
        """Return how long callers may act on a table after it was replaced."""
        config = self.node.config
        return config.shift_window_s + config.lookup_ttl_s

    def note(self, entry: EntryId, step: int) -> None:
        """Note which step an entry's look-ups follow."""
        known = self.state.seen.get(entry)
        if known is None or known.step != step:
            self.state.seen[entry] = Seen(step, boottime())

    async def claim(self) -> SteeringTable | None:
        """Write the table in force under this owner's token, once per token."""
        token = self.ownership.token
        if self.state.token == token and self.state.table is not None:
            return self.state.table
        item = await self.node.store.get(TABLE_KEY)
        table = self.first_table() if item is None else decode_value(item.value)[1]
        revision = ABSENT if item is None else item.revision
        self.state = OwnerState(seen=self.state.seen)
        await self.write(table, expect=revision)
        self.state.token = token
        self.node.events.emit(Code.SHIFT_CLAIMED, step=table.step, token=token)
        return table

    def first_table(self) -> SteeringTable:
        """Return the table of a system that never had one."""
        deployment = self.node.deployment
        services = [service.id for service in deployment.services]
        first = home_table(services, deployment.regions)
        return SteeringTable(1, first.version, first.regions, first.targets)

    async def step(self, goal: Weights, version: Version) -> SteeringTable | None:
        """Write the next table if one is due; return it."""
        table = self.state.table
        if table is None or not self.due(table):
            return None
        now = boottime()
        step_input = StepInput(
            goal=goal,
            cap=self.node.config.shift_cap,
            demand=self.demand.by_route(now),
            bearable=self.demand.bearable(),
            old=self.old_tables(table),
        )
        targets = next_targets(table, step_input)
        if targets == dict(table.targets):
            return None
        following = SteeringTable(table.step + 1, version, table.regions, targets)
        await self.write(following, expect=self.state.revision)
        self.node.events.emit(Code.SHIFT_STEPPED, step=following.step, version=version)
        return following

    def due(self, table: SteeringTable) -> bool:
        """Return whether callers have settled, or the laggards' time is up."""
        now = boottime()
        if now - self.state.published_at < self.settle_s:
            return False
        late = now - self.state.published_at >= self.node.config.shift_lag_limit_s
        return late or not self.laggards(table)

    def laggards(self, table: SteeringTable) -> list[EntryId]:
        """Return the entries that have not settled on a table."""
        now = boottime()
        found = []
        for entry in self.entries():
            seen = self.state.seen.get(entry)
            settled = seen is not None and now - seen.since >= self.settle_s
            if seen is None or seen.step != table.step or not settled:
                found.append(entry)
        return found

    def old_tables(self, table: SteeringTable) -> list[OldTable]:
        """Return the tables that laggards may still use, with their part."""
        part = 1.0 / max(1, len(self.node.deployment.entries))
        found = []
        for entry in self.laggards(table):
            seen = self.state.seen.get(entry)
            step = table.step if seen is None else seen.step
            old = self.state.past.get(step)
            if old is None and step != table.step:
                old = opposite(table)
            if old is not None:
                found.append(OldTable(old, part))
        return found

    async def write(self, table: SteeringTable, *, expect: Revision) -> None:
        """Write a table by compare-and-swap; a lost answer is read back.

        Raises StoreConflict when another owner has written, StoreUnavailable
        when the outcome is not known.
        """
        if not self.ownership.is_valid():
            raise StoreConflict("this entry no longer owns the steps")
        value = encode_value(self.ownership.token, table)
        try:
            revision = await self.node.store.put(TABLE_KEY, value, expect=expect)
        except (StoreUnavailable, StoreConflict) as error:
            revision = await self.read_back(value, error)
        self.adopt(table, revision)

    async def read_back(self, value: bytes, error: MasticdeckError) -> Revision:
        """Return the revision of a write that took effect, or raise its error."""
        item = await self.node.store.get(TABLE_KEY)
        if item is not None and item.value == value:
            return item.revision
        self.state.table = None
        self.node.events.emit(Code.SHIFT_CONFLICT, error=error.code)
        raise error

    def adopt(self, table: SteeringTable, revision: Revision) -> None:
        """Keep a table that is in the store."""
        past = self.state.past
        past[table.step] = table
        for step in sorted(past)[:-TABLES_KEPT]:
            del past[step]
        self.state.table = table
        self.state.revision = revision
        self.state.published_at = boottime()


def opposite(table: SteeringTable) -> SteeringTable:
    """Return a table that differs everywhere: the worst that may be in use."""
    count = len(table.regions)
    targets = {
        route: bytes((one + 1) % max(count, 2) for one in row)
        for route, row in table.targets.items()
    }
    return SteeringTable(0, table.version, table.regions, targets)


def encode_value(token: FencingToken, table: SteeringTable) -> bytes:
    """Return the value of the store key."""
    return json.dumps({"token": token, "table": table.encode().decode()}).encode()


def decode_value(value: bytes) -> tuple[FencingToken, SteeringTable]:
    """Return token and table; raises SteeringInvalid."""
    try:
        document = json.loads(value)
        token, text = FencingToken(int(document["token"])), str(document["table"])
    except (KeyError, TypeError, ValueError):
        token, text = FencingToken(0), ""
    return token, decode_table(text.encode())
