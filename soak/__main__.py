"""Runs the soak: ``python -m soak --seeds 1-50 --seconds 12 --entries 3``.

The last line is one JSON object. A run that breaks a promise keeps its logs in
``out/soak/SEED`` and makes the exit status 1.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import uvloop

from soak.faults import (
    deliver_late_reports,
    faults,
    pause_past_revocation,
    planned_work,
    restore_past_revocation,
    restore_store,
)
from soak.slow_readers import SlowReader
from soak.world import ROOT, World, temporary_folder

CALLERS_PER_ENTRY = 4
SLOW_READERS = 3
RECOVERY_S = 5.0
LEAST_SERVED = 0.9


@cappa.command(name="soak", description="Soak real entries under random faults.")
@dataclass(frozen=True)
class Soak:
    """Command line of the soak."""

    seeds: Annotated[str, cappa.Arg(long=True, help="FIRST-LAST or one seed")] = "1-3"
    seconds: Annotated[float, cappa.Arg(long=True, help="length of the faults")] = 10.0
    entries: Annotated[int, cappa.Arg(long=True, help="entry processes")] = 3
    keys: Annotated[
        bool, cappa.Arg(long="--keys/--no-keys", help="workspaces and keys")
    ] = False
    restorations: Annotated[
        bool,
        cappa.Arg(
            long="--restorations/--no-restorations",
            help="the store comes back from older copies",
        ),
    ] = False


async def play(seed: int, folder: Path, command: Soak) -> dict[str, object]:
    """Play one seed; return what was seen."""
    world = World(seed, folder, entries=command.entries, has_keys=command.keys)
    running: list[asyncio.Task[None]] = []
    changes: list[asyncio.Task[None]] = []
    try:
        await world.start()
        world.load(CALLERS_PER_ENTRY * command.entries)
        world.callers += [
            asyncio.create_task(SlowReader(world, f"slow {seed} {number}").run())
            for number in range(SLOW_READERS)
        ]
        await planned_work(world)
        if command.restorations and world.keys is not None:
            await restore_past_revocation(world)
        changes.append(asyncio.create_task(deliver_late_reports(world)))
        if world.keys is not None:
            changing = asyncio.create_task(world.keys.keep_changing(world))
            changes.append(changing)
            running.append(asyncio.create_task(pause_past_revocation(world)))
        if command.restorations:
            restoring = asyncio.create_task(restore_store(world))
            changes.append(restoring)
        world.spoils_answers = True
        names = list(faults)
        until = time.monotonic() + command.seconds
        while time.monotonic() < until:
            fault = faults.get(world.random.choice(names))
            running.append(asyncio.create_task(fault(world)))
            await asyncio.sleep(world.random.uniform(0.1, 1.5))
        await asyncio.gather(*running)
        if command.restorations:
            changes.remove(restoring)
            restoring.cancel()
            world.store.refuse_with = None
        world.spoils_answers = False
        await asyncio.sleep(RECOVERY_S)
        calm_from = time.monotonic()
        await asyncio.sleep(2.0)
        served = share_served(world, calm_from)
    finally:
        for task in (*running, *changes):
            task.cancel()
        await world.find_leaks()
        await world.stop()
    for entry in world.entries:
        world.ledger.started |= entry.started_at
    breaches = world.ledger.breaches()
    if served < LEAST_SERVED:
        breaches.append(f"RECOVER {served:.2f} served after the faults")
    return {
        "seed": seed,
        "asked": len(world.ledger.asked),
        "ran": len(world.ledger.ran),
        "statuses": dict(sorted(Counter(status_names(world)).items())),
        "faults": len(running),
        "served_after": round(served, 3),
        "breaches": breaches,
    }


def share_served(world: World, since: float) -> float:
    """Return the part of the requests sent since a time that succeeded."""
    sent = [
        one
        for one in world.ledger.asked.values()
        if one.sent_at > since and one.ended_at and one.is_to_be_served
    ]
    return sum(one.status == 200 for one in sent) / max(1, len(sent))


def status_names(world: World) -> list[str]:
    """Return the status of each request of the callers as text."""
    return [str(one.status) for one in world.ledger.asked.values()]


def seed_range(text: str) -> range:
    """Return the seeds of FIRST-LAST.

    >>> list(seed_range("3-5"))
    [3, 4, 5]
    """
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Play every seed and print the result."""
    command = cappa.parse(Soak)
    results = []
    for seed in seed_range(command.seeds):
        with temporary_folder() as folder:
            result = uvloop.run(play(seed, Path(folder), command))
            if result["breaches"]:
                kept = ROOT / "out" / "soak" / str(seed)
                shutil.copytree(folder, kept, dirs_exist_ok=True)
        print(json.dumps(result), flush=True)
        results.append(result)
    broken = [one["seed"] for one in results if one["breaches"]]
    asked = sum(int(str(one["asked"])) for one in results)
    print(json.dumps({"seeds": len(results), "asked": asked, "broken": broken}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
