"""Graceful shutdown of an entry, which interrupts no request.

The entry announces that it is leaving and keeps serving callers whose cached
look-up response still names it. It does so for the time to live of look-up
responses plus two heartbeats, in which the other entries receive the
announcement. It then accepts no more connections, finishes the requests in
flight and hands over its order records. Shares are released afterwards, when the
components stop.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from masticdeck.clock import boottime
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.orders import Orders
from masticdeck.coordination.shutdown_window import ShutdownWindow
from masticdeck.events import Code
from masticdeck.node import Node

IN_FLIGHT_POLL_INTERVAL_S = 0.02
HAND_OVER_RESERVE_S = 2.0
PROPAGATION_HEARTBEATS = 2.0


class ConnectionListener(Protocol):
    """The server that callers connect to.

    While ``leaving`` is set it closes each connection after the response.
    """

    leaving: bool

    @property
    def undelivered(self) -> int:
        """Return the number of callers that lack a part of a response."""

    async def stop_listening(self) -> None:
        """Accept no further connection."""


class RequestForwarder(Protocol):
    """The component that forwards requests; ``in_flight`` is their number.

    It refuses requests that ``shutdown_window`` leaves no time for.
    """

    leaving: bool
    in_flight: int
    shutdown_window: ShutdownWindow


class GracefulShutdown:
    """Runs the steps of a graceful shutdown once."""

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
        """Run the shutdown; return when it is complete or the grace period ends."""
        self.announce_leaving()
        token_search = asyncio.create_task(self.orders.leave())
        config = self.node.config
        propagation_s = PROPAGATION_HEARTBEATS * config.heartbeat_s
        accept_until = boottime() + config.lookup_ttl_s + propagation_s
        deadline = accept_until + config.stop_grace_s
        self.forwarder.shutdown_window.begin(
            accept_until=accept_until, end_at=deadline - HAND_OVER_RESERVE_S
        )
        await asyncio.sleep(accept_until - boottime())
        token_search.cancel()
        await self.server.stop_listening()
        await self.wait_for_in_flight(deadline - HAND_OVER_RESERVE_S)
        await self.orders.close(max(0.0, deadline - HAND_OVER_RESERVE_S - boottime()))
        if self.forwarder.in_flight:
            self.node.events.emit(
                Code.REQUESTS_CUT,
                level=logging.WARNING,
                requests=self.forwarder.in_flight,
            )
        self.node.events.emit(Code.ENTRY_FINISHED, entry=self.node.id)

    def announce_leaving(self) -> None:
        """Announce to entries, components and callers that this entry is leaving."""
        self.node.events.emit(Code.ENTRY_LEAVING, entry=self.node.id)
        self.membership.leave()
        self.node.hooks.hook.entry_leaving()
        self.server.leaving = True
        self.forwarder.leaving = True

    async def wait_for_in_flight(self, deadline: float) -> None:
        """Wait until all responses are delivered or ``deadline`` has passed.

        The deadline is in seconds since boot.
        """
        while boottime() < deadline and (
            self.forwarder.in_flight or self.server.undelivered
        ):
            await asyncio.sleep(IN_FLIGHT_POLL_INTERVAL_S)
