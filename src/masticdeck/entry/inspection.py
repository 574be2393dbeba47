"""Read-only pages of an entry: readiness, events and metrics."""

from __future__ import annotations

from aiohttp import web

from masticdeck.metrics import Metrics
from masticdeck.node import Node
from masticdeck.protocol.event_feed import encode_events, select_events


class Inspection:
    """Answers the paths under ``/-/`` that tell what the entry does."""

    def __init__(self, node: Node, metrics: Metrics) -> None:
        self.node = node
        self.metrics = metrics

    def answer(self, request: web.BaseRequest) -> web.Response | None:
        """Return the page for a path, or None when there is none."""
        match request.path:
            case "/-/ready":
                return web.Response(text="ready\n")
            case "/-/events":
                return self.events(request)
            case "/-/metrics":
                text = self.metrics.render()
                return web.Response(body=text, content_type="text/plain")
            case "/-/histograms":
                return web.json_response(self.metrics.encode_histograms())
            case _:
                return None

    def events(self, request: web.BaseRequest) -> web.Response:
        """Return the events past the stamp in the query."""
        text = request.query.get("after", "0")
        after = int(text) if text.isascii() and text.isdigit() else 0
        chosen = select_events(self.node.events.ring, after)
        return web.Response(
            body=encode_events(chosen), content_type="application/jsonl"
        )
