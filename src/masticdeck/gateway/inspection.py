"""What an entry on a live fleet believes and why, for people and scrapers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from masticdeck.clock import boottime
from masticdeck.state.fleet import FleetInstance, InstanceState
from masticdeck.transport.http1_server import InboundRequest

if TYPE_CHECKING:
    from masticdeck.gateway.app import Gateway

FLEET_PATH = b"/fleet"
METRICS_HEADERS = [(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")]
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class Inspection:
    """Answers the metrics address: ``/fleet`` as JSON, all else as metrics."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    async def handle(self, request: InboundRequest) -> None:
        """Answer one request."""
        if request.target.partition(b"?")[0] == FLEET_PATH:
            body = json.dumps(self.describe_fleet()).encode()
            request.connection.send_whole(200, JSON_HEADERS, body)
            return
        self.set_gauges()
        body = self.gateway.metrics.render()
        request.connection.send_whole(200, METRICS_HEADERS, body)

    def set_gauges(self) -> None:
        """Take the figures that are read, not counted."""
        gateway = self.gateway
        metrics = gateway.metrics
        waiting = sum(len(queue) for queue in gateway.dispatcher.queues.values())
        metrics.gauge("view_age_seconds", gateway.replica.age_s(boottime()))
        metrics.gauge("instances", len(gateway.fleet.instances))
        metrics.gauge("entries", gateway.count_entries())
        metrics.gauge("requests_in_flight", gateway.caller_server.in_flight)
        metrics.gauge("requests_waiting", waiting)
        metrics.gauge("connections_opened", gateway.pool.opened)
        for service, saved in gateway.retry_budget.tokens.items():
            metrics.gauge(f"repeats_left_{metric_name(service)}", saved)

    def describe_fleet(self) -> dict[str, Any]:
        """Return the routes, instances and budgets as this entry sees them."""
        gateway = self.gateway
        now = boottime()
        routes = gateway.fleet.routes
        return {
            "entry": gateway.own_entry.id,
            "version": 0 if routes is None else routes.version,
            "revision": gateway.replica.revision,
            "age_s": round(min(gateway.replica.age_s(now), 1e6), 3),
            "routes": [] if routes is None else self.describe_routes(),
            "instances": [
                self.describe_instance(one, now)
                for one in gateway.fleet.instances.values()
            ],
            "evacuated": sorted(gateway.fleet.evacuated),
            "entries": sorted(gateway.directory.serving_entries()),
            "repeats_left": dict(gateway.retry_budget.tokens),
        }

    def describe_routes(self) -> list[dict[str, Any]]:
        """Return the routes in force."""
        routes = self.gateway.fleet.routes
        hosts = {} if routes is None else routes.hosts
        return [
            {
                "host": host,
                "prefix": route.prefix,
                "kind": route.kind.value,
                "priority": route.priority,
                "services": {part.service: part.weight for part in route.services},
            }
            for host, listed in hosts.items()
            for route in listed
        ]

    def describe_instance(self, instance: FleetInstance, now: float) -> dict[str, Any]:
        """Return what is known of an instance."""
        room = self.gateway.instance_loads.get(instance)
        return {
            "instance": instance.id,
            "service": instance.service,
            "zone": instance.zone,
            "slots": room.slots,
            "own": room.own_requests,
            "others": room.other_requests,
            "report_age_s": round(min(now - room.reported_at, 1e6), 3),
            "latency_ms": None
            if room.mean_latency_s is None
            else round(room.mean_latency_s * 1000),
            "excluded": self.exclusion_reason(instance, now),
        }

    def exclusion_reason(self, instance: FleetInstance, now: float) -> str | None:
        """Return why an instance gets no requests, None when it does."""
        fleet = self.gateway.fleet
        judged = self.gateway.health.by_instance.get(instance.id)
        if instance.state is InstanceState.DRAINING:
            return "draining"
        if instance.zone in fleet.evacuated:
            return "zone evacuated"
        if instance.zone not in fleet.region_of:
            return "zone unknown"
        if judged is not None and now < judged.ejected_until:
            return f"ejected for {judged.ejected_until - now:.1f} s"
        cold_s = fleet.cold_until(instance) - now
        return f"cold for {cold_s:.1f} s" if cold_s > 0 else None


def metric_name(text: str) -> str:
    """Return text with only the characters that a metric's name may have.

    >>> metric_name("order-intake")
    'order_intake'
    """
    return "".join(one if one.isalnum() else "_" for one in text)
