"""Sends a second request with ``Expect`` while the first is being answered."""

from __future__ import annotations

import asyncio
from typing import Any

from review.harness import Deployment, Record, main, route
from review.http import AnswerIncomplete, read_answer, request_bytes
from testing.platform.standin_instance import StandinInstance

FILE = bytes(range(250)) * 800
"""The file of 200,000 bytes; the users' sheet has 540,000 as the largest answer."""

PARTS = 10
PART_INTERVAL_S = 0.05
SECOND_AFTER_S = 0.2
BODY = b"which spoons are left?"
ROUNDS = 5


async def run_request(instance: StandinInstance, request: Any, writer: Any) -> None:
    """Deliver the file in parts, or echo the body of the second request."""
    if request.method == "GET":
        writer.write(instance.head(request, 200, len(FILE)))
        step = len(FILE) // PARTS
        for number in range(PARTS):
            writer.write(FILE[number * step : (number + 1) * step])
            await asyncio.sleep(PART_INTERVAL_S)
    else:
        writer.write(instance.head(request, 200, len(request.body)) + request.body)


async def play(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Send two requests on each connection and compare what is answered."""
    instances = [
        StandinInstance(f"i-{number}", "krajums", act=run_request)
        for number in range(2)
    ]
    routes = [route("/leny950/", "safe", "krajums", "4000ms")]
    entry = await deployment.start(routes, instances)
    breaches: list[str] = []
    for number in range(ROUNDS):
        reader, writer = await asyncio.open_connection(*entry.address("frontend"))
        writer.write(
            request_bytes("GET", "/leny950/file", f"get-{number}", remaining_ms=4000)
        )
        record.add(f"client sent get-{number}")
        await asyncio.sleep(SECOND_AFTER_S)
        second = request_bytes(
            "POST",
            "/leny950/query",
            f"post-{number}",
            remaining_ms=4000,
            body=BODY,
            extra="Expect: 100-continue" if trouble else "",
        )
        writer.write(second)
        record.add(f"client sent post-{number} behind it, Expect: {trouble}")
        try:
            for name, body in ((f"get-{number}", FILE), (f"post-{number}", BODY)):
                answer = await read_answer(reader)
                whole = answer.body == body
                record.add(
                    f"client got {answer.status} for {name}, Server-Signature:"
                    f" {answer.headers.get('server-signature')}, whole body: {whole}"
                )
                if answer.status == 200 and not whole:
                    at = answer.body.find(b"HTTP/1.1")
                    breaches.append(
                        f"MIXED {name}: the body is not the instance's, it has"
                        f" {answer.body[at : at + 25]!r} at byte {at}"
                    )
                    break
        except (AnswerIncomplete, ValueError, IndexError) as error:
            record.add(f"client got no valid answer: {error!r}")
        writer.close()
    return breaches


if __name__ == "__main__":
    main(play)
