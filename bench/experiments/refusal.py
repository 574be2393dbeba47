"""Processor time of a refusal against that of a forwarded request."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import psutil

from bench.experiments import registry
from bench.fleet import Fleet
from bench.scenario import services_of

FORWARDS = 4000
REFUSALS = 1200
CALLERS = 8
HOLDERS = 60
HOLD_MS = 25_000.0
SETTLE_S = 1.0


async def send(
    fleet: Fleet, url: str, fields: dict[str, str], count: int
) -> Counter[int]:
    """Send requests one after another and count the statuses."""
    statuses: Counter[int] = Counter()
    for _ in range(count):
        async with fleet.session.get(url, headers=fields) as response:
            await response.read()
            statuses[response.status] += 1
    return statuses


async def cost_us(
    fleet: Fleet, url: str, fields: dict[str, str], count: int
) -> tuple[float, Any]:
    """Return the entry's processor microseconds a request, and the statuses."""
    process = psutil.Process(fleet.processes["entry-1"].pid)
    before = sum(process.cpu_times()[:2])
    part = count // CALLERS
    found = await asyncio.gather(
        *(send(fleet, url, fields, part) for _ in range(CALLERS))
    )
    used = sum(process.cpu_times()[:2]) - before
    return 1e6 * used / count, sum(found, Counter())


@registry.register("refusal")
async def refusal(deployment: str) -> dict[str, Any]:
    """Measure forwards, then refusals while every slot of a service is held."""
    names = services_of(deployment)
    figures: dict[str, Any] = {"experiment": "refusal", "deployment": deployment}
    for policy in ("ranked", "baseline"):
        async with Fleet(
            deployment,
            entries=1,
            service_ms={names[0]: 1.0, names[2]: HOLD_MS},
            settings={"policy": policy, "log_level": "error"},
        ) as fleet:
            figures |= {policy: await measure(fleet, names)}
    return {**figures, **figures.pop("ranked")}


async def measure(fleet: Fleet, names: list[str]) -> dict[str, Any]:
    """Return the costs of one policy."""
    await asyncio.sleep(SETTLE_S)
    base = f"{fleet.entry_url('entry-1')}/service"
    forward_us, forwarded = await cost_us(fleet, f"{base}/{names[0]}/x", {}, FORWARDS)
    long = {"Masticdeck-Timeout-Ms": "20000"}
    holders = [
        asyncio.create_task(send(fleet, f"{base}/{names[2]}/x", long, 1))
        for _ in range(HOLDERS)
    ]
    await asyncio.sleep(SETTLE_S)
    short = {"Masticdeck-Timeout-Ms": "100"}
    refuse_us, refused = await cost_us(fleet, f"{base}/{names[2]}/x", short, REFUSALS)
    for task in holders:
        task.cancel()
    await asyncio.gather(*holders, return_exceptions=True)
    return {
        "forward_us": round(forward_us, 1),
        "refuse_us": round(refuse_us, 1),
        "cheaper": round(forward_us / max(refuse_us, 1e-9), 2),
        "forwarded": forwarded[200],
        "refused": refused[503],
    }
