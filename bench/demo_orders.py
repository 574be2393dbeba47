"""Orders as a caller sends them: a key under the home of a look-up, repeats."""

from __future__ import annotations

import asyncio
import hashlib
import random
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession

from masticdeck.ids import Outcome, Rank
from masticdeck.load.records import Record, Result
from masticdeck.protocol import headers

ASK_AGAIN_S = 0.2


@dataclass(kw_only=True)
class OrderCaller:
    """Sends orders at a steady rate and repeats each key until it is settled."""

    session: ClientSession
    urls: list[str]
    service: str
    rate: float
    wait_s: float
    seed: int = 7
    records: list[Record] = field(default_factory=list)
    done_keys: set[str] = field(default_factory=set)
    not_run_keys: set[str] = field(default_factory=set)
    request_ids: list[str] = field(default_factory=list)

    async def run(self, duration_s: float) -> None:
        """Send orders for a time and wait until each has ended."""
        choice = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        began = loop.time()
        at = 0.0
        async with asyncio.TaskGroup() as group:
            while (at := at + choice.expovariate(self.rate)) < duration_s:
                await asyncio.sleep(max(0.0, began + at - loop.time()))
                urls = choice.sample(self.urls, len(self.urls))
                group.create_task(self.order(at, urls, choice.getrandbits(64)))

    async def order(self, at: float, urls: list[str], number: int) -> None:
        """Send one order; ask again with the same key while it is not settled."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = Result.UNKNOWN
        attempts = 0
        home = await self.look_up(urls)
        key = f"{home}.{number:016x}"
        # One order in four goes to another entry than its home.
        others = urls[number % 4 == 0 :]
        for url in others:
            attempts += 1
            try:
                async with asyncio.timeout(self.wait_s):
                    result = await self.send(url, key, number)
            except (ClientError, OSError, TimeoutError):
                result = Result.UNKNOWN
            if result is not Result.UNKNOWN:
                break
            await asyncio.sleep(ASK_AGAIN_S)
        seconds = loop.time() - began
        if result is Result.CORRECT and seconds > self.wait_s:
            result = Result.LATE
        self.records.append(
            Record(at, f"{self.service} orders", Rank.MIDDLE, result, seconds, attempts)
        )

    async def look_up(self, urls: list[str]) -> str:
        """Return the home token of the first look-up that is answered."""
        for url in urls:
            try:
                async with self.session.get(
                    f"{url}/lookup?service={self.service}&client=127.0.0.1"
                ) as response:
                    answer = await response.json()
                    return str(answer["home"])
            except (ClientError, OSError, TimeoutError, KeyError):
                continue
        return ""

    async def send(self, url: str, key: str, number: int) -> Result:
        """Send the order to one entry and judge the answer."""
        nonce = f"order-{number:x}"
        body = nonce.encode()
        fields = {
            headers.IDEMPOTENCY_KEY: key,
            headers.PRIORITY: headers.format_priority(Rank.MIDDLE),
            headers.TIMEOUT_MS: str(int(self.wait_s * 1000)),
            "Nonce": nonce,
        }
        async with self.session.post(
            f"{url}/service/{self.service}/orders", data=body, headers=fields
        ) as response:
            self.request_ids.append(response.headers.get(headers.REQUEST_ID, ""))
            if response.status == 200:
                answer = await response.json(content_type=None)
                return self.judge(answer, key, nonce, body)
            await response.read()
            return self.judge_error(response, key)

    def judge(
        self, answer: dict[str, Any], key: str, nonce: str, body: bytes
    ) -> Result:
        """Return CORRECT for the whole answer to this very order."""
        expected = (nonce, hashlib.sha256(body).hexdigest())
        if (answer.get("nonce"), answer.get("digest")) != expected:
            return Result.WRONG
        self.done_keys.add(key)
        return Result.CORRECT

    def judge_error(self, response: ClientResponse, key: str) -> Result:
        """Return REFUSED only for an answer that says the order did not run."""
        outcome = response.headers.get(headers.OUTCOME)
        if outcome == Outcome.NOT_RUN.value:
            self.not_run_keys.add(key)
            return Result.REFUSED
        return Result.UNKNOWN
