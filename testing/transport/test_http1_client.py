"""Connections to instances: whole, cut, late and unasked answers."""

from __future__ import annotations

import asyncio
import socket
import struct
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from contextlib import suppress

import pytest

from masticdeck.transport.http1_client import (
    MAX_BUFFERED_BYTES,
    MAX_FRAMING_BYTES,
    MAX_PARTS_PER_TURN,
    READ_BUFFER,
    SMALL_SLICE_BYTES,
    ExchangeBroken,
    InstanceConnection,
    connect,
)
from testing.invalid_statuses import INTERIM_STATUSES, INVALID_STATUSES

REQUEST = b"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
EXTRA = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: old\r\n\r\nother"


class RawInstance:
    """A socket that answers the first request with bytes of the test's choice."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]

    def accept(self) -> socket.socket:
        """Return the accepted connection after it received a request."""
        connection, _ = self.listener.accept()
        while b"\r\n\r\n" not in connection.recv(65_536):
            pass
        return connection


@pytest.fixture
def instance():
    raw = RawInstance()
    yield raw
    raw.listener.close()


async def ask(
    instance: RawInstance,
    act: Callable[[socket.socket], None],
    accepts: Callable[[int, list[tuple[bytes, bytes]]], bool] = lambda *_: True,
) -> tuple[InstanceConnection, bytes]:
    """Send a request, let the instance act, and return the body of the answer."""
    connection = await connect("127.0.0.1", instance.port, timeout_s=2)
    connection.begin(REQUEST, bodyless=False, accepts=accepts)
    raw = await asyncio.to_thread(instance.accept)
    act(raw)
    await connection.read_head()
    body = b""
    while part := await connection.read_chunk():
        body += part
    return connection, body


def reset(raw: socket.socket) -> None:
    """Close with a reset."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    raw.close()


async def test_answer_without_length_ends_with_an_orderly_close(instance):
    def act(raw: socket.socket) -> None:
        raw.sendall(UNFRAMED)
        raw.close()

    connection, body = await ask(instance, act)
    assert body == b"first"
    assert not connection.finish()


async def test_answer_without_length_is_broken_by_a_reset_beside_its_data(instance):
    def act(raw: socket.socket) -> None:
        raw.sendall(UNFRAMED)
        reset(raw)
        # Both reach the loop in one turn, as they do over a slow link.
        time.sleep(0.05)

    with pytest.raises(ExchangeBroken):
        await ask(instance, act)


async def test_answer_cut_before_its_stated_length_is_broken(instance):
    def act(raw: socket.socket) -> None:
        raw.sendall(WHOLE[:-2])
        raw.close()

    with pytest.raises(ExchangeBroken):
        await ask(instance, act)


