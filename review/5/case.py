"""Sends SIGHUP to an entry that is starting."""

from __future__ import annotations

import asyncio
import signal

from review.harness import CannotRun, Deployment, Entry, Record, main, route
from testing.platform.standin_instance import StandinInstance

STARTS = 5
SIGNAL_AFTER_S = 0.3
"""Seconds from the start of a process to the signal; a start takes twice as long."""


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Start an entry several times and look whether each start succeeds."""
    await deployment.start(
        [route("/leny950/", "safe", "krajums", "1500ms")],
        [StandinInstance("i-0", "krajums")],
    )
    breaches: list[str] = []
    for number in range(STARTS):
        name = f"frontend-valmiera-b-{number}"
        entry = Entry(name, deployment.store.address, deployment.folder)
        try:
            await entry.start()
            record.add(f"{name} started")
            await asyncio.sleep(SIGNAL_AFTER_S)
            assert entry.process is not None
            if entry.process.returncode is not None:
                raise CannotRun("the entry ended before the signal")
            if trouble:
                entry.send(signal.SIGHUP)
                record.add(f"{name} got SIGHUP")
            try:
                await entry.wait_ready()
                record.add(f"{name} is ready")
            except CannotRun:
                status = entry.process.returncode
                record.add(f"{name} ended with {status}")
                breaches.append(f"Fault {name} did not start, status {status}")
        finally:
            await entry.end()
    return breaches


if __name__ == "__main__":
    main(play)
