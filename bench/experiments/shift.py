"""A planned shift between regions under its cap, its owner killed half-way.

A plan that leaves one region is accepted while callers of that region look up
through all entries and keep answers for their time to live. ``worst`` is the
largest part of them whose region changed within any window; ``region_over``
counts requests that an instance got beyond its slots.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import random
import secrets
import shutil
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import json5
from aiohttp import ClientError

from bench.experiments import registry
from bench.fleet import ROOT, Fleet

CAP = 0.2
WINDOW_S = 1.0
TTL_S = 0.5
RUN_S = 30.0
CALLERS = 400
REQUESTS_PER_ROUND = 20
SEED = 5


@dataclass
class Caller:
    """One caller with the answer that it keeps."""

    client: str
    region: str | None = None
    expires: float = 0.0
    changes: list[float] = field(default_factory=list)


def write_files(fleet: Fleet, origin: str) -> dict[str, Any]:
    """Write tokens and a block table; return the settings that name them."""
    token = secrets.token_hex(16)
    (fleet.folder / "operator.token").write_text(token, encoding="utf-8")
    digest = hashlib.sha256(token.encode()).hexdigest()
    line = {"name": "bench", "role": "operator", "sha256": digest}
    tokens = fleet.folder / "tokens.json"
    tokens.write_text(json.dumps({"tokens": [line]}), encoding="utf-8")
    zone = next(z["id"] for z in fleet.deployment["zones"] if z["region"] == origin)
    blocks = fleet.folder / "blocks.json"
    site = {"id": "site", "zone": zone}
    block = {"block": "10.0.0.0/8", "site": "site"}
    blocks.write_text(json.dumps({"sites": [site], "blocks": [block]}))
    return {"operator_tokens": str(tokens), "blocks": str(blocks)}


async def ctl(fleet: Fleet, *arguments: str) -> None:
    """Run masticdeckctl."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "masticdeck.programs.ctl",
        *arguments,
        "--json",
        *("--deployment", str(fleet.deployment_path)),
        *("--token-file", str(fleet.folder / "operator.token")),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}", "UV_USE_IO_URING": "0"},
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"masticdeckctl {arguments}: {output.decode()}")


async def accept_lists(fleet: Fleet, folder: Path, *, base: int) -> None:
    """Propose and accept the lists of a folder."""
    name = f"p-{secrets.token_hex(3)}"
    await ctl(fleet, "propose", str(folder), "--id", name, "--base", str(base))
    await ctl(fleet, "accept", name, "--wait", "20")


def make_lists(fleet: Fleet, example: str, leave: str) -> Path:
    """Write the example's lists with a region left out of every plan."""
    folder = fleet.folder / "lists"
    shutil.copytree(ROOT / "examples" / example, folder)
    path = folder / "plans.jsonc"
    plans = json5.loads(path.read_text(encoding="utf-8"))
    for plan in plans["plans"]:
        plan["regions"] = [one for one in plan["regions"] if one != leave]
    path.write_text(json.dumps(plans), encoding="utf-8")
    return folder


