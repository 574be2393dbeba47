"""The faulty answers of the soak's instances are what their names say."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from soak.answers import DueAnswer, answer_faults, refuse
from testing.platform.standin_instance import StandinInstance

WAIT_S = 5.0
REQUEST = "GET /{id} HTTP/1.1\r\nHost: a\r\nAttempt-Id: {id}\r\n\r\n"


class Caller:
    """One connection to an instance whose answers a test chooses."""

    def __init__(self, instance: StandinInstance) -> None:
        self.instance = instance
        self.received = b""

    async def connect(self) -> None:
        host, _, port = self.instance.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def ask(self, name: str, fault: str | None) -> None:
        """Send a request; it is refused without a fault."""

        async def act(instance, request, writer) -> None:
            if fault is None:
                refuse(instance, request, writer)
                return
            body = request.id.encode()
            answer = DueAnswer(instance, request, writer, random.Random(1), body)
            await answer_faults.get(fault)(answer)

        self.instance.act = act
        self.writer.write(REQUEST.format(id=name).encode())

    async def receive(self, text: bytes, count: int = 1) -> None:
        async with asyncio.timeout(WAIT_S):
            while self.received.count(text) < count:
                part = await self.reader.read(65_536)
                if not part:
                    raise ConnectionResetError
                self.received += part


@pytest.fixture
async def caller() -> AsyncIterator[Caller]:
    instance = StandinInstance("i", "s")
    await instance.start()
    caller = Caller(instance)
    await caller.connect()
    yield caller
    caller.writer.close()
    await instance.stop()


async def test_lost_answer_resets_the_connection(caller):
    caller.ask("one", "lost")
    with pytest.raises(ConnectionResetError):
        await caller.receive(b"HTTP/1.1")


@pytest.mark.parametrize("fault", ["repeated", "copied late"])
async def test_copy_follows_the_answer(caller, fault):
    caller.ask("one", fault)
    await caller.receive(b"Attempt-Id: one", 2)


async def test_earlier_refusal_comes_before_the_answer(caller):
    caller.ask("one", None)
    await caller.receive(b"Not-Executed")
    caller.received = b""
    caller.ask("two", "after an earlier refusal")
    await caller.receive(b"\r\n\r\ntwo")
    assert caller.received.index(b"Not-Executed") < caller.received.index(b"two")


@pytest.mark.parametrize(
    "fault", ["endless head", "endless body", "endless trailer", "endless garbage"]
)
async def test_endless_answer_goes_on_until_the_caller_closes(caller, fault):
    caller.ask("one", fault)
    async with asyncio.timeout(WAIT_S):
        while len(caller.received) < 1_000_000:
            caller.received += await caller.reader.read(65_536)
    caller.writer.transport.abort()
    async with asyncio.timeout(WAIT_S):
        while caller.instance.running:
            await asyncio.sleep(0.01)
