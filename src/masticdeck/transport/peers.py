"""gRPC channels to other entries, one kept open per peer, and the peer server."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.events import (
    RecvRequest,
    RecvTrailingMetadata,
    SendRequest,
    SendTrailingMetadata,
    listen,
)
from grpclib.server import Server

from masticdeck.clock import HybridClock
from masticdeck.ids import EntryId

if TYPE_CHECKING:
    from grpclib._typing import IServable

    from masticdeck.state.deployment import Deployment
    from masticdeck.transport.tls import PeerTls


STAMP_KEY = "masticdeck-stamp"


class StampExchange:
    """Carries the hybrid clock on the metadata of every call between entries.

    An event that follows from a call therefore has a later stamp than the
    events before the call, whatever the wall clocks say.
    """

    def __init__(self, clock: HybridClock) -> None:
        self.clock = clock

    def watch_channel(self, channel: Channel) -> None:
        """Stamp the channel's requests and take in the stamps of answers."""
        listen(channel, SendRequest, self.send)
        listen(channel, RecvTrailingMetadata, self.receive)

    def watch_server(self, server: Server) -> None:
        """Take in the stamps of requests and stamp the server's answers."""
        listen(server, RecvRequest, self.receive)
        listen(server, SendTrailingMetadata, self.send)

    async def send(self, event: SendRequest | SendTrailingMetadata) -> None:
        """Add the clock's stamp to outgoing metadata."""
        event.metadata[STAMP_KEY] = str(self.clock.stamp())

    async def receive(self, event: RecvRequest | RecvTrailingMetadata) -> None:
        """Take in the stamp of incoming metadata."""
        text = event.metadata.get(STAMP_KEY)
        if isinstance(text, str) and text.isdigit():
            self.clock.receive(int(text))


class PeerChannels:
    """Channels by entry, opened at first use and shared by all components."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        stamps: StampExchange | None = None,
        tls: PeerTls | None = None,
    ) -> None:
        self.deployment = deployment
        self.stamps = stamps
        self.tls = tls
        self.channels: dict[EntryId, Channel] = {}

    def get(self, entry: EntryId) -> Channel:
        """Return the channel to an entry of the deployment."""
        channel = self.channels.get(entry)
        if channel is None:
            node = self.deployment.entry_by_id[entry]
            channel = Channel(
                node.host,
                node.peer_port,
                ssl=None if self.tls is None else self.tls.client,
                config=None if self.tls is None else self.tls.configuration(entry),
            )
            if self.stamps is not None:
                self.stamps.watch_channel(channel)
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
        stamps: StampExchange | None = None,
        tls: PeerTls | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.services = services
        self.stamps = stamps
        self.tls = tls
        self.server: Server | None = None

    async def start(self) -> None:
        """Listen on the peer address."""
        self.server = Server(self.services)
        if self.stamps is not None:
            self.stamps.watch_server(self.server)
        context = None
        if self.tls is not None:
            self.tls.watch_server(self.server)
            context = self.tls.server
        await self.server.start(self.host, self.port, ssl=context)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
