"""Shares of capacity: the component that owns regions and serves holders."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from grpclib.server import Stream

from masticdeck.coordination.membership import Membership
from masticdeck.coordination.owner_session import OwnerSession
from masticdeck.coordination.ownership import Ownership
from masticdeck.coordination.region_owner import RegionOwner
from masticdeck.coordination.share_holder import ShareHolder
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, FencingToken, InstanceId, RegionId
from masticdeck.node import Node
from masticdeck.protocol.generated.shares_grpc import SharesBase
from masticdeck.protocol.generated.shares_pb2 import (
    Grant,
    ReadBackAnswer,
    ReadBackRequest,
    Report,
)

JOIN_TIMEOUT_S = 2.0


class Shares(SharesBase):
    """Competes for every region that has instances, and serves the streams.

    The holder is started first and stopped last, so that a node which stops
    hands its regions over while its own units are still accounted for.
    """

    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.holder = ShareHolder(node, membership)
        self.region_owners: dict[RegionId, RegionOwner] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.handover_task: asyncio.Task[None] | None = None
        for region in self.holder.held_units:
            ownership = Ownership(
                node, f"region/{region}", membership=membership, region=region
            )
            owner = RegionOwner(node, region, ownership)
            owner.fence = self.holder.fence
            self.region_owners[region] = owner
        node.hooks.register(self)

    async def start(self) -> None:
        """Begin to compete for regions, and wait for the first shares.

        The wait is short, so that an entry also starts while the store is
        down; it then has no slots until an owner answers.
        """
        await self.holder.start()
        for owner in self.region_owners.values():
            await owner.ownership.start()
            self.tasks.append(asyncio.create_task(owner.run(), name=owner.name))
        with suppress(TimeoutError):
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self.holder.joined.wait()

    async def stop(self) -> None:
        """Give up the regions and the shares."""
        await self.release_regions()
        await self.holder.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for owner in self.region_owners.values():
            await owner.stop()

    async def release_regions(self) -> None:
        """Let other entries become owners at once."""
        await asyncio.gather(
            *(one.ownership.stop() for one in self.region_owners.values())
        )

    @hookimpl
    def ownership_changed(
        self, name: str, owner: EntryId | None, token: FencingToken
    ) -> None:
        """Take a region over, or stop granting, without delay."""
        for one in self.region_owners.values():
            if one.name == name:
                one.check_needed.set()

    @hookimpl
    def entry_leaving(self) -> None:
        """Hand the regions over before the entry stops serving."""
        self.handover_task = asyncio.create_task(self.release_regions())

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Grant no unit of a leaving instance."""
        for owner in self.region_owners.values():
            owner.ledger.leaving_instances.add(instance)

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Grant units of an instance again."""
        for owner in self.region_owners.values():
            owner.ledger.leaving_instances.discard(instance)

    async def Hold(self, stream: Stream[Report, Grant]) -> None:  # noqa: N802
        """Serve a holder, or say who the owner is."""
        report = await stream.recv_message()
        if report is None:
            return
        owner = self.region_owners.get(RegionId(report.region))
        known = EntryId(report.entry) in self.node.deployment.entry_by_id
        if owner is None or not known:
            return
        if not owner.may_grant() or report.token > owner.token:
            await stream.send_message(Grant(owner=owner.ownership.owner or ""))
            return
        await OwnerSession(owner, report).run(stream, report)

    async def ReadBack(  # noqa: N802
        self, stream: Stream[ReadBackRequest, ReadBackAnswer]
    ) -> None:
        """Answer a new owner."""
        request = await stream.recv_message()
        assert request is not None
        answer = self.holder.answer_read_back(
            RegionId(request.region), FencingToken(request.token)
        )
        await stream.send_message(answer)
