"""A queue ordered by priority, fairness between flows, and a key that may change.

A flow is a workspace or a customer. Each priority has its flows; each flow has groups
of requests that may use the same slots, so if the first request of a group cannot be
served, neither can the others of the group. Push, pop, remove and the search for the
first request take O(log n): heaps hold one valid record for each flow and group, and
outdated records are dropped when they reach the top.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar, final

from masticdeck.coordination.queueing.rates import DecayingRate

Item = TypeVar("Item")
SortKey = tuple[Any, ...]

CREDIT_THRESHOLD = 3.0
"""Owed grants from which a priority is served before more urgent ones.

Short bursts of urgent requests are therefore served first.
"""

MAX_CREDIT = 6.0
MIN_CREDIT = -3.0
"""Bounds of the credit, so that neither a long wait nor a long lead lasts."""

DEMAND_FLOOR = 0.4
"""Least fraction of the mean served fraction that a priority gets.

The requirement is a quarter. The floor follows demand, so it never serves a
larger fraction of less urgent requests than of urgent ones.
"""

DEMAND_WINDOW_S = 5.0
"""Time over which the arrivals of a priority are averaged."""

MAX_FLOW_LAG = 8.0
"""Grants that a flow may catch up after its requests could not be served."""

MAX_ASKED_IN_ORDER = 32
"""Groups whose first request is asked in the order of the queue in one pass."""

MAX_ASKED = 48
"""Groups that are asked in one pass; those after the first go by least recently asked.

