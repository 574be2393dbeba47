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
from masticdeck.coordination.shift_demand import LoadReport, TrafficDemand
from masticdeck.coordination.shift_follower import TableFollower
from masticdeck.coordination.shift_goal import compute_goal
from masticdeck.coordination.shift_owner import (
    TABLE_KEY,
    StepOwner,
    decode_stored_table,
)
from masticdeck.coordination.shift_rule import RouteWeights
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
MAX_OWNER_POLLS_PER_S = 60
CALL_TIMEOUT_S = 1.0
MAX_CANDIDATES_POLLED = 3
STORE_POLL_S = 10.0


class TrafficShifts(SteeringBase):
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
        self.demand = TrafficDemand(node.deployment)
        self.follower = TableFollower(
            node.events,
            use_table,
            cap=config.shift_cap,
            min_interval_s=config.shift_window_s + config.lookup_ttl_s,
        )
        self.owner = StepOwner(
            node, self.ownership, self.demand, self.list_relevant_entries
        )
        self.goal: RouteWeights | None = None
        self.version = Version(0)
        self.gone_at: dict[EntryId, float] = {}
        self.load_read_at = boottime()
        self.store_read_at = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        node.hooks.register(self)

    @hookimpl
    def version_in_force(self, version: Version, configuration: Configuration) -> None:
        """Work out the goal of the configuration in force."""
        self.version = version
        self.goal = compute_goal(
            self.node.deployment, configuration.customers, configuration.plans
        )

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Note since when an entry has been gone."""
        if state is MemberState.GONE:
            self.gone_at.setdefault(entry, boottime())
        else:
            self.gone_at.pop(entry, None)

    def list_relevant_entries(self) -> list[EntryId]:
        """Return the entries whose answers callers may still use.

        An entry that is gone counts until its callers' caches have run out.
        """
        latest = boottime() - self.follower.min_interval_s
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
        period = max(POLL_S, len(self.node.deployment.entries) / MAX_OWNER_POLLS_PER_S)
        period = min(period, self.node.config.shift_window_s / 2)
        while True:
            try:
                if self.ownership.is_valid():
                    await self.run_as_owner()
                else:
                    await self.poll_owner()
            except MasticdeckError as error:
                self.node.events.emit(
                    Code.SHIFT_HELD, level=logging.DEBUG, error=error.code
                )
            self.follower.advance()
            await asyncio.sleep(period)

    async def run_as_owner(self) -> None:
        """Step the table when one is due, and follow it."""
        table = await self.owner.claim()
        self.demand.record_report(self.node.id, self.create_report())
        if table is not None:
            self.follower.receive(table)
        self.owner.record_step(self.node.id, self.follower.current_step)
        if self.goal is not None:
            stepped = await self.owner.step_if_due(self.goal, self.version)
            if stepped is not None:
                self.follower.receive(stepped)

    async def poll_owner(self) -> None:
        """Ask the candidates in order until the owner has answered."""
        request = self.create_request()
        candidates = rank_candidates(self.membership, OWNER_NAME, None)
        asked = [one for one in candidates if one != self.node.id]
        for entry in asked[:MAX_CANDIDATES_POLLED]:
            reply = await self.request_table(entry, request)
            if reply is None:
                continue
            if reply.table:
                self.follower.receive(decode_table(reply.table))
            if reply.owner:
                return
        await self.read_store()

    async def request_table(
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
        if (
            self.follower.newest_table is not None
            and now - self.store_read_at < STORE_POLL_S
        ):
            return
        self.store_read_at = now
        item = await self.node.store.get(TABLE_KEY)
        if item is not None:
            self.follower.receive(decode_stored_table(item.value)[1])

    def create_report(self) -> LoadReport:
        """Return what this entry measured since the last report."""
        now = boottime()
        seconds = max(now - self.load_read_at, 0.001)
        self.load_read_at = now
        lookups, busy = self.read_load()
        return LoadReport(
            received_at=now,
            lookups_per_s={route: count / seconds for route, count in lookups.items()},
            busy_slots={service: total / seconds for service, total in busy.items()},
        )

    def create_request(self) -> SteeringFollowRequest:
        """Return a request with this entry's step and load."""
        report = self.create_report()
        return SteeringFollowRequest(
            entry=self.node.id,
            step=self.follower.current_step,
            received=self.follower.newest_step,
            lookups=[
                SteeringLookups(service=service, origin=origin, rate=rate)
                for (service, origin), rate in report.lookups_per_s.items()
            ],
            busy=[
                SteeringBusy(service=service, slots=slots)
                for service, slots in report.busy_slots.items()
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
            self.record_request(request)
        table = self.follower.newest_table
        reply = SteeringFollowReply(owner=owner, known=table is not None)
        if table is not None:
            reply.step = table.step
            if table.step > request.received:
                reply.table = table.encode()
        await stream.send_message(reply)

    def record_request(self, request: SteeringFollowRequest) -> None:
        """Note an entry's step and load."""
        entry = EntryId(request.entry)
        if entry not in self.node.deployment.entry_by_id:
            return
        self.owner.record_step(entry, request.step)
        lookups = {
            (ServiceId(one.service), RegionId(one.origin)): one.rate
            for one in request.lookups
        }
        busy = {ServiceId(one.service): one.slots for one in request.busy}
        self.demand.record_report(
            entry,
            LoadReport(received_at=boottime(), lookups_per_s=lookups, busy_slots=busy),
        )
