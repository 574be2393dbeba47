"""Forwarding: hostile callers, streams, departures, cut and resumed answers."""

from __future__ import annotations

import asyncio
import gzip
import hashlib
import json
import os
import re
from pathlib import Path

import psutil
import pytest
from aiohttp import ClientError

from bench.fleet import Fleet

SERVICE = "raksti"
FILE_BYTES = 3_000_000


@pytest.fixture
async def fleet():
    settings = {
        "header_timeout_s": 0.3,
        "answer_stall_s": 0.3,
        "max_header_bytes": 4096,
    }
    times = {"katalogs": 5.0, "raksti": 1.0}
    async with Fleet("riga", entries=1, settings=settings, service_ms=times) as one:
        yield one


async def exchange(fleet: Fleet, raw: bytes) -> tuple[int, dict[str, str], bytes]:
    """Send raw bytes to the entry and return status, headers and body."""
    node = fleet.deployment["entries"][0]
    reader, writer = await asyncio.open_connection(node["host"], node["http_port"])
    writer.write(raw)
    try:
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            body = await reader.readexactly(int(fields["Content-Length"]))
    finally:
        writer.close()
    return int(lines[0].split()[1]), fields, body


def get(path: str, *fields: str) -> bytes:
    return "\r\n".join([f"GET {path} HTTP/1.1", "Host: x", *fields, "", ""]).encode()


async def test_hostile_requests_get_coded_errors_and_the_entry_lives_on(fleet):
    path = f"/service/{SERVICE}/a"
    cases = [
        ("long header", get(path, "A: " + "x" * 9000), 431, "MD2005"),
        ("long path", get(path + "x" * 9000), 431, "MD2005"),
        ("not HTTP", b"\x00\x01\x02 nonsense\r\n\r\n", 400, "MD2001"),
        ("header injection", get(path, "A: b\rSet-Cookie: c"), 400, "MD2001"),
        ("bare line feed name", get(path, "A\x00B: c"), 400, "MD2001"),
        ("two lengths", get(path, "Content-Length: 1", "Content-Length: 2"), 400, ""),
        ("bad length", get(path, "Content-Length: -5"), 400, "MD2001"),
        (
            "length and chunks",
            get(path, "Content-Length: 5", "Transfer-Encoding: chunked"),
            400,
            "MD2001",
        ),
        ("unknown service", get("/service/none/a"), 404, "MD2002"),
        ("no such path", get("/etc/passwd"), 400, "MD2001"),
        ("absolute form", get("http://other/service/raksti/a"), 400, "MD2001"),
        ("tunnel", b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400, "MD2001"),
        ("no time", get(path, "Masticdeck-Timeout-Ms: 0"), 504, "MD2102"),
        ("absurd time", get(path, "Masticdeck-Timeout-Ms: 1e99"), 400, "MD2001"),
        ("negative time", get(path, "Masticdeck-Timeout-Ms: -1"), 400, "MD2001"),
    ]
    for name, raw, status, code in cases:
        found, fields, body = await exchange(fleet, raw)
        problem = json.loads(body)
        assert (name, found) == (name, status)
        assert problem["code"].startswith(code), name
        assert fields["Masticdeck-Outcome"] == "not-run", name
    status, _, _ = await exchange(fleet, get(path))
    assert status == 200


async def test_slow_head_is_answered_with_a_code_and_closed(fleet):
    status, _, body = await exchange(fleet, b"GET /lookup HTTP/1.1\r\nHost:")
    assert (status, json.loads(body)["code"]) == (408, "MD2006")


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_that_follows_its_answer_is_not_taken_for_the_next_head(
    fleet, chunked
):
    """Guards against a request answered with the 431 or 408 of an earlier body."""
    node = fleet.deployment["entries"][0]
    reader, writer = await asyncio.open_connection(node["host"], node["http_port"])
    piece = b"x" * 20_000
    framing = f"Content-Length: {3 * len(piece)}"
    if chunked:
        framing = "Transfer-Encoding: chunked"
        piece = b"%x\r\n%b\r\n" % (len(piece), piece)

    async def read_status() -> int:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        [length] = re.findall(r"Content-Length: ([0-9]+)", head)
        await reader.readexactly(int(length))
        return int(head.split()[1])

    head = f"POST /service/none/a HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n"
    async with asyncio.timeout(10):
        writer.write(head.encode())
        assert await read_status() == 404
        for _ in range(3):
            writer.write(piece)
            await asyncio.sleep(0.5)
        if chunked:
            writer.write(b"0\r\n\r\n")
        await asyncio.sleep(1.0)
        writer.write(get(f"/service/{SERVICE}/a"))
        assert await read_status() == 200
        # The limits of a head hold for the next one.
        writer.write(b"GET /lookup HTTP/1.1\r\nHost:")
        assert await read_status() == 408
    writer.close()


async def test_slow_body_ends_at_the_deadline(fleet):
    raw = (
        f"POST /service/{SERVICE}/a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n"
        "Masticdeck-Timeout-Ms: 300\r\n\r\nabc"
    )
    status, _, body = await exchange(fleet, raw.encode())
    assert (status, json.loads(body)["code"]) == (408, "MD2007")


