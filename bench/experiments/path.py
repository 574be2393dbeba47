"""Cost of the whole path against bare aiohttp, and of the growing block table.

``forward_ratio`` and ``lookup_ratio`` compare requests per second of CPU time
of the process under test; the load is a fixed number of requests over a fixed
number of connections, and the sides run at the same time. ``lookup_growth`` is the
CPU time of a look-up with 910,000 blocks over that with 1,000. ``added_ms_*``
is a quantile of the latency through an entry less that of the instance itself.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

from aiohttp import ClientSession, TCPConnector

from bench.experiments import registry
from bench.fleet import Fleet, free_ports
from masticdeck.clock import NANOSECONDS
from masticdeck.ids import SiteId
from masticdeck.state.block_pieces import write_pieces
from masticdeck.state.blocks import BlockTable, Row, table_of_rows

CONNECTIONS = 32
FORWARDS = 500
LOOKUPS = 600
ROUNDS = 10
LATENCY_CONNECTIONS = 4
LATENCY_REQUESTS = 1_000
SMALL_BLOCKS = 1_000
LARGE_BLOCKS = 910_000
SITES = 460
SEED = 11


@dataclass
class Side:
    """One process under test with its requests, and what it has used."""

    name: str
    pid: int
    urls: Iterator[str]
    costs_s: list[float] = field(default_factory=list)

    def cpu_s(self) -> float:
        """Return the CPU seconds that the process's threads have used."""
        threads = Path(f"/proc/{self.pid}/task").iterdir()
        stats = [(one / "schedstat").read_text(encoding="ascii") for one in threads]
        return sum(int(one.split()[0]) for one in stats) / NANOSECONDS

    @property
    def cost_s(self) -> float:
        """Return the median CPU time of a request in seconds."""
        return median(self.costs_s)

    def ratio(self, other: Side) -> float:
        """Return the median over the rounds of this side's cost over another's."""
        pairs = zip(self.costs_s, other.costs_s, strict=True)
        return round(median(one / two for one, two in pairs), 3)


def make_table(count: int) -> BlockTable:
    """Return a table of /24 and /48 blocks spread over the address space."""
    source = random.Random(SEED)
    v6 = count // 10
    v4_starts = source.sample(range(1 << 24), count - v6)
    v6_starts = source.sample(range(1 << 28), v6)
    rows = [Row(4, one << 8, 24, source.randrange(SITES)) for one in v4_starts]
    rows += [Row(6, one << 16, 48, source.randrange(SITES)) for one in v6_starts]
    return table_of_rows([SiteId(f"site-{one}") for one in range(SITES)], rows)


def write_table(table: BlockTable, folder: Path, zones: list[str]) -> Path:
    """Write a table as pieces with its file and return the file's path."""
    folder.mkdir()
    manifest = write_pieces(table, lambda name, raw: (folder / name).write_bytes(raw))
    sites = ", ".join(
        f'{{"id": "{site}", "zone": "{zone}"}}'
        for site, zone in zip(table.sites, itertools.cycle(zones), strict=False)
    )
    pieces = ", ".join(f'"{name}"' for name in manifest.names)
    path = folder / "blocks.jsonc"
    path.write_text(f'{{"sites": [{sites}], "pieces": [{pieces}]}}', encoding="utf-8")
    return path


def lookup_urls(base: str, service: str, table: BlockTable) -> Iterator[str]:
    """Yield look-ups for clients of random blocks of a table, for ever."""
    source = random.Random(SEED)
    starts = table.v4.starts
    while True:
        address = starts[source.randrange(len(starts))] + source.randrange(256)
        client = ".".join(str(byte) for byte in address.to_bytes(4))
        yield f"{base}/lookup?service={service}&client={client}"


async def drive(
    session: ClientSession, urls: Iterator[str], requests: int, connections: int
) -> list[float]:
    """Send requests over some connections and return their latencies in ms."""
    latencies: list[float] = []
    left = iter(range(requests))

    async def worker() -> None:
        for _ in left:
            began = time.perf_counter()
            async with session.get(next(urls)) as response:
                await response.read()
                if response.status != 200:
                    raise RuntimeError(f"status {response.status} of {response.url}")
            latencies.append((time.perf_counter() - began) * 1000)

    async with asyncio.TaskGroup() as group:
        for _ in range(connections):
            group.create_task(worker())
    return latencies


async def compare(session: ClientSession, sides: list[Side], requests: int) -> None:
    """Drive all sides at once, some rounds, after a warm-up round.

    What else runs on the machine then slows all of them alike.
    """
    part = CONNECTIONS // len(sides)
    for number in range(ROUNDS + 1):
        before = [side.cpu_s() for side in sides]
        await asyncio.gather(
            *(drive(session, side.urls, requests, part) for side in sides)
        )
        if number:
            for side, began in zip(sides, before, strict=True):
                side.costs_s.append((side.cpu_s() - began) / requests)
    report = ", ".join(f"{side.name} {side.cost_s * 1e6:.0f} us" for side in sides)
    print(f"CPU per request: {report}", file=sys.stderr)


