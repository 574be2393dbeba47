"""Orders that run at most once, under repeats, kills, pauses and lost answers.

Callers look up, key each order with the home token and repeat it at other
entries with the same key until they are told its outcome. The backend servers'
own counts per key are the truth that the answers are held against.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from bench.experiments import registry
from bench.fleet import Fleet

SERVICES = {"riga": "pasutijumi", "texas": "consignor"}
ORDERS = 5_400
CALLERS = 48
PERIOD_S = 26.0
LEAST_PERIOD_S = 18.0
TIMEOUT_MS = 1_500
REPEATS = 10
REPEAT_S = 0.4
TOKEN_TTL_S = 2.0
FAULT_S = 1.5
SERVICE_MS = 15.0
DONE, NOT_RUN, UNKNOWN = "done", "not-run", "unknown"


@dataclass
class Tally:
    """What callers were told, by key."""

    told: dict[str, set[str]] = field(default_factory=dict)
    final: dict[str, str] = field(default_factory=dict)
    asked: int = 0
    faults: Counter[str] = field(default_factory=Counter)


class Callers:
    """Sends orders to live and dead entries alike."""

    def __init__(self, fleet: Fleet, service: str, session: ClientSession) -> None:
        self.fleet = fleet
        self.service = service
        self.session = session
        self.random = random.Random(7)
        self.tally = Tally()
        self.tokens: dict[str, tuple[float, str]] = {}
        self.next = 0

    async def token(self) -> str:
        """Return a home token, cached as callers cache a look-up."""
        while True:
            entry = self.random.choice(self.fleet.entry_ids)
            at, token = self.tokens.get(entry, (0.0, ""))
            if token and time.monotonic() - at < TOKEN_TTL_S:
                return token
            url = f"{self.fleet.entry_url(entry)}/lookup?service={self.service}"
            try:
                async with self.session.get(url) as response:
                    token = (await response.json())["home"]
                self.tokens[entry] = (time.monotonic(), token)
            except (ClientError, OSError, TimeoutError, ValueError):
                self.tokens.pop(entry, None)

    async def send(self, key: str, entry: str, *, cut_s: float | None = None) -> str:
        """Send an order once and return what the caller was told."""
        url = f"{self.fleet.entry_url(entry)}/service/{self.service}/orders"
        fields = {"Idempotency-Key": key, "Masticdeck-Timeout-Ms": str(TIMEOUT_MS)}
        self.tally.asked += 1
        try:
            async with (
                asyncio.timeout(cut_s or 2 * TIMEOUT_MS / 1000),
                self.session.post(url, data=key, headers=fields) as response,
            ):
                await response.read()
                told = response.headers.get("Masticdeck-Outcome", UNKNOWN)
                if response.status == 200:
                    told = DONE
        except (ClientError, OSError, TimeoutError):
            return UNKNOWN
        self.tally.told.setdefault(key, set()).add(told)
        return told

    async def order(self, number: int) -> None:
        """Place one order in one of four manners, and repeat until it is settled."""
        key = f"{await self.token()}.order-{number}"
        entries = self.random.sample(self.fleet.entry_ids, 2)
        manner = number % 4
        if manner == 0:
            told = await self.send(key, entries[0])
        elif manner == 1:
            both = await asyncio.gather(*(self.send(key, one) for one in entries))
            told = next((one for one in both if one != UNKNOWN), UNKNOWN)
        elif manner == 2:
            await self.send(key, entries[0])
            told = await self.send(key, entries[1])
        else:
            told = await self.send(key, entries[0], cut_s=0.02)
        for _ in range(REPEATS):
            if told != UNKNOWN:
                break
            await asyncio.sleep(REPEAT_S)
            told = await self.send(key, self.random.choice(self.fleet.entry_ids))
        if told == NOT_RUN:
            await self.send(key, entries[1])
        self.tally.final[key] = told

    async def work(self, began: float) -> None:
        """Place orders spread over the period until all are placed."""
        while self.next < ORDERS:
            number = self.next
            self.next += 1
            due = began + number / ORDERS * LEAST_PERIOD_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self.order(number)


async def make_faults(fleet: Fleet, callers: Callers, ended: asyncio.Event) -> None:
    """Kill, pause and stop entries in turn and lose backends' answers."""
    chance = random.Random(11)
    instances = [
        one["id"]
        for one in fleet.deployment["instances"]
        if one["service"] == callers.service
    ]
    kinds = ["kill", "pause", "answers", "stop"]
    number = 0
    while not ended.is_set():
        await asyncio.sleep(FAULT_S)
        kind = kinds[number % len(kinds)]
        number += 1
        entry = chance.choice(fleet.entry_ids)
        callers.tally.faults[kind] += 1
        print(f"{kind} {entry}", file=sys.stderr)
        if kind == "kill":
            await fleet.kill(entry)
            await asyncio.sleep(FAULT_S)
            await fleet.start_entry(entry)
        elif kind == "pause":
            fleet.pause(entry)
            await asyncio.sleep(FAULT_S)
            fleet.resume(entry)
        elif kind == "answers":
            for instance in chance.sample(instances, 3):
                await fleet.control_instance(instance, lose_answers=10)
        else:
            await fleet.terminate(entry)
            await fleet.start_entry(entry)


def judge(tally: Tally, runs: Counter[str]) -> dict[str, Any]:
    """Hold what callers were told against the backend servers' counts."""
    told = tally.told
    unknown = sum(1 for one in tally.final.values() if one == UNKNOWN)
    return {
        "orders": len(tally.final),
        "asked": tally.asked,
        "ran_twice": sum(1 for count in runs.values() if count > 1),
        "false_not_run": sum(1 for key in told if NOT_RUN in told[key] and runs[key]),
        "lost": sum(1 for key in told if DONE in told[key] and not runs[key]),
        "done": sum(1 for one in tally.final.values() if one == DONE),
        "not_run": sum(1 for one in tally.final.values() if one == NOT_RUN),
        "unknown": round(unknown / max(1, len(tally.final)), 5),
        "faults": dict(tally.faults),
    }


@registry.register("once")
async def run(deployment: str) -> dict[str, Any]:
    """Place the orders under faults and hold the answers against the truth."""
    service = SERVICES[deployment]
    connector = TCPConnector(limit=0, force_close=True)
    async with (
        Fleet(deployment, service_ms={service: SERVICE_MS}) as fleet,
        ClientSession(connector=connector, timeout=ClientTimeout(total=3)) as session,
    ):
        callers = Callers(fleet, service, session)
        began = time.monotonic()
        ended = asyncio.Event()
        faults = asyncio.create_task(make_faults(fleet, callers, ended))
        work = [asyncio.create_task(callers.work(began)) for _ in range(CALLERS)]
        await asyncio.wait(work, timeout=PERIOD_S)
        ended.set()
        await faults
        for task in work:
            task.cancel()
        results = await asyncio.gather(*work, return_exceptions=True)
        raised = [one for one in results if isinstance(one, Exception)]
        if raised:
            raise raised[0]
        return judge(callers.tally, await fleet.runs_by_key())
