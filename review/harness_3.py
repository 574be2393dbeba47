"""Runs the script cases 11 to 15: entries as processes, stand-ins, and a record.

A case is a coroutine that gets a ``Lab`` and returns whether the rule was broken. The
entries run with the command of the deploy file; the store and the instances are
stand-ins in the process of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import yaml

from testing.gateway.world import HOST, configuration, route, settings_fields
from testing.platform.standin_instance import StandinInstance
from testing.platform.standin_store import StandinStore

__all__ = ["HOST", "Entry", "Lab", "StandinInstance", "main", "request_head", "route"]

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 3, 2
"""Exit statuses; ``run.sh`` turns 3 into 1, which Python also uses for its own errors."""
MAX_RUN_S = 110.0
START_S = 20.0
GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL, as ``grace_period`` of the site files says."""

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 67_108_864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}
"""What the example of a configuration that the users' bench prints allows callers."""

MACHINE = {
    "cpu_share": 0.86,
    "cpu_cores": 1,
    "memory_mb": 300,
    "file_descriptors": 4100,
    "link_speed_mbps": 1000.0,
    "disk_mb": 0,
}


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing."""


class Entry:
    """One entry process."""

    def __init__(
        self, lab: Lab, name: str, zone: str, bounds: dict[str, Any] | None
    ) -> None:
        self.lab = lab
        self.name = name
        self.fields = settings_fields(lab.store.address, name=name, bounds=bounds)
        self.fields.update(zone=zone, limits=MACHINE)
        self.path = lab.folder / f"{name}.yaml"
        self.path.write_text(yaml.safe_dump(self.fields))
        self.log = lab.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def address(self, name: str) -> tuple[str, int]:
        """Return host and port of a listening address."""
        host, _, port = self.fields["listen_addresses"][name].rpartition(":")
        return host, int(port)

    async def start(self) -> None:
        """Start the process with the command of the deploy file; wait until ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["MASTICDECK_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + START_S
        while not await self.is_ready():
            if time.monotonic() > deadline or self.process.returncode is not None:
                raise CannotRun(f"{self.name} is not ready: {self.log.read_text()[-500:]}")
            await asyncio.sleep(0.05)
        self.lab.note(f"{self.name} is ready")

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.address("ready"))
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        try:
            answer = await asyncio.wait_for(reader.read(100), 1)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return answer.startswith(b"HTTP/1.1 200 ")

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period, as the platform does."""
        assert self.process is not None
        self.lab.note(f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        self.lab.later(self.kill_after_grace())

    async def kill_after_grace(self) -> None:
        """End the process if it has not ended in the grace period."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
            self.lab.note(f"{self.name} has ended with {self.process.returncode}")
        except TimeoutError:
            self.lab.note(f"SIGKILL to {self.name}")
            self.process.kill()

    async def stop(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Lab:
    """Everything that a case starts, and its record."""

    def __init__(self, folder: Path, record: Path, *, trouble: bool) -> None:
        self.folder = folder
        self.trouble = trouble
        self.store = StandinStore()
        self.entries: list[Entry] = []
        self.instances: list[StandinInstance] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.began_at = time.monotonic()
        self.record = record.open("w")

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start to the record."""
        self.record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.record.flush()

    def later(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run something beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_instance(self, instance: StandinInstance) -> StandinInstance:
        """Start an instance and write its record."""
        await instance.start()
        self.instances.append(instance)
        self.store.write(f"servers/{instance.id}", instance.record())
        self.note(f"{instance.id} of {instance.service} is registered")
        return instance

    def configure(
        self,
        version: int,
        routes: list[dict[str, Any]],
        workspaces: list[dict[str, Any]] | None = None,
    ) -> None:
        """Write a configuration."""
        fields = json.loads(configuration(version, routes, workspaces))
        self.store.write("op/config", json.dumps({**fields, "limits": LIMITS}).encode())
        self.note(f"configuration {version} is acknowledged")

    async def add_entry(
        self, name: str, zone: str = "cesis-a", bounds: dict[str, Any] | None = None
    ) -> Entry:
        """Start an entry; ``bounds`` are added to those of its settings."""
        entry = Entry(self, name, zone, bounds)
        self.entries.append(entry)
        await entry.start()
        return entry

    async def stop(self) -> None:
        """End everything that was started."""
        for task in list(self.tasks):
            task.cancel()
        for entry in self.entries:
            await entry.stop()
        for instance in self.instances:
            await instance.stop()
        await self.store.stop()


def request_head(
    method: str, target: str, request_id: str, *, remaining_ms: int, length: int = 0
) -> bytes:
    """Return the head of a caller's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request_id}",
        f"Deadline-Remaining-Ms: {remaining_ms}",
    ]
    if length:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


async def run(case: Callable[[Lab], Awaitable[bool]], record: Path, folder: Path) -> int:
    """Run a case and return the exit status of its script."""
    lab = Lab(folder, record, trouble=os.environ.get("TROUBLE", "1") != "0")
    lab.note(f"with the disruption: {lab.trouble}")
    try:
        await lab.store.start()
        is_broken = await asyncio.wait_for(case(lab), MAX_RUN_S)
    except (CannotRun, TimeoutError, OSError) as error:
        lab.note(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await lab.stop()
    lab.note("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD


def main(case: Callable[[Lab], Awaitable[bool]], file: str) -> None:
    """Run the case of a script beside its record, and exit with its status."""
    with tempfile.TemporaryDirectory() as folder:
        record = Path(file).resolve().parent / "record.txt"
        try:
            status = asyncio.run(run(case, record, Path(folder)))
        except Exception as error:
            print(repr(error), file=sys.stderr)
            status = NOT_RUN
    sys.exit(status)
