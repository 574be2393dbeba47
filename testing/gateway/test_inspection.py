"""An entry's view of the fleet and its metrics, and their display by the CLI."""

from __future__ import annotations

import pytest

from masticdeck.clock import boottime
from masticdeck.gateway.inspection import Inspection
from masticdeck.ids import InstanceId
from masticdeck.programs.ctl_client import NoEntryReached, fetch_fleet
from masticdeck.programs.ctl_output import format_fleet


def exclusion_reasons(world) -> dict[str, str | None]:
    view = Inspection(world.gateway).describe_fleet()
    return {item["instance"]: item["excluded"] for item in view["instances"]}


async def test_view_has_the_reason_for_each_excluded_instance(world):
    s1 = world.instances["s1"]
    world.store.write("servers/s1", s1.record(state="draining"))
    world.store.write("servers/u1", world.instances["u1"].record(cold_ms=60_000))
    await world.settle()
    health = world.gateway.health
    health.add(InstanceId("s2"), "s")
    health.record_failure(InstanceId("s2"), boottime(), unreachable=True)
    reasons = exclusion_reasons(world)
    assert reasons["s1"] == "draining"
    assert reasons["s2"].startswith("ejected for")
    assert reasons["u1"].startswith("cold for")
    assert reasons["u2"] is None


async def test_operators_cli_shows_the_view_of_an_entry(world):
    url = f"http://{world.gateway.settings.metrics}"
    view = await fetch_fleet(url, 5.0)
    text = format_fleet(view)
    assert text.startswith("entry-1: version 1")
    assert "/s/" in text
    assert "s1" in text
    assert "u1" not in format_fleet(view, "s")


async def test_unreachable_entry_raises_an_error_with_the_remedy():
    with pytest.raises(NoEntryReached, match="check --entry"):
        await fetch_fleet("http://127.0.0.1:1", 2.0)


async def test_metrics_include_the_age_of_the_view_and_responses(world):
    await world.send("/s/a")
    inspection = Inspection(world.gateway)
    inspection.set_gauges()
    text = world.gateway.metrics.render().decode()
    assert "masticdeck_view_age_seconds" in text
    assert 'end="answered"' in text
