"""A gateway entry with stand-ins of the store and the instances."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import socket
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

from masticdeck.application import Application
from masticdeck.clock import HybridClock
from masticdeck.events import Code, EventLog
from masticdeck.gateway.app import Endpoints, Gateway, Platform
from masticdeck.gateway.settings import GatewaySettings
from masticdeck.ids import Era
from masticdeck.metrics import Metrics
from masticdeck.platform.endpoints import PlatformEndpoints
from masticdeck.platform.headers import PlatformDialect
from masticdeck.platform.records import PlatformRecords
from masticdeck.platform.settings import translate
from masticdeck.platform.store import PlatformStore
from masticdeck.protocol.positions import pack_position
from testing.platform.standin_instance import StandinInstance
from testing.platform.standin_store import StandinStore
from testing.platform.workspaces import with_workspaces

ZONES = {
    "cesis-a": "vidzeme",
    "valmiera-b": "vidzeme",
    "kuldiga-a": "kurzeme",
    "talsi-b": "kurzeme",
}
HOST = "a.example"
COLD_REQUESTS_PER_S = 4.3
"""What a cold instance of every service bears, by the configuration."""

COLD_LOAD_FACTOR = 1.5
COLD_SLACK = 5
"""A cold instance bears its rate times the factor, plus the slack, in a second."""

TIMEOUT_S = 5.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
PROCESS_FIRST_PORT = FIRST_PORT + os.getpid() * 40 % 18_000
"""First port of this process, so that concurrent test runs use different ones."""

PORTS = itertools.cycle(
    [*range(PROCESS_FIRST_PORT, LAST_PORT), *range(FIRST_PORT, PROCESS_FIRST_PORT)]
)


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address.

    They lie below the kernel's range for outgoing connections, and a port is
    returned once per process until all have been used.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(PORTS)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports


def settings_fields(
    store: str, *, name: str = "entry-1", bounds: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return the fields of a settings file of the platform.

    ``bounds`` are added to those that every entry has.
    """
    callers, ready, directory, peers, metrics = free_ports(5)
    return {
        "node_name": name,
        "zone": "cesis-a",
        "zones": ZONES,
        "ip_address": "127.0.0.1",
        "listen_addresses": {
            "frontend": f"127.0.0.1:{callers}",
            "ready": f"127.0.0.1:{ready}",
            "directory": f"127.0.0.1:{directory}",
        },
        "internal_ports": [peers, metrics],
        "platform": {"address": store},
        "bounds": {
            "grace_period": "6s",
            "retry_budget_ratio": 0.2,
            "budget_slack": 58,
            "budget_window": "10s",
            "cold_load_factor": COLD_LOAD_FACTOR,
            "cold_slack": COLD_SLACK,
            **(bounds or {}),
        },
    }


def route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the platform's configuration; ``fields`` override defaults."""
    return {
        "name": f"r{prefix}",
        "prefix": prefix,
        "kind": kind,
        "timeout": "2s",
        "target_latency": "1s",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "sticky_sessions": False,
        "home_regions": [],
        **fields,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    workspaces: list[dict[str, Any]] | None = None,
) -> bytes:
    """Return the operator's configuration with one host.

    Without ``workspaces`` requests need no keys.
    """
    names = {item["service"] for item in routes if "service" in item}
    services = [
        {
            "name": name,
            "health_path": "/health",
            "connection_limit": 330,
            "cold_start": "3s",
            "cold_per_s": COLD_REQUESTS_PER_S,
        }
        for name in sorted(names)
    ]
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 10_000,
        "header_timeout": "1s",
        "idle_timeout": "15s",
    }
    hosts = [{"hostname": HOST, "paths": routes}]
    fields = {"services": services, "limits": limits, "hosts": hosts}
    if workspaces is not None:
        fields.update(with_workspaces(workspaces))
    return json.dumps({"version": version, **fields}).encode()


@dataclass
class CallerResponse:
    """A response as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class World:
    """A gateway entry under test, its store, its instances and its events."""

    stack: AsyncExitStack
    store: StandinStore = field(default_factory=StandinStore)
    instances: dict[str, StandinInstance] = field(default_factory=dict)
    version: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    ids: itertools.count[int] = field(default_factory=itertools.count)
    gateway: Gateway | None = None
    application: Application | None = None
    events: EventLog = field(default_factory=lambda: EventLog("entry-1", HybridClock()))
    bounds: dict[str, Any] = field(default_factory=dict)
    entry_name: str = "entry-1"

    async def start_entry(self) -> Gateway:
        """Start the entry."""
        fields = settings_fields(
            self.store.address, name=self.entry_name, bounds=self.bounds
        )
        settings = GatewaySettings.model_validate(translate(fields))
        metrics = Metrics(zone=settings.zone)
        store = PlatformStore(settings.store, events=self.events, metrics=metrics)
        platform = Platform(
            store=store, decoder=PlatformRecords(), dialect=PlatformDialect()
        )
        gateway = Gateway(settings, platform, self.events, metrics)
        platform_endpoints = PlatformEndpoints(
            gateway.directory, ttl_s=settings.lookup_ttl_s
        )
        endpoints = Endpoints(
            readiness=platform_endpoints.answer_readiness,
            lookup=platform_endpoints.answer_lookup,
        )
        self.application = gateway.build(store, endpoints, [])
        await self.application.start()
        self.stack.push_async_callback(self.application.stop)
        self.gateway = gateway
        return gateway

    async def add_instance(
        self, name: str, service: str, **fields: Any
    ) -> StandinInstance:
        """Start an instance and register it."""
        instance = StandinInstance(name, service, **fields)
        await instance.start()
        self.stack.push_async_callback(instance.stop)
        self.instances[name] = instance
        self.store.write(f"servers/{name}", instance.record())
        return instance

    def configure(
        self,
        *routes: dict[str, Any],
        workspaces: list[dict[str, Any]] | None = None,
    ) -> int:
        """Write the operator's configuration to the store and return its version."""
        version = next(self.version)
        value = configuration(version, list(routes), workspaces)
        self.store.write("op/config", value)
        return version

    async def settle(self) -> None:
        """Wait until the entry has received the store's latest revision."""
        assert self.gateway is not None
        async with asyncio.timeout(TIMEOUT_S):
            while self.gateway.replica.revision < pack_position(
                Era(self.store.era), self.store.revision
            ):
                await asyncio.sleep(0.01)

    async def wait_for(self, code: Code) -> None:
        """Wait until the entry has emitted an event."""
        async with asyncio.timeout(TIMEOUT_S):
            while not any(event.code is code for event in self.events.ring):
                await asyncio.sleep(0.01)

    def request_bytes(
        self,
        target: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        key: str | None = None,
        remaining_ms: int = 4000,
        extra: str = "",
        request_id: str | None = None,
    ) -> bytes:
        """Return a caller's request as bytes."""
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {request_id or f'id-{next(self.ids)}'}",
            f"Deadline-Remaining-Ms: {remaining_ms}",
        ]
        if key is not None:
            lines.append(f"Affinity-Key: {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if extra:
            lines.append(extra)
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection to the entry."""
        assert self.gateway is not None
        address = self.gateway.settings.callers
        return await asyncio.open_connection(address.host, address.port)

    async def send(self, target: str, **fields: Any) -> CallerResponse:
        """Send one request on a new connection and return the response."""
        reader, writer = await self.connect()
        try:
            writer.write(self.request_bytes(target, **fields))
            async with asyncio.timeout(TIMEOUT_S):
                return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one response; raises IncompleteReadError when it is incomplete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return CallerResponse(int(status_line.split(" ")[1]), headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body
