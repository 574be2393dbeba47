"""The calls that the platform and its clients make to an entry."""

from __future__ import annotations

import json
from urllib.parse import parse_qs

from masticdeck.gateway.directory import Directory
from masticdeck.ids import RegionId, ZoneId
from masticdeck.platform.units import format_duration
from masticdeck.transport.http1_server import InboundRequest

READINESS_PATH = b"/-/readiness"
RESOLVE_PATH = b"/-/resolve"
JSON = [(b"Content-Type", b"application/json")]


class PlatformEndpoints:
    """Answers readiness checks and callers' look-ups."""

    def __init__(self, directory: Directory, *, ttl_s: float) -> None:
        self.directory = directory
        self.ttl_s = ttl_s

    async def answer_readiness(self, request: InboundRequest) -> None:
        """Tell whether this entry wants requests."""
        if request.target.partition(b"?")[0] != READINESS_PATH:
            request.connection.send_whole(404, [], b"")
            return
        status = 200 if self.directory.is_ready() else 503
        request.connection.send_whole(status, [], b"")

    async def answer_lookup(self, request: InboundRequest) -> None:
        """Name the entries for a caller."""
        path, _, query = request.target.partition(b"?")
        if path != RESOLVE_PATH:
            request.connection.send_whole(404, [], b"")
            return
        fields = parse_qs(query.decode("latin-1"))
        zone = ZoneId(fields.get("zone", [""])[0])
        region = RegionId(fields.get("region", [""])[0])
        addresses = self.directory.resolve(zone, region)
        if not addresses:
            request.connection.send_whole(503, [(b"Retry-After", b"1")], b"")
            return
        body = {"addresses": addresses, "ttl": format_duration(self.ttl_s)}
        request.connection.send_whole(200, JSON, json.dumps(body).encode())
