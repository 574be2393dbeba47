"""Shares of capacity: competes for regions and serves their holders."""

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
    """Competes for every region that has instances and serves its holders.

    The holder starts before and stops after the competition for regions, so
    that a stopping node hands its regions over while its own units are still
    accounted for.
    """

    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.holder = ShareHolder(node, membership)
        self.region_owners: dict[RegionId, RegionOwner] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.handover_task: asyncio.Task[None] | None = None
        for region in self.holder.units_by_region:
            ownership = Ownership(
                node, f"region/{region}", membership=membership, region=region
            )
            owner = RegionOwner(node, region, ownership)
            owner.fence = self.holder.fence
            self.region_owners[region] = owner
        node.hooks.register(self)

    async def start(self) -> None:
        """Start competing for regions and wait for the first shares.

        The wait is limited to JOIN_TIMEOUT_S so that an entry can start while
        the store is down; it then has no slots until an owner answers.
        """
        await self.holder.start()
        for owner in self.region_owners.values():
            await owner.ownership.start()
            self.tasks.append(asyncio.create_task(owner.run(), name=owner.name))
        with suppress(TimeoutError):
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self.holder.joined.wait()

    async def stop(self) -> None:
        """Release the regions, then the shares."""
        await self.release_regions()
        await self.holder.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for owner in self.region_owners.values():
            await owner.stop()

    async def release_regions(self) -> None:
        """Release the owned regions, so that other entries can acquire at once."""
        await asyncio.gather(
            *(owner.ownership.stop() for owner in self.region_owners.values())
        )

    @hookimpl
    def ownership_changed(
        self, name: str, owner: EntryId | None, token: FencingToken
    ) -> None:
        """Notify the region's owner task at once that the token has changed."""
        for region_owner in self.region_owners.values():
            if region_owner.name == name:
                region_owner.check_needed.set()

    @hookimpl
    def entry_leaving(self) -> None:
        """Release the regions before the entry stops serving."""
        self.handover_task = asyncio.create_task(self.release_regions())

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Stop granting units of a leaving instance."""
        for owner in self.region_owners.values():
            owner.ledger.leaving_instances.add(instance)

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Resume granting units of an instance."""
        for owner in self.region_owners.values():
            owner.ledger.leaving_instances.discard(instance)

    async def Hold(self, stream: Stream[Report, Grant]) -> None:  # noqa: N802
        """Serve a holder, or send it the current owner if this node may not."""
        report = await stream.recv_message()
        if report is None:
            return
        owner = self.region_owners.get(RegionId(report.region))
        is_known_entry = EntryId(report.entry) in self.node.deployment.entry_by_id
        if owner is None or not is_known_entry:
            return
        if not owner.may_grant() or report.token > owner.token:
            await stream.send_message(Grant(owner=owner.ownership.owner or ""))
            return
        await OwnerSession(owner, report).run(stream, report)

    async def ReadBack(  # noqa: N802
        self, stream: Stream[ReadBackRequest, ReadBackAnswer]
    ) -> None:
        """Report the units that this entry holds to a new owner."""
        request = await stream.recv_message()
        assert request is not None
        answer = self.holder.answer_read_back(
            RegionId(request.region), FencingToken(request.token)
        )
        await stream.send_message(answer)
