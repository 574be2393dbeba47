"""Planned stops under load: of backend instances and of every entry in turn.

Callers keep look-up answers for their time to live, as the product allows.
A request is cut when its connection fails, its answer is short, or its outcome
is unknown; a refusal that says "not run" is counted apart.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import sys
import time
from collections import Counter
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from bench.experiments import registry
from bench.fleet import Fleet

READS = {"riga": "katalogs", "texas": "tankboard"}
FILES = {"riga": "raksti", "texas": "manualhouse"}
ORDERS = {"riga": "pasutijumi", "texas": "consignor"}
SOURCES = ("operator", "platform", "instance", "header")
FILE_BYTES = 300_000
CALLERS = 24
PAUSE_S = 0.05
WARM_S = 2.0
WATCHED_S = 4.0
TIMEOUT_MS = 5_000
SETTINGS = {"lookup_ttl_s": 0.5, "heartbeat_s": 0.5, "stop_grace_s": 6.0}


class Callers:
    """Asks for pages, files and orders at the entries that look-ups name."""

    def __init__(self, fleet: Fleet, name: str, session: ClientSession) -> None:
        self.fleet = fleet
        self.session = session
        self.services = (READS[name], FILES[name], ORDERS[name])
        self.random = random.Random(5)
        self.counts: Counter[str] = Counter()
        self.answers: dict[str, tuple[float, dict[str, Any]]] = {}
        self.number = 0
        self.running = True

    async def lookup(self, service: str) -> dict[str, Any]:
        """Return a look-up answer that is within its time to live."""
        while True:
            at, answer = self.answers.get(service, (0.0, {}))
            if answer and time.monotonic() - at < answer["ttl_s"]:
                return answer
            entry = self.random.choice(self.fleet.entry_ids)
            url = f"{self.fleet.entry_url(entry)}/lookup?service={service}"
            asked = time.monotonic()
            try:
                async with self.session.get(url) as response:
                    self.answers[service] = (asked, await response.json())
            except (ClientError, OSError, TimeoutError, ValueError):
                self.counts["lookup_elsewhere"] += 1

    async def ask(self) -> None:
        """Send one request and count how it ended."""
        self.number += 1
        service = self.services[self.number % 3]
        answer = await self.lookup(service)
        base = self.random.choice(answer["entries"][:4])["url"]
        fields = {"Masticdeck-Timeout-Ms": str(TIMEOUT_MS)}
        method, path = "GET", "page"
        if service == self.services[1]:
            path = f"bytes/{FILE_BYTES}"
        elif service == self.services[2]:
            method, path = "POST", "orders"
            fields["Idempotency-Key"] = f"{answer['home']}.order-{self.number}"
        url = f"{base}/service/{service}/{path}"
        try:
            async with self.session.request(method, url, headers=fields) as response:
                body = await response.read()
            end = self.judge(response.status, response.headers, service, len(body))
        except (ClientError, OSError, TimeoutError) as error:
            end = "cut"
            print(f"cut: {error!r} {url}", file=sys.stderr)
        self.counts[end] += 1

    def judge(self, status: int, fields: Any, service: str, size: int) -> str:
        """Return how an answered request ended."""
        if status == 200:
            short = service == self.services[1] and size != FILE_BYTES
            return "cut" if short else "done"
        if fields.get("Masticdeck-Outcome") == "not-run":
            return "refused"
        print(f"cut: status {status} {service}", file=sys.stderr)
        return "cut"

    async def work(self) -> None:
        """Send requests until told to stop."""
        while self.running:
            await self.ask()
            await asyncio.sleep(self.random.uniform(0, 2 * PAUSE_S))


async def speak(fleet: Fleet, instance: str, source: str) -> None:
    """Let one source say that an instance drains."""
    if source == "operator":
        value = base64.b64encode(json.dumps({"id": instance}).encode()).decode()
        body = {"key": f"drains/{instance}", "value": value, "expect": None}
        url = f"{fleet.platform_url}/v1/put"
        async with fleet.session.post(url, json=body):
            pass
    elif source == "platform":
        vms = [{"name": instance, "state": "leaving"}]
        await fleet.control_platform(vms=vms)
    else:
        await fleet.control_instance(instance, draining=True)


async def drain_instances(fleet: Fleet, service: str) -> dict[str, Any]:
    """Drain one instance by each source and watch their work end."""
    instances = [
        one["id"] for one in fleet.deployment["instances"] if one["service"] == service
    ]
    chosen = dict(zip(instances, SOURCES, strict=False))
    began: dict[str, float] = {}
    ended: dict[str, float] = {}
    for instance, source in chosen.items():
        began[instance] = time.time()
        await speak(fleet, instance, source)
    until = time.monotonic() + WATCHED_S
    stats: dict[str, dict[str, Any]] = {}
    while time.monotonic() < until:
        stats = await fleet.instance_stats()
        for instance in chosen:
            if stats[instance]["in_flight"]:
                ended.pop(instance, None)
            else:
                ended.setdefault(instance, time.time() - began[instance])
        await asyncio.sleep(0.02)
    last = {
        source: round(max(0.0, stats[one]["last_new_work"] - began[one]), 3)
        for one, source in chosen.items()
    }
    return {
        "last_new_work_s": max(last.values()),
        "last_new_work_by_source": last,
        "drain_s": round(max(ended.get(one, WATCHED_S) for one in chosen), 3),
    }


async def restart_entries(fleet: Fleet) -> dict[str, Any]:
    """Stop and start every entry, one by one."""
    seconds: list[float] = []
    statuses: list[int] = []
    for entry in fleet.entry_ids:
        began = time.monotonic()
        statuses.append(await fleet.terminate(entry))
        seconds.append(time.monotonic() - began)
        await fleet.start_entry(entry)
        print(f"{entry}: {seconds[-1]:.2f} s", file=sys.stderr)
    return {
        "entry_drain_s": round(max(seconds), 3),
        "entries_restarted": len(statuses),
        "exit_statuses": sorted(set(statuses)),
    }


@registry.register("drain")
async def run(deployment: str) -> dict[str, Any]:
    """Drain instances, then restart all entries, under load."""
    connector = TCPConnector(limit=0)
    timeout = ClientTimeout(total=2 * TIMEOUT_MS / 1000)
    async with (
        Fleet(deployment, settings=SETTINGS) as fleet,
        ClientSession(connector=connector, timeout=timeout) as session,
    ):
        callers = Callers(fleet, deployment, session)
        work = [asyncio.create_task(callers.work()) for _ in range(CALLERS)]
        await asyncio.sleep(WARM_S)
        backend = await drain_instances(fleet, READS[deployment])
        entries = await restart_entries(fleet)
        callers.running = False
        await asyncio.gather(*work)
        runs = await fleet.runs_by_key()
    counts = callers.counts
    return {
        "cut": counts["cut"],
        **backend,
        **entries,
        "done": counts["done"],
        "refused_not_run": counts["refused"],
        "ran_twice": sum(1 for count in runs.values() if count > 1),
    }
