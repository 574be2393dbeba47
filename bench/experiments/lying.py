"""Instances that bear less than they announce and lie about their load."""

from __future__ import annotations

from typing import Any

from bench.experiments import registry
from bench.fleet import place
from bench.scenario import (
    POLICY,
    Run,
    Scenario,
    background,
    measure,
    services_of,
    stream,
)

DURATION_S = 9.0
MEASURED_FROM_S = 2.0
SERVICE_MS = 160.0
OVERLOAD = 0.85
LOST_SLOTS = 2


def faults(deployment: str, *, honest: bool) -> list[dict[str, Any]]:
    """Return a third of the instances with fewer slots, idle by their own word.

    Another third says that it is full although it is not.
    """
    service = services_of(deployment)[0]
    instances = [
        one["id"] for one in place(deployment)["instances"] if one["service"] == service
    ]
    found: list[dict[str, Any]] = []
    for number, instance in enumerate(instances):
        arguments: dict[str, Any] = {}
        if number % 3 == 0:
            arguments = {"extra_slots": -LOST_SLOTS, "count_over": False}
            arguments |= {} if honest else {"lying_load": 0.0}
        elif number % 3 == 1 and not honest:
            arguments = {"lying_load": 1.0}
        if arguments:
            found.append(
                {
                    "at_s": 0.0,
                    "action": "instance",
                    "target": instance,
                    "arguments": arguments,
                }
            )
    return found


def build(deployment: str, *, honest: bool) -> Scenario:
    """Return the run with honest or with lying endpoints."""
    service = services_of(deployment)[0]
    slots = [
        one["slots"]
        for one in place(deployment)["instances"]
        if one["service"] == service
    ]
    real = sum(
        slots[number] - (LOST_SLOTS if number % 3 == 0 else 0)
        for number in range(len(slots))
    )
    rate = OVERLOAD * real / (SERVICE_MS / 1000)
    parts = {"urgent": 0.4, "middle": 0.3, "low": 0.3}
    return Scenario(
        name="lying-load",
        deployment=deployment,
        duration_s=DURATION_S,
        streams=[stream(service, rank, part * rate) for rank, part in parts.items()]
        + background(deployment, 20.0),
        faults=faults(deployment, honest=honest),
        service_ms={service: SERVICE_MS},
    )


def goodput(run: Run) -> float:
    """Return all correct answers a second of the service with the liars."""
    service = services_of(run.scenario.deployment)[0]
    return sum(
        run.records.goodput(
            from_s=MEASURED_FROM_S, to_s=DURATION_S, stream=f"{service}-{rank}"
        )
        for rank in ("urgent", "middle", "low")
    )


def figures(lying: Run, honest: Run) -> dict[str, Any]:
    """Return the figures with liars and the goodput against honest endpoints."""
    return {
        **lying.common(),
        "shed": lying.total("shed"),
        "goodput": round(goodput(lying), 1),
        "honest_goodput": round(goodput(honest), 1),
        "goodput_of_honest": round(goodput(lying) / max(goodput(honest), 1e-9), 4),
    }


@registry.register("lying-load")
async def lying_load(deployment: str) -> dict[str, Any]:
    """Run with honest and with lying endpoints, for both policies."""
    found = {}
    for policy in (POLICY, "baseline"):
        honest = await measure(build(deployment, honest=True), policy)
        lying = await measure(build(deployment, honest=False), policy)
        found[policy] = figures(lying, honest)
    return {
        "experiment": "lying-load",
        "deployment": deployment,
        **found[POLICY],
        "baseline": found["baseline"],
    }
