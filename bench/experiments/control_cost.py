"""What control costs a node, at several sizes, and worked out for 1,900 nodes.

Several fleets of real entries run side by side without callers: first quiet,
then with a change of the lists every two seconds. For each fleet the entries'
processor time, resident memory and bytes read and written are taken from the
kernel's counters, and the store's calls from the stand-in. The fits are least
squares over the fleets; the design point is 21 entries in each of 90 zones.

Bytes are those of the read and write calls on all sockets, plus 66 bytes of
frame, IP and TCP header for each call.
"""

from __future__ import annotations

import asyncio
import json
import sys
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, final

import numpy as np
import psutil
from aiohttp import ClientError, ClientSession

from bench.experiments import registry
from bench.fleet import Fleet, free_ports, loopback_address
from masticdeck.protocol.identity import hash_token

SHAPES = ((2, 3), (4, 3), (8, 3), (2, 6), (2, 12))
ZONES_PER_REGION = 3
SETTLE_S = 5.0
QUIET_S = 8.0
CHANGES = 4
CHANGE_PERIOD_S = 2.0
HEADER_BYTES = 66
TOKEN = "bench-operator"

PLANNED_NODES = 1_900
PLANNED_ZONES = 90
PLANNED_CHANGES_S = 5_400 / 86_400
TARGETS = {"core_part": 0.035, "memory_mb": 256.0, "bytes_s": 3_000.0}


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Counters of each entry of one fleet, and of its store."""

    cpu_s: tuple[float, ...]
    bytes: tuple[float, ...]
    memory_bytes: float
    writes: int
    reads: int
    watches: int


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """Figures of one fleet, each for the mean node, or the busiest one."""

    per_zone: int
    zones: int
    core_part: float
    busiest_core_part: float
    memory_mb: float
    bytes_s: float
    busiest_bytes_s: float
    change_bytes: float
    change_cpu_ms: float
    store_writes_s: float
    store_reads_s: float
    store_watches: float

    @property
    def nodes(self) -> int:
        """Return the number of entries."""
        return self.per_zone * self.zones


def make_deployment(per_zone: int, zones: int) -> dict[str, Any]:
    """Return a deployment with as many entries, and one instance in each zone."""
    host = loopback_address()
    ports = iter(free_ports(per_zone * zones * 2 + zones + 1, host))
    names = [f"r{one // ZONES_PER_REGION}-z{one}" for one in range(zones)]
    regions = list(dict.fromkeys(name.partition("-")[0] for name in names))
    waits = {"urgent": 500, "middle": 2000, "low": 10000}
    return {
        "name": f"{per_zone}x{zones}",
        "zones": [{"id": one, "region": one.partition("-")[0]} for one in names],
        "links": [
            {"regions": [first, second], "bytes_per_s": 100_000_000}
            for index, first in enumerate(regions)
            for second in regions[index + 1 :]
        ],
        "latency": {"zones_ms": 4, "regions_ms": 35, "clients_ms": 1},
        "services": [
            {"id": "web", "rank": "urgent", "service_ms": 5, "agreed_wait_ms": waits}
        ],
        "instances": [
            {
                "id": f"web-{index}",
                "service": "web",
                "zone": name,
                "host": host,
                "port": next(ports),
                "slots": 4,
                "connections": 1000,
            }
            for index, name in enumerate(names)
        ],
        "entries": [
            {
                "id": f"e{number}-{name}",
                "zone": name,
                "host": host,
                "http_port": next(ports),
                "peer_port": next(ports),
            }
            for name in names
            for number in range(per_zone)
        ],
        "platform": {"host": host, "port": next(ports)},
    }


def make_fleet(per_zone: int, zones: int) -> Fleet:
    """Return a fleet of a shape, not yet started."""
    fleet = Fleet("riga", entries=1)
    fleet.deployment = make_deployment(per_zone, zones)
    tokens = fleet.folder / "tokens.json"
    line = {"role": "operator", "name": "bench", "sha256": hash_token(TOKEN)}
    tokens.write_text(json.dumps({"tokens": [line]}), encoding="utf-8")
    fleet.settings = {"operator_tokens": str(tokens), "log_level": "error"}
    return fleet


async def read_usage(fleet: Fleet) -> Usage:
    """Return the counters of a running fleet."""
    cpu_s: list[float] = []
    moved: list[float] = []
    memory = 0.0
    for entry in fleet.entry_ids:
        pid = fleet.processes[entry].pid
        process = psutil.Process(pid)
        times = process.cpu_times()
        counters = process.io_counters()
        calls = counters.read_count + counters.write_count
        cpu_s.append(times.user + times.system)
        payload = counters.read_chars + counters.write_chars
        moved.append(payload + HEADER_BYTES * calls)
        memory += process.memory_info().rss
    stats = await fleet.platform_stats()
    counts = stats["calls"]
    writes = sum(counts.get(name, 0) for name in ("put", "delete"))
    writes += sum(number for name, number in counts.items() if "lease" in name)
    return Usage(
        cpu_s=tuple(cpu_s),
        bytes=tuple(moved),
        memory_bytes=memory,
        writes=writes,
        reads=sum(counts.get(name, 0) for name in ("get", "list", "watch")),
        watches=stats["waiting_watches"],
    )


async def change_lists(fleet: Fleet, session: ClientSession) -> None:
    """Have several changes of the lists accepted, one after another."""
    plan = {"id": "full", "regions": sorted(regions_of(fleet)), "top_rank": "urgent"}
    customer = {"id": "one", "plan": "full", "services": ["web"], "veto": False}
    for number in range(1, CHANGES + 1):
        plans = {"plans": [plan | {"capacity": 0.5 + number / 100}]}
        body = {
            "id": f"change-{number}",
            "base": number - 1,
            "customers": json.dumps({"customers": [customer]}),
            "plans": json.dumps(plans),
        }
        await post(fleet, session, "proposals", body)
        await post(fleet, session, f"proposals/change-{number}/accept", {})
        await asyncio.sleep(CHANGE_PERIOD_S)


def regions_of(fleet: Fleet) -> set[str]:
    """Return the regions of a fleet's deployment."""
    return {zone["region"] for zone in fleet.deployment["zones"]}


