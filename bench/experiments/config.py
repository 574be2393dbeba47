"""How long an accepted version takes to be in force at every entry.

Twelve entries with one store watcher per zone. An operator accepts versions
one after another while an entry is killed and restarted, another is paused and
resumed, and the store goes down. An observer asks every entry for its version
many times a second: ``in_force_s_max`` is the longest time from the answer to
the acceptance to the moment at which every running entry showed the version
or a later one; ``reverts`` counts entries that showed a smaller version than
before, and callers who, moving between entries, were served by a smaller
version than they had named.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.experiments import registry
from bench.fleet import ROOT, Fleet
from masticdeck.protocol.headers import VERSION
from masticdeck.protocol.identity import hash_token

TOKEN = "bench-operator"
ENTRIES = 12
POLL_S = 0.02
PERIOD_S = 0.35
OUTAGE_S = 3.0
PAUSE_S = 2.5
VERSIONS_BEFORE = 15
VERSIONS_AFTER = 12
TIMEOUT_S = 10.0
SLOW_S = 0.5


@dataclass(frozen=True)
class Absence:
    """A span in which an entry was paused or not running."""

    entry: str
    began: float
    until: float


@dataclass
class Observer:
    """What was seen at each entry."""

    fleet: Fleet
    session: ClientSession
    seen: dict[str, int] = field(default_factory=dict)
    shown_at: dict[str, list[tuple[int, float]]] = field(default_factory=dict)
    accepted_at: dict[int, float] = field(default_factory=dict)
    away: list[Absence] = field(default_factory=list)
    down: set[str] = field(default_factory=set)
    reverts: int = 0
    answers: int = 0
    moves: int = 0

    @property
    def service(self) -> str:
        """Return the service that the moving caller uses."""
        return str(self.fleet.deployment["services"][0]["id"])

    async def ask(self, entry: str) -> int | None:
        """Return the version that an entry shows, or None."""
        url = f"{self.fleet.entry_url(entry)}/-/operators/status"
        try:
            async with self.session.get(url) as response:
                answer = await response.json()
        except (ClientError, OSError, TimeoutError):
            return None
        return int(answer["version"]) if answer.get("known") else None

    async def follow(self, entry: str) -> None:
        """Ask an entry for its version, for ever."""
        while True:
            version = await self.ask(entry)
            if version is not None:
                self.answers += 1
                if version < self.seen.get(entry, 0):
                    self.reverts += 1
                    log(f"{entry} went from {self.seen[entry]} to {version}")
                elif version > self.seen.get(entry, 0):
                    times = self.shown_at.setdefault(entry, [])
                    times.append((version, time.monotonic()))
                self.seen[entry] = max(version, self.seen.get(entry, 0))
            await asyncio.sleep(POLL_S)

    async def move(self) -> None:
        """Be a caller who goes from entry to entry with the version seen."""
        seen = 0
        while True:
            for entry in self.fleet.entry_ids:
                url = f"{self.fleet.entry_url(entry)}/service/{self.service}/page"
                try:
                    async with self.session.get(
                        url, headers={VERSION: str(seen)}
                    ) as response:
                        await response.read()
                        found = response.headers.get(VERSION)
                except (ClientError, OSError, TimeoutError):
                    continue
                if found is not None and found.isdigit():
                    self.moves += 1
                    if int(found) < seen:
                        self.reverts += 1
                        log(f"a caller of {seen} was served by {found} at {entry}")
                    seen = max(seen, int(found))
            await asyncio.sleep(POLL_S)

    def delays(self) -> list[float]:
        """Return for each acceptance the seconds until every entry showed it.

        An entry that was paused or being restarted at the acceptance counts
        from the moment at which it ran again.
        """
        delays: list[float] = []
        for version, accepted in self.accepted_at.items():
            worst = 0.0
            for entry in self.fleet.entry_ids:
                shown = [at for v, at in self.shown_at[entry] if v >= version]
                if not shown:
                    return [float("inf")]
                began = max([accepted, *self.returns(entry, accepted)])
                delay = min(shown) - began
                if delay > SLOW_S:
                    log(f"version {version} took {delay:.3f} s at {entry}")
                worst = max(worst, delay)
            delays.append(worst)
        return delays

    def returns(self, entry: str, moment: float) -> list[float]:
        """Return when an entry ran again that stood still at a moment."""
        return [
            one.until
            for one in self.away
            if one.entry == entry and one.began <= moment <= one.until
        ]


def log(text: str) -> None:
    """Print progress."""
    print(text, file=sys.stderr, flush=True)


class Operator:
    """Proposes and accepts one change after another."""

    def __init__(self, observer: Observer, example: str) -> None:
        self.observer = observer
        self.base = 0
        self.repeats = 0
        folder = ROOT / "examples" / example
        self.customers = (folder / "customers.jsonc").read_text(encoding="utf-8")
        self.customers = self.customers.replace('"veto": true', '"veto": false')
        self.plans = (folder / "plans.jsonc").read_text(encoding="utf-8")

    async def call(self, path: str, body: Any) -> Any:
        """Send a request to one entry after another until one answers."""
        fleet = self.observer.fleet
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for entry in fleet.entry_ids:
                    if entry in self.observer.down:
                        continue
                    url = f"{fleet.entry_url(entry)}/-/operators/{path}"
                    try:
                        async with self.observer.session.post(url, json=body) as one:
                            answer = await one.json()
                    except (ClientError, OSError, TimeoutError):
                        self.repeats += 1
                        continue
                    if one.status == 200:
                        return answer
                    if one.status != 503:
                        raise RuntimeError(str(answer))
                    self.repeats += 1
                await asyncio.sleep(POLL_S)

    async def accept(self) -> None:
        """Accept one more version."""
        version = self.base + 1
        capacity = 0.3 if version % 2 else 0.4
        plans = self.plans.replace('"capacity": 0.5', f'"capacity": {capacity}')
        name = f"change-{version}"
        body = {
            "id": name,
            "base": self.base,
            "customers": self.customers,
            "plans": plans,
        }
        await self.call("proposals", body)
        answer = await self.call(f"proposals/{name}/accept", {})
        self.observer.accepted_at[answer["version"]] = time.monotonic()
        self.base = answer["version"]

    async def accept_many(self, count: int) -> None:
        """Accept versions at a steady pace."""
        for _ in range(count):
            await self.accept()
            await asyncio.sleep(PERIOD_S)


async def disturb(observer: Observer, operator: Operator) -> None:
    """Accept versions while entries restart, one lags and the store is down."""
    fleet = observer.fleet
    lagging, killed, cold = fleet.entry_ids[3], fleet.entry_ids[4], fleet.entry_ids[7]
    log("a peer is paused")
    observer.down.add(lagging)
    began = time.monotonic()
    fleet.pause(lagging)
    await operator.accept_many(round(PAUSE_S / PERIOD_S))
    observer.away.append(Absence(lagging, began, time.monotonic()))
    fleet.resume(lagging)
    observer.down.discard(lagging)
    log("an entry is restarted")
    observer.down.add(killed)
    began = time.monotonic()
    await fleet.kill(killed)
    restart = asyncio.create_task(fleet.start_entry(killed))
    while not restart.done():
        await operator.accept_many(1)
    await restart
    observer.away.append(Absence(killed, began, time.monotonic()))
    observer.down.discard(killed)
    log("the store is down, and an entry is restarted meanwhile")
    await fleet.control_platform(down=True)
    await fleet.kill(cold)
    began = time.monotonic()
    await fleet.start_entry(cold)
    await asyncio.sleep(max(0.0, OUTAGE_S - (time.monotonic() - began)))
    await fleet.control_platform(down=False)
    log("the store is back")


@registry.register("config")
async def run(deployment: str) -> dict[str, Any]:
    """Measure the roll-out of accepted versions."""
    entries = ENTRIES if deployment == "texas" else None
    fleet = Fleet(
        deployment, entries=entries, service_ms={"tankboard": 2.0, "katalogs": 2.0}
    )
    tokens = fleet.folder / "tokens.json"
    line = {"role": "operator", "name": "bench", "sha256": hash_token(TOKEN)}
    tokens.write_text(json.dumps({"tokens": [line]}), encoding="utf-8")
    fleet.settings = {"operator_tokens": str(tokens), "watchers_per_zone": 1}
    fields = {"Authorization": f"Bearer {TOKEN}"}
    timeout = ClientTimeout(total=2)
    async with fleet, ClientSession(headers=fields, timeout=timeout) as session:
        observer = Observer(fleet, session)
        operator = Operator(observer, deployment)
        tasks = [asyncio.create_task(observer.follow(e)) for e in fleet.entry_ids]
        tasks.append(asyncio.create_task(observer.move()))
        await operator.accept_many(VERSIONS_BEFORE)
        undisturbed = set(observer.accepted_at)
        await disturb(observer, operator)
        await operator.accept_many(VERSIONS_AFTER)
        await asyncio.sleep(1.5)
        stats = await fleet.platform_stats()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    delays = observer.delays()
    calm = [
        d
        for v, d in zip(observer.accepted_at, delays, strict=False)
        if v in undisturbed
    ]
    return {
        "entries": len(fleet.entry_ids),
        "versions": len(observer.accepted_at),
        "in_force_s_max": round(max(delays), 3),
        "in_force_s_median": round(sorted(delays)[len(delays) // 2], 3),
        "in_force_calm_s_max": round(max(calm), 3) if calm else None,
        "reverts": observer.reverts,
        "answers_observed": observer.answers,
        "answers_to_moving_caller": observer.moves,
        "operator_repeats": operator.repeats,
        "waiting_watches": stats["waiting_watches"],
    }
