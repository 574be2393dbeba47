"""Mutual TLS between entries, with keys reloaded when their files change.

An entry's certificate names its entry id as a DNS name. The client side
checks that the server is the entry it meant to call; the server side checks
that the caller is an entry of the deployment.
"""

from __future__ import annotations

import asyncio
import logging
import os
import ssl

from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from masticdeck.config import TlsSettings
from masticdeck.errors import SettingsInvalid
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId
from masticdeck.state.deployment import Deployment

POLL_S = 1.0
PROTOCOL = "h2"

Stamp = tuple[tuple[int, int], ...]


class PeerTls:
    """The contexts of one entry's connections to and from other entries.

    New connections use the reloaded certificate; those that are open go on. A
    certificate authority added to the file is trusted at the next reload; one
    taken out is trusted until the entry is replaced.
    """

    def __init__(
        self, settings: TlsSettings, deployment: Deployment, events: EventLog
    ) -> None:
        self.settings = settings
        self.deployment = deployment
        self.events = events
        self.server = create_context(ssl.PROTOCOL_TLS_SERVER)
        self.client = create_context(ssl.PROTOCOL_TLS_CLIENT)
        self.stamp: Stamp = ()
        self.task: asyncio.Task[None] | None = None
        try:
            self.stamp = self.read_stamp()
            self.load()
        except (OSError, ssl.SSLError) as error:
            raise SettingsInvalid(f"peer_tls: {error}") from None

    async def start(self) -> None:
        """Begin to watch the files."""
        self.task = asyncio.create_task(self.watch(), name="peer keys")

    async def stop(self) -> None:
        """Stop watching the files."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])

    def read_stamp(self) -> Stamp:
        """Return times of change and sizes of the three files."""
        paths = (
            self.settings.authority,
            self.settings.certificate,
            self.settings.key,
        )
        stats = [os.stat(path) for path in paths]
        return tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)

    def load(self) -> None:
        """Load all files; raises before anything changed if they don't fit."""
        self.load_into(create_context(ssl.PROTOCOL_TLS_SERVER))
        self.load_into(self.server)
        self.load_into(self.client)

    def load_into(self, context: ssl.SSLContext) -> None:
        """Load the files into one context."""
        context.load_cert_chain(self.settings.certificate, self.settings.key)
        context.load_verify_locations(self.settings.authority)

    async def watch(self) -> None:
        """Reload after each change of the files, for ever."""
        while True:
            await asyncio.sleep(POLL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reload when a file changed; keep the old keys while they don't fit."""
        try:
            stamp = self.read_stamp()
            if stamp == self.stamp:
                return
            self.stamp = stamp
            self.load()
        except (OSError, ssl.SSLError) as error:
            self.events.emit(Code.KEYS_INVALID, level=logging.ERROR, error=error)
            return
        self.events.emit(Code.KEYS_RELOADED, certificate=self.settings.certificate)

    def configuration(self, entry: EntryId) -> Configuration:
        """Return a channel's configuration, which checks the server's name."""
        return Configuration(ssl_target_name_override=entry)

    def watch_server(self, server: Server) -> None:
        """Check the caller's name at each request of a server."""
        listen(server, RecvRequest, self.check_caller)

    async def check_caller(self, event: RecvRequest) -> None:
        """Refuse callers whose certificate names no entry of the deployment."""
        names = certificate_names(event.peer.cert())
        if not names & self.deployment.entry_by_id.keys():
            raise GRPCError(
                Status.UNAUTHENTICATED, f"{sorted(names)} is no entry's certificate"
            )


def create_context(protocol: int) -> ssl.SSLContext:
    """Return a context that requires a certificate of the other side."""
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols([PROTOCOL])
    return context


def certificate_names(certificate: object) -> set[str]:
    """Return the DNS names in a certificate as ``getpeercert`` tells them.

    >>> certificate_names({"subjectAltName": (("DNS", "entry-1"),)})
    {'entry-1'}
    """
    if not isinstance(certificate, dict):
        return set()
    names = certificate.get("subjectAltName", ())
    return {value for kind, value in names if kind == "DNS"}
