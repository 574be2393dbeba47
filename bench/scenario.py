"""What the policy experiments share: a fleet, a load, and figures of both.

A scenario runs against a fleet of its own, once with the policy under test and
once with ``baseline``. Load comes from ``masticdeck-load`` processes; the
stand-ins tell what really arrived and ran.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bench.fleet import Fleet
from masticdeck.load.records import Records, Result, ok_part, read_records

LOAD_PARTS = 3
START_DELAY_S = 1.5
POLL_S = 0.05
POLICY = "ranked"
WAITS_MS = {"urgent": 500.0, "middle": 2000.0, "low": 3000.0}


@dataclass(kw_only=True)
class Scenario:
    """One experiment before its processes exist.

    ``streams`` and ``faults`` are as in an experiment file; ``timed`` functions
    get the fleet at times in seconds, for what the load tool cannot reach.
    """

    name: str
    deployment: str
    duration_s: float
    streams: list[dict[str, Any]]
    faults: list[dict[str, Any]] = field(default_factory=list)
    service_ms: dict[str, float] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    split_backends: bool = False
    seed: int = 5
    fleet: Callable[..., Fleet] = Fleet
    timed: list[tuple[float, Callable[[Fleet], Awaitable[None]]]] = field(
        default_factory=list
    )


@dataclass(kw_only=True)
class Run:
    """What one run left behind."""

    scenario: Scenario
    records: Records
    stats: dict[str, dict[str, Any]]
    capacity: dict[str, float]

    def total(self, name: str) -> int:
        """Return the sum of a counter over all instances."""
        return sum(int(one[name]) for one in self.stats.values())

    def amplification(self) -> float:
        """Return requests that reached backend servers for each that should.

        A request that was refused as not run should not have reached any.
        """
        due = sum(one.result is not Result.REFUSED for one in self.records.requests)
        return self.total("arrived") / max(1, due)

    def ok(self, rank: str, **window: float) -> float:
        """Return the part of a rank's requests answered correctly in time."""
        chosen = [
            one for one in self.records.select(**window) if one.rank.value == rank
        ]
        return ok_part(chosen)

    def p99_ms(self, rank: str) -> float:
        """Return the 99th percentile of the rank's correct answers."""
        found = sorted(
            one.seconds
            for one in self.records.requests
            if one.rank.value == rank and one.result is Result.CORRECT
        )
        return round(1000 * found[int(0.99 * (len(found) - 1))], 1) if found else 0.0

    def broken_promises(self) -> int:
        """Return wrong answers, orders run twice and requests beyond slots."""
        wrong = sum(one.result is Result.WRONG for one in self.records.requests)
        twice = sum(len(one["ran_twice"]) for one in self.stats.values())
        return wrong + twice + self.total("over_slots")

    def common(self) -> dict[str, Any]:
        """Return the figures that every experiment reports."""
        return {
            "urgent_ok": round(self.ok("urgent"), 4),
            "middle_ok": round(self.ok("middle"), 4),
            "low_ok": round(self.ok("low"), 4),
            "urgent_p99_ms": self.p99_ms("urgent"),
            "region_over": self.total("over_region"),
            "over_slots": self.total("over_slots"),
            "amplification": round(self.amplification(), 4),
            "requests": len(self.records.requests),
        }


Figures = Callable[[Run], dict[str, Any]]


async def compare(scenario: Scenario, figures: Figures) -> dict[str, Any]:
    """Run the policy and the baseline in turn; return the figures of both."""
    measured = figures(await measure(scenario, POLICY))
    print(f"{POLICY}: {measured}", file=sys.stderr, flush=True)
    baseline = figures(await measure(scenario, "baseline"))
    print(f"baseline: {baseline}", file=sys.stderr, flush=True)
    return {
        "experiment": scenario.name,
        "deployment": scenario.deployment,
        **measured,
        "baseline": baseline,
    }


async def measure(scenario: Scenario, policy: str) -> Run:
    """Run a scenario with one policy."""
    fleet = scenario.fleet(
        scenario.deployment,
        service_ms=scenario.service_ms,
        settings={"policy": policy, "log_level": "error", **scenario.settings},
        split_backends=scenario.split_backends,
    )
    async with fleet:
        capacity = capacities(fleet.deployment)
        await send_load(fleet, scenario)
        stats = fleet.last_stats | await fleet.instance_stats()
        records = read_records(sorted(fleet.folder.glob("out/part-*.json")))
    return Run(scenario=scenario, records=records, stats=stats, capacity=capacity)


