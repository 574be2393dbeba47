"""A link between regions that loses packets while large files fill it."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

from bench.experiments import registry
from bench.fleet import Fleet, free_ports, place
from bench.scenario import Run, Scenario, compare, services_of, stream
from masticdeck.load.records import Result

DURATION_S = 14.0
SLOW_FROM_S = 3.0
SLOW_FACTOR = 4
LOSS = 0.03
FILE_BYTES = 1_000_000
FILE_RATE = 18.0
FILE_WAIT_MS = 8000.0
SERVICE_MS = 80.0
SLOTS = 36
RATES = {"urgent": 0.35, "middle": 0.15}
FILE_RATES = {"urgent": 0.1, "middle": 0.05}
LINK_BYTES_PER_S = {"riga": 10_000_000, "texas": 6_000_000}
ONE_WAY_S = 0.035


class LinkedFleet(Fleet):
    """A fleet in which other regions reach one region over a relayed link."""

    @property
    def far_region(self) -> str:
        """Return the region behind the link."""
        return str(self.deployment["zones"][-1]["region"])

    async def start_standins(self) -> None:
        """Start the stand-ins and the link before any entry."""
        await super().start_standins()
        far = [
            one
            for one in self.deployment["instances"]
            if self.region_of(one["zone"]) == self.far_region
        ]
        *ports, control = free_ports(len(far) + 1)
        self.control_port = control
        rate = LINK_BYTES_PER_S[self.deployment["name"]]
        relayed = copy.deepcopy(self.deployment)
        for link in (*self.deployment["links"], *relayed["links"]):
            link["bytes_per_s"] = rate
        for one, port in zip(far, ports, strict=True):
            for line in relayed["instances"]:
                if line["id"] == one["id"]:
                    line["port"] = port
        self.relayed_path.write_text(json.dumps(relayed), encoding="utf-8")
        self.near_path.write_text(json.dumps(self.deployment), encoding="utf-8")
        settings = {
            "delay_s": ONE_WAY_S,
            "loss": 0.0,
            "bytes_per_s": rate,
            "seed": 3,
            "control_port": control,
            "ports": [
                {"host": one["host"], "to": one["port"], "port": port}
                for one, port in zip(far, ports, strict=True)
            ],
        }
        path = self.folder / "link.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        await self.spawn("link", "bench.standins.link", "--settings", str(path))
        await self.ready("link", f"http://127.0.0.1:{control}/stats")

    @property
    def relayed_path(self) -> Path:
        """Return the deployment file of entries in the other regions."""
        return self.folder / "relayed.json"

    @property
    def near_path(self) -> Path:
        """Return the deployment file of entries in the region itself."""
        return self.folder / "near.json"

    def deployment_for(self, entry: str) -> Path:
        """Return the file in which the far instances are behind the relay."""
        node = next(one for one in self.deployment["entries"] if one["id"] == entry)
        near = self.region_of(node["zone"]) == self.far_region
        return self.near_path if near else self.relayed_path

    async def control_link(self, **faults: Any) -> None:
        """Set the link's loss or rate."""
        url = f"http://127.0.0.1:{self.control_port}/control"
        async with self.session.post(url, json=faults):
            pass


async def slow_down(fleet: Fleet) -> None:
    """Make the link lose packets and carry a quarter of its rate."""
    assert isinstance(fleet, LinkedFleet)
    rate = LINK_BYTES_PER_S[fleet.deployment["name"]]
    await fleet.control_link(loss=LOSS, bytes_per_s=rate / SLOW_FACTOR)


def figures(run: Run) -> dict[str, Any]:
    """Return the figures with what became of the files."""
    files = [one for one in run.records.requests if one.stream == "files"]
    whole = [one for one in files if one.result is Result.CORRECT]
    return {
        **run.common(),
        "files": len(files),
        "files_ok": round(len(whole) / max(1, len(files)), 4),
        "stalled_files": sum(one.result is Result.STALLED for one in files),
    }


def near_regions(deployment: str) -> dict[str, float]:
    """Return the regions of the callers: all but the one behind the link."""
    zones = place(deployment)["zones"]
    far = zones[-1]["region"]
    return {zone["region"]: 1.0 for zone in zones if zone["region"] != far}


@registry.register("slow-link")
async def slow_link(deployment: str) -> dict[str, Any]:
    """Let one link lose packets at a quarter of its rate while files fill it."""
    names = services_of(deployment)
    callers = near_regions(deployment)
    capacity = SLOTS / (SERVICE_MS / 1000)
    streams = [
        stream(service, rank, part * capacity, regions=callers)
        for service in names
        for rank, part in (FILE_RATES if service == names[2] else RATES).items()
    ]
    files = stream(
        names[2], "low", FILE_RATE, name="files", file_bytes=FILE_BYTES, regions=callers
    )
    files["wait_ms"] = FILE_WAIT_MS
    scenario = Scenario(
        name="slow-link",
        deployment=deployment,
        duration_s=DURATION_S,
        streams=[*streams, files],
        service_ms=dict.fromkeys(names, SERVICE_MS),
        fleet=LinkedFleet,
        timed=[(SLOW_FROM_S, slow_down)],
    )
    return await compare(scenario, figures)