A group behind many that cannot be served is thus asked after a bounded time.
"""

MAX_CLAIM = 2
"""Waiting requests up to which a flow that has had few grants is not refused early."""

MIN_COMPACTED = 32
"""Heap size from which removed requests are cleared out of a group."""


@final
@dataclass(slots=True, eq=False)
class Ticket(Generic[Item]):
    """A request in the queue; ``key`` orders it within its flow."""

    item: Item
    group: Group[Item]
    key: SortKey
    sequence_number: int
    version: int = 0
    is_queued: bool = True


@final
@dataclass(slots=True, eq=False)
class Group(Generic[Item]):
    """Requests of a flow that may use the same slots, the first in order on top."""

    flow: Flow[Item]
    id: Hashable
    heap: list[tuple[SortKey, int, int, Ticket[Item]]] = field(default_factory=list)
    waiting_count: int = 0
    record: tuple[SortKey, int] | None = None
    is_blocked: bool = False

    def push(self, ticket: Ticket[Item]) -> None:
        """Add a ticket under its present key."""
        heapq.heappush(
            self.heap, (ticket.key, ticket.sequence_number, ticket.version, ticket)
        )

    def first(self) -> Ticket[Item] | None:
        """Return the first ticket, None without any."""
        heap = self.heap
        while heap and not is_current(heap[0]):
            heapq.heappop(heap)
        return heap[0][3] if heap else None

    def compact(self) -> None:
        """Clear out removed tickets once they are the greater part."""
        if len(self.heap) > max(MIN_COMPACTED, 2 * self.waiting_count):
            self.heap = [record for record in self.heap if is_current(record)]
            heapq.heapify(self.heap)


@final
@dataclass(slots=True, eq=False)
class Flow(Generic[Item]):
    """The groups of one workspace or customer in one priority."""

    level: Level[Item]
    id: Hashable
    weight: float = 1.0
    start: float = 0.0
    waiting_count: int = 0
    record: float | None = None
    heap: list[tuple[SortKey, int, Group[Item]]] = field(default_factory=list)
    groups: dict[Hashable, Group[Item]] = field(default_factory=dict)

    def push_record(self, group: Group[Item]) -> None:
        """Record a group under the key of its first ticket, unless it is blocked."""
        ticket = group.first()
        if ticket is None or group.is_blocked:
            return
        record = ticket.key, ticket.sequence_number
        if group.record is None or record < group.record:
            group.record = record
            heapq.heappush(self.heap, (*record, group))

    def first_group(self) -> Group[Item] | None:
        """Return the group with the first ticket, None if none is left to ask."""
        heap = self.heap
        while heap:
            key, sequence_number, group = heap[0]
            ticket = group.first()
            if (
                group.record == (key, sequence_number)
                and ticket is not None
                and (ticket.key, ticket.sequence_number) == group.record
            ):
                return group
            heapq.heappop(heap)
            if group.record == (key, sequence_number):
                group.record = None
                self.push_record(group)
        return None


@final
class Level(Generic[Item]):
    """The flows of one priority, served by start-time fair queueing."""

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.virtual_time = 0.0
        self.waiting_count = 0
        self.credit = 0.0
        self.arrival_rate = DecayingRate(DEMAND_WINDOW_S)
        self.grant_rate = DecayingRate()
        self.heap: list[tuple[float, int, Flow[Item]]] = []
        self.flows: dict[Hashable, Flow[Item]] = {}
        self.sequence_numbers = itertools.count()

    def open_flow(self, flow_id: Hashable, weight: float) -> Flow[Item]:
        """Return a flow to which a ticket is about to be added."""
        flow = self.flows.get(flow_id)
        if flow is None:
            flow = self.flows[flow_id] = Flow(self, flow_id)
            flow.start = self.virtual_time
        elif not flow.waiting_count:
            flow.start = max(flow.start, self.virtual_time)
        flow.weight = weight
        self.push_record(flow)
        return flow

    def push_record(self, flow: Flow[Item]) -> None:
        """Record a flow under its virtual start time."""
        if flow.record != flow.start:
            flow.record = flow.start
            heapq.heappush(self.heap, (flow.start, next(self.sequence_numbers), flow))

    def start_of(self, flow_id: Hashable) -> float:
        """Return the virtual start time of a flow's next request."""
        flow = self.flows.get(flow_id)
        if flow is None:
            return self.virtual_time
        return flow.start if flow.waiting_count else max(flow.start, self.virtual_time)

    def first(self) -> Ticket[Item] | None:
        """Return the first ticket of the flow to serve next, None without any."""
        heap = self.heap
        while heap:
            start, _, flow = heap[0]
            if flow.record == start == flow.start:
                group = flow.first_group()
                if group is not None:
                    return group.first()
                flow.record = None
                if not flow.waiting_count:
                    self.flows.pop(flow.id, None)
            heapq.heappop(heap)
        return None

    def grants_until_turn(self, flow_id: Hashable, weight: float) -> float:
        """Return how many grants a new request needs, including its own."""
        own_flow = self.flows.get(flow_id)
        own_grants = 1 + (own_flow.waiting_count if own_flow else 0)
        other_grants = 0.0
        for flow in self.flows.values():
            if flow is not own_flow:
                other_grants += min(
                    flow.waiting_count, own_grants * flow.weight / weight
                )
        return other_grants + own_grants

    def end_busy_period(self) -> None:
        """Forget the virtual times of all flows, as none has a waiting request."""
        self.virtual_time = 0.0
        self.heap.clear()
        self.flows.clear()

    def charge(self, flow: Flow[Item]) -> None:
        """Advance the virtual time of a flow by one grant."""
        start = max(flow.start, self.virtual_time - MAX_FLOW_LAG)
        self.virtual_time = max(self.virtual_time, start)
        flow.start = start + 1.0 / flow.weight
        self.push_record(flow)