def capacities(deployment: dict[str, Any]) -> dict[str, float]:
    """Return the requests a second that each service's slots finish."""
    times = {one["id"]: one["service_ms"] / 1000 for one in deployment["services"]}
    found = dict.fromkeys(times, 0.0)
    for instance in deployment["instances"]:
        found[instance["service"]] += instance["slots"] / times[instance["service"]]
    return found


async def send_load(fleet: Fleet, scenario: Scenario) -> None:
    """Run the load processes to their end, and the faults that need a starter."""
    path = fleet.folder / "experiment.json"
    experiment = {
        "name": scenario.name,
        "seed": scenario.seed,
        "duration_s": scenario.duration_s,
        "deployment": str(fleet.deployment_path),
        "streams": scenario.streams,
        "faults": scenario.faults,
    }
    path.write_text(json.dumps(experiment), encoding="utf-8")
    control = fleet.folder / "control"
    control.touch()
    start_at = time.time() + START_DELAY_S
    for part in range(LOAD_PARTS):
        await fleet.spawn(
            f"load-{part}",
            "masticdeck.programs.load",
            "run",
            str(path),
            "--out",
            str(fleet.folder / "out"),
            "--part",
            f"{part}/{LOAD_PARTS}",
            "--start-at",
            str(start_at),
            "--control",
            str(control),
        )
    watcher = asyncio.create_task(follow_control(fleet, control))
    timed = [
        asyncio.create_task(at_time(start_at + at_s, function, fleet))
        for at_s, function in scenario.timed
    ]
    for part in range(LOAD_PARTS):
        status = await fleet.processes[f"load-{part}"].wait()
        if status:
            raise RuntimeError(
                f"load-{part} failed: {fleet.log(f'load-{part}')[-2000:]}"
            )
    await asyncio.gather(*timed)
    watcher.cancel()


async def at_time(
    at: float, function: Callable[[Fleet], Awaitable[None]], fleet: Fleet
) -> None:
    """Call a function with the fleet at a wall-clock time."""
    await asyncio.sleep(max(0.0, at - time.time()))
    await function(fleet)


async def follow_control(fleet: Fleet, control: Path) -> None:
    """Carry out the faults that the load tool writes to its control file."""
    done = 0
    while True:
        await asyncio.sleep(POLL_S)
        lines = read_lines(control)
        for line in lines[done:]:
            await carry_out(fleet, json.loads(line))
        done = len(lines)


def read_lines(path: Path) -> list[str]:
    """Return the lines of a file."""
    return path.read_text(encoding="utf-8").splitlines()


async def carry_out(fleet: Fleet, fault: dict[str, Any]) -> None:
    """Carry out one fault on the fleet's processes."""
    target = fault["target"]
    match fault["action"]:
        case "kill":
            if target.startswith("backend-") and not fleet.last_stats:
                fleet.last_stats = await fleet.instance_stats()
            fleet.processes[target].kill()
        case "pause":
            fleet.pause(target)
        case "resume":
            fleet.resume(target)
        case "start":
            await fleet.start_entry(target)


def services_of(deployment: str) -> list[str]:
    """Return the example's services, the urgent one first."""
    if deployment == "riga":
        return ["katalogs", "pasutijumi", "raksti", "krajums"]
    return ["tankboard", "consignor", "manualhouse", "certdesk"]


def stream(
    service: str, rank: str, rate: float, *, name: str = "", **more: Any
) -> dict[str, Any]:
    """Return one stream of an experiment, with the rank's agreed wait."""
    return {
        "name": name or f"{service}-{rank}",
        "service": service,
        "rank": rank,
        "rate": rate,
        "wait_ms": WAITS_MS[rank],
        **more,
    }


def background(deployment: str, rate: float) -> list[dict[str, Any]]:
    """Return light work on the services other than the first."""
    ranks = {"pasutijumi": "middle", "consignor": "middle", "certdesk": "middle"}
    return [
        stream(service, ranks.get(service, "low"), rate)
        for service in services_of(deployment)[1:]
    ]
