"""Orders in flight while the platform watches the memory of an entry.

A process that exceeds its memory is killed, and the orders that it has passed on lose
their answers.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

from review.harness import Entry, Record
from review.http import AnswerIncomplete, read_answer, request_bytes
from testing.platform.standin_instance import StandinInstance

MEMORY_MB = 300
"""Memory above which the platform kills a process."""

CHECK_INTERVAL_S = 0.02

CLIENTS = 16
INSTANCES = 8
ORDER_WORK_S = 1.16
"""Work of an order, as the mean of `order-place`."""

ORDER_TIMEOUT = "4000ms"

LOST_ALLOWED = 3
"""Requests that the rule allows to lose."""


class Platform:
    """Kills the entry when its memory exceeds the limit, as the platform does."""

    def __init__(self, entry: Entry, record: Record) -> None:
        self.entry = entry
        self.record = record
        self.peak_mb = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Read the memory of the process until it is killed."""
        while not self.killed:
            with suppress(OSError, ValueError):
                self.peak_mb = max(self.peak_mb, self.entry.memory_mb())
            if self.peak_mb > MEMORY_MB:
                self.killed = True
                self.record.add(f"the entry has {self.peak_mb:.0f} MB and is killed")
                await self.entry.end()
            await asyncio.sleep(CHECK_INTERVAL_S)


class Client:
    """Places orders on one kept connection until it ends."""

    def __init__(self, record: Record, number: int) -> None:
        self.record = record
        self.number = number
        self.cut: set[str] = set()

    async def run(self, address: tuple[str, int]) -> None:
        """Place one order after the other, out of step with the other clients."""
        await asyncio.sleep(self.number * ORDER_WORK_S / CLIENTS)
        reader, writer = await asyncio.open_connection(*address)
        try:
            for count in range(1000):
                name = f"order-{self.number}-{count}"
                self.record.add(f"client {self.number} sent {name}")
                writer.write(
                    request_bytes(
                        "POST", "/puka111/1", name, remaining_ms=6000, body=b"spoon"
                    )
                )
                try:
                    answer = await read_answer(reader)
                except AnswerIncomplete as error:
                    # The first order of a connection is not on a kept one.
                    if count:
                        self.cut.add(name)
                    self.record.add(f"client {self.number} lost {name}: {error}")
                    return
                self.record.add(f"client {self.number} got {answer.status} for {name}")
        finally:
            writer.close()


def order_instances() -> list[StandinInstance]:
    """Return the sound instances that run the orders."""
    return [
        StandinInstance(f"i-{number}", "pasutijumi", act=run_order)
        for number in range(INSTANCES)
    ]


async def run_order(instance: StandinInstance, request: Any, writer: Any) -> None:
    """Run an order."""
    await asyncio.sleep(ORDER_WORK_S)
    writer.write(instance.head(request, 200, 2) + b"ok")


class Orders:
    """Clients that place orders while the platform watches the entry."""

    def __init__(self, entry: Entry, record: Record) -> None:
        self.record = record
        self.platform = Platform(entry, record)
        self.clients = [Client(record, number) for number in range(CLIENTS)]
        address = entry.address("frontend")
        self.tasks = [asyncio.create_task(one.run(address)) for one in self.clients]
        self.tasks.append(asyncio.create_task(self.platform.watch()))

    async def finish(self, instances: list[StandinInstance]) -> list[str]:
        """Stop the clients; return the breach of the rule, if there is one."""
        self.record.add(f"the entry had {self.platform.peak_mb:.0f} MB at most")
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        ran = {request.id for instance in instances for request in instance.requests}
        for name in sorted(ran):
            self.record.add(f"an instance ran {name}")
        lost = sorted(set().union(*(client.cut for client in self.clients)) & ran)
        for name in lost:
            self.record.add(f"{name} was run, its client got no answer")
        if len(lost) <= LOST_ALLOWED:
            return []
        return [
            f"LOST {len(lost)} orders were passed on to sound instances and their kept"
            " connections closed without an answer"
        ]
