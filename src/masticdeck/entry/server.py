"""The HTTP server that callers talk to."""

from __future__ import annotations

import asyncio

from aiohttp import web

from masticdeck.coordination.drains import Drains
from masticdeck.entry.connections import CallerConnection, CallerServer
from masticdeck.entry.forward import SERVICE_PREFIX, Forwarder
from masticdeck.entry.inspection import Inspection
from masticdeck.entry.lookup import Lookup
from masticdeck.entry.operators import PREFIX, OperatorApi
from masticdeck.entry.problem import error_response
from masticdeck.errors import RequestInvalid
from masticdeck.node import Node
from masticdeck.transport.departures import DepartureWatch


class EntryServer:
    """Listens on the entry's address and dispatches by path."""

    def __init__(
        self,
        node: Node,
        lookup: Lookup,
        forwarder: Forwarder,
        inspection: Inspection,
        operators: OperatorApi,
        drains: Drains,
    ) -> None:
        self.node = node
        self.lookup = lookup
        self.forwarder = forwarder
        self.inspection = inspection
        self.operators = operators
        self.drains = drains
        self.leaving = False
        self.runner: web.ServerRunner | None = None
        self.sweeper: asyncio.Task[None] | None = None
        self.departures: DepartureWatch | None = None
        self.callers: CallerServer | None = None

    async def start(self) -> None:
        """Start to listen."""
        server = CallerServer(self.serve, self.node.config)
        self.departures = server.departures
        self.callers = server
        self.departures.start()
        self.runner = web.ServerRunner(server, shutdown_timeout=1.0)
        await self.runner.setup()
        entry = self.node.entry
        await web.TCPSite(self.runner, entry.host, entry.http_port).start()
        self.sweeper = asyncio.create_task(server.sweep())

    @property
    def undelivered(self) -> int:
        """Return the number of callers that lack a part of an answer."""
        return 0 if self.callers is None else self.callers.count_undelivered()

    async def stop_listening(self) -> None:
        """Accept no further connection; those that are open go on."""
        if self.runner is not None:
            for site in list(self.runner.sites):
                await site.stop()

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        if self.runner is not None:
            await self.runner.cleanup()
        if self.departures is not None:
            self.departures.stop()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and tell its connection of the beginning and end."""
        connection = request.protocol
        if not isinstance(connection, CallerConnection):
            return await self.handle(request)
        connection.begin(request.content)
        try:
            return await self.handle(request)
        finally:
            connection.end()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; a leaving entry closes the connection after it."""
        response = await self.dispatch(request)
        if self.leaving:
            response.force_close()
        return response

    async def dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request by its path."""
        path = request.raw_path
        if path.startswith(SERVICE_PREFIX):
            return await self.forwarder.handle(request)
        if path.startswith("/lookup") and path[7:8] in ("", "?"):
            return await self.lookup.handle(request)
        if path.startswith(PREFIX):
            return await self.operators.handle(request)
        if path == "/-/drain":
            return web.json_response(self.drains.describe())
        page = self.inspection.answer(request)
        if page is not None:
            return page
        return error_response(RequestInvalid(f"no such path {path[:64]!r}"))
