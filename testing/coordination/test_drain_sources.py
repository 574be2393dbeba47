"""The probes of instances against odd and endless answers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from masticdeck.clock import HybridClock
from masticdeck.coordination.drain_sources import (
    MAX_HEALTH_BYTES,
    PROBE_TIMEOUT_S,
    InstanceDrainProber,
)
from masticdeck.events import Code
from masticdeck.ids import EntryId, InstanceId, ZoneId
from masticdeck.protocol.headers import DRAINING
from testing.invalid_statuses import INVALID_STATUSES

HEAD = b"HTTP/1.1 200 OK\r\n"


class Health:
    """An instance whose health answer is ``answer``, and then ``piece`` without end."""

    def __init__(self) -> None:
        self.answer = HEAD
        self.piece = b""
        self.sent_bytes = 0
        self.probes = 0
        self.events: list[tuple[Code, object]] = []

    def record_event(self, code: Code, *, level: int, **fields: object) -> None:
        """Keep the code and the instance of an event of the prober."""
        self.events.append((code, fields["instance"]))

    async def serve(self, reader, writer) -> None:
        """Answer one probe."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.probes += 1
            writer.write(self.answer)
            await writer.drain()
            while self.piece:
                writer.write(self.piece)
                await writer.drain()
                self.sent_bytes += len(self.piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@pytest.fixture
async def health():
    return Health()


@pytest.fixture
async def seen(health):
    """Return what a running prober observes."""
    server = await asyncio.start_server(health.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    instance = SimpleNamespace(
        id=InstanceId("one"), host="127.0.0.1", port=port, zone=ZoneId("a")
    )
    entry = SimpleNamespace(id=EntryId("entry-1"), zone=ZoneId("a"))
    deployment = SimpleNamespace(
        region_of={ZoneId("a"): "r"},
        instances=[instance],
        entry_by_id={entry.id: entry},
    )
    node = SimpleNamespace(
        id=entry.id,
        entry=entry,
        deployment=deployment,
        events=SimpleNamespace(emit=health.record_event),
        clock=HybridClock(),
    )
    membership = SimpleNamespace(alive_entries=lambda: [entry.id])
    observed: list[bool] = []
    prober = InstanceDrainProber(
        node, membership, lambda _id, _source, leaving, _at: observed.append(leaving)
    )
    task = asyncio.create_task(prober.run())
    yield observed
    assert not task.done()
    task.cancel()
    await asyncio.wait([task])
    server.close()


async def wait_for_probes(health: Health, count: int) -> None:
    """Wait until a probe has ended and the next one has begun."""
    async with asyncio.timeout(10):
        while health.probes < count:
            await asyncio.sleep(0.02)


async def test_health_answer_without_end_is_not_collected(health, seen):
    """Guards against a process that reads a health answer until the time-out."""
    health.answer = HEAD + b"Connection: close\r\n\r\n"
    health.piece = b" " * 65_536
    await wait_for_probes(health, 1)
    await asyncio.sleep(PROBE_TIMEOUT_S)
    # What the sockets of both ends hold comes to the bytes that are read.
    assert health.sent_bytes < 200 * MAX_HEALTH_BYTES
    assert not seen


async def test_nested_health_answer_does_not_end_the_probes(health, seen):
    body = b"[" * (MAX_HEALTH_BYTES - 1)
    health.answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    await wait_for_probes(health, 2)
    assert not seen


async def test_leaving_instance_is_observed(health, seen):
    body = b'{"state": "leaving"}'
    health.answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    await wait_for_probes(health, 2)
    assert seen[0]


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_health_answer_with_an_invalid_status_reports_nothing(
    health, seen, status
):
    """Guards against an instance that is drained because of a broken answer.

    The first of several such answers is logged.
    """
    body = b'{"state": "leaving"}'
    fields = f"{DRAINING}: 1\r\nContent-Length: {len(body)}\r\n\r\n"
    health.answer = f"HTTP/1.1 {status}\r\n{fields}".encode() + body
    await wait_for_probes(health, 2)
    assert not seen
    assert health.events == [(Code.REQUEST_FAILED, InstanceId("one"))]
