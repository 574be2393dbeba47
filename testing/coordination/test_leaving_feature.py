"""Steps of ``features/leaving.feature``, with entry processes."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, scenarios, then, when

from bench.fleet import Fleet
from testing.coordination.test_leaving import QUICK, get, signalled

scenarios("../features/leaving.feature")

SLOW_MS = {"katalogs": 1500.0}
PATH = "/service/katalogs/page"
FIELDS = {"Masticdeck-Timeout-Ms": "5000"}


class Stage:
    """A fleet, the loop it lives in, and what the caller got."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        settings = QUICK | {"stop_grace_s": 6.0}
        self.fleet = Fleet("riga", entries=2, service_ms=SLOW_MS, settings=settings)
        self.answer = ""

    def run(self, action):
        return self.loop.run_until_complete(action)

    async def ask_and_stop(self, *, stop_first: bool) -> None:
        """Ask an entry and tell it to stop, in either order."""
        if stop_first:
            self.fleet.processes["entry-1"].terminate()
            await asyncio.sleep(0.1)
        asked = asyncio.create_task(get(self.fleet, "entry-1", PATH, **FIELDS))
        if not stop_first:
            await asyncio.sleep(0.3)
            self.fleet.processes["entry-1"].terminate()
        self.answer = await asked


@pytest.fixture
def stage():
    stage = Stage()
    yield stage
    stage.run(stage.fleet.__aexit__())
    stage.loop.close()


@given("two entries and slow backend servers")
def start(stage):
    stage.run(stage.fleet.__aenter__())


@when('a caller asks "entry-1" and "entry-1" is told to stop')
def ask_then_stop(stage):
    stage.run(stage.ask_and_stop(stop_first=False))


@when('"entry-1" is told to stop and a caller asks it afterwards')
def stop_then_ask(stage):
    stage.run(stage.ask_and_stop(stop_first=True))


@then("the caller gets the whole answer")
def check_answer(stage):
    assert stage.answer == "200"


@then('"entry-1" exits with status 0')
def check_exit(stage):
    assert stage.run(signalled(stage.fleet, "entry-1")) == 0
