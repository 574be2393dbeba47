"""Loss of a whole region at 70% load."""

from __future__ import annotations

from typing import Any

from bench.experiments import registry
from bench.fleet import place
from bench.scenario import Run, Scenario, compare, services_of, stream
from masticdeck.load.records import ok_part

DURATION_S = 14.0
LOSS_AT_S = 5.0
SERVICE_MS = 160.0
LOAD = 0.7
PARTS = {"urgent": 0.45, "middle": 0.25, "low": 0.30}
BIN_S = 0.5
RECOVERED = 0.97
STEADY_S = 2.0


def lost_region(deployment: str) -> str:
    """Return the region that is lost; it does not hold the store."""
    return {"riga": "kurzeme", "texas": "central"}[deployment]


def region_faults(deployment: str) -> list[dict[str, Any]]:
    """Return the ends of all entries and backend servers of the lost region."""
    placed = place(deployment)
    region = lost_region(deployment)
    zones = {zone["id"] for zone in placed["zones"] if zone["region"] == region}
    targets = [one["id"] for one in placed["entries"] if one["zone"] in zones]
    targets += [f"backend-{one}-{region}" for one in services_of(deployment)]
    return [
        {"at_s": LOSS_AT_S, "action": "kill", "target": target} for target in targets
    ]


def streams(deployment: str) -> list[dict[str, Any]]:
    """Return all ranks at every service, 70% of its capacity in all."""
    placed = place(deployment)
    slots = dict.fromkeys(services_of(deployment), 0)
    for instance in placed["instances"]:
        slots[instance["service"]] += instance["slots"]
    return [
        stream(service, rank, LOAD * part * count / (SERVICE_MS / 1000))
        for service, count in slots.items()
        for rank, part in PARTS.items()
    ]


def recover_s(run: Run) -> float:
    """Return the seconds from the loss until urgent work stays well answered."""
    last_bad = LOSS_AT_S
    at = LOSS_AT_S
    while at < DURATION_S:
        ones = run.records.select(from_s=at, to_s=at + BIN_S)
        urgent = [one for one in ones if one.rank.value == "urgent"]
        if ok_part(urgent) < RECOVERED:
            last_bad = at + BIN_S
        at += BIN_S
    return round(last_bad - LOSS_AT_S, 2)


def figures(run: Run) -> dict[str, Any]:
    """Return the figures of the whole run and of its end."""
    end = {"from_s": DURATION_S - STEADY_S, "to_s": DURATION_S}
    return {
        **run.common(),
        "recover_s": recover_s(run),
        "urgent_ok_at_end": round(run.ok("urgent", **end), 4),
        "middle_ok_at_end": round(run.ok("middle", **end), 4),
        "low_ok_at_end": round(run.ok("low", **end), 4),
    }


@registry.register("region-loss")
async def region_loss(deployment: str) -> dict[str, Any]:
    """Kill every process of a region while the load goes on."""
    scenario = Scenario(
        name="region-loss",
        deployment=deployment,
        duration_s=DURATION_S,
        streams=streams(deployment),
        faults=region_faults(deployment),
        service_ms=dict.fromkeys(services_of(deployment), SERVICE_MS),
        split_backends=True,
    )
    return await compare(scenario, figures)