async def post(
    fleet: Fleet, session: ClientSession, path: str, body: dict[str, Any]
) -> None:
    """Send an operator's request to the first entry, again after a failure."""
    url = f"{fleet.entry_url(fleet.entry_ids[0])}/-/operators/{path}"
    for _ in range(20):
        try:
            async with session.post(url, json=body) as response:
                if response.status == 200:
                    return
                text = await response.text()
        except (ClientError, OSError, TimeoutError) as error:
            text = repr(error)
        await asyncio.sleep(0.1)
    raise RuntimeError(f"{path}: {text}")


async def measure(
    fleet: Fleet, session: ClientSession, shape: tuple[int, int]
) -> Point:
    """Measure a fleet quiet and then with changes."""
    nodes = shape[0] * shape[1]
    first = await read_usage(fleet)
    await asyncio.sleep(QUIET_S)
    quiet = await read_usage(fleet)
    loop = asyncio.get_running_loop()
    began = loop.time()
    await change_lists(fleet, session)
    took = loop.time() - began
    last = await read_usage(fleet)
    cpu_rates = differences(quiet.cpu_s, first.cpu_s, QUIET_S)
    byte_rates = differences(quiet.bytes, first.bytes, QUIET_S)
    change_bytes = sum(differences(last.bytes, quiet.bytes, 1.0))
    change_bytes -= sum(byte_rates) * took
    change_cpu = sum(differences(last.cpu_s, quiet.cpu_s, 1.0))
    change_cpu -= sum(cpu_rates) * took
    return Point(
        per_zone=shape[0],
        zones=shape[1],
        core_part=sum(cpu_rates) / nodes,
        busiest_core_part=max(cpu_rates),
        memory_mb=last.memory_bytes / nodes / 1e6,
        bytes_s=sum(byte_rates) / nodes,
        busiest_bytes_s=max(byte_rates),
        change_bytes=change_bytes / CHANGES / nodes,
        change_cpu_ms=1000 * change_cpu / CHANGES / nodes,
        store_writes_s=(quiet.writes - first.writes) / QUIET_S / nodes,
        store_reads_s=(quiet.reads - first.reads) / QUIET_S / nodes,
        store_watches=quiet.watches / nodes,
    )


