"""A store outage of 12 s with the kill of an entry inside it."""

from __future__ import annotations

from typing import Any

from bench.experiments import registry
from bench.scenario import Run, Scenario, compare, services_of, stream

DURATION_S = 16.0
DOWN_FROM_S = 2.0
DOWN_S = 12.0
KILL_AT_S = 6.0
SERVICE_MS = 100.0
RATES = {"urgent": 0.25, "middle": 0.15, "low": 0.2}
SLOTS = 36


def figures(run: Run) -> dict[str, Any]:
    """Return the common figures and the number of broken promises."""
    return {**run.common(), "promises_broken": run.broken_promises()}


@registry.register("store-outage")
async def store_outage(deployment: str) -> dict[str, Any]:
    """Take the store down, kill an entry meanwhile, bring the store back."""
    capacity = SLOTS / (SERVICE_MS / 1000)
    scenario = Scenario(
        name="store-outage",
        deployment=deployment,
        duration_s=DURATION_S,
        streams=[
            stream(service, rank, part * capacity)
            for service in services_of(deployment)
            for rank, part in RATES.items()
        ],
        faults=[
            {"at_s": DOWN_FROM_S, "action": "platform", "arguments": {"down": True}},
            {"at_s": KILL_AT_S, "action": "kill", "target": "entry-2"},
            {
                "at_s": DOWN_FROM_S + DOWN_S,
                "action": "platform",
                "arguments": {"down": False},
            },
        ],
        service_ms=dict.fromkeys(services_of(deployment), SERVICE_MS),
    )
    return await compare(scenario, figures)
