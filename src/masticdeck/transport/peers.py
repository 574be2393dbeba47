"""gRPC channels to other entries, one kept open per peer, and the peer server."""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.server import Server

from masticdeck.ids import EntryId

if TYPE_CHECKING:
    from grpclib._typing import IServable

    from masticdeck.state.deployment import Deployment


class PeerChannels:
    """Channels by entry, opened at first use and shared by all components."""

    def __init__(
        self, deployment: Deployment, *, tls: ssl.SSLContext | None = None
    ) -> None:
        self.deployment = deployment
        self.tls = tls
        self.channels: dict[EntryId, Channel] = {}

    def get(self, entry: EntryId) -> Channel:
        """Return the channel to an entry of the deployment."""
        channel = self.channels.get(entry)
        if channel is None:
            node = self.deployment.entry_by_id[entry]
            channel = Channel(node.host, node.peer_port, ssl=self.tls)
            self.channels[entry] = channel
        return channel

    async def start(self) -> None:
        """Do nothing; channels open at first use."""

    async def stop(self) -> None:
        """Close every channel."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()


class PeerServer:
    """Serves the peer services of all components on one port."""

    def __init__(
        self,
        host: str,
        port: int,
        services: Sequence[IServable],
        *,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.services = services
        self.tls = tls
        self.server: Server | None = None

    async def start(self) -> None:
        """Listen on the peer address."""
        self.server = Server(self.services)
        await self.server.start(self.host, self.port, ssl=self.tls)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
