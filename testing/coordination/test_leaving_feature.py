"""Steps of ``features/leaving.feature``, with entry processes."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, scenarios, then, when

from bench.fleet import Fleet
from testing.coordination.test_leaving import FAST_SETTINGS, get_status, wait_for_exit

scenarios("../features/leaving.feature")

SLOW_MS = {"katalogs": 1500.0}
PATH = "/service/katalogs/page"
HEADERS = {"Masticdeck-Timeout-Ms": "5000"}


class FleetScenario:
    """A fleet with its event loop, and the status that the caller receives."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        settings = FAST_SETTINGS | {"stop_grace_s": 6.0}
        self.fleet = Fleet("riga", entries=2, service_ms=SLOW_MS, settings=settings)
        self.status = ""

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def request_and_terminate(self, *, terminate_first: bool) -> None:
        """Send an entry a request and a SIGTERM, in either order."""
        if terminate_first:
            self.fleet.processes["entry-1"].terminate()
            await asyncio.sleep(0.1)
        request_task = asyncio.create_task(
            get_status(self.fleet, "entry-1", PATH, **HEADERS)
        )
        if not terminate_first:
            await asyncio.sleep(0.3)
            self.fleet.processes["entry-1"].terminate()
        self.status = await request_task


@pytest.fixture
def scenario():
    scenario = FleetScenario()
    yield scenario
    scenario.run(scenario.fleet.__aexit__())
    scenario.loop.close()


@given("two entries and slow backend servers")
def start_fleet(scenario):
    scenario.run(scenario.fleet.__aenter__())


@when('a caller sends a request to "entry-1" and "entry-1" is terminated')
def request_then_terminate(scenario):
    scenario.run(scenario.request_and_terminate(terminate_first=False))


@when('"entry-1" is terminated and a caller sends it a request afterwards')
def terminate_then_request(scenario):
    scenario.run(scenario.request_and_terminate(terminate_first=True))


@then("the caller gets the complete response")
def check_response(scenario):
    assert scenario.status == "200"


@then('"entry-1" exits with status 0')
def check_exit(scenario):
    assert scenario.run(wait_for_exit(scenario.fleet, "entry-1")) == 0
