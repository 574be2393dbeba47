"""Stand-in for a slow link between regions: a relay that delays, paces and drops.

One process carries every connection over the link. All share its rate, in the
order in which their pieces arrive; a lost piece stalls its own connection for
the retransmission timeout, as TCP would. ``POST /control`` on the control
port sets ``loss`` and ``bytes_per_s``; ``GET /stats`` tells what passed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

PIECE_BYTES = 32_768
RETRANSMIT_S = 0.2


class Link:
    """The link's settings, its queue and its counts."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.delay_s: float = settings["delay_s"]
        self.faults: dict[str, Any] = {
            "loss": settings["loss"],
            "bytes_per_s": settings["bytes_per_s"],
        }
        self.random = random.Random(settings["seed"])
        self.free_at = 0.0
        self.passed = 0
        self.lost = 0

    async def transmit(self, size: int) -> None:
        """Wait until the link has carried a piece, and again when it was lost."""
        loop = asyncio.get_running_loop()
        begins = max(loop.time(), self.free_at)
        self.free_at = begins + size / self.faults["bytes_per_s"]
        ends = self.free_at + self.delay_s
        if self.random.random() < self.faults["loss"]:
            self.lost += 1
            ends += RETRANSMIT_S
        self.passed += size
        await asyncio.sleep(ends - loop.time())

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        """Carry one direction of a connection to its end."""
        try:
            while piece := await reader.read(PIECE_BYTES):
                if answers:
                    await self.transmit(len(piece))
                else:
                    await asyncio.sleep(self.delay_s)
                writer.write(piece)
                await writer.drain()
        finally:
            writer.close()

    def carry(
        self, host: str, port: int
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        """Return a handler of connections to one instance."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    host, port, limit=PIECE_BYTES
                )
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.pump(reader, far_writer, answers=False))
                    group.create_task(self.pump(far_reader, writer, answers=True))
            except* OSError:
                writer.close()

        return handle

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer on the control port."""
        if request.path == "/control":
            self.faults.update(await request.json())
        return web.json_response({"passed": self.passed, "lost": self.lost})


async def serve(settings: dict[str, Any]) -> None:
    """Relay every listed port until the process is told to stop."""
    link = Link(settings)
    for line in settings["ports"]:
        await asyncio.start_server(
            link.carry(line["host"], line["to"]), "127.0.0.1", line["port"], limit=65536
        )
    runner = web.ServerRunner(web.Server(link.handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", settings["control_port"]).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is told to stop."""
    os.environ["UV_USE_IO_URING"] = "0"
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", type=Path, required=True)
    arguments = parser.parse_args()
    import uvloop

    uvloop.run(serve(json.loads(arguments.settings.read_text(encoding="utf-8"))))


if __name__ == "__main__":
    main()
