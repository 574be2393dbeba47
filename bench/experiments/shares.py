"""Shares that follow a moving load, under owner kill, owner pause and outage.

The load stays near the capacity of one service, and most of it arrives at one
entry, another one every few seconds. Every answer tells when the backend
server began and ended, so that idle slots and waiting work are compared
afterwards slot by slot.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import random
import sys
import time
from bisect import bisect_left
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from bench.experiments import registry
from bench.fleet import Fleet
from masticdeck.protocol.store import HttpStore

ENTRIES = 9
SERVICES = {"riga": "katalogs", "texas": "tankboard"}
SERVICE_MS = 200.0
RUN_S = 24.0
LOAD = 1.0
HOT_PART = 0.6
HOT_S = 2.5
WAIT_MS = 10_000
TRANSIT_S = 0.02
KILL_AT_S = 5.0
RESTART_AT_S = 8.0
PAUSE_AT_S = 11.0
RESUME_AT_S = 16.0
DOWN_AT_S = 18.0
UP_AT_S = 22.0
WATCH_S = 0.5
SEED = 7


@dataclass(slots=True)
class Sent:
    """One request; times are seconds since the epoch, 0 when unknown."""

    at: float
    status: int = 0
    instance: str = ""
    began: float = 0.0
    ended: float = 0.0
    failed_at: float = 0.0


class Load:
    """Open-loop arrivals with a hot entry that moves."""

    def __init__(self, fleet: Fleet, service: str, rate: float) -> None:
        self.fleet = fleet
        self.service = service
        self.rate = rate
        self.random = random.Random(SEED)
        self.avoid: set[str] = set()
        self.sent: list[Sent] = []
        self.session: ClientSession

    async def run(self) -> None:
        """Send for RUN_S seconds and wait for every answer."""
        async with ClientSession(
            connector=TCPConnector(limit=0), timeout=ClientTimeout(total=15)
        ) as self.session:
            await self.send()

    async def send(self) -> None:
        """Send at the due times."""
        tasks: list[asyncio.Task[None]] = []
        start = time.time()
        due = start
        while due < start + RUN_S:
            await asyncio.sleep(max(0.0, due - time.time()))
            tasks.append(asyncio.create_task(self.ask(self.choose(due - start))))
            due += self.random.expovariate(self.rate)
        await asyncio.gather(*tasks)

    def choose(self, elapsed: float) -> str:
        """Return the hot entry or another one that serves."""
        entries = self.fleet.entry_ids
        hot = entries[(int(elapsed / HOT_S) * 4) % len(entries)]
        chosen = hot if self.random.random() < HOT_PART else self.random.choice(entries)
        if chosen in self.avoid:
            chosen = self.random.choice([e for e in entries if e not in self.avoid])
        return chosen

    async def ask(self, entry: str) -> None:
        """Send one request and keep what its answer tells."""
        url = f"{self.fleet.entry_url(entry)}/service/{self.service}/x"
        one = Sent(time.time())
        self.sent.append(one)
        fields = {"Masticdeck-Timeout-Ms": str(WAIT_MS)}
        try:
            async with self.session.get(url, headers=fields) as response:
                one.status = response.status
                body = json.loads(await response.read())
            if one.status == 200:
                one.instance = body["instance"]
                one.began, one.ended = float(body["began"]), float(body["ended"])
        except (ClientError, OSError, TimeoutError):
            one.status = 0
        one.failed_at = time.time()


async def watch_over(fleet: Fleet, instances: list[str]) -> None:
    """Print when instances first saw requests over their slots."""
    start = time.time()
    seen = 0
    while True:
        await asyncio.sleep(WATCH_S)
        stats = await fleet.instance_stats()
        over = {name: stats[name]["over_slots"] for name in instances}
        if sum(over.values()) > seen:
            seen = sum(over.values())
            found = {name: count for name, count in over.items() if count}
            print(f"over at {time.time() - start:.1f} s: {found}", file=sys.stderr)


async def owner_of(fleet: Fleet, region: str) -> str:
    """Return the entry that owns a region according to the store."""
    store = HttpStore(fleet.platform_url)
    await store.start()
    try:
        while (item := await store.get(f"owner/region/{region}")) is None:
            await asyncio.sleep(0.05)
        owner: str = json.loads(item.value)["entry"]
        return owner
    finally:
        await store.stop()


async def cause_faults(fleet: Fleet, load: Load, regions: list[str]) -> list[str]:
    """Kill one owner, pause another past its lease, and take the store away."""
    start = time.time()

    async def until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, start + at_s - time.time()))

    await until(KILL_AT_S)
    killed = await owner_of(fleet, regions[0])
    load.avoid.add(killed)
    await fleet.kill(killed)
    await until(RESTART_AT_S)
    await fleet.start_entry(killed)
    load.avoid.discard(killed)
    await until(PAUSE_AT_S)
    paused = await owner_of(fleet, regions[1])
    load.avoid.add(paused)
    fleet.pause(paused)
    await until(RESUME_AT_S)
    fleet.resume(paused)
    load.avoid.discard(paused)
    await until(DOWN_AT_S)
    await fleet.control_platform(down=True)
    await until(UP_AT_S)
    await fleet.control_platform(down=False)
    return [killed, paused]


def print_seconds(
    spans: list[tuple[float, float]], start: float, end: float, slots: int
) -> None:
    """Print the busy part of the slots in each second."""
    parts = []
    second = start
    while second + 1 <= end:
        parts.append(f"{busy_s(spans, second, second + 1) / slots:.2f}")
        second += 1
    print("busy part by second:", " ".join(parts), file=sys.stderr)


def central_queue(offered: list[Sent], slots: int) -> list[tuple[float, float]]:
    """Return begin and end of each request at one queue with all slots."""
    free = [0.0] * slots
    spans = []
    for one in sorted(offered, key=lambda sent: sent.at):
        began = max(one.at, heapq.heappop(free))
        ended = began + (one.ended - one.began or SERVICE_MS / 1000)
        heapq.heappush(free, ended)
        spans.append((began, ended))
    return spans


def busy_s(spans: list[tuple[float, float]], start: float, end: float) -> float:
    """Return the slot seconds of the spans within a window."""
    return sum(max(0.0, min(b, end) - max(a, start)) for a, b in spans)


def merge(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Return the union of spans as sorted spans that do not touch."""
    merged: list[tuple[float, float]] = []
    for start, end in sorted(spans):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        elif end > start:
            merged.append((start, end))
    return merged


