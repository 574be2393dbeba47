"""Steps of the feature that no region is overloaded."""

from __future__ import annotations

import asyncio

import uvloop
from pytest_bdd import given, parsers, scenarios, then, when

from bench.fleet import Fleet

scenarios("region.feature")
SERVICE_MS = {"katalogs": 150.0}
FIELDS = {"Priority": "u=6", "Masticdeck-Timeout-Ms": "300"}


async def flood(count: int, entries: int):
    """Return the answers' statuses and outcomes, and the instances' counters."""
    async with Fleet("riga", entries=entries, service_ms=SERVICE_MS) as fleet:
        outcomes = []

        async def ask(entry):
            url = f"{fleet.entry_url(entry)}/service/katalogs/spoons"
            async with fleet.session.get(url, headers=FIELDS) as response:
                await response.read()
                outcome = response.headers.get("Masticdeck-Outcome")
                outcomes.append((response.status, outcome))

        await asyncio.gather(
            *(ask(entry) for entry in fleet.entry_ids for _ in range(count))
        )
        return outcomes, await fleet.instance_stats()


@given(
    parsers.parse("a riga deployment with {entries:d} entries"),
    target_fixture="entries",
)
def entries_started(entries):
    return entries


@when(
    parsers.parse("{count:d} low-rank requests arrive at once at every entry"),
    target_fixture="found",
)
def requests_arrive(count, entries):
    return uvloop.run(flood(count, entries))


@then("no region has more requests than slots")
def no_region_over(found):
    _, stats = found
    assert sum(one["ran"] for one in stats.values()) > 0
    assert all(one["over_region"] == 0 for one in stats.values())
    assert all(one["over_slots"] == 0 for one in stats.values())


@then("what was refused as not run did not run")
def refusals_not_run(found):
    outcomes, stats = found
    refused = [one for one in outcomes if one[0] == 503]
    assert refused
    assert set(refused) == {(503, "not-run")}
    ran = sum(one["ran"] for one in stats.values())
    assert ran <= len(outcomes) - len(refused)
