"""A stand-in of a backend instance that speaks the platform's headers.

``act`` decides how the next requests are answered; every request that arrives
is kept in ``requests`` as it was received, and ``running`` counts those at work. While
``leaving`` is set, every answer says so.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class ReceivedRequest:
    """A request as an instance received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the caller's id of the request."""
        return self.headers.get("attempt-id", "")


Act = Callable[["StandinInstance", ReceivedRequest, asyncio.StreamWriter], Awaitable]


async def answer_well(
    instance: StandinInstance, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer with the instance's id and the request's path."""
    body = f"{instance.id} {request.target}".encode()
    writer.write(instance.head(request, 200, len(body)) + body)


@dataclass(eq=False)
class StandinInstance:
    """An instance on a free port of the loopback address."""

    id: str
    service: str
    zone: str = "cesis-a"
    slots: int = 4
    born: int = 1
    act: Act = answer_well
    requests: list[ReceivedRequest] = field(default_factory=list)
    leaving: bool = False
    running: int = 0
    cancelled: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def start_again(self) -> None:
        """Listen at the address of before."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def record(
        self,
        *,
        state: str = "ready",
        cold_ms: int = 0,
        born: int = 0,
        sequence: int = 1,
    ) -> bytes:
        """Return the record that the instance writes of itself, or of another start."""
        fixed = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": self.slots,
        }
        status = {
            "state": state,
            "sequence": sequence,
            "cold_remaining": f"{cold_ms}ms",
        }
        fields = {"address": self.address, "information": fixed, "status": status}
        return json.dumps({**fields, "born": born or self.born}).encode()

    def head(
        self, request: ReceivedRequest, status: int, length: int | None, extra: str = ""
    ) -> bytes:
        """Return the head of a signed answer."""
        lines = [
            f"HTTP/1.1 {status} Stand-in",
            f"Attempt-Id: {request.id}",
            "Server-Signature: signed",
            f"Server-Load: {self.running},0,{self.slots}",
        ]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        if self.leaving:
            lines.append("Server-Leaving: 1")
        if extra:
            lines.append(extra)
        return "\r\n".join([*lines, "", ""]).encode()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection in turn."""
        try:
            while True:
                request = await read_request(reader)
                self.requests.append(request)
                self.arrived.set()
                await self.work(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def work(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request until it is answered or its connection closes."""
        if request.headers.get("expected-instance", self.id) != self.id:
            writer.write(self.head(request, 421, 0, "Not-Executed: 1"))
            return
        self.running += 1
        acting = asyncio.ensure_future(self.act(self, request, writer))
        closing = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({acting, closing}, return_when="FIRST_COMPLETED")
            if acting.done():
                await acting
            else:
                self.cancelled += 1
                raise ConnectionResetError("the caller left")
            await writer.drain()
        finally:
            self.running -= 1
            acting.cancel()
            closing.cancel()
            await asyncio.wait({closing})


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request whose body, if any, has a stated length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)
