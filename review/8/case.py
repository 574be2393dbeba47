"""All processes are killed twice within a quota window."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_2 import BROKEN, HELD, TROUBLE, CouldNotRun, Entry, Lab, main, route

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
RATE_PER_S = 40
BURST = 0
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
KILLS = 2
RESTART_DELAY_S = 0.2
LOAD_FACTOR = 7
KEY = "key-1"

BOUNDS = {
    "grace_period": "6s",
    "config_propagation": "3000ms",
    "stable_window": "4000ms",
    "strict_revocation": True,
    "revoke": "5000ms",
    "retry_budget_ratio": 0.2,
    "budget_slack": 172,
    "budget_window": "10s",
    "quota_window": "5s",
    "quota_overage": OVERAGE,
    "quota_slack": SLACK,
}


async def press(lab: Lab, entries: list[Entry], sent: set[asyncio.Task]) -> None:
    """Send the requests of the tenant, whatever became of the earlier ones."""
    for entry in itertools.cycle(entries):
        task = asyncio.create_task(
            lab.ask(entry, "/book/1", method="POST", body=b"x", key=KEY)
        )
        sent.add(task)
        task.add_done_callback(sent.discard)
        await asyncio.sleep(1 / (LOAD_FACTOR * RATE_PER_S))


async def case(lab: Lab) -> int:
    """Return whether the tenant got more than its quota in any window."""
    for number in range(9):
        zone = ("zone-a", "zone-b", "zone-c")[number % 3]
        await lab.add_instance(f"i-{number}", "ledger", slots=12, zone=zone)
    lab.configure(
        3,
        [route("/book/", "ledger", kind="unsafe")],
        tenants=[
            {
                "name": "tenant-1",
                "api_keys": [KEY],
                "rate_per_s": RATE_PER_S,
                "burst": BURST,
            }
        ],
    )
    entries = [
        await lab.add_entry(f"entry-{number}", zone=zone, bounds=BOUNDS)
        for number, zone in enumerate(("zone-a", "zone-b", "zone-c"))
    ]
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(20.0)
    for entry in entries:
        answer = await lab.ask(entry, "/book/0", method="POST", body=b"x", key=KEY)
        if answer.status != 200:
            raise CouldNotRun(f"status {answer.status} before the load")
    await asyncio.sleep(WINDOW_S + 1.0)

    lab.record.add("the tenant begins to send many times its usual", show=True)
    sent: set[asyncio.Task] = set()
    load = asyncio.create_task(press(lab, entries, sent))
    await asyncio.sleep(0.9)
    lab.record.add(f"runs before the first kill: {len(lab.runs) - 3}", show=True)
    for _ in range(KILLS):
        if TROUBLE:
            await asyncio.gather(*(entry.kill() for entry in entries))
            await asyncio.sleep(RESTART_DELAY_S)
            for entry in entries:
                await entry.start()
            for entry in entries:
                await entry.wait_ready()
        await asyncio.sleep(0.4)
        lab.record.add(f"runs: {len(lab.runs) - 3}", show=True)
    await asyncio.sleep(6.0)
    load.cancel()
    await asyncio.gather(*sent)

    times = [run.at for run in lab.runs]
    most, start = max(
        (sum(1 for at in times if first <= at < first + WINDOW_S), first)
        for first in times
    )
    lab.record.add(
        f"most runs of the tenant in {WINDOW_S} s: {most}, from {start:.3f};"
        f" allowed: {LIMIT:.0f}",
        show=True,
    )
    return BROKEN if most > LIMIT else HELD


if __name__ == "__main__":
    sys.exit(main(case, __file__))
