"""Instances become cold while the store rejects all calls for some seconds."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_2 import BROKEN, HELD, TROUBLE, CouldNotRun, Entry, Lab, main, route

COLD_PER_S = 4.3
COLD_LOAD_FACTOR = 1.5
COLD_SLACK = 5
LIMIT = COLD_PER_S * COLD_LOAD_FACTOR + COLD_SLACK
COLD_S = 3.0
DOWN_S = 4.5
WORK_S = 0.1
SLOTS = 4
RATE_PER_S = 75.0

BOUNDS = {
    "grace_period": "6s",
    "stable_window": "4000ms",
    "retry_budget_ratio": 0.2,
    "budget_slack": 58,
    "budget_window": "10s",
    "cold_load_factor": COLD_LOAD_FACTOR,
    "cold_slack": COLD_SLACK,
}


async def press(lab: Lab, entries: list[Entry], sent: set[asyncio.Task]) -> None:
    """Send requests at a steady rate, whatever became of the earlier ones."""
    for entry in itertools.cycle(entries):
        task = asyncio.create_task(lab.ask(entry, "/view/1"))
        sent.add(task)
        task.add_done_callback(sent.discard)
        await asyncio.sleep(1 / RATE_PER_S)


async def case(lab: Lab) -> int:
    """Return whether a cold instance gets more requests in a second than it bears."""
    zones = ("zone-a", "zone-b", "zone-c")
    for number, zone in enumerate(zones):
        await lab.add_instance(
            f"i-{number}", "katalogs", zone=zone, slots=SLOTS, work_s=WORK_S
        )
    lab.configure(3, [route("/view/", "katalogs")])
    entries = [
        await lab.add_entry(f"entry-{number}", zone=zone, bounds=BOUNDS)
        for number, zone in enumerate(zones)
    ]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(6.0)
    sent: set[asyncio.Task] = set()
    load = asyncio.create_task(press(lab, entries, sent))
    await asyncio.sleep(3.0)
    chilled = lab.instances[0]
    usual = sum(run.at > lab.record.now() - 1.0 for run in chilled.runs)
    if usual <= LIMIT:
        raise CouldNotRun(f"only {usual} requests a second at {chilled.name}")
    if TROUBLE:
        lab.store.is_away = True
        lab.record.add("the store rejects all calls", show=True)
    await asyncio.sleep(0.5)
    chilled.chill(COLD_S)
    lab.record.add(f"{chilled.name} is cold for {COLD_S} s", show=True)
    cold_at = lab.record.now()
    await asyncio.sleep(DOWN_S - 0.5)
    lab.store.is_away = False
    lab.record.add("the store answers", show=True)
    await asyncio.sleep(2.0)
    load.cancel()
    await asyncio.gather(*sent)
    runs = [run for run in chilled.runs if cold_at <= run.at < cold_at + COLD_S]
    times = [run.at for run in runs]
    starts = [lab.sent_at[run.id] for run in runs]
    most = max(
        (
            sum(start <= lab.sent_at[run.id] and run.at < start + 1.0 for run in runs)
            for start in starts
            if start >= cold_at
        ),
        default=0,
    )
    late = [at for at in times if at > cold_at + 1.0]
    lab.record.add(
        f"requests sent and run in a second at {chilled.name}: {usual} before, at most {most} while"
        f" it is cold ({len(late)} after its first second); allowed: {LIMIT:.2f}",
        show=True,
    )
    return BROKEN if most > LIMIT else HELD


if __name__ == "__main__":
    sys.exit(main(case, __file__))
