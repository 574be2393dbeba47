"""Floods of the least urgent and of the urgent work at one service."""

from __future__ import annotations

from typing import Any

from bench.experiments import registry
from bench.scenario import Run, Scenario, background, compare, services_of, stream
from masticdeck.ids import Rank

DURATION_S = 12.0
FLOOD_FROM_S = 2.0
MEASURED_FROM_S = 4.0
SERVICE_MS = 200.0
SLOTS = {"riga": 56, "texas": 60}
FLOORS = {Rank.MIDDLE: 0.2, Rank.LOW: 0.1}


def build(
    name: str, deployment: str, *, urgent: float, middle: float, low: float
) -> Scenario:
    """Return a flood whose rates are multiples of the service's capacity."""
    service = services_of(deployment)[0]
    capacity = SLOTS[deployment] / (SERVICE_MS / 1000)
    rates = {"urgent": urgent, "middle": middle, "low": low}
    streams = [
        stream(
            service,
            rank,
            part * capacity,
            from_s=FLOOD_FROM_S if part > 1 else 0.0,
        )
        for rank, part in rates.items()
    ]
    return Scenario(
        name=name,
        deployment=deployment,
        duration_s=DURATION_S,
        streams=streams + background(deployment, 20.0),
        service_ms={service: SERVICE_MS},
    )


def goodput(run: Run, rank: Rank) -> float:
    """Return the rank's goodput at the flooded service during the flood."""
    service = services_of(run.scenario.deployment)[0]
    return run.records.goodput(
        from_s=MEASURED_FROM_S, to_s=DURATION_S, stream=f"{service}-{rank.value}"
    )


def capacity_of(run: Run) -> float:
    """Return the capacity of the flooded service in requests a second."""
    return run.capacity[services_of(run.scenario.deployment)[0]]


def low_figures(run: Run) -> dict[str, Any]:
    """Return what urgent and middle work kept and how the rest was used."""
    spare = capacity_of(run) - goodput(run, Rank.URGENT) - goodput(run, Rank.MIDDLE)
    low = goodput(run, Rank.LOW)
    return {
        **run.common(),
        "low_goodput": round(low, 1),
        "low_of_spare": round(low / max(spare, 1e-9), 4),
    }


def urgent_figures(run: Run) -> dict[str, Any]:
    """Return the urgent goodput and what the other ranks kept of their floors.

    The floors are set aside, so the urgent work's capacity is what they leave.
    """
    whole = capacity_of(run)
    left = whole * (1 - sum(FLOORS.values()))
    urgent = goodput(run, Rank.URGENT)
    kept = {
        f"{rank.value}_of_floor": round(goodput(run, rank) / (floor * whole), 4)
        for rank, floor in FLOORS.items()
    }
    return {
        **run.common(),
        "urgent_goodput": round(urgent, 1),
        "urgent_of_capacity": round(urgent / left, 4),
        "urgent_of_whole": round(urgent / whole, 4),
        **kept,
    }


@registry.register("flood-low")
async def flood_low(deployment: str) -> dict[str, Any]:
    """Flood with low-rank work of 5 times the capacity."""
    scenario = build("flood-low", deployment, urgent=0.4, middle=0.2, low=5.0)
    return await compare(scenario, low_figures)


@registry.register("flood-urgent")
async def flood_urgent(deployment: str) -> dict[str, Any]:
    """Flood with urgent work of 3 times the capacity, the others above floors."""
    scenario = build("flood-urgent", deployment, urgent=3.0, middle=0.25, low=0.15)
    return await compare(scenario, urgent_figures)
