"""Steps of ``features/veto.feature``."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId, ProposalId
from testing.coordination.configuration_world import WINDOW_S, World, with_capacity

scenarios("../features/veto.feature")


class ScenarioContext:
    """A world, an event loop to run its coroutines, and the latest result or error."""

    def __init__(self, monkeypatch) -> None:
        self.loop = asyncio.new_event_loop()
        self.world = World(monkeypatch)
        self.windows = self.world.make_windows()
        self.result: object = None

    def run(self, action) -> None:
        try:
            self.result = self.loop.run_until_complete(action)
        except MasticdeckError as error:
            self.result = error

    def read_ledger(self):
        return self.loop.run_until_complete(self.world.acceptance.read_ledger())


@pytest.fixture
def context(monkeypatch):
    context = ScenarioContext(monkeypatch)
    yield context
    context.loop.close()


@given("the lists of riga are accepted as version 1")
def accept_first(context):
    context.run(context.world.accept_first_version())


@given(
    parsers.re(
        r'operator (?P<by>\w+) proposes "(?P<name>\w+)" that (lowers|raises) '
        r"the capacity of plan (?P<plan>\w+) to (?P<capacity>[\d.]+)"
    )
)
def propose(context, by, name, plan, capacity):
    lists = with_capacity(plan, float(capacity))
    context.run(context.world.propose(name, lists, by=by))


@given(parsers.parse('operator {by} accepts "{name}"'))
@when(parsers.parse('operator {by} accepts "{name}"'))
def accept(context, by, name):
    context.run(context.world.acceptance.accept(ProposalId(name), by=by))


@when(parsers.parse('customer {customer} vetoes "{name}"'))
def veto(context, customer, name):
    context.run(
        context.world.acceptance.veto(
            ProposalId(name), customer=CustomerId(customer), reason="no"
        )
    )


@when("the veto window has ended")
def end_window(context):
    context.run(context.world.advance(context.windows, WINDOW_S))


@when("the store is down for two veto windows")
def store_down(context):
    context.world.store.fault = lambda method, key: "down"
    for _ in range(16):
        context.run(context.windows.poll())
        context.world.now += WINDOW_S / 8
    context.world.store.fault = lambda method, key: None
    context.run(context.windows.poll())


@then(parsers.parse("version {version:d} is accepted"))
def version_is(context, version):
    assert context.read_ledger().version == version


@then(parsers.parse('"{name}" is vetoed'))
def is_vetoed(context, name):
    assert context.read_ledger().ended(ProposalId(name)).state.value == "vetoed"


@then(parsers.parse("the operation fails with code {code}"))
def has_error_code(context, code):
    assert isinstance(context.result, MasticdeckError)
    assert context.result.code == code


@then(parsers.parse('the error contains "{words}"'))
def error_contains(context, words):
    assert words in str(context.result)
