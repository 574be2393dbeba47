"""Stand-ins and helpers of the scripts in ``review/6`` and later.

The standard library is enough: a store, instances that write heartbeats, entry
processes started with the command of the deploy file, and a client. All addresses
are loopback addresses. Times are in seconds.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import itertools
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "a.example"
ZONES = {"zone-a": "region-1", "zone-b": "region-2", "zone-c": "region-3"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
COPY_INTERVAL_S = 0.25
MAX_PAGE_ITEMS = 500
TIME_LIMIT_S = 110.0

HELD, BROKEN, NOT_RUN = 0, 1, 2

Headers = dict[str, str]


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.started_at

    def add(self, text: str, *, show: bool = False, flush: bool = True) -> None:
        """Write a line with the present time."""
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        if flush:
            self.file.flush()
        if show:
            print(line, flush=True)


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers of a message, by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a stated length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def render(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


# The platform's store


@dataclass
class Lease:
    """A lease, the time at which it ends, and its keys."""

    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass
class State:
    """All that the store keeps."""

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 1
    leases: dict[int, Lease] = field(default_factory=dict)
    next_lease: int = 7000


def seconds(text: str) -> float:
    """Return a duration of the platform's form."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.state = State()
        self.era = 1
        self.is_away = False
        self.copies: list[tuple[float, State]] = []
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.address = ""

    async def start(self) -> None:
        """Listen, end leases and take copies."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.tasks.append(asyncio.create_task(self.end_leases()))
        self.tasks.append(asyncio.create_task(self.take_copies()))

    async def take_copies(self) -> None:
        """Keep a copy of the state of each quarter of a second."""
        while True:
            self.copies.append((time.monotonic(), copy.deepcopy(self.state)))
            del self.copies[:-80]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def end_leases(self) -> None:
        """End the leases that nobody has renewed; they pause while it is away."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number, lease in list(self.state.leases.items()):
                if self.is_away:
                    lease.ends_at += 0.05
                elif lease.ends_at < now:
                    self.end_lease(number)

    async def come_back_from_copy(self, age_s: float, away_s: float) -> None:
        """Be away for a moment, and come back from a copy some seconds old."""
        taken_at = time.monotonic() - age_s
        at, state = max(
            (one for one in self.copies if one[0] <= taken_at), key=lambda one: one[0]
        )
        before = self.state.revision
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.state = copy.deepcopy(state)
        now = time.monotonic()
        for lease in self.state.leases.values():
            lease.ends_at = now + lease.ttl_s
        self.era += 1
        self.copies.clear()
        self.is_away = False
        self.changed.set()
        self.record.add(
            f"store back from a copy {now - at:.2f} s old: revision {before} ->"
            f" {self.state.revision}, era {self.era}",
            show=True,
        )

    # What the operator and the instances write

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        state = self.state
        state.revision += 1
        known = state.items.get(key, {})
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": state.revision,
            "creation_time": known.get("creation_time", state.revision),
            "lease": lease,
        }
        state.items[key] = item
        state.events.append(item)
        self.changed.set()
        return state.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.state.items.pop(key, None) is not None:
            self.state.revision += 1
            self.state.events.append(
                {"key": key, "revision": self.state.revision, "tombstone": True}
            )
            self.changed.set()

    def end_lease(self, number: int) -> None:
        """End a lease and remove its keys."""
        for key in self.state.leases.pop(number).keys:
            if self.state.items.get(key, {}).get("lease") == number:
                self.remove(key)

    # Calls

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, fields = await self.answer(method, target, body)
                content = json.dumps(fields).encode()
                answer_headers = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(content)),
                    "Store-Era": str(self.era),
                }
                writer.write(render(f"HTTP/1.1 {status} X", answer_headers, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Return status and fields of the answer to a call."""
        if self.is_away:
            return 503, {}
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        name, _, argument = parts.path.removeprefix("/-/").partition("/")
        fields = json.loads(body) if body else {}
        if name == "kv-key":
            item = self.state.items.get(query["key"])
            return (404, {}) if item is None else (200, item)
        if name == "kv-range":
            return 200, self.list_page(query)
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.commit(fields)
        if name == "kv-lease":
            return 200, self.grant_lease(fields)
        lease = self.state.leases.get(int(argument)) if argument else None
        if lease is None:
            return 404, {}
        if name == "kv-keep":
            lease.ends_at = time.monotonic() + lease.ttl_s
            return 200, {"ttl_time": f"{lease.ttl_s:g}s"}
        self.end_lease(int(argument))
        return 200, {}

    def list_page(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of a listing."""
        prefix, after = query["prefix"], query.get("after", "")
        keys = [
            key
            for key in sorted(self.state.items)
            if key.startswith(prefix) and key > after
        ]
        page = [self.state.items[key] for key in keys[:MAX_PAGE_ITEMS]]
        has_more = len(keys) > MAX_PAGE_ITEMS
        return {"items": page, "has_more": has_more, "at": self.state.revision}

    async def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return the changes after a revision, once there are any."""
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if self.is_away or era != self.era:
                return 503, {}
            if after > self.state.revision:
                return 410, {}
            events = [
                event
                for event in self.state.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.state.revision}
            self.changed.clear()
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def commit(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction."""
        items = self.state.items
        for row in fields["expected"]:
            if items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                known = [
                    items[one["key"]]
                    for one in fields["expected"]
                    if one["key"] in items
                ]
                return 412, {"items": known}
        for row in fields["puts"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.state.leases:
                return 404, {}
            if lease:
                self.state.leases[lease].keys.add(row["key"])
            self.write(row["key"], base64.b64decode(row["value"]), lease)
        for key in fields["deletes"]:
            self.remove(key)
        return 200, {"revision": self.state.revision}

    def grant_lease(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Grant a lease."""
        state = self.state
        state.next_lease += 1
        ttl_s = seconds(fields["ttl_time"])
        state.leases[state.next_lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return {"lease": state.next_lease, "ttl_time": fields["ttl_time"]}


# Instances


@dataclass
class Run:
    """A request at which an instance has begun to work, or that it rejected."""

    at: float
    id: str
    instance: str
    headers: Headers
    target: str
    body: bytes
    ran: bool
    ended_at: float | None = None
    cut_at: float | None = None


class Instance:
    """A backend instance that keeps the platform's rules.

    A ``quiet`` one keeps no runs in memory, for scripts with very many requests; they
    are in the record like all others.
    """

    def __init__(
        self,
        lab: Lab,
        name: str,
        service: str,
        *,
        zone: str = "zone-a",
        slots: int = 8,
        work_s: float = 0.02,
        quiet: bool = False,
    ) -> None:
        self.lab = lab
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.quiet = quiet
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.running = 0
        self.runs: list[Run] = []
        self.address = ""
        self.server: asyncio.Server | None = None
        self.heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.heartbeat = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Write the record at intervals, and at once after the store is back."""
        era = self.lab.store.era
        while True:
            if not self.lab.store.is_away:
                self.write_record()
                era = self.lab.store.era
            due_at = time.monotonic() + HEARTBEAT_S
            while time.monotonic() < due_at:
                await asyncio.sleep(0.05)
                if self.lab.store.era != era and not self.lab.store.is_away:
                    break

    def chill(self, cold_s: float) -> None:
        """Become cold, and say so at once if the store takes it."""
        self.cold_until = time.monotonic() + cold_s
        if not self.lab.store.is_away:
            self.write_record()

    def write_record(self) -> None:
        """Write the record once."""
        self.sequence += 1
        cold_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        fields = {
            "address": self.address,
            "born": self.born,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining": f"{cold_ms}ms",
            },
        }
        self.lab.store.write(f"servers/{self.name}", json.dumps(fields).encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection in turn."""
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                target = first.split(" ")[1]
                await self.work(target, headers, body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def work(
        self,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request until it is answered or its connection closes."""
        is_own = headers.get("expected-instance", self.name) == self.name
        run = Run(
            self.lab.record.now(),
            headers.get("attempt-id", ""),
            self.name,
            headers,
            target,
            body,
            is_own,
        )
        if not self.quiet:
            self.runs.append(run)
        self.lab.record.add(
            f"{'run' if is_own else 'reject'} id={run.id} at={self.name} {target}",
            flush=not self.quiet,
        )
        if not is_own:
            writer.write(self.head(run, 421, 0, {"Not-Executed": "1"}))
            return
        self.running += 1
        work = asyncio.create_task(asyncio.sleep(self.work_s))
        close = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, close}, return_when="FIRST_COMPLETED")
            if not work.done():
                run.cut_at = self.lab.record.now()
                self.lab.record.add(f"cut id={run.id} at={self.name}")
                raise ConnectionResetError("the caller left")
            run.ended_at = self.lab.record.now()
            answer = f"{self.name} {run.id}".encode()
            writer.write(self.head(run, 200, len(answer)) + answer)
            await writer.drain()
        finally:
            self.running -= 1
            work.cancel()
            close.cancel()
            await asyncio.wait({work, close})

    def head(
        self, run: Run, status: int, length: int, extra: Headers | None = None
    ) -> bytes:
        """Return the head of an answer."""
        headers = {
            "Attempt-Id": run.id,
            "Server-Signature": f"sig.{self.name}.{run.id}",
            "Server-Load": f"{self.running},0,{self.slots}",
            "Content-Length": str(length),
            **(extra or {}),
        }
        return render(f"HTTP/1.1 {status} X", headers)


# Entries


def free_ports(count: int) -> list[int]:
    """Return free ports in a row."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            first = probe.getsockname()[1]
        ports = list(range(first, first + count))
        try:
            for port in ports:
                socket.create_server(("127.0.0.1", port)).close()
        except (OSError, OverflowError):
            continue
        return ports


class Entry:
    """One entry process, run by the command of the deploy file."""

    def __init__(
        self,
        lab: Lab,
        name: str,
        *,
        zone: str = "zone-a",
        memory_mb: int = 300,
        bounds: dict[str, Any],
    ) -> None:
        self.lab = lab
        self.name = name
        callers, ready, directory, peers, last = free_ports(5)
        self.port = callers
        self.ready_port = ready
        fields = {
            "node_name": name,
            "role": "entry",
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "ip_address": "127.0.0.1",
            "listen_addresses": {
                "frontend": f"127.0.0.1:{callers}",
                "ready": f"127.0.0.1:{ready}",
                "directory": f"127.0.0.1:{directory}",
            },
            "internal_ports": [peers, last],
            "limits": {"cpu_share": 0.86, "cpu_cores": 1, "memory_mb": memory_mb},
            "platform": {"address": lab.store.address, "form": "kv"},
            "bounds": bounds,
        }
        self.settings = lab.folder / f"{name}.yaml"
        self.settings.write_text(json.dumps(fields), encoding="utf-8")
        self.log = lab.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["MASTICDECK_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.lab.record.add(f"start {self.name} pid={self.process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.lab.record.add(f"{number.name} {self.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check has a 200 response."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        try:
            writer.write(render("GET /-/readiness HTTP/1.1", {"Host": "x"}))
            async with asyncio.timeout(1.0):
                first, _ = await read_head(reader)
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the entry is ready."""
        due_at = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > due_at:
                raise CouldNotRun(f"{self.name} is not ready; see {self.log}")
            await asyncio.sleep(0.05)


# Clients


@dataclass
class Answer:
    """What a client got for one request; status 0 stands for a closed connection."""

    id: str
    sent_at: float
    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""


class Lab:
    """One run of a script."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder)
        self.folder = temporary
        self.store = Store(self.record)
        self.instances: list[Instance] = []
        self.entries: list[Entry] = []
        self.ids = itertools.count(1)
        self.sent_at: dict[str, float] = {}

    @property
    def runs(self) -> list[Run]:
        """Return what ran at any instance, in order of time."""
        runs = [run for one in self.instances for run in one.runs if run.ran]
        return sorted(runs, key=lambda run: run.at)

    async def add_instance(self, name: str, service: str, **fields: Any) -> Instance:
        """Start an instance."""
        instance = Instance(self, name, service, **fields)
        self.instances.append(instance)
        await instance.start()
        return instance

    async def add_entry(self, name: str, **fields: Any) -> Entry:
        """Start an entry."""
        entry = Entry(self, name, **fields)
        self.entries.append(entry)
        await entry.start()
        return entry

    def configure(
        self, version: int, routes: list[dict[str, Any]], **more: Any
    ) -> float:
        """Write a configuration of the operator; return when it was acknowledged."""
        services = sorted({route["service"] for route in routes})
        fields = {
            "version": version,
            "hosts": [{"hostname": HOST, "paths": routes}],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "connection_limit": 330,
                    "cold_start": "3s",
                    "cold_per_s": 4.3,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3s",
                "idle_timeout": "15s",
            },
            **more,
        }
        revision = self.store.write("op/config", json.dumps(fields).encode())
        self.record.add(
            f"operator: version {version} acknowledged, revision {revision}", show=True
        )
        return self.record.now()

    def request(
        self,
        target: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 4000,
        key: str | None = None,
        extra: Headers | None = None,
    ) -> tuple[str, bytes]:
        """Return the id and the bytes of a new request."""
        name = f"q{next(self.ids):05d}"
        headers = {
            "Host": HOST,
            "Attempt-Id": name,
            "Deadline-Remaining-Ms": str(deadline_ms),
            **(extra or {}),
        }
        if key is not None:
            headers["Credential"] = key
        if body or method == "POST":
            headers["Content-Length"] = str(len(body))
        return name, render(f"{method} {target} HTTP/1.1", headers, body)

    async def ask(
        self, entry: Entry, target: str, *, timeout_s: float = 6.0, **fields: Any
    ) -> Answer:
        """Send one request on a new connection and return its answer."""
        name, data = self.request(target, **fields)
        sent_at = self.sent_at[name] = self.record.now()
        answer = Answer(name, sent_at, 0)
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
                writer.write(data)
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
            answer = Answer(name, sent_at, int(first.split(" ")[1]), headers, body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.add(
            f"request id={name} to={entry.name} {target} sent={sent_at:.3f}"
            f" status={answer.status}"
        )
        return answer

    async def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            await entry.kill()


def route(
    prefix: str, service: str, *, kind: str = "safe", **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": f"r{prefix}",
        "prefix": prefix,
        "kind": kind,
        "timeout": "2s",
        "target_latency": "1s",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "sticky_sessions": False,
        "home_regions": [],
        **fields,
    }


def main(
    case: Callable[[Lab], Awaitable[int] | Coroutine[Any, Any, int]], script: str
) -> int:
    """Run a case and return its exit status: HELD, BROKEN or NOT_RUN."""

    async def body(lab: Lab) -> int:
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await lab.store.start()
                return await case(lab)
        except TimeoutError:
            print("the case took too long")
            return NOT_RUN
        except CouldNotRun as error:
            print(f"could not run: {error}")
            return NOT_RUN
        finally:
            await lab.stop()

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="masticdeck-review-") as temporary:
            lab = Lab(Path(script).resolve().parent, Path(temporary))
            result = await body(lab)
            words = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "did not run"}
            lab.record.add(f"result: {words[result]}", show=True)
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for entry in lab.entries:
                    (Path(keep) / entry.log.name).write_bytes(entry.log.read_bytes())
            return result

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        return NOT_RUN
