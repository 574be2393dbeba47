"""The planned stop of an entry, which cuts no request.

The entry announces that it leaves, goes on serving callers that still hold a
look-up answer naming it (for the answers' time to live and two heartbeats, in
which the others hear of it), then accepts no more connections, finishes what is
in flight, and hands its order records over. Shares are given back as the
components stop after that.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from masticdeck.clock import boottime
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.orders import Orders
from masticdeck.events import Code
from masticdeck.node import Node

IN_FLIGHT_POLL_INTERVAL_S = 0.02
HAND_OVER_RESERVE_S = 2.0
PROPAGATION_HEARTBEATS = 2.0


class ConnectionListener(Protocol):
    """The server that callers connect to; ``leaving`` closes each connection."""

    leaving: bool

    async def stop_listening(self) -> None:
        """Accept no further connection."""


class RequestForwarder(Protocol):
    """What forwards callers' requests, with how many are in flight."""

    leaving: bool
    in_flight: int


class GracefulShutdown:
    """Runs the steps of a planned stop, once."""

    def __init__(
        self,
        node: Node,
        *,
        membership: Membership,
        orders: Orders,
        server: ConnectionListener,
        forwarder: RequestForwarder,
    ) -> None:
        self.node = node
        self.membership = membership
        self.orders = orders
        self.server = server
        self.forwarder = forwarder

    async def run(self) -> None:
        """Leave: returns when nothing is in flight or the grace has passed."""
        self.announce_leaving()
        finding = asyncio.create_task(self.orders.leave())
        config = self.node.config
        spread_s = PROPAGATION_HEARTBEATS * config.heartbeat_s
        await asyncio.sleep(config.lookup_ttl_s + spread_s)
        finding.cancel()
        await self.server.stop_listening()
        ends = boottime() + self.node.config.stop_grace_s
        await self.wait_for_in_flight(ends - HAND_OVER_RESERVE_S)
        await self.orders.close(max(0.0, ends - HAND_OVER_RESERVE_S - boottime()))
        if self.forwarder.in_flight:
            self.node.events.emit(
                Code.REQUESTS_CUT,
                level=logging.WARNING,
                requests=self.forwarder.in_flight,
            )
        self.node.events.emit(Code.ENTRY_FINISHED, entry=self.node.id)

    def announce_leaving(self) -> None:
        """Tell the other entries, the components and the callers."""
        self.node.events.emit(Code.ENTRY_LEAVING, entry=self.node.id)
        self.membership.leave()
        self.node.hooks.hook.entry_leaving()
        self.server.leaving = True
        self.forwarder.leaving = True

    async def wait_for_in_flight(self, until: float) -> None:
        """Wait until no request is in flight or a boot time has passed."""
        while self.forwarder.in_flight and boottime() < until:
            await asyncio.sleep(IN_FLIGHT_POLL_INTERVAL_S)
