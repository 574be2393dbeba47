"""Serves an entry's view of the fleet as JSON, and its metrics."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from masticdeck.clock import boottime
from masticdeck.protocol.positions import counter_of
from masticdeck.state.fleet import FleetInstance, InstanceState
from masticdeck.transport.http1_server import InboundRequest

if TYPE_CHECKING:
    from masticdeck.gateway.app import Gateway

FLEET_PATH = b"/fleet"
METRICS_HEADERS = [(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")]
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class Inspection:
    """Serves the metrics address: ``/fleet`` as JSON, other paths as metrics."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    async def handle(self, request: InboundRequest) -> None:
        """Respond to one request."""
        if request.target.partition(b"?")[0] == FLEET_PATH:
            body = json.dumps(self.describe_fleet()).encode()
            request.connection.send_whole(200, JSON_HEADERS, body)
            return
        self.set_gauges()
        body = self.gateway.metrics.render()
        request.connection.send_whole(200, METRICS_HEADERS, body)

    def set_gauges(self) -> None:
        """Set the gauges from the current state of the gateway."""
        gateway = self.gateway
        metrics = gateway.metrics
        waiting_count = gateway.dispatcher.total_waiting_count()
        metrics.gauge("view_age_seconds", gateway.replica.age_s(boottime()))
        metrics.gauge("instances", len(gateway.fleet.instances))
        metrics.gauge("entries", gateway.count_entries())
        metrics.gauge("requests_in_flight", gateway.caller_server.in_flight)
        metrics.gauge("requests_waiting", waiting_count)
        metrics.gauge("caller_memory_bytes", gateway.caller_memory.held_bytes)
        metrics.gauge("connections_opened", gateway.pool.opened)
        for service, tokens in gateway.retry_budget.tokens.items():
            metrics.gauge(f"repeats_left_{metric_name(service)}", tokens)

    def describe_fleet(self) -> dict[str, Any]:
        """Return the routes, instances and budgets as this entry sees them."""
        gateway = self.gateway
        now = boottime()
        routes = gateway.fleet.routes
        return {
            "entry": gateway.own_entry.id,
            "version": 0 if routes is None else routes.version,
            "era": gateway.replica.era,
            "era_age_s": None
            if gateway.era_begun_at is None
            else round(now - gateway.era_begun_at, 3),
            "held_records": len(gateway.replica.order.held),
            "revision": counter_of(gateway.replica.revision),
            "age_s": round(min(gateway.replica.age_s(now), 1e6), 3),
            "routes": [] if routes is None else self.describe_routes(),
            "instances": [
                self.describe_instance(instance, now)
                for instance in gateway.fleet.instances.values()
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
                "services": {
                    weight.service: weight.weight for weight in route.services
                },
            }
            for host, host_routes in hosts.items()
            for route in host_routes
        ]

    def describe_instance(self, instance: FleetInstance, now: float) -> dict[str, Any]:
        """Return the load, latency and exclusion of an instance."""
        load = self.gateway.instance_loads.get(instance)
        return {
            "instance": instance.id,
            "service": instance.service,
            "zone": instance.zone,
            "slots": load.slots,
            "own": load.own_requests,
            "others": load.other_requests,
            "report_age_s": round(min(now - load.reported_at, 1e6), 3),
            "latency_ms": None
            if load.mean_latency_s is None
            else round(load.mean_latency_s * 1000),
            "excluded": self.exclusion_reason(instance, now),
        }

    def exclusion_reason(self, instance: FleetInstance, now: float) -> str | None:
        """Return why an instance gets no or few requests, None without a reason."""
        fleet = self.gateway.fleet
        health = self.gateway.health.by_instance.get(instance.id)
        if instance.state is InstanceState.DRAINING:
            return "draining"
        if instance.zone in fleet.evacuated:
            return "zone evacuated"
        if instance.zone not in fleet.region_of:
            return "zone unknown"
        if health is not None and now < health.ejected_until:
            return f"ejected for {health.ejected_until - now:.1f} s"
        cold_s = fleet.cold_until(instance) - now
        return f"cold for {cold_s:.1f} s" if cold_s > 0 else None


def metric_name(text: str) -> str:
    """Return ``text`` with ``_`` for characters not allowed in a metric name.

    >>> metric_name("order-intake")
    'order_intake'
    """
    return "".join(char if char.isalnum() else "_" for char in text)