async def added(session: ClientSession, direct: str, entry: str) -> tuple[float, float]:
    """Return the added latency in ms at p50 and p99."""
    quantiles = []
    for url in (direct, entry):
        urls = itertools.repeat(url)
        times = await drive(session, urls, LATENCY_REQUESTS, LATENCY_CONNECTIONS)
        times.sort()
        quantiles.append((times[len(times) // 2], times[len(times) * 99 // 100]))
    (direct_p50, direct_p99), (entry_p50, entry_p99) = quantiles
    return entry_p50 - direct_p50, entry_p99 - direct_p99


@dataclass
class Bench:
    """The fleet with its tables and the process of baselines."""

    fleet: Fleet
    bare: str
    service: str
    small: BlockTable
    large: BlockTable

    def side(self, name: str, process: str, urls: Iterator[str]) -> Side:
        """Return one side."""
        return Side(name, self.fleet.processes[process].pid, urls)

    async def forwards(self, session: ClientSession) -> dict[str, float]:
        """Measure forwarding."""
        entry = f"{self.fleet.entry_url('entry-1')}/service/{self.service}/spoons"
        instance = f"{self.fleet.instance_url(f'{self.service}-1')}/spoons"
        sides = [
            self.side("relay", "bare", itertools.repeat(f"{self.bare}/spoons")),
            self.side("entry", "entry-1", itertools.repeat(entry)),
        ]
        await compare(session, sides, FORWARDS)
        p50, p99 = await added(session, instance, entry)
        return {
            "forward_ratio": sides[0].ratio(sides[1]),
            "forwards_per_s": round(1 / sides[1].cost_s),
            "added_ms_p50": round(p50, 3),
            "added_ms_p99": round(p99, 3),
        }

    async def lookups(self, session: ClientSession) -> dict[str, float]:
        """Measure look-ups over both tables."""
        bases = [self.fleet.entry_url(name) for name in ("entry-1", "entry-2")]
        clients = [lookup_urls(one, self.service, self.large) for one in bases]
        bare = lookup_urls(self.bare, self.service, self.large)
        small = lookup_urls(bases[0], self.service, self.small)
        sides = [
            self.side("bare handler", "bare", bare),
            self.side("1,000 blocks", "entry-1", small),
            self.side("910,000 blocks", "entry-2", clients[1]),
        ]
        await compare(session, sides, LOOKUPS)
        return {
            "lookup_ratio": sides[0].ratio(sides[2]),
            "lookups_per_s": round(1 / sides[2].cost_s),
            "lookup_growth": sides[2].ratio(sides[1]),
            "table_bytes_per_block": round(self.large.size_bytes / len(self.large), 2),
        }


@registry.register("path")
async def run(deployment: str) -> dict[str, Any]:
    """Return the figures of the whole path."""
    small, large = make_table(SMALL_BLOCKS), make_table(LARGE_BLOCKS)
    with tempfile.TemporaryDirectory(prefix="masticdeck-blocks-") as name:
        fleet = Fleet(deployment, entries=2)
        zones = [zone["id"] for zone in fleet.deployment["zones"]]
        for entry, table in (("entry-1", small), ("entry-2", large)):
            path = write_table(table, Path(name) / entry, zones)
            fleet.entry_settings[entry] = {"blocks": str(path)}
        for service in fleet.deployment["services"]:
            service["service_ms"] = 0.0
        async with fleet:
            return await measure(fleet, small, large)


async def measure(fleet: Fleet, small: BlockTable, large: BlockTable) -> dict[str, Any]:
    """Start the baselines and measure both halves of the path."""
    service = fleet.deployment["services"][0]["id"]
    for instance in fleet.deployment["instances"]:
        if instance["service"] == service:
            await fleet.control_instance(instance["id"], extra_slots=CONNECTIONS)
    port = free_ports(1)[0]
    path = str(fleet.deployment_path)
    options = ("--deployment", path, "--service", service, "--port", str(port))
    await fleet.spawn("bare", "bench.standins.bare", *options)
    bare = f"http://127.0.0.1:{port}"
    await fleet.ready("bare", f"{bare}/lookup")
    bench = Bench(fleet, bare, service, small, large)
    figures: dict[str, Any] = {"experiment": "path", "blocks": len(large)}
    parts: list[Callable[[ClientSession], Awaitable[dict[str, float]]]]
    parts = [bench.forwards, bench.lookups]
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        for part in parts:
            figures |= await part(session)
    return figures
