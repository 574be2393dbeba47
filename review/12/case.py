"""A planned stop while callers still read responses that were sent before it."""

from __future__ import annotations

import asyncio
import socket
import time

from review.harness_3 import Entry, Lab, StandinInstance, main, request_head, route

BODY_BYTES = 540_000
"""The largest response of the site."""

RECEIVE_BUFFER_BYTES = 32_768
READ_BYTES = 20_000
READ_INTERVAL_S = 0.1
"""A caller reads 200 kB in a second, so its response takes 2.7 s."""

STOP_AFTER_S = 0.6
NEXT_AFTER_S = 1.2
REMAINING_MS = 6000
CALLERS = 4


async def answer_whole(instance, request, writer) -> None:
    """Run a request at once and write all of its response."""
    writer.write(instance.head(request, 200, BODY_BYTES) + b"d" * BODY_BYTES)
    await writer.drain()


class SlowCaller:
    """Sends a request, reads its response slowly, and sends the next one meanwhile."""

    def __init__(self, lab: Lab, entry: Entry, number: int) -> None:
        self.lab = lab
        self.entry = entry
        self.ids = [f"first-{number}", f"next-{number}"]
        self.received = 0
        self.is_complete = False

    async def call(self) -> None:
        """Read until the first response is complete or the connection has ended."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            await loop.sock_connect(sock, self.entry.address("frontend"))
            await self.send(sock, self.ids[0])
            began_at = time.monotonic()
            data, end, has_sent_next = b"", 0, False
            while not end or len(data) < end:
                try:
                    part = await asyncio.wait_for(loop.sock_recv(sock, READ_BYTES), 8)
                except OSError as error:
                    self.lab.note(f"{self.ids[0]}: {error!r} after {len(data)} bytes")
                    return
                if not part:
                    self.lab.note(f"{self.ids[0]}: end after {len(data)} bytes")
                    return
                data += part
                self.received = len(data)
                if not end and b"\r\n\r\n" in data:
                    end = data.index(b"\r\n\r\n") + 4 + BODY_BYTES
                    status_line = data.partition(b"\r\n")[0].decode()
                    self.lab.note(f"{self.ids[0]}: {status_line}")
                await asyncio.sleep(READ_INTERVAL_S)
                if not has_sent_next and time.monotonic() - began_at > NEXT_AFTER_S:
                    has_sent_next = True
                    await self.send(sock, self.ids[1])
            self.is_complete = True
            self.lab.note(f"{self.ids[0]}: complete, {end} bytes")

    async def send(self, sock: socket.socket, request_id: str) -> None:
        """Send a request."""
        head = request_head(
            "GET", f"/s/{request_id}", request_id, remaining_ms=REMAINING_MS
        )
        try:
            await asyncio.get_running_loop().sock_sendall(sock, head)
            self.lab.note(f"{request_id} was sent")
        except OSError as error:
            self.lab.note(f"{request_id} could not be sent: {error!r}")


async def case(lab: Lab) -> bool:
    """Stop an entry while callers read; return whether a response was cut."""
    instances = [
        await lab.add_instance(StandinInstance(f"i{number}", "s", act=answer_whole))
        for number in range(2)
    ]
    lab.configure(1, [route("/s/", "safe", "s", timeout="6s", target_latency="1s")])
    entry = await lab.add_entry("entry-1")
    callers = [SlowCaller(lab, entry, number) for number in range(CALLERS)]
    calls = [lab.later(caller.call()) for caller in callers]
    await asyncio.sleep(STOP_AFTER_S)
    if lab.trouble:
        entry.terminate()
    await asyncio.gather(*calls)
    run = {request.id for instance in instances for request in instance.requests}
    cut = [
        caller.ids[0]
        for caller in callers
        if caller.ids[0] in run and not caller.is_complete
    ]
    lab.note(f"run: {', '.join(sorted(run))}")
    lab.note(f"run and cut: {', '.join(cut) or 'none'}")
    return bool(cut)


if __name__ == "__main__":
    main(case, __file__)
