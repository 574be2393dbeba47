"""Socket options of connections on which requests are sent."""

from __future__ import annotations

import asyncio
import socket
import struct


def set_reset_on_close(transport: asyncio.BaseTransport, enabled: bool) -> None:
    """Choose whether the end of a connection resets it.

    The kernel goes on delivering what was written to a connection that is closed in
    an orderly way, also by the end of its process: a request that a partition holds
    up runs seconds after it was given up. A reset discards such bytes on both sides.
    The option is left alone on a transport that is closing, whose descriptor may
    already belong to another connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return
    linger = struct.pack("ii", int(enabled), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
