"""Downloads one file after the other from an entry that is stopped meanwhile."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any

from review.harness import Deployment, Record, main, route
from review.http import AnswerIncomplete, read_answer, request_bytes
from testing.platform.standin_instance import StandinInstance

CLIENTS = 3
DEADLINE_MS = 4000
ROUTE_TIMEOUT = "4000ms"

LONG_BODY = bytes(500_000)
LONG_BODY_S = 3.65
"""Seconds in which an instance delivers the long file, below its time-out."""

PARTS = 25
SHORT_BODY = bytes(20_000)
SHORT_WORK_S = 2.1
"""Seconds of work for the short file; the users' sheet has 2.16 as the longest."""

STOP_AFTER_S = 0.2
"""Seconds from the first request to the SIGTERM."""

EXCUSED_S = 3.0
"""Seconds after the SIGTERM in which a request that is cut late is excused."""

GRACE_S = 6.0


async def deliver(instance: StandinInstance, request: Any, writer: Any) -> None:
    """Deliver the long file in parts, or the short one after its work."""
    if "/long" in request.target:
        writer.write(instance.head(request, 200, len(LONG_BODY)))
        step = len(LONG_BODY) // PARTS
        for number in range(PARTS):
            writer.write(LONG_BODY[number * step : (number + 1) * step])
            await asyncio.sleep(LONG_BODY_S / PARTS)
    else:
        await asyncio.sleep(SHORT_WORK_S)
        writer.write(instance.head(request, 200, len(SHORT_BODY)) + SHORT_BODY)


class Client:
    """One client that sends two requests on one connection."""

    def __init__(self, record: Record, number: int) -> None:
        self.record = record
        self.number = number
        self.cut_request = ""
        self.sent_at = 0.0
        self.ended_at = 0.0

    async def run(self, address: tuple[str, int]) -> None:
        """Download a long and then a short file, if the connection stays open."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            for target in ("/cufi502/long", "/cufi502/short"):
                name = f"{target.rsplit('/', 1)[1]}-{self.number}"
                request = request_bytes("GET", target, name, remaining_ms=DEADLINE_MS)
                self.sent_at = time.monotonic()
                writer.write(request)
                self.record.add(f"client {self.number} sent {name}")
                answer = await read_answer(reader)
                self.record.add(
                    f"client {self.number} got {answer.status} for {name},"
                    f" {len(answer.body)} bytes, closes: {answer.closes}"
                )
                if answer.closes:
                    return
        except AnswerIncomplete as error:
            self.ended_at = time.monotonic()
            self.cut_request = name
            self.record.add(f"client {self.number} got no answer for {name}: {error}")
        finally:
            writer.close()


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Stop the entry while the clients download, and look for cut requests."""
    instances = [
        StandinInstance(f"i-{number}", "raksti", act=deliver, slots=3)
        for number in range(3)
    ]
    routes = [route("/cufi502/", "download", "raksti", ROUTE_TIMEOUT)]
    entry = await deployment.start(routes, instances)
    clients = [Client(record, number) for number in range(CLIENTS)]
    runs = [
        asyncio.create_task(client.run(entry.address("frontend"))) for client in clients
    ]
    await asyncio.sleep(STOP_AFTER_S)
    stopped_at = time.monotonic()
    if trouble:
        entry.send(signal.SIGTERM)
        record.add("SIGTERM sent to the entry")
    await asyncio.gather(*runs)
    ran = {request.id for instance in instances for request in instance.requests}
    for name in sorted(ran):
        record.add(f"an instance ran {name}")
    return [
        f"LOST {client.cut_request}: sent {client.sent_at - stopped_at:.2f} s after the"
        f" SIGTERM, passed on, and its connection ended"
        f" {client.ended_at - stopped_at:.2f} s after the SIGTERM"
        for client in clients
        if client.cut_request in ran
        and client.sent_at - stopped_at > EXCUSED_S
        and client.ended_at - stopped_at < GRACE_S + 1
    ]


if __name__ == "__main__":
    main(play)
