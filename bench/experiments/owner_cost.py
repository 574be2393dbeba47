"""What owning a region costs an entry, by the number of its holders.

Entries run without load and without backend servers. Bytes are counted by the
kernel for each process's sockets; the others are read from /proc and from the
platform. Slopes are least squares over the sizes, and the figures at the
planned size follow from how each part grows.
"""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

import psutil

from bench.experiments import registry
from bench.fleet import Fleet, free_ports, place
from masticdeck.coordination.share_session import report_interval_s
from masticdeck.protocol.store import HttpStore

SIZES = (6, 12, 24)
SETTLE_S = 3.5
WINDOW_S = 4.0
PLANNED_NODES = 1900
PLANNED_REGIONS = 28
BYTES_LIMIT = 3000
CORE_LIMIT = 0.035
MEMORY_LIMIT_MB = 256
HEADER_BYTES = 52
WRITES = ("put", "delete", "lease/grant", "lease/renew", "lease/revoke")
COUNTERS = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


@dataclass(frozen=True, slots=True)
class Reading:
    """Counters of one process at one moment."""

    at: float
    bytes: int
    cpu_s: float
    memory_mb: float


def socket_bytes() -> dict[int, int]:
    """Return bytes on the wire by process id, TCP and IP headers included."""
    text = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    totals: dict[int, int] = {}
    for line in text.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner is None:
            continue
        counts = {name: int(value) for name, value in COUNTERS.findall(line)}
        payload = counts.get("bytes_sent", 0) + counts.get("bytes_received", 0)
        segments = counts.get("segs_out", 0) + counts.get("segs_in", 0)
        process = int(owner.group(1))
        totals[process] = totals.get(process, 0) + payload + HEADER_BYTES * segments
    return totals


def read_all(fleet: Fleet) -> dict[str, Reading]:
    """Return the counters of every entry."""
    wire = socket_bytes()
    readings = {}
    for entry in fleet.entry_ids:
        process = psutil.Process(fleet.processes[entry].pid)
        cpu = process.cpu_times()
        readings[entry] = Reading(
            time.monotonic(),
            wire.get(process.pid, 0),
            cpu.user + cpu.system,
            process.memory_info().rss / 1e6,
        )
    return readings


def grow(fleet: Fleet, entries: int) -> None:
    """Add entries to a placed deployment, zone by zone."""
    nodes = fleet.deployment["entries"]
    zones = [zone["id"] for zone in fleet.deployment["zones"]]
    ports = iter(free_ports(2 * max(0, entries - len(nodes))))
    while len(nodes) < entries:
        number = len(nodes) + 1
        nodes.append(
            {
                "id": f"entry-{number}",
                "zone": zones[(number - 1) % len(zones)],
                "host": "127.0.0.1",
                "http_port": next(ports),
                "peer_port": next(ports),
            }
        )


async def holders_owned(fleet: Fleet) -> dict[str, int]:
    """Return for each entry the number of holders in the regions it owns."""
    region_of = {zone["id"]: zone["region"] for zone in fleet.deployment["zones"]}
    sizes = Counter(region_of[one["zone"]] for one in fleet.deployment["entries"])
    owned = dict.fromkeys(fleet.entry_ids, 0)
    store = HttpStore(fleet.platform_url)
    await store.start()
    for region, size in sizes.items():
        item = await store.get(f"owner/region/{region}")
        if item is not None:
            owned[json.loads(item.value)["entry"]] += size
    await store.stop()
    return owned


