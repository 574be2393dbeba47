"""Stand-in for backend servers: many instances of one service in one process.

Each instance listens on a port of its own, has slots, takes ``service_ms`` a
request, sheds what comes over its slots, accepts deadlines and cancellation,
and keeps count of what ran. Faults are set per instance by ``POST /control``:

- ``service_ms``, ``cold_s`` (slower by ``cold_factor`` that long after it is set)
- ``draining`` (announced in answers and by ``/health``)
- ``lying_load`` (the load endpoint always says this number)
- ``lose_answers`` (run that many requests, then break the connection)
- ``unhealthy`` (``/health`` says 503)

An answer's body is its request's id, path and body digest, so that a caller
can tell whether it got the whole answer to its own request. ``GET
/bytes/N`` answers N bytes in pieces. ``GET /stats`` tells the largest number
in flight, the keys that ran twice, and what was shed; ``GET /runs`` tells the
number of runs of every key.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import os
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

PIECE_BYTES = 16_384
ANSWER_DIGEST = hashlib.sha256


@dataclass
class Instance:
    """State of one instance."""

    id: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    service_ms: float
    in_flight: int = 0
    most_in_flight: int = 0
    over_slots: int = 0
    arrived: int = 0
    over_region: int = 0
    open_connections: int = 0
    most_connections: int = 0
    ran: int = 0
    shed: int = 0
    cancelled: int = 0
    last_new_work: float = 0.0
    busy_s: float = 0.0
    runs_by_key: Counter[str] = field(default_factory=Counter)
    faults: dict[str, Any] = field(default_factory=dict)
    cold_until: float = 0.0
    zone: str = ""
    neighbours: list[Instance] = field(default_factory=list)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Dispatch one request."""
        if request.path == "/control":
            return await self.control(request)
        if request.path == "/stats":
            return web.json_response(self.stats())
        if request.path == "/runs":
            return web.json_response(self.runs_by_key)
        if request.path == "/health":
            return self.health()
        if request.path == "/load":
            load = self.faults.get("lying_load", self.in_flight / self.slots)
            return web.json_response({"load": load, "in_flight": self.in_flight})
        return await self.serve(request)

    @property
    def real_slots(self) -> int:
        """Return how many requests the instance bears, whatever it announces."""
        return self.slots + int(self.faults.get("extra_slots", 0))

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request in a slot, or shed it."""
        self.arrived += 1
        region_slots = sum(one.real_slots for one in self.neighbours)
        if sum(one.in_flight for one in self.neighbours) >= region_slots:
            self.over_region += 1
        if self.in_flight >= self.real_slots:
            self.shed += 1
            if self.faults.get("count_over", True):
                self.over_slots += 1
            return web.Response(
                status=503,
                headers={
                    **repeat_request_id(request),
                    "Masticdeck-Outcome": "not-run",
                    "Retry-After": "1",
                },
            )
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        self.last_new_work = time.time()
        began = time.monotonic()
        try:
            return await self.run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1
            self.busy_s += time.monotonic() - began

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Do the work of one request."""
        began = time.time()
        body = await request.read() if request.body_exists else b""
        key = request.headers.get("Idempotency-Key")
        if key is not None:
            self.runs_by_key[key] += 1
        factor = 1.0
        if time.monotonic() < self.cold_until:
            factor = self.faults.get("cold_factor", 4.0)
        service_s = self.faults.get("service_ms", self.service_ms) * factor / 1000
        remaining_ms = request.headers.get("Masticdeck-Timeout-Ms", "600000")
        async with asyncio.timeout(int(remaining_ms) / 1000):
            await asyncio.sleep(service_s)
        self.ran += 1
        if self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            if request.transport is not None:
                request.transport.abort()
        return await self.answer(request, body, began)

    async def answer(
        self, request: web.BaseRequest, body: bytes, began: float
    ) -> web.StreamResponse:
        """Return the answer to a request that ran."""
        fields = repeat_request_id(request)
        if self.faults.get("draining"):
            fields["Masticdeck-Draining"] = "1"
        if request.path.startswith("/bytes/"):
            return await self.stream(request, fields)
        document = {
            "path": request.raw_path,
            "nonce": request.headers.get("Nonce", ""),
            "digest": ANSWER_DIGEST(body).hexdigest(),
            "instance": self.id,
            # Of one width, so that like answers have like lengths.
            "began": f"{began:.6f}",
            "ended": f"{time.time():.6f}",
        }
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
            headers=fields,
        )

    async def stream(
        self, request: web.BaseRequest, fields: dict[str, str]
    ) -> web.StreamResponse:
        """Answer with as many bytes as the path says; honours a byte range."""
        size = int(request.path.rpartition("/")[2])
        start = 0
        wanted = request.headers.get("Range", "")
        if wanted.startswith("bytes="):
            start = int(wanted[6:].partition("-")[0])
            fields = {**fields, "Content-Range": f"bytes {start}-{size - 1}/{size}"}
        response = web.StreamResponse(status=206 if start else 200, headers=fields)
        response.headers["Accept-Ranges"] = "bytes"
        response.headers["ETag"] = f'"{size}"'
        response.content_length = size - start
        await response.prepare(request)
        sent = start
        while sent < size:
            piece = min(PIECE_BYTES, size - sent)
            await response.write(bytes(piece))
            sent += piece
            await asyncio.sleep(self.faults.get("piece_s", 0))
        await response.write_eof()
        return response

    def health(self) -> web.Response:
        """Answer the health endpoint."""
        if self.faults.get("unhealthy"):
            return web.Response(status=503, text="unhealthy")
        return web.json_response(
            {"state": "leaving" if self.faults.get("draining") else "serving"}
        )

    async def control(self, request: web.BaseRequest) -> web.Response:
        """Set faults."""
        body = await request.json()
        if "cold_s" in body:
            self.cold_until = time.monotonic() + body.pop("cold_s")
        self.faults.update(body)
        return web.json_response(self.faults)

    def stats(self) -> dict[str, Any]:
        """Return the counters."""
        names = (
            "id",
            "service",
            "slots",
            "in_flight",
            "most_in_flight",
            "over_slots",
            "arrived",
            "over_region",
            "most_connections",
            "ran",
            "shed",
            "cancelled",
            "last_new_work",
            "busy_s",
        )
        counts = {name: getattr(self, name) for name in names}
        twice = {key: n for key, n in self.runs_by_key.items() if n > 1}
        return {**counts, "keys": len(self.runs_by_key), "ran_twice": twice}


