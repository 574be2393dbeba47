"""Carries out an experiment's faults at their times."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from masticdeck.ids import InstanceId
from masticdeck.load.experiment import Action, Experiment, Fault
from masticdeck.state.deployment import Deployment

SAMPLE_S = 0.5


class Faults:
    """Posts faults to stand-ins; writes the others to the control file.

    Each line of the control file is one JSON object with ``at_s``, ``action``
    and ``target``; whoever started the processes reads it and acts.
    """

    def __init__(
        self, experiment: Experiment, deployment: Deployment, control: Path | None
    ) -> None:
        self.experiment = experiment
        self.deployment = deployment
        self.control = control
        self.done: list[dict[str, Any]] = []
        self.samples: list[dict[str, Any]] = []

    async def run(self, *, start_at: float) -> None:
        """Carry out every fault at its time."""
        async with ClientSession() as session:
            for fault in sorted(self.experiment.faults, key=lambda one: one.at_s):
                await asyncio.sleep(max(0.0, start_at + fault.at_s - time.time()))
                await self.carry_out(session, fault)

    async def carry_out(self, session: ClientSession, fault: Fault) -> None:
        """Carry out one fault."""
        line = {
            "at_s": fault.at_s,
            "action": fault.action.value,
            "target": fault.target,
        }
        self.done.append(line)
        url = self.address(fault)
        if url is not None:
            async with session.post(f"{url}/control", json=fault.arguments):
                pass
        elif self.control is not None:
            with self.control.open("a", encoding="utf-8") as output:
                output.write(json.dumps(line) + "\n")

    def address(self, fault: Fault) -> str | None:
        """Return the address of the stand-in that a fault is for."""
        if fault.action is Action.PLATFORM:
            return self.deployment.platform.url
        if fault.action is Action.INSTANCE:
            one = self.deployment.instance_by_id[InstanceId(fault.target)]
            return f"http://{one.host}:{one.port}"
        return None