def slot_gaps(
    done: list[Sent], slots: dict[str, int], start: float, end: float
) -> list[tuple[float, float]]:
    """Return the idle spans of every slot within a window.

    A request takes the slot of its instance that has been idle longest.
    """
    gaps: list[tuple[float, float]] = []
    by_instance: dict[str, list[Sent]] = {name: [] for name in slots}
    for one in done:
        by_instance[one.instance].append(one)
    for name, requests in by_instance.items():
        free = [start] * slots[name]
        for one in sorted(requests, key=lambda sent: sent.began):
            idle_from = heapq.heappop(free)
            if one.began > idle_from:
                gaps.append((idle_from, min(one.began, end)))
            heapq.heappush(free, max(one.ended, start))
        gaps += [(idle_from, end) for idle_from in free if idle_from < end]
    return gaps


def overlaps(
    gaps: list[tuple[float, float]], waits: list[tuple[float, float]]
) -> list[float]:
    """Return the lengths of the pieces of gaps during which work waited."""
    ends = [end for _, end in waits]
    pieces = []
    for start, end in gaps:
        index = bisect_left(ends, start)
        while index < len(waits) and waits[index][0] < end:
            piece = min(end, waits[index][1]) - max(start, waits[index][0])
            if piece > 0:
                pieces.append(piece)
            index += 1
    return pieces


def percentile(values: list[float], part: float) -> float:
    """Return the value below which a part of the values lies."""
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def evaluate(load: Load, slots: dict[str, int]) -> dict[str, Any]:
    """Return the figures of a finished run."""
    done = [one for one in load.sent if one.status == 200]
    start = min(one.at for one in load.sent) + 1.0
    end = max(one.at for one in load.sent)
    real = [(one.began, one.ended) for one in done]
    offered = [one for one in load.sent if one.status]
    central = central_queue(offered, sum(slots.values()))
    print_seconds(real, start, end, sum(slots.values()))
    waits = merge([(one.at + TRANSIT_S, one.began) for one in done])
    pieces = overlaps(slot_gaps(done, slots, start, end), waits)
    spare = busy_s(real, start, end) / (sum(slots.values()) * (end - start))
    return {
        "requests": len(load.sent),
        "answered": len(done),
        "refused": sum(1 for one in load.sent if one.status == 503),
        "broken": sum(1 for one in load.sent if one.status not in (200, 503)),
        "busy_part": round(spare, 3),
        "utilisation": round(busy_s(real, start, end) / busy_s(central, start, end), 3),
        "idle_share_s_p99": round(percentile(pieces, 0.99), 3),
        "idle_share_s_max": round(max(pieces, default=0.0), 3),
        "idle_while_waiting_slot_s": round(sum(pieces), 1),
        "wait_ms_p50": round(percentile([d.began - d.at for d in done], 0.5) * 1000),
        "wait_ms_p99": round(percentile([d.began - d.at for d in done], 0.99) * 1000),
    }


@registry.register("shares")
async def run(deployment: str) -> dict[str, Any]:
    """Run the moving load and the faults."""
    service = SERVICES[deployment]
    async with Fleet(
        deployment,
        entries=ENTRIES,
        service_ms={service: SERVICE_MS},
    ) as fleet:
        slots = {
            one["id"]: one["slots"]
            for one in fleet.deployment["instances"]
            if one["service"] == service
        }
        regions = list(dict.fromkeys(z["region"] for z in fleet.deployment["zones"]))
        rate = LOAD * sum(slots.values()) / (SERVICE_MS / 1000)
        load = Load(fleet, service, rate)
        faults = asyncio.create_task(cause_faults(fleet, load, regions))
        watching = asyncio.create_task(watch_over(fleet, list(slots)))
        await load.run()
        watching.cancel()
        killed, paused = await faults
        stats = await fleet.instance_stats()
        print(f"killed {killed}, paused {paused}", file=sys.stderr)
        return {
            "experiment": "shares",
            "deployment": deployment,
            "over_capacity": sum(one["over_slots"] for one in stats.values()),
            **evaluate(load, slots),
        }
