"""Answers of a backend server that belong to another request."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import ClientResponse
from multidict import CIMultiDict

from masticdeck.clock import boottime
from masticdeck.ids import InstanceId, Rank, RequestId, ServiceId
from masticdeck.protocol.backend import READ_BUFFER_BYTES, BackendBroken, Backends
from masticdeck.protocol.call import Call
from masticdeck.protocol.headers import REQUEST_ID
from masticdeck.transport.answers import (
    MAX_INTERIM_ANSWERS,
    AnswerTooLong,
    read_bounded,
)
from testing.invalid_statuses import INTERIM_STATUSES, INVALID_STATUSES

INSTANCE = InstanceId("one")
REFUSAL = "HTTP/1.1 503 Busy\r\nMasticdeck-Outcome: not-run\r\nContent-Length: 0\r\n"


def render_answer(path: str, request_id: str | None = None) -> bytes:
    """Return an answer whose body is the path of its request."""
    echo = "" if request_id is None else f"{REQUEST_ID}: {request_id}\r\n"
    head = f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {len(path)}\r\n\r\n"
    return (head + path).encode()


class RawBackend:
    """A backend server that sends the bytes that ``act`` writes for each request."""

    def __init__(self) -> None:
        self.act = None
        self.greet = None
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        """Read requests without a body until the connection ends."""
        self.connections += 1
        if self.greet is not None:
            await self.greet(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                await self.act(path, fields[REQUEST_ID], writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.fixture
async def raw_backend():
    return RawBackend()


@pytest.fixture
async def backends(raw_backend):
    server = await asyncio.start_server(
        lambda *streams: raw_backend.serve(*streams), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    instance = SimpleNamespace(
        id=INSTANCE, host="127.0.0.1", port=port, connections=100
    )
    backends = Backends(SimpleNamespace(instances=[instance], entries=["entry-1"]))
    await backends.start()
    yield backends
    await backends.stop()
    server.close()


async def send(backends: Backends, path: str) -> ClientResponse:
    """Send a request and return its answer with the body unread."""
    call = Call(
        id=RequestId(f"id-{path}"),
        service=ServiceId("s"),
        method="GET",
        path=path,
        rank=Rank.MIDDLE,
        deadline=boottime() + 5,
    )
    fields = CIMultiDict({REQUEST_ID: call.id})
    return await backends.send(INSTANCE, call, fields, None)


async def ask(backends: Backends, path: str) -> str:
    """Send a request and return the body of its answer."""
    answer = await send(backends, path)
    return await answer.text()


@pytest.mark.parametrize("echoes", [True, False], ids=["with id", "without id"])
async def test_late_copy_on_an_idle_connection_is_not_the_next_answer(
    raw_backend, backends, echoes
):
    async def answer_twice(path, request_id, writer):
        answer = render_answer(path, request_id if echoes else None)
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(answer)

    raw_backend.act = answer_twice
    for path in ("/1", "/2", "/3"):
        assert await ask(backends, path) == path
        await asyncio.sleep(0.05)
    assert raw_backend.connections == 3


async def test_copy_that_arrives_with_an_answer_closes_the_connection(
    raw_backend, backends
):
    async def answer_twice(path, request_id, writer):
        writer.write(2 * render_answer(path, request_id))

    raw_backend.act = answer_twice
    for path in ("/1", "/2", "/3"):
        assert await ask(backends, path) == path
    assert raw_backend.connections == 3


async def test_answer_with_the_id_of_another_request_is_not_passed_on(
    raw_backend, backends
):
    async def answer_an_earlier_request(path, request_id, writer):
        writer.write(render_answer("/0", "id-/0") + render_answer(path, request_id))

    raw_backend.act = answer_an_earlier_request
    with pytest.raises(BackendBroken):
        await ask(backends, "/1")


@pytest.mark.parametrize(
    "echo", ["", f"{REQUEST_ID}: id-/0\r\n"], ids=["no id", "earlier id"]
)
async def test_refusal_without_the_id_of_the_request_proves_nothing(
    raw_backend, backends, echo
):
    async def repeat_a_refusal(path, request_id, writer):
        writer.write(f"{REFUSAL}{echo}\r\n".encode())
        await asyncio.sleep(0.05)
        writer.write(render_answer(path, request_id))

    raw_backend.act = repeat_a_refusal
    with pytest.raises(BackendBroken):
        await ask(backends, "/1")


async def test_refusal_with_the_id_of_the_request_is_returned(raw_backend, backends):
    async def refuse(path, request_id, writer):
        writer.write(f"{REFUSAL}{REQUEST_ID}: {request_id}\r\n\r\n".encode())

    raw_backend.act = refuse
    assert await ask(backends, "/1") == ""


@pytest.mark.parametrize(
    "start",
    [b"HTTP/1.1 200 ", b"HTTP/1.1 200 OK\r\nA: "],
    ids=["status line", "header"],
)
async def test_head_without_end_breaks_the_exchange(raw_backend, backends, start):
    async def send_without_end(path, request_id, writer):
        writer.write(start)
        while True:
            writer.write(b"x" * 4096)
            await writer.drain()

    raw_backend.act = send_without_end
    with pytest.raises(BackendBroken):
        async with asyncio.timeout(2):
            await ask(backends, "/1")


INTERIM = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"


async def send_without_end(writer, piece: bytes) -> int:
    """Send a piece until the connection ends, and return how many bytes it took."""
    size = 0
    try:
        while not writer.transport.is_closing():
            writer.write(piece)
            await writer.drain()
            size += len(piece)
    except ConnectionError:
        pass
    return size


@pytest.mark.parametrize("part_bytes", [len(INTERIM), 1_000, 100_000])
async def test_interim_answers_without_end_break_the_exchange(
    raw_backend, backends, part_bytes
):
    """Guards against a process that collects them and answers nobody else."""
    ended = asyncio.get_running_loop().create_future()

    async def act(path, request_id, writer):
        piece = INTERIM * (part_bytes // len(INTERIM))
        ended.set_result(await send_without_end(writer, piece))

    raw_backend.act = act
    with pytest.raises(BackendBroken):
        async with asyncio.timeout(2):
            await ask(backends, "/1")
    async with asyncio.timeout(2):
        await ended


async def test_interim_answers_are_passed_over(raw_backend, backends):
    async def act(path, request_id, writer):
        writer.write(INTERIM * MAX_INTERIM_ANSWERS + render_answer(path, request_id))

    raw_backend.act = act
    for path in ("/1", "/2"):
        assert await ask(backends, path) == path
    assert raw_backend.connections == 1


@pytest.mark.parametrize(
    "piece",
    [
        pytest.param(render_answer("/0", "id-/0") * 500, id="answers"),
        pytest.param(INTERIM * 500, id="interim answers"),
        pytest.param(b"x" * 4096, id="bytes"),
    ],
)
async def test_bytes_without_end_on_an_idle_connection_close_it(
    raw_backend, backends, piece
):
    """Guards against a process that collects them until its memory is exhausted."""
    ended = asyncio.get_running_loop().create_future()

    async def act(path, request_id, writer):
        writer.write(render_answer(path, request_id))
        await writer.drain()
        await asyncio.sleep(0.02)
        ended.set_result(await send_without_end(writer, piece))

    raw_backend.act = act
    assert await ask(backends, "/1") == "/1"
    async with asyncio.timeout(2):
        await ended


async def test_bytes_before_the_first_request_are_not_its_answer(
    raw_backend, backends, monkeypatch
):
    """The first connection is accepted with an answer to nobody."""
    unasked = [render_answer("/0")]
    _, _, connector = backends.bases[INSTANCE]
    connect = connector.connect

    async def connect_slowly(*arguments):
        connection = await connect(*arguments)
        await asyncio.sleep(0.05)
        return connection

    async def greet(writer):
        if unasked:
            writer.write(unasked.pop())

    async def act(path, request_id, writer):
        writer.write(render_answer(path, request_id))

    raw_backend.greet, raw_backend.act = greet, act
    monkeypatch.setattr(connector, "connect", connect_slowly)
    assert await ask(backends, "/1") == "/1"
    assert raw_backend.connections == 2


async def test_body_that_has_arrived_leaves_others_their_turns(raw_backend, backends):
    """Guards against a long answer in tiny chunks that is read in one turn."""
    count = 40_000

    async def act(path, request_id, writer):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n"
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(b"2\r\nab\r\n" * count + b"0\r\n\r\n")

    raw_backend.act = act
    answer = await send(backends, "/1")
    await asyncio.sleep(0.1)
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    counting = asyncio.create_task(count_turns())
    assert len(await read_bounded(answer, 2 * count)) == 2 * count
    counting.cancel()
    assert turns > count // (READ_BUFFER_BYTES // 16)


async def test_body_over_its_limit_closes_the_connection(raw_backend, backends):
    ended = asyncio.get_running_loop().create_future()

    async def act(path, request_id, writer):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n\r\n"
        writer.write(head.encode())
        ended.set_result(await send_without_end(writer, b"x" * 4096))

    raw_backend.act = act
    answer = await send(backends, "/1")
    with pytest.raises(AnswerTooLong):
        async with asyncio.timeout(1):
            await read_bounded(answer, 10_000)
    async with asyncio.timeout(2):
        await ended


@pytest.mark.parametrize("in_body", [False, True])
async def test_request_that_is_given_up_is_reset(raw_backend, backends, in_body):
    """Guards against a request that runs when a partition that held it up ends."""
    begun = asyncio.Event()
    ended = asyncio.get_running_loop().create_future()

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        begun.set()
        if in_body:
            head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: id-/1\r\n\r\npart"
            writer.write(head.encode())
        try:
            ended.set_result(await reader.read(1))
        except ConnectionError as error:
            ended.set_result(error)

    raw_backend.serve = serve
    sending = asyncio.create_task(send(backends, "/1"))
    await begun.wait()
    if in_body:
        (await sending).close()
    else:
        sending.cancel()
    async with asyncio.timeout(2):
        assert isinstance(await ended, ConnectionResetError)


async def test_idle_connection_ends_in_an_orderly_way(raw_backend, backends):
    ended = asyncio.get_running_loop().create_future()

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(render_answer("/1", "id-/1"))
        ended.set_result(await reader.read(1))

    raw_backend.serve = serve
    assert await ask(backends, "/1") == "/1"
    await backends.stop()
    async with asyncio.timeout(2):
        assert await ended == b""


@pytest.mark.parametrize(
    "framing", ["Content-Length: 5", "Connection: close", "Transfer-Encoding: chunked"]
)
async def test_answer_that_ends_within_its_head_is_broken(
    raw_backend, backends, framing
):
    """Guards against an empty or short body that is framed as a whole answer."""
    cut = 0

    async def stop_within_the_head(path, request_id, writer):
        writer.write(render_head(request_id)[:cut])
        await writer.drain()
        writer.close()

    def render_head(request_id: str) -> bytes:
        lines = ["HTTP/1.1 200 OK", f"{REQUEST_ID}: {request_id}", "A: b", framing]
        return "\r\n".join([*lines, "", ""]).encode()

    raw_backend.act = stop_within_the_head
    for cut in range(len(render_head("id-/1"))):
        with pytest.raises(BackendBroken):
            pytest.fail(f"cut at {cut}: {await ask(backends, '/1')!r}")


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_answer_with_an_invalid_status_is_broken(raw_backend, backends, status):
    """Guards against a status that callers get, or that is waited on as interim."""
    ended = asyncio.get_running_loop().create_future()

    async def act(path, request_id, writer):
        writer.write(
            render_answer(path, request_id).replace(b"200 OK", status.encode())
        )
        await writer.drain()
        await asyncio.sleep(0.02)
        ended.set_result(await send_without_end(writer, b"x"))

    raw_backend.act = act
    async with asyncio.timeout(2):
        with pytest.raises(BackendBroken, match=str(INSTANCE)):
            await ask(backends, "/1")
        await ended


@pytest.mark.parametrize("status", [b"000", b"099", b"101"])
async def test_whole_answer_behind_an_invalid_status_is_not_used(
    raw_backend, backends, status
):
    async def act(path, request_id, writer):
        answer = render_answer(path, request_id)
        writer.write(answer.replace(b"200", status) + answer)

    raw_backend.act = act
    async with asyncio.timeout(2):
        with pytest.raises(BackendBroken):
            await ask(backends, "/1")


@pytest.mark.parametrize("status", INTERIM_STATUSES)
async def test_each_interim_status_is_passed_over(raw_backend, backends, status):
    async def act(path, request_id, writer):
        interim = f"HTTP/1.1 {status} Interim\r\nA: b\r\n\r\n".encode()
        writer.write(interim + render_answer(path, request_id))

    raw_backend.act = act
    for path in ("/1", "/2"):
        assert await ask(backends, path) == path
    assert raw_backend.connections == 1
