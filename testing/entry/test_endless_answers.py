"""Answers without end at ``masticdeck-entry``, and what they cost other callers."""

from __future__ import annotations

import asyncio
import re
from contextlib import AsyncExitStack
from pathlib import Path
from types import SimpleNamespace

import pytest

from bench.fleet import Fleet
from masticdeck.entry.delivery import Delivery
from masticdeck.protocol.headers import REQUEST_ID
from testing.endless_answers import ENDLESS_ANSWERS, IDLE_KINDS, read_outcome

FAULTY_SERVICE = "raksti"
SOUND_SERVICE = "katalogs"
MAX_GROWTH_MB = 60
CONCURRENT_CALLS = 12
OTHER_CALLERS = 3
MANY = ["100", "tiny chunks"]


async def send_without_end(reader, writer) -> None:
    """Answer each request as the first part of its path says."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:] if line
            )
            name = head.split(" ")[1].split("/")[1].replace("_", " ")
            if name not in ENDLESS_ANSWERS:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                continue
            await ENDLESS_ANSWERS[name].send(fields[REQUEST_ID], writer)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


@pytest.fixture
async def fleet():
    """Return an entry, a sound service and a faulty one."""
    times = {SOUND_SERVICE: 5.0, FAULTY_SERVICE: 1.0}
    async with (
        AsyncExitStack() as stack,
        Fleet("riga", entries=1, service_ms=times) as fleet,
    ):
        await fleet.kill(f"backend-{FAULTY_SERVICE}")
        for instance in fleet.deployment["instances"]:
            if instance["service"] == FAULTY_SERVICE:
                server = await asyncio.start_server(
                    send_without_end, instance["host"], instance["port"]
                )
                stack.callback(server.close)
        yield fleet


def largest_memory_mb(fleet: Fleet) -> float:
    """Return the largest resident memory that the entry has had."""
    pid = fleet.processes["entry-1"].pid
    status = Path(f"/proc/{pid}/status").read_text()
    [kilobytes] = re.findall(r"VmHWM:\s*([0-9]+)", status)
    return int(kilobytes) / 1024


async def call(fleet: Fleet, path: str, *fields: str) -> str:
    """Send a request on a new connection and return what its caller got."""
    node = fleet.deployment["entries"][0]
    reader, writer = await asyncio.open_connection(node["host"], node["http_port"])
    lines = [f"GET /service/{path} HTTP/1.1", "Host: x", *fields, "", ""]
    writer.write("\r\n".join(lines).encode())
    outcome = await read_outcome(reader)
    writer.close()
    return outcome


async def test_answers_without_end_cost_no_memory_and_no_other_answer(fleet):
    """Guards against an entry that ends over its memory with other requests."""
    others: list[str] = []
    done = asyncio.Event()
    free = asyncio.Semaphore(CONCURRENT_CALLS)

    async def call_sound_service() -> None:
        while not done.is_set():
            timeout = "Masticdeck-Timeout-Ms: 5000"
            others.append(await call(fleet, f"{SOUND_SERVICE}/a", timeout))
            await asyncio.sleep(0.01)

    async def call_faulty_service(name: str) -> tuple[str, str]:
        path = f"{FAULTY_SERVICE}/{name.replace(' ', '_')}/a"
        async with free:
            return name, await call(fleet, path, "Masticdeck-Timeout-Ms: 1000")

    memory_mb = largest_memory_mb(fleet)
    async with asyncio.timeout(30), asyncio.TaskGroup() as group:
        for _ in range(OTHER_CALLERS):
            group.create_task(call_sound_service())
        calls = [*MANY * 12, *(set(ENDLESS_ANSWERS) - set(IDLE_KINDS))]
        outcomes = await asyncio.gather(*map(call_faulty_service, calls))
        # The next request on such a connection may meet what it was not asked for.
        idle_outcomes = await asyncio.gather(*map(call_faulty_service, IDLE_KINDS * 6))
        await asyncio.sleep(0.5)
        done.set()
    assert largest_memory_mb(fleet) - memory_mb < MAX_GROWTH_MB
    assert set(others) == {"answered"}
    expected = [(name, ENDLESS_ANSWERS[name].outcome) for name in calls]
    assert outcomes == expected
    assert {outcome for _, outcome in idle_outcomes} <= {"answered", "failed"}


async def test_body_that_has_arrived_leaves_other_callers_their_turns():
    """Guards against an answer in tiny chunks that is passed on in one turn."""
    pieces = [b"ab"] * 50
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    async def read() -> bytes:
        return pieces.pop() if pieces else b""

    async def take(*_: object) -> None:
        """Take a part without a wait."""

    policy = SimpleNamespace(pace_large_response=take)
    request = SimpleNamespace(headers={})
    response = SimpleNamespace(write=take, write_eof=take)
    answer = SimpleNamespace(content=SimpleNamespace(readany=read))
    delivery = Delivery(request, None, policy, stall_s=1)
    counting = asyncio.create_task(count_turns())
    await delivery.copy(answer, response, None)
    counting.cancel()
    assert turns >= 40
