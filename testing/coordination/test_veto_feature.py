"""Steps of ``features/veto.feature``."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId, ProposalId
from testing.coordination.configuration_world import WINDOW_S, World, with_capacity

scenarios("../features/veto.feature")


class Table:
    """A world with a loop of its own, because the steps are plain functions."""

    def __init__(self, monkeypatch) -> None:
        self.loop = asyncio.new_event_loop()
        self.world = World(monkeypatch)
        self.windows = self.world.windows()
        self.answer: object = None

    def run(self, action) -> None:
        try:
            self.answer = self.loop.run_until_complete(action)
        except MasticdeckError as error:
            self.answer = error

    def ledger(self):
        return self.loop.run_until_complete(self.world.acceptance.read_ledger())


@pytest.fixture
def table(monkeypatch):
    table = Table(monkeypatch)
    yield table
    table.loop.close()


@given("the lists of riga are accepted as version 1")
def accept_first(table):
    table.run(table.world.accept_first())


@given(
    parsers.re(
        r'operator (?P<by>\w+) proposes "(?P<name>\w+)" that (lowers|raises) '
        r"the capacity of plan (?P<plan>\w+) to (?P<capacity>[\d.]+)"
    )
)
def propose(table, by, name, plan, capacity):
    lists = with_capacity(plan, float(capacity))
    table.run(table.world.propose(name, lists, by=by))


@given(parsers.parse('operator {by} accepts "{name}"'))
@when(parsers.parse('operator {by} accepts "{name}"'))
def accept(table, by, name):
    table.run(table.world.acceptance.accept(ProposalId(name), by=by))


@when(parsers.parse('customer {customer} vetoes "{name}"'))
def veto(table, customer, name):
    table.run(
        table.world.acceptance.veto(
            ProposalId(name), customer=CustomerId(customer), reason="no"
        )
    )


@when("the veto window has passed")
def pass_window(table):
    table.run(table.world.pass_time(table.windows, WINDOW_S))


@when("the store is down for two veto windows")
def store_down(table):
    table.world.store.fault = lambda method, key: "down"
    for _ in range(16):
        table.run(table.windows.poll())
        table.world.now += WINDOW_S / 8
    table.world.store.fault = lambda method, key: None
    table.run(table.windows.poll())


@then(parsers.parse("version {version:d} is accepted"))
def version_is(table, version):
    assert table.ledger().version == version


@then(parsers.parse('"{name}" is vetoed'))
def is_vetoed(table, name):
    assert table.ledger().ended(ProposalId(name)).state.value == "vetoed"


@then(parsers.parse("the answer has the code {code}"))
def answer_code(table, code):
    assert isinstance(table.answer, MasticdeckError)
    assert table.answer.code == code


@then(parsers.parse('the answer says "{words}"'))
def answer_says(table, words):
    assert words in str(table.answer)
