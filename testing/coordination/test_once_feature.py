"""Steps of ``features/once.feature``, over entries in one process."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from testing.coordination.order_network import HOME, Network, outcome

scenarios("../features/once.feature")


class Shop:
    """A buyer's order and the loop in which the entries live."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.net: Network
        self.key = ""
        self.told = ""

    def run(self, action):
        return self.loop.run_until_complete(action)

    async def send(self, entry: str, body: bytes = b"spoon") -> None:
        """Send the order and keep what the buyer is told."""
        self.told = await outcome(self.net.ask(entry, self.key, body))
        await self.net.settle()

    async def send_and_kill(self, entry: str) -> None:
        """Send the order to an entry that dies while the order runs."""
        asked = asyncio.create_task(self.net.ask(entry, self.key))
        await self.net.settle()
        self.net.down.add(entry)
        asked.cancel()


@pytest.fixture
def shop():
    shop = Shop()
    yield shop
    for task in asyncio.all_tasks(shop.loop):
        task.cancel()
    shop.run(asyncio.sleep(0))
    shop.loop.close()


@given('entries "entry-1", "entry-2", "entry-3" and "entry-4"')
def start_entries(shop):
    async def start() -> None:
        shop.net = Network(entries=4)
        await shop.net.choose_witnesses()

    shop.run(start())


@given('a buyer who looked up at "entry-1"')
def look_up(shop):
    shop.key = shop.net.key("spoon", home=HOME)


@given("the answer of the home entry will be lost")
def lose_answer(shop):
    shop.net.lose[("relay", "answer")] = 1


@given("the backend server is stalled")
def stall(shop):
    shop.net.gate = asyncio.Event()


@given(parsers.parse('"{entry}" has died'))
@when(parsers.parse('"{entry}" has died'))
def die(shop, entry):
    shop.net.kill(entry)


@when(parsers.re(r'the buyer (sends|repeats) the order (to|at) "(?P<entry>[\w-]+)"'))
def send(shop, entry):
    shop.run(shop.send(entry))


@when('the buyer sends the order to "entry-1" and "entry-1" dies')
def send_and_kill(shop):
    shop.run(shop.send_and_kill(HOME))


@when(parsers.parse('the buyer sends another body under the same key to "{entry}"'))
def send_other(shop, entry):
    shop.run(shop.send(entry, b"another"))


@when(parsers.parse('"{entry}" stops as planned'))
def stop(shop, entry):
    shop.run(shop.net.entries[entry].close(1.0))
    shop.net.kill(entry)


@then(parsers.parse('the buyer is told "{told}"'))
def check_told(shop, told):
    assert shop.told == told


@then("the order ran once")
def check_once(shop):
    assert shop.net.runs[shop.key] == 1


@then("the order never ran")
def check_never(shop):
    assert shop.net.runs[shop.key] == 0
