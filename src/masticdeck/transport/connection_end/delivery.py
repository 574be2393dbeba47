"""How much of what was written has reached the other side.

Bytes in the kernel's send buffer are not with the caller: if the process closes the
socket, and the caller sends anything, the kernel drops them and sends a reset.
"""

from __future__ import annotations

import asyncio
import fcntl
import math
import struct
import termios
from typing import final

INT = struct.Struct("i")


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the bytes in the kernel that the other side has not acknowledged.

    An ended sending side counts as one byte. None if the kernel does not tell, as for
    sockets that are not TCP; see ``SIOCOUTQ`` in tcp(7).
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return None
    try:
        [size] = INT.unpack(
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT.size))
        )
    except (OSError, ValueError):
        return None
    return int(size)


@final
class Delivery:
    """What a caller has not got yet of what was written to its connection.

    ``written_at`` is when bytes were last written, and ``progressed_at`` when the
    figures last changed, in seconds since boot. Without a figure of the kernel only the
    bytes that the process holds count.
    """

    __slots__ = (
        "held_bytes",
        "is_complete",
        "kernel_bytes",
        "progressed_at",
        "written_at",
    )

    def __init__(self, now: float) -> None:
        self.held_bytes = 0
        self.kernel_bytes: int | None = 0
        self.is_complete = True
        self.progressed_at = now
        self.written_at = -math.inf

    def record_write(self, now: float) -> None:
        """Take in that bytes were written."""
        self.written_at = now
        if self.is_complete:
            self.is_complete = False
            self.progressed_at = now

    def update(self, transport: asyncio.Transport, now: float) -> int:
        """Return the number of bytes that have not been delivered."""
        if self.is_complete:
            return 0
        held_bytes = transport.get_write_buffer_size()
        kernel_bytes = unacknowledged_bytes(transport)
        if (held_bytes, kernel_bytes) != (self.held_bytes, self.kernel_bytes):
            self.progressed_at = now
        self.held_bytes, self.kernel_bytes = held_bytes, kernel_bytes
        undelivered = held_bytes + (kernel_bytes or 0)
        self.is_complete = not undelivered
        return undelivered

    def stalled_s(self, now: float) -> float:
        """Return for how long the caller has taken no bytes, 0 with none left."""
        return 0.0 if self.is_complete else now - self.progressed_at
