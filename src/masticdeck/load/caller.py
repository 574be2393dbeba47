"""Open-loop callers: arrivals that do not wait for answers, each checked whole."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from masticdeck.ids import Outcome, RegionId
from masticdeck.load.experiment import Experiment, Stream
from masticdeck.load.records import Record, Records, Result
from masticdeck.protocol import headers
from masticdeck.state.deployment import Deployment, EntryNode

GRACE_S = 0.5
STALL_S = 5.0
SHUN_S = 1.0
MAX_ATTEMPTS = 2
PROGRESS_S = 2.0


class Callers:
    """All arrivals of one part of an experiment.

    ``part`` of ``parts`` takes every stream at a proportional rate. An entry
    that cannot be reached is shunned for a second; an idempotent request whose
    connection broke is repeated once at another entry.
    """

    def __init__(
        self,
        experiment: Experiment,
        deployment: Deployment,
        *,
        part: int = 0,
        parts: int = 1,
    ) -> None:
        self.experiment = experiment
        self.deployment = deployment
        self.part = part
        self.parts = parts
        self.random = random.Random(f"{experiment.seed}-{part}")
        self.records = Records()
        self.shunned: dict[str, float] = {}
        self.by_region: dict[RegionId, list[EntryNode]] = {}
        for entry in deployment.entries:
            region = deployment.region_of[entry.zone]
            self.by_region.setdefault(region, []).append(entry)
        self.sequence = 0
        self.began = 0.0
        self.session: ClientSession

    async def run(self, *, start_at: float) -> Records:
        """Send everything, beginning at a wall-clock time, and wait for the ends."""
        connector = TCPConnector(limit=0, keepalive_timeout=30)
        timeout = ClientTimeout(total=None)
        async with ClientSession(connector=connector, timeout=timeout) as session:
            self.session = session
            await asyncio.sleep(max(0.0, start_at - time.time()))
            self.began = asyncio.get_running_loop().time()
            async with asyncio.TaskGroup() as group:
                progress = group.create_task(self.show_progress())
                streams = [
                    group.create_task(self.arrivals(stream, group))
                    for stream in self.experiment.streams
                ]
                await asyncio.gather(*streams)
                progress.cancel()
        return self.records

    def now(self) -> float:
        """Return seconds since the start."""
        return asyncio.get_running_loop().time() - self.began

    async def arrivals(self, stream: Stream, group: asyncio.TaskGroup) -> None:
        """Start one task for each arrival of a stream."""
        until = stream.to_s or self.experiment.duration_s
        rate = stream.rate / self.parts
        at = stream.from_s + self.random.expovariate(rate)
        while at < until:
            delay = at - self.now()
            if delay > 0:
                await asyncio.sleep(delay)
            self.sequence += 1
            group.create_task(self.request(stream, at, self.sequence))
            at += self.random.expovariate(rate)

    async def show_progress(self) -> None:
        """Print a line to standard error now and then."""
        while True:
            await asyncio.sleep(PROGRESS_S)
            done = self.records.requests
            good = sum(one.result is Result.CORRECT for one in done)
            print(
                f"part {self.part} at {self.now():.0f} s: "
                f"{self.sequence} sent, {len(done)} ended, {good} correct",
                file=sys.stderr,
                flush=True,
            )

    def choose(self, stream: Stream, at: float, tried: set[str]) -> EntryNode:
        """Return an entry by the stream's weights, avoiding shunned ones."""
        weights = stream.weights(at)
        now = self.now()
        regions = {
            region: weights.get(region, 0.0 if weights else float(len(entries)))
            for region, entries in self.by_region.items()
        }
        region = self.random.choices(list(regions), list(regions.values()))[0]
        for entries in (self.by_region[region], list(self.deployment.entries)):
            fit = [
                one
                for one in entries
                if one.id not in tried and self.shunned.get(one.id, 0.0) <= now
            ]
            if fit:
                return self.random.choice(fit)
        return self.random.choice(self.deployment.entries)

    async def request(self, stream: Stream, at: float, number: int) -> None:
        """Send one request, again if that is safe, and record its end."""
        tried: set[str] = set()
        attempts = 0
        region = ""
        deadline = at + stream.wait_ms / 1000
        result = Result.UNKNOWN
        while self.now() < deadline and len(tried) < len(self.deployment.entries):
            entry = self.choose(stream, at, tried)
            tried.add(entry.id)
            region = self.deployment.region_of[entry.zone]
            attempts += 1
            try:
                async with asyncio.timeout(deadline + GRACE_S - self.now()):
                    result = await self.send(stream, entry, deadline, number, attempts)
                break
            except ClientConnectorError:
                self.shunned[entry.id] = self.now() + SHUN_S
                attempts -= 1
            except TimeoutError:
                result = Result.LATE
                break
            except (ClientError, OSError):
                result = Result.UNKNOWN
                if stream.method != "GET" or attempts >= MAX_ATTEMPTS:
                    break
        seconds = self.now() - at
        if result is Result.CORRECT and seconds > stream.wait_ms / 1000:
            result = Result.LATE
        self.records.requests.append(
            Record(at, stream.name, stream.rank, result, seconds, attempts, region)
        )

    async def send(
        self,
        stream: Stream,
        entry: EntryNode,
        deadline: float,
        number: int,
        attempt: int,
    ) -> Result:
        """Send one attempt and judge the answer."""
        nonce = f"{self.part}-{number}"
        path = f"/bytes/{stream.file_bytes}" if stream.file_bytes else f"/{nonce}"
        fields = {
            "Nonce": nonce,
            headers.PRIORITY: headers.format_priority(stream.rank),
            headers.TIMEOUT_MS: str(max(1, int(1000 * (deadline - self.now())))),
            headers.ATTEMPT: str(attempt),
        }
        if stream.customer:
            fields[headers.CUSTOMER] = stream.customer
        body = nonce.encode().ljust(stream.body_bytes) if stream.body_bytes else b""
        url = f"{entry.url}/service/{stream.service}{path}"
        async with self.session.request(
            stream.method, url, headers=fields, data=body or None
        ) as response:
            if response.status not in (200, 206):
                await response.read()
                return refused_or_unknown(response)
            if stream.file_bytes:
                return await self.check_file(response, stream.file_bytes)
            return check_small(
                await response.json(content_type=None), path, body, nonce
            )

    async def check_file(self, response: ClientResponse, size: int) -> Result:
        """Read a file; it stalls when no byte comes for STALL_S."""
        received = 0
        while True:
            try:
                async with asyncio.timeout(STALL_S):
                    chunk = await response.content.readany()
            except TimeoutError:
                return Result.STALLED
            if not chunk:
                return Result.CORRECT if received == size else Result.WRONG
            received += len(chunk)


def refused_or_unknown(response: ClientResponse) -> Result:
    """Return REFUSED only for an answer that says the request did not run."""
    outcome = response.headers.get(headers.OUTCOME)
    return Result.REFUSED if outcome == Outcome.NOT_RUN.value else Result.UNKNOWN


def check_small(answer: dict[str, Any], path: str, body: bytes, nonce: str) -> Result:
    """Return CORRECT for the whole answer to this very request."""
    digest = hashlib.sha256(body).hexdigest()
    expected = (path, nonce, digest)
    found = (answer.get("path"), answer.get("nonce"), answer.get("digest"))
    return Result.CORRECT if found == expected else Result.WRONG