async def test_answer_to_an_earlier_request_is_dropped(instance):
    def accepts(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        return (b"Id", b"old") not in headers

    connection, body = await ask(
        instance, lambda raw: raw.sendall(EXTRA + WHOLE), accepts
    )
    assert body == b"first"
    assert not connection.finish()


@pytest.mark.parametrize(
    "surplus", [pytest.param(EXTRA, id="answer"), pytest.param(b"x", id="bytes")]
)
async def test_connection_with_surplus_bytes_is_not_used_again(instance, surplus):
    connection, body = await ask(instance, lambda raw: raw.sendall(WHOLE + surplus))
    assert body == b"first"
    assert not connection.finish()


async def test_whole_answer_leaves_the_connection_reusable(instance):
    connection, body = await ask(instance, lambda raw: raw.sendall(WHOLE))
    assert body == b"first"
    assert connection.finish()
    connection.close()


@pytest.mark.parametrize(
    "part",
    [
        pytest.param(b"", id="no answer"),
        pytest.param(UNFRAMED, id="part of an unframed answer"),
        pytest.param(WHOLE[:-2], id="part of a framed answer"),
    ],
)
async def test_request_that_is_given_up_is_reset(instance, part):
    """Guards against a request that runs when a partition that held it up ends."""
    connection = await connect("127.0.0.1", instance.port, timeout_s=2)
    connection.begin(REQUEST, bodyless=False, accepts=lambda *_: True)
    raw = await asyncio.to_thread(instance.accept)
    raw.sendall(part)
    if part:
        await connection.read_head()
    assert not connection.finish()
    with raw, pytest.raises(ConnectionResetError):
        await asyncio.to_thread(raw.recv, 1)


KILLED_SENDER = """
import asyncio, os, signal, sys
from masticdeck.transport.http1_client import connect

async def main():
    connection = await connect("127.0.0.1", int(sys.argv[1]), timeout_s=2)
    connection.begin(sys.argv[2].encode(), bodyless=False, accepts=lambda *_: True)
    await asyncio.sleep(0.2)
    os.kill(os.getpid(), signal.SIGKILL)

asyncio.run(main())
"""


def test_request_of_a_killed_process_is_reset(instance):
    arguments = [sys.executable, "-c", KILLED_SENDER, str(instance.port), REQUEST]
    with subprocess.Popen(arguments):
        raw = instance.accept()
        with raw, pytest.raises(ConnectionResetError):
            raw.recv(1)


async def test_idle_connection_ends_in_an_orderly_way(instance):
    kept: list[socket.socket] = []

    def act(raw: socket.socket) -> None:
        kept.append(raw)
        raw.sendall(WHOLE)

    connection, _ = await ask(instance, act)
    assert connection.finish()
    connection.close()
    with kept[0] as raw:
        assert await asyncio.to_thread(raw.recv, 1) == b""


async def test_bytes_on_an_idle_connection_close_it(instance):
    kept: list[socket.socket] = []

    def act(raw: socket.socket) -> None:
        kept.append(raw)
        raw.sendall(WHOLE)

    connection, _ = await ask(instance, act)
    ended = asyncio.get_running_loop().create_future()
    assert connection.finish()
    connection.on_idle_end = ended.set_result
    kept[0].sendall(EXTRA)
    assert await asyncio.wait_for(ended, 5) is connection
    assert connection.closed


async def test_bytes_that_are_no_answer_break_the_exchange(instance):
    with pytest.raises(ExchangeBroken):
        await ask(instance, lambda raw: raw.sendall(b"rubbish\r\n\r\n"))


async def test_interim_answers_are_passed_over(instance):
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    _, body = await ask(instance, lambda raw: raw.sendall(interim + WHOLE))
    assert body == b"first"


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"0\r\nA: ", b"x" * 48_000, id="one trailer"),
        pytest.param(b"0\r\n", b"A: b\r\n" * 8_000, id="many trailers"),
        pytest.param(b"5;a=", b"x" * 48_000, id="chunk extension"),
    ],
)
async def test_framing_without_end_breaks_the_exchange_within_a_bound(
    instance, start, piece
):
    """Guards against a process that runs out of memory over an endless trailer."""
    connection = await connect("127.0.0.1", instance.port, timeout_s=2)
    connection.begin(REQUEST, bodyless=False, accepts=lambda *_: True)
    raw = await asyncio.to_thread(instance.accept)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    connection.data_received(head + start)
    accepted_bytes = 0
    while not connection.closed and accepted_bytes < 100 * MAX_FRAMING_BYTES:
        connection.data_received(piece)
        accepted_bytes += len(piece)
    assert accepted_bytes <= MAX_FRAMING_BYTES + len(piece)
    assert await connection.read_chunk() == b"abc"
    with pytest.raises(ExchangeBroken, match="trailer"):
        await connection.read_chunk()
    raw.close()


async def test_short_chunks_and_trailers_do_not_exhaust_the_bound(instance):
    """The bound applies between two parts of a body, not to the whole answer."""
    chunk = b"1;extension=" + b"x" * 50 + b"\r\na\r\n"
    count = 2 * MAX_FRAMING_BYTES // len(chunk)

    def act(raw: socket.socket) -> None:
        raw.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        raw.sendall(chunk * count + b"0\r\nA: b\r\n\r\n")

    connection, body = await ask(instance, act)
    assert body == b"a" * count
    assert connection.finish()
    connection.close()


TINY_CHUNK = b"2\r\nab\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def begin_chunked(instance) -> tuple[InstanceConnection, socket.socket]:
    """Return a connection that has received the head of a chunked answer."""
    connection = await connect("127.0.0.1", instance.port, timeout_s=2)
    connection.begin(REQUEST, bodyless=False, accepts=lambda *_: True)
    raw = await asyncio.to_thread(instance.accept)
    connection.data_received(CHUNKED_HEAD)
    return connection, raw


