"""Starts a whole deployment on loopback: stand-ins and entries as processes.

>>> async with Fleet("riga", entries=3) as fleet:     # doctest: +SKIP
...     await fleet.kill("entry-1")
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

import json5
from aiohttp import ClientError, ClientSession, ClientTimeout

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 30.0
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORT_STEP = 200

address_numbers = itertools.count()
port_offsets = itertools.cycle(range(0, 20_000, PORT_STEP))


def loopback_address() -> str:
    """Return an address of 127.0.0.0/8 that no other starter of processes uses.

    Fleets that are started side by side, by this process or others, then can't
    take each other's ports between the check of a port and its use.
    """
    number = next(address_numbers)
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 200}.{pid >> 8 & 255}.{1 + (pid + number) % 254}"


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that were free a moment ago, all different.

    They lie below the range from which outgoing connections take theirs.
    """
    found: list[int] = []
    start = FIRST_PORT + next(port_offsets)
    for port in range(start, LAST_PORT):
        if len(found) == count:
            return found
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                one.bind((host, port))
                found.append(port)
    raise RuntimeError(f"no {count} free ports on {host}")


def place(
    name: str, *, entries: int | None = None, overrides: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return an example's deployment with free ports in place of its own.

    ``overrides`` replaces ``service_ms`` by service id.
    """
    path = ROOT / "examples" / name / "deployment.jsonc"
    deployment: dict[str, Any] = json5.loads(path.read_text(encoding="utf-8"))
    if entries is not None:
        deployment["entries"] = deployment["entries"][:entries]
    nodes = deployment["entries"]
    instances = deployment["instances"]
    host = loopback_address()
    ports = iter(free_ports(2 * len(nodes) + len(instances) + 1, host))
    for node in nodes:
        node.update(host=host, http_port=next(ports), peer_port=next(ports))
    for instance in instances:
        instance.update(host=host, port=next(ports))
    deployment["platform"] = {"host": host, "port": next(ports)}
    for service in deployment["services"]:
        service["service_ms"] = (overrides or {}).get(
            service["id"], service.get("service_ms", 20.0)
        )
    return deployment


class Fleet:
    """The processes of one deployment, each started and ended by this object."""

    def __init__(
        self,
        example: str = "riga",
        *,
        entries: int | None = None,
        service_ms: dict[str, float] | None = None,
        settings: dict[str, Any] | None = None,
        backends: bool = True,
        entry_settings: dict[str, dict[str, Any]] | None = None,
        split_backends: bool = False,
    ) -> None:
        self.deployment = place(example, entries=entries, overrides=service_ms)
        self.settings = settings or {}
        self.with_backends = backends
        self.entry_settings = entry_settings or {}
        self.split_backends = split_backends
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="masticdeck-"))
        self.stack = AsyncExitStack()
        self.last_stats: dict[str, dict[str, Any]] = {}
        self.session: ClientSession

    @property
    def entry_ids(self) -> list[str]:
        """Return the ids of the entries."""
        return [node["id"] for node in self.deployment["entries"]]

    def entry_url(self, entry: str) -> str:
        """Return the URL of an entry."""
        node = next(one for one in self.deployment["entries"] if one["id"] == entry)
        return f"http://{node['host']}:{node['http_port']}"

    def instance_url(self, instance: str) -> str:
        """Return the URL of an instance."""
        node = next(
            one for one in self.deployment["instances"] if one["id"] == instance
        )
        return f"http://{node['host']}:{node['port']}"

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform."""
        platform = self.deployment["platform"]
        return f"http://{platform['host']}:{platform['port']}"

    @property
    def deployment_path(self) -> Path:
        """Return the path of the placed deployment file."""
        return self.folder / "deployment.json"

    async def __aenter__(self) -> Fleet:
        """Start every process and wait until all serve."""
        self.session = await self.stack.enter_async_context(
            ClientSession(timeout=ClientTimeout(total=5))
        )
        self.deployment_path.write_text(json.dumps(self.deployment), encoding="utf-8")
        try:
            await self.start_standins()
            await asyncio.gather(*(self.start_entry(one) for one in self.entry_ids))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End every process."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(one.wait() for one in self.processes.values()))
        await self.stack.aclose()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start_standins(self) -> None:
        """Start the platform and one backend process for each service."""
        platform = self.deployment["platform"]
        host, port = platform["host"], str(platform["port"])
        await self.spawn(
            "platform", "bench.standins.platform", "--host", host, "--port", port
        )
        await self.ready("platform", f"{self.platform_url}/stats")
        if not self.with_backends:
            return
        for service in self.deployment["services"]:
            for region in self.backend_regions():
                await self.start_backend(service["id"], region)
        for instance in self.deployment["instances"]:
            url = f"{self.instance_url(instance['id'])}/stats"
            await self.ready(self.backend_name(instance), url)

    def backend_regions(self) -> list[str | None]:
        """Return the regions with backend processes of their own, or one None."""
        if not self.split_backends:
            return [None]
        return list(dict.fromkeys(zone["region"] for zone in self.deployment["zones"]))

    def backend_name(self, instance: dict[str, Any]) -> str:
        """Return the name of the process that serves an instance."""
        if not self.split_backends:
            return f"backend-{instance['service']}"
        return f"backend-{instance['service']}-{self.region_of(instance['zone'])}"

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        zones = {one["id"]: str(one["region"]) for one in self.deployment["zones"]}
        return zones[zone]

    async def start_backend(self, service: str, region: str | None) -> None:
        """Start the instances of a service, or of one region of it."""
        name = f"backend-{service}" if region is None else f"backend-{service}-{region}"
        where = [] if region is None else ["--region", region]
        await self.spawn(
            name,
            "bench.standins.backend",
            "--deployment",
            str(self.deployment_path),
            "--service",
            service,
            *where,
        )

    def deployment_for(self, entry: str) -> Path:
        """Return the deployment file that an entry reads."""
        return self.deployment_path

    async def start_entry(self, entry: str) -> None:
        """Start an entry and wait until it serves."""
        settings = {"entry": entry, "deployment": str(self.deployment_for(entry))}
        path = self.folder / f"{entry}.json"
        settings |= self.settings | self.entry_settings.get(entry, {})
        path.write_text(json.dumps(settings), encoding="utf-8")
        await self.spawn(entry, "masticdeck.programs.entry", "--settings", str(path))
        await self.ready(entry, f"{self.entry_url(entry)}/-/ready")

    async def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a process whose output goes to a file in the fleet's folder."""
        environment = os.environ | {
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
            "UV_USE_IO_URING": "0",
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                env=environment,
                stdout=output,
                stderr=output,
            )

    async def ready(self, name: str, url: str) -> None:
        """Wait until a process serves a URL; raises with its output when it ended."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.answers(url):
                if self.processes[name].returncode is not None:
                    raise RuntimeError(f"{name} ended: {self.log(name)[-2000:]}")
                await asyncio.sleep(READY_POLL_S)

    async def answers(self, url: str) -> bool:
        """Return whether a URL answers with status 200."""
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    def log(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    async def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        self.processes[name].kill()
        await self.processes[name].wait()

    async def terminate(self, name: str) -> int:
        """End a process with SIGTERM and return its exit status."""
        self.processes[name].terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a stopped process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    async def control_platform(self, **faults: Any) -> None:
        """Set faults of the platform."""
        async with self.session.post(f"{self.platform_url}/control", json=faults):
            pass

    async def control_instance(self, instance: str, **faults: Any) -> None:
        """Set faults of a backend instance."""
        url = f"{self.instance_url(instance)}/control"
        async with self.session.post(url, json=faults):
            pass

    async def instance_stats(self) -> dict[str, dict[str, Any]]:
        """Return the counters of every instance."""
        stats: dict[str, dict[str, Any]] = {}
        for instance in self.deployment["instances"]:
            if self.processes[self.backend_name(instance)].returncode is not None:
                continue
            url = f"{self.instance_url(instance['id'])}/stats"
            async with self.session.get(url) as response:
                stats[instance["id"]] = await response.json()
        return stats

    async def runs_by_key(self) -> Counter[str]:
        """Return how often each key ran, over all instances."""
        runs: Counter[str] = Counter()
        for instance in self.deployment["instances"]:
            url = f"{self.instance_url(instance['id'])}/runs"
            async with self.session.get(url) as response:
                runs.update(await response.json())
        return runs

    async def platform_stats(self) -> dict[str, Any]:
        """Return the call counts of the platform."""
        async with self.session.get(f"{self.platform_url}/stats") as response:
            stats: dict[str, Any] = await response.json()
        return stats
