"""The loopback proxy does to bytes what its mode says."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from soak.proxy import FaultProxy, Mode


@pytest.fixture
async def proxy() -> AsyncIterator[FaultProxy]:
    """Return a proxy before a server that echoes lines."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = FaultProxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    await proxy.start()
    yield proxy
    proxy.stop()
    server.close()


async def connect(proxy: FaultProxy):
    host, _, port = proxy.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def echoes(reader, writer, wait_s: float = 0.3) -> bool:
    writer.write(b"x\n")
    try:
        async with asyncio.timeout(wait_s):
            return await reader.readline() == b"x\n"
    except TimeoutError:
        return False


async def test_bytes_pass(proxy):
    assert await echoes(*await connect(proxy), 5)


@pytest.mark.parametrize("mode", [Mode.CUT_REQUESTS, Mode.CUT_ANSWERS, Mode.SILENT])
async def test_connection_that_lost_bytes_stays_silent(proxy, mode):
    old = await connect(proxy)
    assert await echoes(*old, 5)
    proxy.set(mode)
    assert not await echoes(*old)
    proxy.set(Mode.PASS)
    assert not await echoes(*old)
    assert await echoes(*await connect(proxy), 5)


async def test_reset_ends_open_and_new_connections(proxy):
    reader, writer = await connect(proxy)
    assert await echoes(reader, writer, 5)
    proxy.set(Mode.RESET)
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)
    new_reader, _ = await connect(proxy)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await new_reader.readexactly(1)


async def test_delayed_bytes_arrive_later(proxy):
    proxy.set(Mode.DELAY)
    proxy.delay_s = 0.2
    assert not await echoes(*await connect(proxy), 0.1)
    assert await echoes(*await connect(proxy), 5)