class FairQueue(Generic[Item]):
    """Waiting requests: priority first, then fairness between flows, then the key.

    ``floors`` are the least fractions of grants by priority. Without them the floor
    of a priority follows its part of the arrivals. A priority that is owed grants
    goes first until it has had them.
    """

    def __init__(self, floors: Mapping[int, float] | None = None) -> None:
        self.floors = floors
        self.levels: dict[int, Level[Item]] = {}
        self.waiting_count = 0
        self.sequence_numbers = itertools.count()
        self.groups: OrderedDict[tuple[int, Hashable, Hashable], Group[Item]] = (
            OrderedDict()
        )
        self.changes: list[tuple[float, int, Ticket[Item]]] = []
        self.blocked: list[Group[Item]] = []

    def __len__(self) -> int:
        return self.waiting_count

    def level(self, priority: int) -> Level[Item]:
        """Return the flows of a priority."""
        level = self.levels.get(priority)
        if level is None:
            level = Level(priority)
            self.levels = dict(sorted({**self.levels, priority: level}.items()))
        return level

    def push(
        self,
        item: Item,
        *,
        priority: int,
        key: SortKey,
        now: float = 0.0,
        flow: Hashable = None,
        weight: float = 1.0,
        group: Hashable = None,
        changes_at: float = math.inf,
    ) -> Ticket[Item]:
        """Add a request; its key is due for ``rekey`` after ``changes_at``.

        ``now`` is the time of its arrival, needed without fixed floors only.
        """
        level = self.level(priority)
        if self.floors is None:
            level.arrival_rate.add(now)
        owner = level.open_flow(flow, weight)
        members = owner.groups.get(group)
        if members is None:
            members = owner.groups[group] = Group(owner, group)
            self.groups[priority, flow, group] = members
        ticket = Ticket(item, members, key, next(self.sequence_numbers))
        members.push(ticket)
        for counted in (members, owner, level, self):
            counted.waiting_count += 1
        owner.push_record(members)
        if changes_at < math.inf:
            heapq.heappush(self.changes, (changes_at, ticket.sequence_number, ticket))
        return ticket

    def remove(self, ticket: Ticket[Item]) -> None:
        """Remove a request that no longer waits; idempotent."""
        if not ticket.is_queued:
            return
        ticket.is_queued = False
        group = ticket.group
        flow = group.flow
        for counted in (group, flow, flow.level, self):
            counted.waiting_count -= 1
        if not group.waiting_count:
            flow.groups.pop(group.id, None)
            self.groups.pop((flow.level.priority, flow.id, group.id), None)
            group.heap.clear()
        else:
            group.compact()
        if not flow.level.waiting_count:
            flow.level.end_busy_period()

    def pop(self, ticket: Ticket[Item], now: float) -> Item:
        """Remove a request that was granted a slot, and charge its flow."""
        flow = ticket.group.flow
        self.record_grant(flow.level, now)
        self.remove(ticket)
        if flow.level.waiting_count:
            flow.level.charge(flow)
        return ticket.item

    def record_refusal(self, priority: int, now: float) -> None:
        """Count a request that was refused on arrival as demand of its priority."""
        self.level(priority).arrival_rate.add(now)

    def record_direct_grant(self, priority: int, flow: Hashable, now: float) -> None:
        """Charge a request that got a slot without a wait, if others wait."""
        level = self.level(priority)
        level.arrival_rate.add(now)
        if self.waiting_count:
            if level.waiting_count:
                level.charge(level.open_flow(flow, 1.0))
            self.record_grant(level, now)

    def record_grant(self, granted: Level[Item], now: float) -> None:
        """Update the credits of the priorities that wait."""
        for level in self.levels.values():
            if level.waiting_count:
                level.credit = min(MAX_CREDIT, level.credit + self.floor(level, now))
        granted.credit = max(MIN_CREDIT, granted.credit - 1.0)

    def floor(self, level: Level[Item], now: float) -> float:
        """Return the least fraction of grants of a priority."""
        if self.floors is not None:
            return self.floors.get(level.priority, 0.0)
        total = sum(each.arrival_rate.rate_at(now) for each in self.levels.values())
        return DEMAND_FLOOR * level.arrival_rate.rate_at(now) / total if total else 0.0

    def rekey(self, now: float, key_of: Callable[[Item, float], SortKey]) -> list[Item]:
        """Update the keys that have changed by ``now``; return their requests."""
        changed = []
        while self.changes and self.changes[0][0] < now:
            ticket = heapq.heappop(self.changes)[2]
            if ticket.is_queued:
                ticket.key = key_of(ticket.item, now)
                ticket.version += 1
                ticket.group.push(ticket)
                ticket.group.flow.push_record(ticket.group)
                changed.append(ticket.item)
        return changed

    def levels_in_turn(self) -> Iterator[Level[Item]]:
        """Yield the priorities with waiting requests: those owed grants go first."""
        waiting = [level for level in self.levels.values() if level.waiting_count]
        owed = [level for level in waiting if level.credit >= CREDIT_THRESHOLD]
        owed.sort(key=lambda level: -level.credit)
        yield from dict.fromkeys((*owed, *waiting))

    def first(self) -> Ticket[Item] | None:
        """Return the request to ask next, None if none is left to ask."""
        for level in self.levels_in_turn():
            ticket = level.first()
            if ticket is not None:
                return ticket
        return None

    def has_claim(self, priority: int, flow: Hashable) -> bool:
        """Return whether a new request would be among the next by floor or fairness.

        That is if its priority is owed more grants than it has waiting requests, or
        if other flows wait that have had more grants than its own.
        """
        level = self.levels.get(priority)
        if level is None:
            return False
        if level.waiting_count <= max(0.0, level.credit) and any(
            other.waiting_count for other in self.levels.values() if other is not level
        ):
            return True
        owner = level.flows.get(flow)
        own_count = 0 if owner is None else owner.waiting_count
        return (
            own_count <= MAX_CLAIM
            and level.waiting_count > own_count
            and level.start_of(flow) <= level.virtual_time
        )

    def has_more_urgent(self, priority: int, flow: Hashable, key: SortKey) -> bool:
        """Return whether a waiting request goes before a new one."""
        for level in self.levels_in_turn():
            if level.priority != priority:
                return True
            ticket = level.first()
            if ticket is None:
                return False
            if ticket.group.flow.id == flow:
                return ticket.key < key
            return ticket.group.flow.start <= level.start_of(flow)
        return False

    def in_turn(self) -> Iterator[Ticket[Item]]:
        """Yield the requests to ask for free slots, a bounded number in one pass.

        The consumer calls ``pop`` for a request that was served. One that was not
        is not asked again in the pass, nor are the others of its group.
        """
        asked = 0
        try:
            while asked < MAX_ASKED_IN_ORDER:
                ticket = self.first()
                if ticket is None:
                    return
                yield ticket
                asked += self.block_if_waiting(ticket)
            while asked < MAX_ASKED and self.groups:
                group = next(iter(self.groups.values()))
                first = None if group.is_blocked else group.first()
                if first is None:
                    return
                yield first
                asked += self.block_if_waiting(first)
        finally:
            self.unblock()

    def block_if_waiting(self, ticket: Ticket[Item]) -> bool:
        """Leave a group out for this pass if its first request was not served."""
        if not ticket.is_queued:
            return False
        group = ticket.group
        group.is_blocked = True
        group.record = None
        self.blocked.append(group)
        flow = group.flow
        self.groups.move_to_end((flow.level.priority, flow.id, group.id))
        return True

    def unblock(self) -> None:
        """Let all groups be asked again."""
        blocked, self.blocked = self.blocked, []
        for group in blocked:
            group.is_blocked = False
            if group.waiting_count:
                group.flow.push_record(group)
                group.flow.level.push_record(group.flow)

    def __iter__(self) -> Iterator[Item]:
        """Yield the waiting requests in no particular order."""
        for group in self.groups.values():
            yield from (record[3].item for record in group.heap if is_current(record))


def is_current(record: tuple[SortKey, int, int, Ticket[Any]]) -> bool:
    """Return whether a record of a heap is the present one of a waiting request."""
    return record[3].is_queued and record[2] == record[3].version
