"""Entry processes, instances, the store and callers of one soak run."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import yaml

from soak.answers import DueAnswer, answer_faults, refuse
from soak.keys import PUBLIC_PART, SECRET_PREFIX, Keys
from soak.ledger import PUBLIC_PREFIX, Asked, Ledger, Ran, Rest
from soak.proxy import FaultProxy
from testing.gateway.world import (
    HOST,
    ZONES,
    configuration,
    free_ports,
    read_response,
    route,
    settings_fields,
)
from testing.platform.standin_instance import StandinInstance
from testing.platform.standin_store import StandinStore, StoreCopy
from testing.platform.workspaces import RECEIVED_KEY, RECEIVED_WORKSPACE

ROOT = Path(__file__).resolve().parent.parent
SERVICES = ("s", "t", "u")
WORK_S = 0.05
CALLER_PATIENCE_S = 2.0
GRACE_S = 6.0
COLD_S = 3.0
COLD_SLOWDOWN = 2.0
HEARTBEAT_S = 1.0
"""Interval at which a cold instance writes its record until it is warm."""

OUTSIDE_PREFIXES = ("op/", "servers/")
"""Keys that the operator and the instances write."""

REFUSED_PART = 0.05
"""Part of the requests during the faults that an instance refuses."""

LARGE_PREFIX = "large-"
"""Begin of the name of a request whose answer is large."""

LARGE_BYTES = 400_000

PART_OF_EACH_FAULT = 0.03
"""Part of the requests during the faults whose answer has a given fault."""


class Entry:
    """One entry process behind a proxy of its own to the store."""

    def __init__(
        self,
        name: str,
        folder: Path,
        store: FaultProxy,
        zone: str,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        self.name = name
        self.store = store
        self.started_at: dict[str, float] = {}
        self.fields = settings_fields(store.address, name=name, bounds=bounds)
        self.fields["zone"] = zone
        self.path = folder / f"{name}.yaml"
        self.path.write_text(yaml.safe_dump(self.fields))
        self.log = folder / f"{name}.log"
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        self.starting = asyncio.Lock()

    @property
    def incarnation(self) -> str:
        """Return the name of the process that runs now."""
        return f"{self.name}#{self.starts}"

    async def start(self) -> None:
        """Start the process unless another fault has done so."""
        async with self.starting:
            if not self.running():
                self.starts += 1
                await self.spawn()
                self.started_at[self.incarnation] = time.monotonic()

    async def spawn(self) -> None:
        """Start a process whose output goes to the entry's log."""
        environment = {
            **os.environ,
            "MASTICDECK_CONFIG": str(self.path),
            "PYTHONPATH": str(ROOT / "src"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "masticdeck.programs.gateway",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.running() and self.process is not None:
            self.process.send_signal(number)


class World:
    """Everything of one run; ``ledger`` keeps what was seen."""

    def __init__(
        self, seed: int, folder: Path, *, entries: int, has_keys: bool = False
    ) -> None:
        self.random = random.Random(seed)
        self.answer_random = random.Random(f"answers {seed}")
        self.restore_random = random.Random(f"restorations {seed}")
        self.report_random = random.Random(f"late reports {seed}")
        self.spoils_answers = False
        self.folder = folder
        self.entry_count = entries
        self.ledger = Ledger()
        self.keys = Keys(seed, self.ledger) if has_keys else None
        self.ledger.has_workspaces = has_keys
        self.store = StandinStore()
        self.store.era = 1
        self.entries: list[Entry] = []
        self.instances: list[StandinInstance] = []
        self.proxies: dict[str, FaultProxy] = {}
        self.resting: dict[str, float] = {}
        self.restarting: set[str] = set()
        self.crashes: list[asyncio.Task[None]] = []
        self.numbers = itertools.count()
        self.version = itertools.count(1)
        self.callers: list[asyncio.Task[None]] = []
        self.caller_zones = itertools.cycle(ZONES)

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        await self.store.start()
        self.configure("s")
        for number, service in enumerate(SERVICES * 3):
            await self.add_instance(f"{service}{number}", service)
        zones = itertools.cycle(ZONES)
        for number in range(self.entry_count):
            proxy = FaultProxy(self.store.address)
            await proxy.start()
            bounds = self.keys.bounds() if self.keys else {}
            entry = Entry(f"entry-{number}", self.folder, proxy, next(zones), bounds)
            self.entries.append(entry)
            await entry.start()
        async with asyncio.timeout(30):
            for entry in self.entries:
                while not await self.is_ready(entry):
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End everything that this run started."""
        for task in [*self.callers, *self.crashes]:
            task.cancel()
        for entry in self.entries:
            if entry.running() and entry.process is not None:
                entry.send(signal.SIGCONT)
                entry.process.kill()
                await entry.process.wait()
            entry.store.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        for instance in self.instances:
            await instance.stop()
        await self.store.stop()

    def configure(self, service: str) -> None:
        """Accept a version in which the route /v/ leads to a service."""
        fields: dict[str, Any] = {"timeout": "1500ms", "target_latency": "500ms"}
        routes = [
            route("/s/", "safe", "s", sticky_sessions=True, **fields),
            route("/u/", "unsafe", "u", **fields),
            route("/v/", "safe", service, **fields),
        ]
        routes += [route("/t/", "safe", "t", **fields)]
        routes += [route(PUBLIC_PREFIX, "safe", "s", public=True, **fields)]
        workspaces = self.keys.rows() if self.keys else None
        value = configuration(next(self.version), routes, workspaces)
        self.store.write("op/config", value)
        self.ledger.versions.append((time.monotonic(), service))

    def write_again(self, lost: StoreCopy, *, since: int) -> None:
        """Let the operator and the instances write again what a restoration undid.

        What they have written since it, after revision ``since``, is newer.
        """
        written = {
            event["key"] for event in self.store.history if event["revision"] > since
        }
        for key in {*self.store.items, *lost.items} - written:
            if not key.startswith(OUTSIDE_PREFIXES):
                continue
            known, item = self.store.items.get(key), lost.items.get(key)
            if item is None:
                self.store.remove(key)
            elif known is None or known["value"] != item["value"]:
                self.store.write(key, base64.b64decode(item["value"]))

    async def add_instance(
        self, name: str, service: str, *, zone: str = "", cold_ms: int = 0
    ) -> StandinInstance:
        """Start an instance behind a proxy, in any zone if none is given; register it.

        Its port is in no range that is used for anything else while it restarts.
        """
        zone = zone or self.random.choice(list(ZONES))
        instance = StandinInstance(name, service, zone=zone, act=self.run_request)
        await instance.start()
        proxy = FaultProxy(instance.address)
        await proxy.start(*free_ports(1))
        self.proxies[name] = proxy
        instance.address = proxy.address
        self.instances.append(instance)
        if cold_ms:
            self.chill(instance, cold_ms / 1000)
        self.store.write(f"servers/{name}", instance.record(cold_ms=cold_ms))
        return instance

    def chill(self, instance: StandinInstance, cold_s: float = COLD_S) -> None:
        """Let an instance become cold."""
        now = time.monotonic()
        self.ledger.chill(instance.id, now, now + cold_s)

    async def report_until_warm(self, instance: StandinInstance) -> None:
        """Write an instance's record, with its cold time, until it is warm."""
        born, cold_s = instance.born, COLD_S
        while cold_s > 0 and instance.born == born:
            if instance.leaving or instance.id in self.restarting:
                return
            now = time.monotonic()
            span = self.ledger.cold_span(instance.id, now)
            cold_s = span.until - now if span else 0.0
            record = instance.record(cold_ms=round(cold_s * 1000))
            self.store.write(f"servers/{instance.id}", record)
            await asyncio.sleep(min(cold_s, HEARTBEAT_S))

    async def restart(
        self, instance: StandinInstance, *, down_s: float, moves: bool, late_s: float
    ) -> None:
        """Restart an instance under its id, cold, and register it some time later.

        Nothing listens while it is down.
        """
        self.restarting.add(instance.id)
        proxy = self.proxies[instance.id]
        proxy.stop()
        self.ledger.end(instance.id, time.monotonic())
        await asyncio.sleep(down_s)
        instance.born = time.time_ns() // 1_000_000
        port = proxy.address.rpartition(":")[2]
        await proxy.start(*(free_ports(1) if moves else [int(port)]))
        instance.address = proxy.address
        self.chill(instance)
        await asyncio.sleep(late_s)
        self.restarting.discard(instance.id)

    async def crash(self, instance: StandinInstance) -> None:
        """Let an instance crash from load and start again."""
        await self.restart(instance, down_s=HEARTBEAT_S, moves=False, late_s=0.0)
        await self.report_until_warm(instance)

    async def run_request(self, instance: Any, request: Any, writer: Any) -> None:
        """Run a request at an instance and answer with its own id."""
        now = time.monotonic()
        arrival = Ran(
            request.id,
            instance.id,
            instance.service,
            request.target,
            now,
            workspace=request.headers.get(RECEIVED_WORKSPACE),
            has_key=RECEIVED_KEY in request.headers
            or SECRET_PREFIX in str(request.headers),
        )
        self.ledger.arrivals.append(arrival)
        span = self.ledger.cold_span(instance.id, now)
        if span is not None and self.ledger.is_flooded(span, now):
            if instance.id not in self.restarting:
                self.crashes.append(asyncio.create_task(self.crash(instance)))
            raise ConnectionResetError
        if instance.id in self.resting:
            self.refuse_with_rest(instance, request, writer)
            return
        drawn = self.answer_random.random() if self.spoils_answers else 1.0
        if drawn < REFUSED_PART:
            refuse(instance, request, writer)
            return
        self.ledger.ran.append(arrival)
        mean_s = WORK_S * (COLD_SLOWDOWN if span else 1.0)
        await asyncio.sleep(self.random.expovariate(1 / mean_s))
        body = f"{request.id} {instance.id}".encode()
        if request.id.startswith(LARGE_PREFIX):
            body += b" " * LARGE_BYTES
            writer.write(instance.head(request, 200, len(body)) + body)
            return
        answer = DueAnswer(instance, request, writer, self.answer_random, body)
        names = list(answer_faults)
        if drawn < REFUSED_PART + PART_OF_EACH_FAULT * len(names):
            fault = self.answer_random.choice(names)
            if fault == "endless body":
                self.ledger.endless.add(request.id)
            await answer_faults.get(fault)(answer)
        else:
            answer.write(answer.whole)

    def refuse_with_rest(self, instance: Any, request: Any, writer: Any) -> None:
        """Turn a request away and ask its entry for a rest."""
        rest_s = self.resting[instance.id]
        writer.write(
            instance.head(
                request, 503, 0, f"Not-Executed: 1\r\nRetry-After: {rest_s:.2f}"
            )
        )
        asked = self.ledger.asked.get(request.id)
        if asked is not None:
            now = time.monotonic()
            rest = Rest(asked.entry, instance.id, now, now + rest_s)
            self.ledger.rests.append(rest)

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry says that it wants requests."""
        address = entry.fields["listen_addresses"]["ready"]
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(1):
                answer = await self.ask_once(address, "/-/readiness")
                return answer.status == 200
        return False

    async def find_leaks(self) -> None:
        """Look for keys in what the entries have logged, and show at present."""
        for entry in self.entries:
            address = f"127.0.0.1:{entry.fields['internal_ports'][1]}"
            for target in ("/fleet", "/metrics"):
                with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                    async with asyncio.timeout(1):
                        answer = await self.ask_once(address, target)
                        if SECRET_PREFIX.encode() in answer.body:
                            self.ledger.leaks.append(f"{entry.name}{target}")
            if SECRET_PREFIX.encode() in entry.log.read_bytes():
                self.ledger.leaks.append(entry.log.name)

    async def ask_once(self, address: str, target: str) -> Any:
        """Send one request on a connection of its own."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return await read_response(reader)
        finally:
            writer.close()

    async def resolve(self, zone: str) -> list[Entry]:
        """Ask any entry's directory which entries a caller in a zone uses."""
        for entry in self.random.sample(self.entries, len(self.entries)):
            address = entry.fields["listen_addresses"]["directory"]
            target = f"/-/resolve?name=a&region={ZONES[zone]}&zone={zone}"
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                async with asyncio.timeout(0.5):
                    answer = await self.ask_once(address, target)
                    named = json.loads(answer.body)["addresses"]
                    return [
                        one
                        for one in self.entries
                        if one.fields["listen_addresses"]["frontend"] in named
                    ]
        return []

    def load(self, callers: int) -> None:
        """Begin to send requests."""
        self.callers += [
            asyncio.create_task(self.call(zone))
            for zone in itertools.islice(self.caller_zones, callers)
        ]

    async def call(self, zone: str) -> None:
        """Send requests one after the other, on open connections while they last."""
        while True:
            entries = await self.resolve(zone)
            if not entries:
                await asyncio.sleep(0.1)
                continue
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await self.use_connection(self.random.choice(entries))
            await asyncio.sleep(0.01)

    async def use_connection(self, entry: Entry) -> None:
        """Send requests on one connection until it ends, two seconds at most."""
        address = entry.fields["listen_addresses"]["frontend"]
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            until = time.monotonic() + 2
            while time.monotonic() < until and not writer.is_closing():
                answer = await self.send(entry, reader, writer)
                if answer.headers.get("connection") == "close":
                    return
                await asyncio.sleep(self.random.expovariate(1 / 0.02))
        finally:
            writer.close()

    async def send(self, entry: Entry, reader: Any, writer: Any) -> Any:
        """Send one request, record it, and return its answer."""
        prefix = self.random.choice(["/s/", "/u/", "/v/", "/t/"])
        unsafe = prefix == "/u/"
        name = f"id-{next(self.numbers)}"
        asked = Asked(name, unsafe, entry.incarnation, time.monotonic())
        key_lines: list[str] = []
        if self.keys is not None:
            asked.key, key_lines, asked.is_to_be_served = self.keys.choose()
            if not unsafe and self.keys.random.random() < PUBLIC_PART:
                prefix = PUBLIC_PREFIX
        self.ledger.asked[name] = asked
        body = b"x" * 50 if unsafe else b""
        lines = [
            f"{'POST' if unsafe else 'GET'} {prefix}{name} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {name}",
            f"Affinity-Key: {self.random.randrange(12)}",
            f"Deadline-Remaining-Ms: {int(CALLER_PATIENCE_S * 1000)}",
            f"Content-Length: {len(body)}",
            *key_lines,
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            async with asyncio.timeout(CALLER_PATIENCE_S):
                answer = await read_response(reader)
        finally:
            asked.ended_at = time.monotonic()
        asked.status, asked.body = answer.status, answer.body
        asked.signed = "server-signature" in answer.headers
        if "server-leaving" in answer.headers and len(answer.body.split()) > 1:
            instance = answer.body.split()[1].decode()
            self.ledger.passed_on_leaving.setdefault(
                (asked.entry, instance), asked.ended_at
            )
        return answer


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="masticdeck-soak-")
