"""``masticdeck-gateway`` as a process: settings, signals and shutdown."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import pytest
import yaml

from testing.gateway.world import (
    World,
    configuration,
    read_response,
    route,
    settings_fields,
)
from testing.platform.standin_instance import StandinInstance, answer_well
from testing.platform.standin_store import StandinStore

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 20.0


class GatewayProcess:
    """A gateway process, its settings file and its log lines."""

    def __init__(self, path: Path, fields: dict) -> None:
        self.path = path
        self.fields = fields
        self.lines: list[dict] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.write()

    def write(self) -> None:
        """Write the settings file."""
        self.path.write_text(yaml.safe_dump(self.fields))

    async def start(self, *arguments: str) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            "MASTICDECK_CONFIG": str(self.path),
            "PYTHONPATH": str(ROOT / "src"),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "masticdeck.programs.gateway",
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.reader = asyncio.create_task(self.read())

    async def start_and_wait(self) -> None:
        """Start the process and wait until it accepts requests."""
        await self.start()
        await self.wait_for("process_started")
        await self.wait_for("feed_loaded")

    async def read(self) -> None:
        """Collect the JSON lines of the log."""
        async for line in self.process.stdout:
            if line.startswith(b"{"):
                self.lines.append(json.loads(line))

    async def wait_for(self, event: str, count: int = 1) -> dict:
        """Wait until an event was logged ``count`` times and return the last one."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                matches = [line for line in self.lines if line.get("event") == event]
                if len(matches) >= count:
                    return matches[count - 1]
                await asyncio.sleep(0.02)

    async def end(self) -> int:
        """Wait for the process to exit and return its exit status."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            await self.reader


@pytest.fixture
async def store() -> AsyncIterator[StandinStore]:
    store = StandinStore()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def instance(store) -> AsyncIterator[StandinInstance]:
    instance = StandinInstance("s1", "s")
    await instance.start()
    routes = [route("/s/", "safe", "s", timeout="5s")]
    store.write("op/config", configuration(1, routes))
    store.write("servers/s1", instance.record())
    yield instance
    await instance.stop()


@pytest.fixture
async def process(tmp_path, store, instance) -> AsyncIterator[GatewayProcess]:
    process = GatewayProcess(tmp_path / "local.yaml", settings_fields(store.address))
    yield process
    await process.kill()


async def connect(process: GatewayProcess):
    host, _, port = process.fields["listen_addresses"]["frontend"].rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def get(address: str, target: str):
    """Send one request to an address and return the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    response = await read_response(reader)
    writer.close()
    return response


async def test_process_serves_readiness_directory_and_metrics(process):
    await process.start_and_wait()
    listen = process.fields["listen_addresses"]
    assert (await get(listen["ready"], "/-/readiness")).status == 200
    response = await get(
        listen["directory"], "/-/resolve?name=a&region=vidzeme&zone=cesis-a"
    )
    assert json.loads(response.body) == {
        "addresses": [listen["frontend"]],
        "ttl": "2000ms",
    }
    peer_port = process.fields["internal_ports"][0]
    metrics = await get(f"127.0.0.1:{peer_port + 1}", "/metrics")
    assert b"masticdeck_view_age_seconds" in metrics.body


async def test_planned_stop_under_load_cuts_no_request_and_exits_with_zero(
    process, instance
):
    async def respond_slowly(instance, request, writer):
        await asyncio.sleep(1.0)
        await answer_well(instance, request, writer)

    instance.act = respond_slowly
    await process.start_and_wait()
    world = World(stack=None)
    reader, writer = await connect(process)
    writer.write(world.request_bytes("/s/a"))
    async with asyncio.timeout(TIMEOUT_S):
        await instance.arrived.wait()
    process.process.send_signal(signal.SIGTERM)
    response = await read_response(reader)
    assert (response.status, response.headers["connection"]) == (200, "close")
    ready = process.fields["listen_addresses"]["ready"]
    assert (await get(ready, "/-/readiness")).status == 503
    assert await process.end() == 0
    assert (await process.wait_for("entry_finished"))["fields"]["in_flight"] == "0"
    writer.close()


async def test_request_whose_deadline_passed_during_a_pause_is_not_run(
    process, instance
):
    await process.start_and_wait()
    world = World(stack=None)
    reader, writer = await connect(process)
    await asyncio.sleep(0.2)
    process.process.send_signal(signal.SIGSTOP)
    writer.write(world.request_bytes("/s/a", remaining_ms=500))
    await asyncio.sleep(2.0)
    process.process.send_signal(signal.SIGCONT)
    async with asyncio.timeout(TIMEOUT_S):
        response = await read_response(reader)
    assert response.status == 503
    assert not instance.requests
    writer.close()


