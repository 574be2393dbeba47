"""Connections to peers that do not read, and over links that are dead."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from masticdeck.transport.http1_client import (
    ExchangeBroken,
    InstanceConnection,
    connect,
)
from masticdeck.transport.link_check import (
    MAX_LOST_PROBES,
    UNACKED_S,
    LinkFigures,
    LinkState,
    judge_link,
)

BODY_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 65_536
REQUEST_HEAD = b"POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
PAUSE_S = 3.0
"""Longer than the unanswered probe of a full window, which comes after 0.7 s."""

CUT_S = 0.3
MARGIN_S = 0.6
"""Time for a check, a retransmission and a busy machine."""


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        yield listening


async def open_pair(
    listener: socket.socket,
) -> tuple[InstanceConnection, socket.socket]:
    """Return both ends of a new connection."""
    port = listener.getsockname()[1]
    connection = await connect("127.0.0.1", port, timeout_s=2)
    accepted, _ = await asyncio.to_thread(listener.accept)
    return connection, accepted


def send_request(connection: InstanceConnection, body: bytes) -> None:
    head = REQUEST_HEAD % len(body)
    connection.begin(head, body, bodyless=False, accepts=lambda *_: True)


async def finish_exchange(
    connection: InstanceConnection, accepted: socket.socket
) -> int:
    """Let the instance read and answer; return the length of the body that it got."""
    received_bytes = await asyncio.to_thread(read_body, accepted)
    assert (await connection.read_head()).status == 200
    assert await connection.read_chunk() == b"whole"
    assert connection.finish()
    return received_bytes


def cut(accepted: socket.socket) -> None:
    """Let the kernel drop all that arrives for a socket, as on a dead link."""
    program = ctypes.create_string_buffer(DROP_ALL)
    option = struct.pack("HL", 1, ctypes.addressof(program))
    accepted.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


def read_body(accepted: socket.socket) -> int:
    """Read a request to the end of its body and answer it."""
    received = accepted.recv(65_536)
    while not received.endswith(b"e"):
        received += accepted.recv(65_536)
    accepted.sendall(ANSWER)
    return len(received.partition(b"\r\n\r\n")[2])


async def test_instance_that_pauses_within_a_body_is_not_taken_for_a_dead_link(
    listener,
):
    """Guards against 502 for a request at which an instance is at work."""
    connection, accepted = await open_pair(listener)
    send_request(connection, b"b" * BODY_BYTES + b"e")
    await asyncio.sleep(PAUSE_S)
    assert connection.link_state is LinkState.WINDOW_FULL
    assert await finish_exchange(connection, accepted) == BODY_BYTES + 1
    connection.close()
    accepted.close()


@pytest.mark.parametrize("earlier_exchanges", [0, 1])
async def test_dead_link_breaks_the_exchange_within_a_bound(
    listener, earlier_exchanges
):
    """Guards against waiting for an instance without power until the deadline."""
    connection, accepted = await open_pair(listener)
    for _ in range(earlier_exchanges):
        send_request(connection, b"e")
        await finish_exchange(connection, accepted)
        await asyncio.sleep(UNACKED_S + MARGIN_S)
    cut(accepted)
    sent_at = time.monotonic()
    send_request(connection, b"e")
    with pytest.raises(ExchangeBroken, match="link is dead"):
        async with asyncio.timeout(4.0):
            await connection.read_head()
    assert UNACKED_S <= time.monotonic() - sent_at < UNACKED_S + MARGIN_S
    accepted.close()


async def test_link_that_dies_behind_a_full_window_breaks_the_exchange(listener):
    """Guards against taking a dead link for an instance that does not read."""
    connection, accepted = await open_pair(listener)
    send_request(connection, b"b" * BODY_BYTES + b"e")
    await asyncio.sleep(CUT_S)
    cut(accepted)
    with pytest.raises(ExchangeBroken, match="link is dead"):
        async with asyncio.timeout(10.0):
            await connection.read_head()
    accepted.close()


async def test_instance_that_has_got_a_request_is_waited_for(listener):
    connection, accepted = await open_pair(listener)
    send_request(connection, b"e")
    await asyncio.sleep(2 * UNACKED_S)
    assert connection.link_state is LinkState.QUIET
    await finish_exchange(connection, accepted)
    connection.close()
    accepted.close()


@pytest.mark.parametrize(
    ("figures", "waited_s", "state"),
    [
        (None, 60.0, LinkState.PENDING),
        (LinkFigures(0, 0, 0, 0, 60.0), 60.0, LinkState.QUIET),
        (LinkFigures(9, 1, 1, 0, 60.0), UNACKED_S / 2, LinkState.PENDING),
        (LinkFigures(9, 1, 1, 0, UNACKED_S / 2), 60.0, LinkState.PENDING),
        (LinkFigures(9, 1, 0, 0, 60.0), 60.0, LinkState.PENDING),
        (LinkFigures(9, 1, 1, 0, 60.0), UNACKED_S, LinkState.DEAD),
        (LinkFigures(9, 0, 0, 0, 60.0), 60.0, LinkState.WINDOW_FULL),
        (LinkFigures(9, 0, 0, MAX_LOST_PROBES, 60.0), 60.0, LinkState.WINDOW_FULL),
        (LinkFigures(9, 0, 0, MAX_LOST_PROBES + 1, 60.0), 60.0, LinkState.DEAD),
    ],
)
def test_state_of_a_link(figures, waited_s, state):
    assert judge_link(figures, waited_s) is state
