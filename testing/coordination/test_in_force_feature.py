"""Steps of ``features/in_force.feature``, with entry processes."""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from masticdeck.coordination.ledger import LEDGER_KEY
from masticdeck.protocol.store import HttpStore
from testing.operators import Organisation

pytestmark = pytest.mark.slow
scenarios("../features/in_force.feature")


class FleetContext:
    """An organisation and an event loop to run its coroutines in plain functions."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.organisation: Organisation | None = None
        self.ledger_copy: bytes | None = None

    def run(self, action):
        return self.loop.run_until_complete(action)


@pytest.fixture
def context():
    context = FleetContext()
    yield context
    if context.organisation is not None:
        context.run(context.organisation.fleet.__aexit__())
    context.loop.close()


@given(parsers.parse("a fleet of {count:d} entries with version 1 in force"))
def start(context, tmp_path, count):
    context.organisation = Organisation(tmp_path, entries=count)
    context.run(context.organisation.fleet.__aenter__())
    context.run(context.organisation.accept_first())
    context.run(context.organisation.in_force(1))


@when(parsers.parse("version {version:d} is accepted"))
def accept(context, version):
    folder = str(context.organisation.lists)
    name = f"v{version}"
    context.organisation.set_capacity(0.25)
    ctl = context.organisation.ctl
    assert context.run(ctl("alice", "propose", folder, "--id", name, "--accept")) == 0
    assert context.run(ctl("alice", "accept", name, "--wait", "20")) == 0


@when(parsers.parse("version {version:d} is in force at every entry"))
@then(parsers.parse("version {version:d} is in force at every entry"))
def in_force(context, version):
    context.run(context.organisation.in_force(version))


@when("the store is down")
def store_down(context):
    context.run(context.organisation.fleet.control_platform(down=True))


async def exchange_ledger(context, value):
    """Return the stored value of the ledger, after writing ``value`` if given."""
    store = HttpStore(context.organisation.fleet.platform_url)
    await store.start()
    try:
        if value is not None:
            await store.put(LEDGER_KEY, value)
        return (await store.get(LEDGER_KEY)).value
    finally:
        await store.stop()


@when("the state of the store is copied")
def copy_store(context):
    context.ledger_copy = context.run(exchange_ledger(context, None))


@when("the store is reset to the copy")
def restore_copy(context):
    context.run(exchange_ledger(context, context.ledger_copy))


@when(parsers.parse("{entry} restarts"))
def restart(context, entry):
    fleet = context.organisation.fleet
    context.run(fleet.kill(entry))
    context.run(fleet.start_entry(entry))


@when(parsers.parse("{entry} is paused"))
def pause(context, entry):
    context.organisation.fleet.pause(entry)


@when(parsers.parse("{entry} resumes"))
def resume(context, entry):
    context.organisation.fleet.resume(entry)


async def send_request(context, entry, version):
    fleet = context.organisation.fleet
    url = f"{fleet.entry_url(entry)}/service/katalogs/spoons"
    headers = {"Masticdeck-Version": str(version), "Masticdeck-Timeout-Ms": "3000"}
    async with fleet.session.get(url, headers=headers) as response:
        problem = await response.json(content_type=None)
        return problem["code"], response.headers.get("Masticdeck-Outcome")


@then(
    parsers.parse(
        "a caller that has seen version {version:d} gets no answer "
        "of version 1 from {entry}"
    )
)
def is_served_after_catch_up(context, version, entry):
    """The request passes the version check and then fails, as no backend runs."""
    code, _ = context.run(send_request(context, entry, version))
    assert code not in ("MD4010", "MD4011")
    assert context.run(context.organisation.version_of(entry)) >= version


@then(
    parsers.parse(
        "a caller that has seen version {version:d} is refused with {code} as not run"
    )
)
def is_refused(context, version, code):
    assert context.run(send_request(context, "entry-1", version)) == (code, "not-run")