class Watcher:
    """The callers of one region, who look up whenever their answer expires."""

    def __init__(self, fleet: Fleet, service: str) -> None:
        self.fleet = fleet
        self.service = service
        self.random = random.Random(SEED)
        regions = {z["id"]: z["region"] for z in fleet.deployment["zones"]}
        self.region_of = {
            one["id"]: regions[one["zone"]] for one in fleet.deployment["entries"]
        }
        self.callers = [
            Caller(f"10.{number // 250}.{number % 250}.1") for number in range(CALLERS)
        ]
        self.statuses: Counter[int] = Counter()

    async def look_up(self, caller: Caller) -> None:
        """Ask a random entry and note a change of region."""
        entry = self.random.choice(self.fleet.entry_ids)
        url = f"{self.fleet.entry_url(entry)}/lookup"
        parameters = {"service": self.service, "client": caller.client}
        asked = time.monotonic()
        try:
            async with self.fleet.session.get(url, params=parameters) as response:
                answer = json.loads(await response.read())
        except (ClientError, OSError, TimeoutError):
            return
        caller.expires = asked + answer["ttl_s"]
        region = self.region_of[answer["entries"][0]["id"]]
        if caller.region is not None and region != caller.region:
            caller.changes.append(time.monotonic())
        caller.region = region

    async def run(self, seconds: float) -> None:
        """Keep all callers' answers fresh for some time, under load."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            now = time.monotonic()
            due = [one for one in self.callers if one.expires <= now]
            await asyncio.gather(*(self.look_up(one) for one in due[:64]))
            await asyncio.gather(*(self.ask() for _ in range(REQUESTS_PER_ROUND)))
            await asyncio.sleep(0.02)

    async def ask(self) -> None:
        """Send one request through a random entry."""
        entry = self.random.choice(self.fleet.entry_ids)
        url = f"{self.fleet.entry_url(entry)}/service/{self.service}/spoons"
        try:
            async with self.fleet.session.get(url) as response:
                await response.read()
                self.statuses[response.status] += 1
        except (ClientError, OSError, TimeoutError):
            self.statuses[0] += 1

    def worst(self) -> float:
        """Return the largest part of the callers that moved within a window."""
        moves = sorted(
            (at, number)
            for number, caller in enumerate(self.callers)
            for at in caller.changes
        )
        most = 0
        first = 0
        for last, (at, _) in enumerate(moves):
            while at - moves[first][0] > WINDOW_S:
                first += 1
            most = max(most, len({number for _, number in moves[first : last + 1]}))
        return most / CALLERS


async def find_owner(fleet: Fleet) -> str | None:
    """Return the entry that wrote the newest step, by the entries' events."""
    newest: tuple[int, str] | None = None
    for entry in fleet.entry_ids:
        async with fleet.session.get(f"{fleet.entry_url(entry)}/-/events") as response:
            lines = (await response.text()).splitlines()
        for line in lines:
            stamp, name, code, _ = json.loads(line)
            if code == 800 and (newest is None or stamp > newest[0]):
                newest = (stamp, name)
    return None if newest is None else newest[1]


async def kill_owner(fleet: Fleet) -> str:
    """Kill the owner after its second step at the latest."""
    await asyncio.sleep(6.0)
    while True:
        owner = await find_owner(fleet)
        if owner is not None:
            await fleet.kill(owner)
            print(f"killed the owner {owner}", file=sys.stderr)
            return owner
        await asyncio.sleep(0.5)


@registry.register("shift")
async def run(deployment: str) -> dict[str, Any]:
    """Return the figures of one planned shift."""
    settings = {
        "shift_cap": CAP,
        "shift_window_s": WINDOW_S,
        "lookup_ttl_s": TTL_S,
        "shift_lag_limit_s": 10.0,
        "veto_window_s": 1.0,
    }
    fleet = Fleet(deployment, settings=settings)
    regions = list(dict.fromkeys(z["region"] for z in fleet.deployment["zones"]))
    origin = regions[-1]
    fleet.settings |= write_files(fleet, origin)
    async with fleet:
        return await shift(fleet, deployment, origin)


async def shift(fleet: Fleet, deployment: str, origin: str) -> dict[str, Any]:
    """Accept the lists, shift, kill the owner and count."""
    watcher = Watcher(fleet, fleet.deployment["services"][0]["id"])
    await accept_lists(fleet, ROOT / "examples" / deployment, base=0)
    await watcher.run(2.0)
    folder = make_lists(fleet, deployment, origin)
    watching = asyncio.create_task(watcher.run(RUN_S))
    await accept_lists(fleet, folder, base=1)
    killed = await kill_owner(fleet)
    await watching
    stats = await fleet.instance_stats()
    regions = Counter(caller.region for caller in watcher.callers)
    steps = itertools.chain.from_iterable(one.changes for one in watcher.callers)
    return {
        "experiment": "shift",
        "cap": CAP,
        "worst": round(watcher.worst(), 4),
        "region_over": sum(one["over_slots"] for one in stats.values()),
        "left_in_origin": regions[origin] / CALLERS,
        "moves": len(list(steps)),
        "owner_killed": killed,
        "statuses": dict(watcher.statuses),
    }
