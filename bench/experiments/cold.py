"""A big capped move of work into a region whose caches are cold."""

from __future__ import annotations

from typing import Any

from bench.experiments import registry
from bench.fleet import place
from bench.scenario import Run, Scenario, compare, services_of, stream

DURATION_S = 14.0
MOVE_FROM_S = 3.0
MOVE_TO_S = 9.0
COLD_S = 6.0
COLD_FACTOR = 4.0
SERVICE_MS = 120.0
RATES = {"urgent": 0.25, "middle": 0.1, "low": 0.15}
SLOTS = 36


def figures(run: Run) -> dict[str, Any]:
    """Return the figures of the whole run and of the time when caches are cold."""
    window = {"from_s": MOVE_FROM_S, "to_s": MOVE_FROM_S + COLD_S}
    return {
        **run.common(),
        "urgent_ok_while_cold": round(run.ok("urgent", **window), 4),
        "middle_ok_while_cold": round(run.ok("middle", **window), 4),
    }


@registry.register("cold-move")
async def cold_move(deployment: str) -> dict[str, Any]:
    """Move all work from one region's entries to another's, a tenth at a time.

    The instances of the region that takes the work are four times slower for
    six seconds from the start of the move.
    """
    placed = place(deployment)
    regions = list(dict.fromkeys(zone["region"] for zone in placed["zones"]))
    zones = {one["id"]: one["region"] for one in placed["zones"]}
    source, target = regions[1], regions[2]
    before = dict.fromkeys(regions, 1.0) | {target: 0.2}
    after = dict.fromkeys(regions, 1.0) | {source: 0.0, target: 1.2}
    capacity = SLOTS / (SERVICE_MS / 1000)
    scenario = Scenario(
        name="cold-move",
        deployment=deployment,
        duration_s=DURATION_S,
        streams=[
            stream(
                service,
                rank,
                part * capacity,
                regions=before,
                moved_regions=after,
                move_from_s=MOVE_FROM_S,
                move_to_s=MOVE_TO_S,
                move_steps=10,
            )
            for service in services_of(deployment)
            for rank, part in RATES.items()
        ],
        faults=[
            {
                "at_s": MOVE_FROM_S,
                "action": "instance",
                "target": one["id"],
                "arguments": {"cold_s": COLD_S, "cold_factor": COLD_FACTOR},
            }
            for one in placed["instances"]
            if zones[one["zone"]] == target
        ],
        service_ms=dict.fromkeys(services_of(deployment), SERVICE_MS),
    )
    return await compare(scenario, figures)
