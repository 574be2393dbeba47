"""Steps of ``features/once.feature``, over entries in one process."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from testing.coordination.order_network import HOME, OrderNetwork, outcome_of

scenarios("../features/once.feature")


class OrderScenario:
    """One caller's order, and the entries with their event loop."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.network: OrderNetwork
        self.key = ""
        self.result = ""

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def send(self, entry: str, body: bytes = b"spoon") -> None:
        """Send the order and store the result that the caller receives."""
        self.result = await outcome_of(self.network.send_order(entry, self.key, body))
        await self.network.run_pending_tasks()

    async def send_and_kill(self, entry: str) -> None:
        """Send the order to an entry that crashes while the order runs."""
        request_task = asyncio.create_task(self.network.send_order(entry, self.key))
        await self.network.run_pending_tasks()
        self.network.down_entries.add(entry)
        request_task.cancel()


@pytest.fixture
def scenario():
    scenario = OrderScenario()
    yield scenario
    for task in asyncio.all_tasks(scenario.loop):
        task.cancel()
    scenario.run(asyncio.sleep(0))
    scenario.loop.close()


@given('entries "entry-1", "entry-2", "entry-3" and "entry-4"')
def start_entries(scenario):
    async def start_network() -> None:
        scenario.network = OrderNetwork(entries=4)
        await scenario.network.select_witnesses()

    scenario.run(start_network())


@given('a caller that looked up at "entry-1"')
def look_up(scenario):
    scenario.key = scenario.network.create_key("spoon", home=HOME)


@given("the response of the home entry will be lost")
def lose_response(scenario):
    scenario.network.losses[("relay", "answer")] = 1


@given("the backend server is stalled")
def stall_backend(scenario):
    scenario.network.backend_gate = asyncio.Event()


@given(parsers.parse('"{entry}" has crashed'))
@when(parsers.parse('"{entry}" has crashed'))
def crash(scenario, entry):
    scenario.network.kill(entry)


@when(parsers.re(r'the caller (sends|repeats) the order (to|at) "(?P<entry>[\w-]+)"'))
def send(scenario, entry):
    scenario.run(scenario.send(entry))


@when('the caller sends the order to "entry-1" and "entry-1" crashes')
def send_and_kill(scenario):
    scenario.run(scenario.send_and_kill(HOME))


@when(parsers.parse('the caller sends another body with the same key to "{entry}"'))
def send_other_body(scenario, entry):
    scenario.run(scenario.send(entry, b"another"))


@when(parsers.parse('"{entry}" shuts down gracefully'))
def shut_down(scenario, entry):
    scenario.run(scenario.network.entries[entry].close(1.0))
    scenario.network.kill(entry)


@then(parsers.parse('the caller gets the result "{result}"'))
def check_result(scenario, result):
    assert scenario.result == result


@then("the order ran once")
def check_ran_once(scenario):
    assert scenario.network.run_counts[scenario.key] == 1


@then("the order never ran")
def check_never_ran(scenario):
    assert scenario.network.run_counts[scenario.key] == 0
