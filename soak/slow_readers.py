"""Callers that read large answers slowly and send their next request meanwhile."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress

from soak.ledger import Asked
from soak.world import LARGE_PREFIX, Entry, World
from testing.gateway.world import HOST, ZONES, CallerResponse

RECEIVE_BUFFER_BYTES = 32_768
READ_BYTES = 20_000
READ_INTERVAL_S = 0.08
PATIENCE_S = 12.0
"""Longer than three answers take, so that no connection ends by its caller alone."""


class SlowReader:
    """One caller; its choices are its own, so the faults of a seed are as before."""

    def __init__(self, world: World, seed: str) -> None:
        self.world = world
        self.random = random.Random(seed)

    async def run(self) -> None:
        """Read answers one after the other, each on a connection of its own."""
        while True:
            entries = await self.world.resolve(self.random.choice(list(ZONES)))
            if entries:
                with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                    async with asyncio.timeout(PATIENCE_S):
                        await self.use_connection(self.random.choice(entries))
            await asyncio.sleep(0.1)

    async def use_connection(self, entry: Entry) -> None:
        """Send a request, and two more while its answer is read."""
        host, _, port = entry.fields["listen_addresses"]["frontend"].rpartition(":")
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            reader, writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
            asked = [self.send(entry, writer)]
            sending = asyncio.create_task(self.send_on(entry, writer, asked))
            try:
                for one in asked:
                    answer = await self.read(one, reader)
                    if answer.headers.get("connection") == "close":
                        return
            finally:
                sending.cancel()
                writer.close()

    async def send_on(
        self, entry: Entry, writer: asyncio.StreamWriter, asked: list[Asked]
    ) -> None:
        """Send further requests while the first answer is read."""
        for _ in range(2):
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            asked.append(self.send(entry, writer))

    def send(self, entry: Entry, writer: asyncio.StreamWriter) -> Asked:
        """Send one safe request and record it."""
        name = f"{LARGE_PREFIX}{next(self.world.numbers)}"
        asked = Asked(name, False, entry.incarnation, time.monotonic())
        key_lines: list[str] = []
        if self.world.keys is not None:
            asked.key, key_lines, asked.is_to_be_served = self.world.keys.choose()
        self.world.ledger.asked[name] = asked
        lines = [
            f"GET /s/{name} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {name}",
            f"Deadline-Remaining-Ms: {int(PATIENCE_S * 1000)}",
            *key_lines,
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return asked

    async def read(self, asked: Asked, reader: asyncio.StreamReader) -> CallerResponse:
        """Read one answer slowly and record it.

        A caller that gives up has no end to judge.
        """
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status_line, *lines = head.rstrip("\r\n").split("\r\n")
            pairs = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            rest = int(headers.get("content-length", "0"))
            body = b""
            while rest:
                part = await reader.readexactly(min(rest, READ_BYTES))
                body, rest = body + part, rest - len(part)
                await asyncio.sleep(READ_INTERVAL_S)
        except (OSError, asyncio.IncompleteReadError):
            asked.ended_at = time.monotonic()
            raise
        asked.ended_at = time.monotonic()
        asked.status, asked.body = int(status_line.split(" ")[1]), body
        asked.signed = "server-signature" in headers
        return CallerResponse(asked.status, headers, body)