async def measure(deployment: str, entries: int) -> dict[str, Any]:
    """Return the figures of one fleet at rest."""
    fleet = Fleet(deployment, entries=min(entries, 9), backends=False)
    grow(fleet, entries)
    async with fleet:
        await asyncio.sleep(SETTLE_S)
        calls = await fleet.platform_stats()
        first = read_all(fleet)
        await asyncio.sleep(WINDOW_S)
        last = read_all(fleet)
        later = await fleet.platform_stats()
        owned = await holders_owned(fleet)
    rates = [
        (last[one].bytes - first[one].bytes) / (last[one].at - first[one].at)
        for one in last
    ]
    cores = [
        (last[one].cpu_s - first[one].cpu_s) / (last[one].at - first[one].at)
        for one in last
    ]
    made = {
        name: (count - calls["calls"].get(name, 0)) / WINDOW_S
        for name, count in later["calls"].items()
    }
    writes = sum(rate for name, rate in made.items() if name in WRITES)
    return {
        "entries": entries,
        "bytes_s_mean": round(sum(rates) / entries, 1),
        "bytes_s_max": round(max(rates), 1),
        "core_mean": round(sum(cores) / entries, 4),
        "core_max": round(max(cores), 4),
        "memory_mb": round(max(one.memory_mb for one in last.values()), 1),
        "store_writes_s": round(writes, 2),
        "store_reads_s": round(sum(made.values()) - writes, 2),
        "waiting_watches": later["waiting_watches"],
        "calls_s": {name: round(rate, 2) for name, rate in sorted(made.items())},
        "by_entry": [
            {"holders": owned[one], "bytes_s": round(rate, 1), "core": round(core, 4)}
            for one, rate, core in zip(last, rates, cores, strict=True)
        ],
    }


def line(points: list[dict[str, Any]], over: str, name: str) -> tuple[float, float]:
    """Return slope and intercept of one figure over another, by least squares."""
    xs = [float(point[over]) for point in points]
    ys = [float(point[name]) for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope /= spread
    return slope, mean_y - slope * mean_x


def work_out(points: list[dict[str, Any]], regions: int) -> dict[str, Any]:
    """Return the figures at the planned size.

    An entry's streams are bounded but for those of the holders in regions that
    it owns, so bytes and core share are a line over the number of holders: a
    mean entry has one, the owner of a region all of its region's entries, at
    the longer interval between reports that regions of that size use. Store
    calls come from the owners of regions and grow with their number; memory and
    waiting watches are lines over the number of entries.
    """
    region = PLANNED_NODES / PLANNED_REGIONS
    report_s = report_interval_s(round(region), minimum_s=1.0, share_ttl_s=10.0)
    entries = [one for point in points for one in point["by_entry"]]
    figures: dict[str, Any] = {"region_entries": round(region), "report_s": report_s}
    for name in ("bytes_s", "core"):
        slope, start = line(entries, "holders", name)
        figures[f"{name}_per_holder"] = round(slope, 5)
        figures[f"{name}_base"] = round(start, 4)
        figures[f"{name}_mean"] = round(start + slope / report_s, 4)
        figures[f"{name}_owner"] = round(start + slope * region / report_s, 4)
    for name in ("memory_mb", "waiting_watches"):
        slope, start = line(points, "entries", name)
        figures[name] = round(start + slope * PLANNED_NODES, 1)
    for name in ("store_writes_s", "store_reads_s"):
        mean = sum(point[name] for point in points) / len(points)
        figures[name] = round(mean / regions * PLANNED_REGIONS, 1)
    return figures


@registry.register("owner-cost")
async def run(deployment: str) -> dict[str, Any]:
    """Measure fleets of several sizes and work out the planned one."""
    points = []
    for entries in SIZES:
        points.append(await measure(deployment, entries))
        print(f"{entries} entries measured", file=sys.stderr)
    placed = place(deployment)
    regions = len({zone["region"] for zone in placed["zones"]})
    names = [name for name, value in points[0].items() if isinstance(value, float)]
    slopes = {name: round(line(points, "entries", name)[0], 5) for name in names}
    return {
        "experiment": "owner-cost",
        "deployment": deployment,
        "points": points,
        "slopes_per_entry": slopes,
        "planned": work_out(points, regions),
        "limits": {
            "bytes_s": BYTES_LIMIT,
            "core": CORE_LIMIT,
            "memory_mb": MEMORY_LIMIT_MB,
        },
        "wire": "TCP without TLS, IP and TCP headers counted as 52 bytes a segment",
    }
