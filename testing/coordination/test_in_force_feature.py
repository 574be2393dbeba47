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


class Place:
    """An organisation with a loop of its own; the steps are plain functions."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.organisation: Organisation | None = None
        self.copy: bytes | None = None

    def run(self, action):
        return self.loop.run_until_complete(action)


@pytest.fixture
def place():
    place = Place()
    yield place
    if place.organisation is not None:
        place.run(place.organisation.fleet.__aexit__())
    place.loop.close()


@given(parsers.parse("a fleet of {count:d} entries with version 1 in force"))
def start(place, tmp_path, count):
    place.organisation = Organisation(tmp_path, entries=count)
    place.run(place.organisation.fleet.__aenter__())
    place.run(place.organisation.accept_first())
    place.run(place.organisation.in_force(1))


@when(parsers.parse("version {version:d} is accepted"))
def accept(place, version):
    folder = str(place.organisation.lists)
    name = f"v{version}"
    place.organisation.set_capacity(0.25)
    ctl = place.organisation.ctl
    assert place.run(ctl("alice", "propose", folder, "--id", name, "--accept")) == 0
    assert place.run(ctl("alice", "accept", name, "--wait", "20")) == 0


@when(parsers.parse("version {version:d} is in force at every entry"))
@then(parsers.parse("version {version:d} is in force at every entry"))
def in_force(place, version):
    place.run(place.organisation.in_force(version))


@when("the store is down")
def store_down(place):
    place.run(place.organisation.fleet.control_platform(down=True))


async def copy_ledger(place, value):
    """Return the ledger's value in the store after writing one, if given."""
    store = HttpStore(place.organisation.fleet.platform_url)
    await store.start()
    try:
        if value is not None:
            await store.put(LEDGER_KEY, value)
        return (await store.get(LEDGER_KEY)).value
    finally:
        await store.stop()


@when("the state of the store is copied")
def copy_store(place):
    place.copy = place.run(copy_ledger(place, None))


@when("the store goes back to the copy")
def restore_copy(place):
    place.run(copy_ledger(place, place.copy))


@when(parsers.parse("{entry} restarts"))
def restart(place, entry):
    fleet = place.organisation.fleet
    place.run(fleet.kill(entry))
    place.run(fleet.start_entry(entry))


@when(parsers.parse("{entry} is paused"))
def pause(place, entry):
    place.organisation.fleet.pause(entry)


@when(parsers.parse("{entry} goes on"))
def resume(place, entry):
    place.organisation.fleet.resume(entry)


async def ask(place, entry, seen):
    fleet = place.organisation.fleet
    url = f"{fleet.entry_url(entry)}/service/katalogs/spoons"
    fields = {"Masticdeck-Version": str(seen), "Masticdeck-Timeout-Ms": "3000"}
    async with fleet.session.get(url, headers=fields) as response:
        problem = await response.json(content_type=None)
        return problem["code"], response.headers.get("Masticdeck-Outcome")


@then(
    parsers.parse(
        "a caller who has seen version {seen:d} gets no answer "
        "of version 1 from {entry}"
    )
)
def served_after_catch_up(place, seen, entry):
    """Without backends a request that is let through ends as not reached."""
    code, _ = place.run(ask(place, entry, seen))
    assert code not in ("MD4010", "MD4011")
    assert place.run(place.organisation.version_of(entry)) >= seen


@then(
    parsers.parse(
        "a caller who has seen version {seen:d} is refused with {code} as not run"
    )
)
def refused(place, seen, code):
    assert place.run(ask(place, "entry-1", seen)) == (code, "not-run")