def repeat_request_id(request: web.BaseRequest) -> dict[str, str]:
    """Return the header by which an entry knows the answer to its request."""
    request_id = request.headers.get("Masticdeck-Request")
    return {} if request_id is None else {"Masticdeck-Request": request_id}


async def listen(instance: Instance) -> web.ServerRunner:
    """Serve one instance."""
    server = web.Server(instance.handle, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, instance.host, instance.port, backlog=1024).start()
    return runner


async def serve(deployment: dict[str, Any], service: str, region: str | None) -> None:
    """Serve every instance of a service, or only those of one region."""
    times = {one["id"]: one.get("service_ms", 20.0) for one in deployment["services"]}
    regions = {zone["id"]: zone["region"] for zone in deployment["zones"]}
    names = ("id", "service", "host", "port", "slots", "connections", "zone")
    instances = [
        Instance(**{name: line[name] for name in names}, service_ms=times[service])
        for line in deployment["instances"]
        if line["service"] == service and region in (None, regions[line["zone"]])
    ]
    for one in instances:
        one.neighbours = [
            other for other in instances if regions[other.zone] == regions[one.zone]
        ]
        await listen(one)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is told to stop."""
    os.environ["UV_USE_IO_URING"] = "0"
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", type=Path, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--region")
    arguments = parser.parse_args()
    import uvloop

    deployment = json.loads(arguments.deployment.read_text(encoding="utf-8"))
    uvloop.run(serve(deployment, arguments.service, arguments.region))


if __name__ == "__main__":
    main()
