"""Look-up: which entry a caller should use."""

from __future__ import annotations

import json

from aiohttp import web

from masticdeck.entry.forward import error_response
from masticdeck.errors import ServiceUnknown
from masticdeck.ids import ServiceId
from masticdeck.node import Node


class Lookup:
    """Answers look-ups from prepared bytes."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.answers: dict[ServiceId, bytes] = {}

    def answer(self, service: ServiceId) -> bytes:
        """Return the answer for a service as JSON."""
        entries = sorted(
            self.node.deployment.entries,
            key=lambda entry: self.node.deployment.delay_ms(
                self.node.entry.zone, entry.zone
            ),
        )
        document = {
            "service": service,
            "ttl_s": self.node.config.lookup_ttl_s,
            "entries": [{"id": entry.id, "url": entry.url} for entry in entries],
        }
        return json.dumps(document).encode()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request for ``/lookup?service=S&client=IP``."""
        service = ServiceId(request.query.get("service", ""))
        if service not in self.node.deployment.service_by_id:
            return error_response(ServiceUnknown(repr(service[:64])))
        body = self.answers.get(service)
        if body is None:
            body = self.answers[service] = self.answer(service)
        return web.Response(body=body, content_type="application/json")