async def test_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes(instance):
    """Guards against a process that runs out of memory over objects for chunks."""
    connection, raw = await begin_chunked(instance)
    count = 30_000
    data = TINY_CHUNK * count
    tracemalloc.start()
    connection.data_received(data)
    while connection.unparsed:
        await asyncio.sleep(0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert connection.buffered == 2 * count
    assert held < 2 * connection.buffered
    raw.sendall(b"0\r\n\r\n")
    body = b""
    while part := await connection.read_chunk():
        body += part
    assert body == b"ab" * count
    raw.close()


async def test_body_in_tiny_chunks_leaves_other_connections_their_turns(instance):
    """Guards against seconds in which a process answers nobody else."""
    connection, raw = await begin_chunked(instance)
    connection.data_received(TINY_CHUNK * 40_000)
    sizes = []
    while connection.unparsed:
        before = connection.buffered
        await asyncio.sleep(0)
        sizes.append(connection.buffered - before)
    assert len(sizes) > 30
    assert max(sizes) <= 2 * MAX_PARTS_PER_TURN + SMALL_SLICE_BYTES
    connection.close()
    raw.close()


async def test_body_that_nobody_reads_is_not_collected(instance):
    """Guards against an endless body that piles up behind a caller that stalls."""
    connection, raw = await begin_chunked(instance)
    raw.setblocking(False)
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    for _ in range(200):
        try:
            raw.send(chunk)
        except BlockingIOError:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0)
    assert 0 < connection.buffered <= MAX_BUFFERED_BYTES + len(READ_BUFFER)
    connection.close()
    raw.close()


@pytest.mark.parametrize("end", ["close", "surplus"])
async def test_body_in_tiny_chunks_is_whole_before_what_follows_it(instance, end):
    def act(raw: socket.socket) -> None:
        surplus = EXTRA if end == "surplus" else b""
        raw.sendall(CHUNKED_HEAD + TINY_CHUNK * 8_000 + b"0\r\n\r\n" + surplus)
        if end == "close":
            raw.close()

    connection, body = await ask(instance, act)
    assert body == b"ab" * 8_000
    await asyncio.sleep(0.05)
    assert not connection.finish()


async def test_switch_of_the_protocol_breaks_the_exchange(instance):
    """No protocol is offered to an instance, so that none may be switched to."""
    switch = (
        b"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
        b"Content-Length: 5\r\n\r\nfirst"
    )
    with pytest.raises(ExchangeBroken):
        await ask(instance, lambda raw: raw.sendall(switch))


async def test_offer_of_a_protocol_in_an_answer_does_not_end_its_body(instance):
    offer = WHOLE.replace(b"\r\n", b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n", 1)
    _, body = await ask(instance, lambda raw: raw.sendall(offer))
    assert body == b"first"


@pytest.mark.parametrize("head", [WHOLE, UNFRAMED], ids=["length", "no length"])
@pytest.mark.parametrize("end", ["close", "reset"])
async def test_answer_that_ends_within_its_head_is_broken(instance, head, end):
    """Guards against an empty or short body that is framed as a whole answer."""
    head = head[: head.index(b"\r\n\r\n") + 4]

    def act_with(cut: int) -> Callable[[socket.socket], None]:
        def act(raw: socket.socket) -> None:
            raw.sendall(head[:cut])
            raw.close() if end == "close" else reset(raw)

        return act

    for cut in range(len(head)):
        with pytest.raises(ExchangeBroken):
            await ask(instance, act_with(cut))


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_answer_with_an_invalid_status_breaks_the_exchange(instance, status):
    """Guards against a status that callers get, or that is waited on as interim."""
    kept: list[socket.socket] = []

    def act(raw: socket.socket) -> None:
        kept.append(raw)
        raw.sendall(WHOLE.replace(b"200 OK", status.encode()))

    async with asyncio.timeout(2):
        with pytest.raises(ExchangeBroken):
            await ask(instance, act)
    kept[0].settimeout(1)
    with suppress(ConnectionResetError):
        assert await asyncio.to_thread(kept[0].recv, 1) == b""
    kept[0].close()


@pytest.mark.parametrize("status", [b"000", b"099", b"101"])
async def test_whole_answer_behind_an_invalid_status_is_not_used(instance, status):
    """Guards against a body that begins with the bytes of another answer."""
    stray = EXTRA.replace(b"200", status)
    async with asyncio.timeout(2):
        with pytest.raises(ExchangeBroken):
            await ask(instance, lambda raw: raw.sendall(stray + WHOLE))


@pytest.mark.parametrize("status", INTERIM_STATUSES)
async def test_each_interim_status_is_passed_over(instance, status):
    interim = f"HTTP/1.1 {status} Interim\r\nA: b\r\n\r\n".encode()
    connection, body = await ask(instance, lambda raw: raw.sendall(2 * interim + WHOLE))
    assert body == b"first"
    assert connection.finish()
    connection.close()