class StopCallers:
    """Callers that go on through a planned stop and note what was not answered."""

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process
        self.world = World(stack=None)
        self.numbers = itertools.count()
        self.answered: set[str] = set()
        self.unanswered: set[str] = set()

    async def call(self, count: int, *, pause_s: float = 0.0) -> None:
        """Use one connection after the other until none can be opened.

        ``count`` requests are pipelined; with a pause, a body comes in two parts.
        """
        while True:
            try:
                reader, writer = await connect(self.process)
            except OSError:
                return
            with suppress(OSError, asyncio.IncompleteReadError):
                await self.use(reader, writer, count, pause_s)
            writer.close()
            await asyncio.sleep(0.005)

    async def use(self, reader, writer, count: int, pause_s: float) -> None:
        """Send requests on a connection until an answer ends it."""
        response = None
        while response is None or "connection" not in response.headers:
            names = [f"stop-{next(self.numbers)}" for _ in range(count)]
            self.unanswered |= set(names)
            body = b"x" * 100 if pause_s else b""
            method = "POST" if pause_s else "GET"
            message = b"".join(
                self.world.request_bytes(
                    "/s/a", method=method, body=body, request_id=name
                )
                for name in names
            )
            writer.write(message[:-50])
            await asyncio.sleep(pause_s)
            writer.write(message[-50:])
            for name in names:
                response = await read_response(reader)
                self.answered.add(name)
                self.unanswered.discard(name)
                if "connection" in response.headers:
                    return


async def test_planned_stop_answers_all_that_reached_an_instance(process, instance):
    """Callers on new and kept connections, pipelined, and with bodies under way."""

    async def respond_after_a_while(instance, request, writer):
        await asyncio.sleep(0.03)
        await answer_well(instance, request, writer)

    instance.act = respond_after_a_while
    instance.slots = 64
    await process.start_and_wait()
    callers = StopCallers(process)
    tasks = [
        asyncio.create_task(callers.call(count, pause_s=pause_s))
        for count, pause_s in [(1, 0.0), (1, 0.0), (3, 0.0), (1, 0.05), (1, 0.2)]
    ]
    await asyncio.sleep(0.5)
    process.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(TIMEOUT_S):
        await asyncio.gather(*tasks)
    assert await process.end() == 0
    reached_instance = {request.id for request in instance.requests}
    assert not callers.unanswered & reached_instance
    assert len(callers.answered) > 100


async def test_stop_removes_the_registration(process, store):
    await process.start()
    await process.wait_for("entry_registered")
    key = "masticdeck/entries/entry-1"
    assert key in store.items
    process.process.send_signal(signal.SIGTERM)
    await process.wait_for("entry_unregistered")
    assert key not in store.items


async def test_repeated_sigterm_has_no_effect(process):
    await process.start_and_wait()
    for _ in range(3):
        process.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
    assert await process.end() == 0


async def test_reload_applies_changed_settings_and_rejects_invalid_ones(process):
    await process.start_and_wait()
    process.fields["bounds"]["retry_budget_ratio"] = 0.1
    process.write()
    process.process.send_signal(signal.SIGHUP)
    reloaded = await process.wait_for("settings_reloaded")
    assert reloaded["fields"]["changed"] == "retry_ratio"
    process.fields["zone"] = 5
    process.write()
    process.process.send_signal(signal.SIGHUP)
    await process.wait_for("settings_rejected")
    ready = process.fields["listen_addresses"]["ready"]
    assert (await get(ready, "/-/readiness")).status == 200


async def test_changed_settings_file_is_applied_without_a_signal(process):
    await process.start_and_wait()
    process.fields["bounds"]["budget_slack"] = 7
    process.write()
    reloaded = await process.wait_for("settings_reloaded")
    assert reloaded["fields"]["changed"] == "retry_slack"


async def test_start_waits_for_an_unavailable_store(process, store):
    store.refuse_with = 503
    await process.start()
    await process.wait_for("feed_failed")
    ready = process.fields["listen_addresses"]["ready"]
    assert (await get(ready, "/-/readiness")).status == 503
    store.refuse_with = None
    await process.wait_for("version_in_force")
    assert (await get(ready, "/-/readiness")).status == 200


async def test_all_invalid_settings_are_reported_and_the_exit_status_is_one(process):
    process.fields["node_name"] = 5
    process.fields["zone"] = []
    process.write()
    await process.start("--check-settings")
    assert await process.end() == 1
    stderr_text = (await process.process.stderr.read()).decode()
    assert "entry" in stderr_text
    assert "zone" in stderr_text


def ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores a signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    [mask] = re.findall(r"SigIgn:\s*([0-9a-f]+)", status)
    return bool(int(mask, 16) >> (number - 1) & 1)


async def wait_for_early_handlers(process: GatewayProcess) -> None:
    """Wait until the process ignores SIGHUP, as it does first of all."""
    async with asyncio.timeout(TIMEOUT_S):
        while not ignores(process.process.pid, signal.SIGHUP):
            await asyncio.sleep(0.002)


async def test_reloads_during_the_start_do_not_end_the_process(process):
    """Guards against SIGHUP before its handler stands, which ends a process."""
    await process.start()
    await wait_for_early_handlers(process)
    for _ in range(10):
        process.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.05)
    await process.wait_for("process_started")
    await process.wait_for("feed_loaded")
    process.process.send_signal(signal.SIGTERM)
    assert await process.end() == 0


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.2])
async def test_stop_during_the_start_ends_with_zero(process, delay_s):
    await process.start()
    await wait_for_early_handlers(process)
    await asyncio.sleep(delay_s)
    for _ in range(2):
        process.process.send_signal(signal.SIGTERM)
    assert await process.end() == 0
