"""A loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

CHUNK_BYTES = 65_536
NO_LINGER = struct.pack("ii", 1, 0)


class Mode(Enum):
    """What the proxy does to bytes and connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_REQUESTS = "cut requests"
    CUT_ANSWERS = "cut answers"
    SILENT = "silent"


CUT = {
    Mode.CUT_REQUESTS: (True, False),
    Mode.CUT_ANSWERS: (False, True),
    Mode.SILENT: (True, True),
}


class FaultProxy:
    """Forwards connections to a target in the mode that is set.

    Bytes that are cut stay cut: a connection that lost some never carries any
    again, as behind a partition whose sender gave up.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.2
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port of the loopback address, by default on a free one."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def set(self, mode: Mode) -> None:
        """Change the mode; RESET also resets what is open."""
        self.mode = mode
        if mode is Mode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            reset(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection both ways until either side ends it."""
        if self.mode is Mode.RESET:
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        ends = (writer, far_writer)
        self.writers.update(ends)
        both = [
            asyncio.create_task(self.pump(reader, far_writer, 0)),
            asyncio.create_task(self.pump(far_reader, writer, 1)),
        ]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in both:
                task.cancel()
            for end in ends:
                end.close()
            self.writers.difference_update(ends)

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: int
    ) -> None:
        """Forward one direction; ``way`` is 0 for requests and 1 for answers."""
        lost = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                lost = lost or CUT.get(self.mode, (False, False))[way]
                if not lost:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        # The transport has closed the socket already.
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
