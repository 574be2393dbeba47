"""Sends a trailer without end from one instance while others run orders."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from review.harness import Deployment, Record, main, route
from review.http import AnswerIncomplete, read_answer, request_bytes
from review.orders import ORDER_TIMEOUT, Orders, order_instances
from testing.platform.standin_instance import StandinInstance

LINK_BYTES_PER_S = 100_000_000
"""Rate of the faulty instance; a link of 1,000 Mbit/s carries 125,000,000 bytes."""

PART = b"x" * 48_000
"""Part of the trailer that is written at once."""

DOWNLOADS = 12
"""Downloads that come at once; the users' sheet has 12.9 of them a second."""

DOWNLOAD_TIMEOUT = "4000ms"
DOWNLOAD_WAIT_S = 4.0
WORK_S = 0.05
BEFORE_S = 2.5
AFTER_S = 1.0


async def deliver(instance: StandinInstance, request: Any, writer: Any) -> None:
    """Answer a download well."""
    await asyncio.sleep(WORK_S)
    writer.write(instance.head(request, 200, 2) + b"ok")


class Link:
    """Bounds what the faulty instance sends on all connections together."""

    def __init__(self) -> None:
        self.free_at = 0.0

    async def pass_on(self, size: int) -> None:
        """Wait until the link is free and occupy it for a number of bytes."""
        now = time.monotonic()
        starts_at = max(now, self.free_at)
        self.free_at = starts_at + size / LINK_BYTES_PER_S
        await asyncio.sleep(starts_at - now)


LINK = Link()


async def flood(instance: StandinInstance, request: Any, writer: Any) -> None:
    """Answer a download with a trailer that ends only when the caller closes."""
    head = instance.head(request, 200, None, "Transfer-Encoding: chunked")
    writer.write(head + b"3\r\nabc\r\n0\r\nA: ")
    while not writer.is_closing():
        await LINK.pass_on(len(PART))
        writer.write(PART)
        await writer.drain()


async def download(address: tuple[str, int], record: Record, number: int) -> None:
    """Send one download."""
    name = f"pattern-{number}"
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError as error:
        record.add(f"client cannot connect for {name}: {error!r}")
        return
    writer.write(request_bytes("GET", "/cufi502/1", name, remaining_ms=4000))
    record.add(f"client sent {name}")
    try:
        async with asyncio.timeout(DOWNLOAD_WAIT_S):
            answer = await read_answer(reader)
        record.add(f"client got {answer.status} for {name}")
    except (AnswerIncomplete, TimeoutError) as error:
        record.add(f"client got no answer for {name}: {error!r}")
    writer.close()


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Let one instance fail while the instances of another service run orders."""
    instances = order_instances()
    instances += [
        StandinInstance(f"r-{number}", "raksti", act=deliver) for number in range(3)
    ]
    if trouble:
        instances[-3].act = flood
    routes = [
        route("/puka111/", "unsafe", "pasutijumi", ORDER_TIMEOUT),
        route("/cufi502/", "download", "raksti", DOWNLOAD_TIMEOUT),
    ]
    entry = await deployment.start(routes, instances)
    orders = Orders(entry, record)
    await asyncio.sleep(BEFORE_S)
    address = entry.address("frontend")
    await asyncio.gather(
        *(download(address, record, number) for number in range(DOWNLOADS))
    )
    await asyncio.sleep(AFTER_S)
    return await orders.finish(instances)


if __name__ == "__main__":
    main(play)
