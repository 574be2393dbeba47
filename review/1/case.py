"""Sends orders with and without the offer of another protocol in their headers."""

from __future__ import annotations

import asyncio
from typing import Any

from review.harness import HOST, Deployment, Record, main, route
from testing.platform.standin_instance import StandinInstance

ORDERS = 5
ANSWER_TIMEOUT_S = 5.0
STRAY_TIMEOUT_S = 0.5
OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n"
)


async def run_order(instance: StandinInstance, request: Any, writer: Any) -> None:
    """Run an order and answer with what was ordered."""
    body = b"order %b" % request.body
    writer.write(instance.head(request, 200, len(body)) + body)


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Place orders, one on each connection, and compare what was sent and run."""
    instances = [
        StandinInstance(f"i-{number}", "pasutijumi", act=run_order)
        for number in range(2)
    ]
    routes = [route("/puka111/", "unsafe", "pasutijumi", "1500ms")]
    entry = await deployment.start(routes, instances)
    breaches: list[str] = []
    for number in range(ORDERS):
        body = b"spoon-%d" % number
        name = f"9c41d07be2a3{number:04x}"
        head = (
            f"POST /puka111/{number} HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            f"Attempt-Id: {name}\r\n"
            "Deadline-Remaining-Ms: 6000\r\n"
            f"{OFFER if trouble else ''}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(*entry.address("frontend"))
        writer.write(head.encode() + body)
        record.add(f"client sent {name} POST with body {body!r}")
        try:
            record.add(f"client got {await read_answer(reader)!r}")
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            record.add(f"client got no answer: {error!r}")
        stray = b""
        try:
            async with asyncio.timeout(STRAY_TIMEOUT_S):
                stray = await reader.read(4096)
        except (ConnectionError, TimeoutError):
            pass
        if stray:
            record.add(f"client got with no request waiting {stray!r}")
        writer.close()
        for instance in instances:
            for ran in instance.requests:
                if ran.id != name:
                    continue
                record.add(f"{instance.id} ran {ran.id} with body {ran.body!r}")
                if ran.body != body:
                    breaches.append(
                        f"UNASKED {name} ran with body {ran.body!r}, not {body!r}"
                    )
    return breaches


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the status line and the body of one answer."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in head.split("\r\n"):
            key, _, value = line.partition(":")
            if key.lower() == "content-length":
                length = int(value)
        return head.split("\r\n")[0], await reader.readexactly(length)


if __name__ == "__main__":
    main(play)