def differences(
    later: tuple[float, ...], earlier: tuple[float, ...], seconds: float
) -> list[float]:
    """Return the growth a second of each entry's counter."""
    pairs = zip(later, earlier, strict=True)
    return [(after - before) / seconds for after, before in pairs]


def fit(points: list[Point], name: str) -> list[float]:
    """Return constant, slope per zone over nodes, and slope per zone.

    What a zone or region does once costs a node the less, the more nodes the
    zone has; what a node does for each zone of the fleet grows with the zones.
    """
    rows = np.array([[1.0, 1 / point.per_zone, point.zones] for point in points])
    values = np.array([getattr(point, name) for point in points])
    solution = np.linalg.lstsq(rows, values, rcond=None)[0]
    return [float(one) for one in solution]


def extrapolate(slopes: list[float]) -> float:
    """Return a fitted figure at the planned size."""
    per_zone = PLANNED_NODES / PLANNED_ZONES
    return slopes[0] + slopes[1] / per_zone + slopes[2] * PLANNED_ZONES


def summarise(points: list[Point]) -> dict[str, Any]:
    """Return raw points, slopes and worked-out figures."""
    names = [
        "core_part",
        "busiest_core_part",
        "memory_mb",
        "bytes_s",
        "busiest_bytes_s",
        "change_bytes",
        "change_cpu_ms",
        "store_writes_s",
        "store_reads_s",
        "store_watches",
    ]
    slopes = {name: fit(points, name) for name in names}
    planned = {name: extrapolate(slopes[name]) for name in names}
    planned["bytes_s"] += max(0.0, planned["change_bytes"]) * PLANNED_CHANGES_S
    change_core = max(0.0, planned["change_cpu_ms"]) / 1000 * PLANNED_CHANGES_S
    planned["core_part"] += change_core
    for name in ("store_writes_s", "store_reads_s", "store_watches"):
        planned[f"{name}_fleet"] = max(0.0, planned[name]) * PLANNED_NODES
    rows = [
        {"nodes": point.nodes, "per_zone": point.per_zone, "zones": point.zones}
        | {name: round(getattr(point, name), 5) for name in names}
        for point in points
    ]
    return {
        "points": rows,
        "slopes": {
            name: [round(one, 6) for one in values] for name, values in slopes.items()
        },
        "planned": {name: round(value, 4) for name, value in planned.items()},
        "targets": TARGETS,
        "met": {name: planned[name] <= target for name, target in TARGETS.items()},
    }


@registry.register("control-cost")
async def run(deployment: str) -> dict[str, Any]:
    """Measure control at several sizes; ``deployment`` makes no difference."""
    fields = {"Authorization": f"Bearer {TOKEN}"}
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession(headers=fields))
        fleets = [make_fleet(*shape) for shape in SHAPES]
        started = [await stack.enter_async_context(fleet) for fleet in fleets]
        print("all fleets serve", file=sys.stderr, flush=True)
        await asyncio.sleep(SETTLE_S)
        points = await asyncio.gather(
            *(
                measure(fleet, session, shape)
                for fleet, shape in zip(started, SHAPES, strict=True)
            )
        )
    return summarise(list(points))