async def test_answer_carries_version_and_instance_and_keeps_the_body(fleet):
    url = f"{fleet.entry_url('entry-1')}/service/{SERVICE}/a%2Fb?c=%20d"
    fields = {"Content-Encoding": "gzip", "Nonce": "n"}
    body = os.urandom(300_000)
    packed = gzip.compress(body)
    async with fleet.session.post(url, data=packed, headers=fields) as response:
        answer = await response.json(content_type=None)
    assert answer["digest"] == hashlib.sha256(body).hexdigest()
    assert answer["path"] == "/a%2Fb?c=%20d"
    assert response.headers["Masticdeck-Version"] == "0"
    assert response.headers["Masticdeck-Instance"] == answer["instance"]
    stats = await fleet.instance_stats()
    assert sum(one["ran"] for one in stats.values()) == 1


@pytest.mark.parametrize("protocol", ["h2c", "websocket"])
async def test_offer_of_a_protocol_does_not_take_the_body(fleet, protocol):
    """Guards against a request that runs without its body."""
    raw = (
        f"POST /service/{SERVICE}/a HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
        f"Upgrade: {protocol}\r\nContent-Length: 5\r\n\r\norder"
    )
    status, _, body = await exchange(fleet, raw.encode())
    assert status == 200
    assert json.loads(body)["digest"] == hashlib.sha256(b"order").hexdigest()


async def test_head_request_keeps_the_length(fleet):
    url = f"{fleet.entry_url('entry-1')}/service/{SERVICE}/a"
    async with fleet.session.head(url) as response:
        length = int(response.headers["Content-Length"])
    async with fleet.session.get(url) as response:
        assert len(await response.read()) == length


async def test_departed_callers_request_is_cancelled_at_the_instance(fleet):
    for instance in fleet.deployment["instances"]:
        if instance["service"] == SERVICE:
            await fleet.control_instance(instance["id"], service_ms=30_000)
    url = f"{fleet.entry_url('entry-1')}/service/{SERVICE}/a"
    task = asyncio.create_task(fleet.session.get(url).__aenter__())
    await until(fleet, lambda one: one["in_flight"] == 1)
    task.cancel()
    await until(fleet, lambda one: one["cancelled"] == 1)


async def test_departed_callers_requests_do_not_follow_one_another(fleet):
    """Guards against requests that reach instances long after their caller left."""
    for instance in fleet.deployment["instances"]:
        if instance["service"] == SERVICE:
            await fleet.control_instance(instance["id"], service_ms=2_000)
    node = fleet.deployment["entries"][0]
    _, writer = await asyncio.open_connection(node["host"], node["http_port"])
    padding = "A: " + "x" * 4_000
    writer.write(get(f"/service/{SERVICE}/a", padding) * 12)
    await until(fleet, lambda one: one["in_flight"] == 1)
    writer.close()
    await until(fleet, lambda one: one["cancelled"] == 1)
    await asyncio.sleep(0.5)
    stats = (await fleet.instance_stats()).values()
    assert sum(one["ran"] + one["in_flight"] + one["cancelled"] for one in stats) == 1


def open_descriptors(pid: int) -> list[str]:
    """Return what the descriptors of a process stand for."""
    return [os.readlink(one) for one in list(Path(f"/proc/{pid}/fd").iterdir())]


async def until(fleet: Fleet, holds) -> None:
    """Wait until one instance's counters meet a condition."""
    async with asyncio.timeout(5):
        while not any(holds(one) for one in (await fleet.instance_stats()).values()):
            await asyncio.sleep(0.02)


async def test_stalled_file_resumes_at_another_instance(fleet):
    url = f"{fleet.entry_url('entry-1')}/service/{SERVICE}/bytes/{FILE_BYTES}"
    async with fleet.session.get(url) as response:
        first = response.headers["Masticdeck-Instance"]
        await response.read()
    await fleet.control_instance(first, piece_s=60)
    async with fleet.session.get(url) as response:
        assert len(await response.read()) == FILE_BYTES


async def test_file_stalled_everywhere_ends_in_a_broken_connection(fleet):
    for instance in fleet.deployment["instances"]:
        if instance["service"] == SERVICE:
            await fleet.control_instance(instance["id"], piece_s=60)
    url = f"{fleet.entry_url('entry-1')}/service/{SERVICE}/bytes/{FILE_BYTES}"
    with pytest.raises(ClientError):
        async with fleet.session.get(url) as response:
            await response.read()


async def test_caller_who_does_not_read_bounds_memory(fleet):
    node = fleet.deployment["entries"][0]
    process = psutil.Process(fleet.processes["entry-1"].pid)
    before = process.memory_info().rss
    writers = []
    for _ in range(8):
        _, writer = await asyncio.open_connection(node["host"], node["http_port"])
        writer.transport.pause_reading()
        writer.write(get(f"/service/{SERVICE}/bytes/50000000"))
        writers.append(writer)
    await asyncio.sleep(1.0)
    assert process.memory_info().rss - before < 40_000_000
    for writer in writers:
        writer.transport.abort()


async def test_order_on_a_broken_connection_is_not_sent_twice(fleet):
    service = "pasutijumi"
    for instance in fleet.deployment["instances"]:
        if instance["service"] == service:
            await fleet.control_instance(instance["id"], lose_answers=1)
    url = f"{fleet.entry_url('entry-1')}/service/{service}/a"
    async with fleet.session.put(url, data=b"birch") as response:
        assert response.status == 502
        assert response.headers["Masticdeck-Outcome"] == "unknown"
    stats = await fleet.instance_stats()
    assert sum(one["ran"] for one in stats.values()) == 1


async def test_entry_opens_no_io_uring_descriptor(fleet):
    names = open_descriptors(fleet.processes["entry-1"].pid)
    assert names
    assert not [name for name in names if "io_uring" in name]
