"""Capped shifts of traffic between regions, as a component of an entry.

Every entry follows the table of the owner of ``steering``, which it asks each
second or, in a large fleet, less often; other candidates and the store answer
when the owner does not. The owner steps the table towards the goal that the
accepted lists ask for.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.clock import boottime
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.ownership import Ownership, rank_candidates
from masticdeck.coordination.shift_demand import Demand, Report
from masticdeck.coordination.shift_follower import Follower
from masticdeck.coordination.shift_goal import goal_of
from masticdeck.coordination.shift_owner import TABLE_KEY, StepOwner, decode_value
from masticdeck.coordination.shift_rule import Weights
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, MemberState, RegionId, ServiceId, Version
from masticdeck.node import Node
from masticdeck.protocol.generated.steering_grpc import SteeringBase, SteeringStub
from masticdeck.protocol.generated.steering_pb2 import (
    SteeringBusy,
    SteeringFollowReply,
    SteeringFollowRequest,
    SteeringLookups,
)
from masticdeck.state.lists import Configuration
from masticdeck.state.steering import Route, SteeringTable, decode_table

if TYPE_CHECKING:
    from grpclib.server import Stream

OWNER_NAME = "steering"
POLL_S = 1.0
ENTRIES_PER_POLL_S = 60
CALL_TIMEOUT_S = 1.0
CANDIDATES_ASKED = 3
STORE_POLL_S = 10.0


class Shifts(SteeringBase):
    """Follows the steering table, and steps it while this entry owns the steps.

    ``use_table`` is called with each table that look-ups are to follow;
    ``read_load`` returns the look-ups by route and the busy slot-seconds by
    service since it was last called.
    """

    def __init__(
        self,
        node: Node,
        membership: Membership,
        *,
        use_table: Callable[[SteeringTable], None],
        read_load: Callable[[], tuple[Counter[Route], dict[ServiceId, float]]],
    ) -> None:
        self.node = node
        self.membership = membership
        self.read_load = read_load
        config = node.config
        self.ownership = Ownership(node, OWNER_NAME, membership=membership)
        self.demand = Demand(node.deployment)
        self.follower = Follower(
            node.events,
            use_table,
            cap=config.shift_cap,
            pace_s=config.shift_window_s + config.lookup_ttl_s,
        )
        self.owner = StepOwner(node, self.ownership, self.demand, self.counted)
        self.goal: Weights | None = None
        self.version = Version(0)
        self.gone_at: dict[EntryId, float] = {}
        self.read_at = boottime()
        self.stored_at = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        node.hooks.register(self)

    @hookimpl
    def version_in_force(self, version: Version, configuration: Configuration) -> None:
        """Work out the goal of the configuration in force."""
        self.version = version
        self.goal = goal_of(
            self.node.deployment, configuration.customers, configuration.plans
        )

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Note since when an entry has been gone."""
        if state is MemberState.GONE:
            self.gone_at.setdefault(entry, boottime())
        else:
            self.gone_at.pop(entry, None)

    def counted(self) -> list[EntryId]:
        """Return the entries whose answers callers may still use.

        An entry that is gone counts until its callers' caches have run out.
        """
        latest = boottime() - self.follower.pace_s
        return [
            name
            for name, one in self.membership.members.items()
            if one.state is not MemberState.LEAVING
            and self.gone_at.get(name, latest) >= latest
        ]

    async def start(self) -> None:
        """Start to compete and to follow."""
        await self.ownership.start()
        self.tasks = [asyncio.create_task(self.run(), name="steering")]

    async def stop(self) -> None:
        """Stop following and release the steps."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
        await self.ownership.stop()

    async def run(self) -> None:
        """Follow, and step while this entry owns the steps, for ever."""
        period = max(POLL_S, len(self.node.deployment.entries) / ENTRIES_PER_POLL_S)
        period = min(period, self.node.config.shift_window_s / 2)
        while True:
            try:
                if self.ownership.is_valid():
                    await self.lead()
                else:
                    await self.follow()
            except MasticdeckError as error:
                self.node.events.emit(
                    Code.SHIFT_HELD, level=logging.DEBUG, error=error.code
                )
            self.follower.advance()
            await asyncio.sleep(period)

    async def lead(self) -> None:
        """Step the table when one is due, and follow it."""
        table = await self.owner.claim()
        self.demand.add(self.node.id, self.report())
        if table is not None:
            self.follower.receive(table)
        self.owner.note(self.node.id, self.follower.held_step)
        if self.goal is not None:
            stepped = await self.owner.step(self.goal, self.version)
            if stepped is not None:
                self.follower.receive(stepped)

    async def follow(self) -> None:
        """Ask the candidates in order until the owner has answered."""
        request = self.create_request()
        candidates = rank_candidates(self.membership, OWNER_NAME, None)
        asked = [one for one in candidates if one != self.node.id]
        for entry in asked[:CANDIDATES_ASKED]:
            reply = await self.ask(entry, request)
            if reply is None:
                continue
            if reply.table:
                self.follower.receive(decode_table(reply.table))
            if reply.owner:
                return
        await self.read_store()

    async def ask(
        self, entry: EntryId, request: SteeringFollowRequest
    ) -> SteeringFollowReply | None:
        """Return an entry's reply, or None when there is none."""
        stub = SteeringStub(self.node.peers.get(entry))
        with suppress(
            GRPCError, StreamTerminatedError, OSError, TimeoutError, ConnectionError
        ):
            reply: SteeringFollowReply = await stub.Follow(
                request, timeout=CALL_TIMEOUT_S
            )
            return reply
        return None

    async def read_store(self) -> None:
        """Read the table from the store, now and then, when no owner answers."""
        now = boottime()
        if self.follower.wanted is not None and now - self.stored_at < STORE_POLL_S:
            return
        self.stored_at = now
        item = await self.node.store.get(TABLE_KEY)
        if item is not None:
            self.follower.receive(decode_value(item.value)[1])

    def report(self) -> Report:
        """Return what this entry measured since the last report."""
        now = boottime()
        seconds = max(now - self.read_at, 0.001)
        self.read_at = now
        lookups, busy = self.read_load()
        return Report(
            at=now,
            lookups={route: count / seconds for route, count in lookups.items()},
            busy={service: total / seconds for service, total in busy.items()},
        )

    def create_request(self) -> SteeringFollowRequest:
        """Return a request with this entry's step and load."""
        report = self.report()
        return SteeringFollowRequest(
            entry=self.node.id,
            step=self.follower.held_step,
            received=self.follower.wanted_step,
            lookups=[
                SteeringLookups(service=service, origin=origin, rate=rate)
                for (service, origin), rate in report.lookups.items()
            ],
            busy=[
                SteeringBusy(service=service, slots=slots)
                for service, slots in report.busy.items()
            ],
        )

    async def Follow(  # noqa: N802
        self, stream: Stream[SteeringFollowRequest, SteeringFollowReply]
    ) -> None:
        """Answer an entry with the newest table known here."""
        request = await stream.recv_message()
        if request is None:
            return
        owner = self.ownership.is_valid()
        if owner:
            self.take_in(request)
        table = self.follower.wanted
        reply = SteeringFollowReply(owner=owner, known=table is not None)
        if table is not None:
            reply.step = table.step
            if table.step > request.received:
                reply.table = table.encode()
        await stream.send_message(reply)

    def take_in(self, request: SteeringFollowRequest) -> None:
        """Note an entry's step and load."""
        entry = EntryId(request.entry)
        if entry not in self.node.deployment.entry_by_id:
            return
        self.owner.note(entry, request.step)
        lookups = {
            (ServiceId(one.service), RegionId(one.origin)): one.rate
            for one in request.lookups
        }
        busy = {ServiceId(one.service): one.slots for one in request.busy}
        self.demand.add(entry, Report(at=boottime(), lookups=lookups, busy=busy))
