"""Capped shifts of traffic between regions, as a component of an entry.

Every entry follows the table of the owner of ``steering``. It polls the owner
every second, or less often in a large fleet, and falls back to other candidates
and then to the store when the owner does not reply. The owner steps the table
towards the goal computed from the accepted lists.
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
    """Follows the steering table, and steps it while this entry is the owner.

    ``use_table`` is called with each table that look-ups must use.
    ``read_load`` returns the look-ups per route and the busy slot-seconds per
    service since its previous call.
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
        """Compute the goal of the configuration in force."""
        self.version = version
        self.goal = compute_goal(
            self.node.deployment, configuration.customers, configuration.plans
        )

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Record since when an entry has been gone."""
        if state is MemberState.GONE:
            self.gone_at.setdefault(entry, boottime())
        else:
            self.gone_at.pop(entry, None)

    def list_relevant_entries(self) -> list[EntryId]:
        """Return the entries whose look-up replies callers may still use.

        An entry that is gone is included until its callers' caches have expired.
        """
        expiry_cutoff = boottime() - self.follower.min_interval_s
        return [
            name
            for name, member in self.membership.members.items()
            if member.state is not MemberState.LEAVING
            and self.gone_at.get(name, expiry_cutoff) >= expiry_cutoff
        ]

    async def start(self) -> None:
        """Start to compete for ownership and to follow the table."""
        await self.ownership.start()
        self.tasks = [asyncio.create_task(self.run(), name="steering")]

    async def stop(self) -> None:
        """Stop following the table and release the ownership."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
        await self.ownership.stop()

    async def run(self) -> None:
        """Follow the table until cancelled; step it while this entry is the owner."""
        period_s = max(
            POLL_S, len(self.node.deployment.entries) / MAX_OWNER_POLLS_PER_S
        )
        period_s = min(period_s, self.node.config.shift_window_s / 2)
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
            await asyncio.sleep(period_s)

    async def run_as_owner(self) -> None:
        """Step the table if due, and follow it."""
        table = await self.owner.claim()
        self.demand.record_report(self.node.id, self.create_report())
        if table is not None:
            self.follower.receive(table)
        self.owner.record_step(self.node.id, self.follower.current_step)
        if self.goal is not None:
            next_table = await self.owner.step_if_due(self.goal, self.version)
            if next_table is not None:
                self.follower.receive(next_table)

    async def poll_owner(self) -> None:
        """Poll the candidates in order until the owner replies, then the store."""
        request = self.create_request()
        candidates = rank_candidates(self.membership, OWNER_NAME, None)
        other_candidates = [entry for entry in candidates if entry != self.node.id]
        for entry in other_candidates[:MAX_CANDIDATES_POLLED]:
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
        """Return an entry's reply, or None if the call failed."""
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
        """Read the table from the store, at most once per ``STORE_POLL_S``.

        The limit does not apply while no table was received yet.
        """
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
        """Return this entry's load since the previous report."""
        now = boottime()
        elapsed_s = max(now - self.load_read_at, 0.001)
        self.load_read_at = now
        lookups, busy = self.read_load()
        return LoadReport(
            received_at=now,
            lookups_per_s={
                route: count / elapsed_s for route, count in lookups.items()
            },
            busy_slots={
                service: busy_slot_s / elapsed_s
                for service, busy_slot_s in busy.items()
            },
        )

    def create_request(self) -> SteeringFollowRequest:
        """Return a request that reports this entry's step and load."""
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
        """Reply with the newest table if it is newer than the requester's."""
        request = await stream.recv_message()
        if request is None:
            return
        is_owner = self.ownership.is_valid()
        if is_owner:
            self.record_request(request)
        table = self.follower.newest_table
        reply = SteeringFollowReply(owner=is_owner, known=table is not None)
        if table is not None:
            reply.step = table.step
            if table.step > request.received:
                reply.table = table.encode()
        await stream.send_message(reply)

    def record_request(self, request: SteeringFollowRequest) -> None:
        """Record the step and load reported by an entry; ignore unknown entries."""
        entry = EntryId(request.entry)
        if entry not in self.node.deployment.entry_by_id:
            return
        self.owner.record_step(entry, request.step)
        lookups = {
            (ServiceId(item.service), RegionId(item.origin)): item.rate
            for item in request.lookups
        }
        busy = {ServiceId(item.service): item.slots for item in request.busy}
        self.demand.record_report(
            entry,
            LoadReport(received_at=boottime(), lookups_per_s=lookups, busy_slots=busy),
        )
