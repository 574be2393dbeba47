"""A stand-in of the platform's store that speaks its published calls.

Faults are switched on by attributes: ``refuse_with`` answers every call with a
status, ``lose_answers`` acts and then breaks the connection, ``delay_s`` makes
answers slow, ``silent`` never answers, ``fixed_answers`` has the bytes that answer
a call, or every call under ``*``, ``endless`` writes blanks before each answer until
the caller closes, ``compact`` drops the history, ``stale_lags`` has how
many revisions each stale page lags behind. ``restore`` sets it back to a copy that
``copy`` returned before: what was written since is gone, leases too, revisions and
numbers of leases are given out again, and the era rises by one. ``stated_era`` replaces
the era that it states.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from masticdeck.platform.units import parse_duration

PAGE_ITEMS = 3
EXPIRY_CHECK_S = 0.05
BLANKS = b" " * 65_536


@dataclass
class Lease:
    """A lease with its keys."""

    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass
class StoreCopy:
    """A copy of what the store holds."""

    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    revision: int
    leases: dict[int, Lease]
    next_lease: int


class StandinStore:
    """The store, on a free port of the loopback address."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.oldest = 0
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.next_lease = 7000
        self.era = 0
        self.stated_era: str | None = None
        self.calls: list[str] = []
        self.refuse_with: int | None = None
        self.fixed_answers: dict[str, bytes] = {}
        self.lose_answers = False
        self.endless = False
        self.endless_bytes = 0
        self.silent = False
        self.stale_lags: Iterator[int] = itertools.repeat(0)
        self.delay_s = 0.0
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None
        self.address = ""
        self.expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application(middlewares=[self.apply_faults])
        app.on_response_prepare.append(self.state_era)
        app.router.add_get("/-/kv-key", self.answer_key)
        app.router.add_get("/-/kv-range", self.answer_range)
        app.router.add_get("/-/kv-watch", self.answer_watch)
        app.router.add_post("/-/kv-txn", self.answer_txn)
        app.router.add_post("/-/kv-lease", self.answer_lease)
        app.router.add_post("/-/kv-keep/{id}", self.answer_keep)
        app.router.add_delete("/-/kv-lease-end/{id}", self.answer_lease_end)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        assert site._server is not None
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.expiry = asyncio.create_task(self.expire_leases())

    async def stop(self) -> None:
        """Stop listening."""
        if self.expiry is not None:
            self.expiry.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    # What the operator and the instances do

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key from outside the system."""
        self.revision += 1
        created = self.items.get(key, {}).get("creation_time", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "creation_time": created,
            "lease": lease,
        }
        self.items[key] = item
        self.record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key from outside the system."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.oldest = self.revision
        self.changed.set()

    def copy(self) -> StoreCopy:
        """Return a copy to restore later."""
        return copy.deepcopy(
            StoreCopy(
                self.items, self.history, self.revision, self.leases, self.next_lease
            )
        )

    def restore(self, earlier: StoreCopy) -> None:
        """Come back from a copy, in the next era."""
        earlier = copy.deepcopy(earlier)
        self.items, self.history = earlier.items, earlier.history
        self.revision, self.leases = earlier.revision, earlier.leases
        self.next_lease = earlier.next_lease
        now = asyncio.get_running_loop().time()
        for lease in self.leases.values():
            lease.ends_at = now + lease.ttl_s
        self.era += 1
        self.changed.set()

    def record(self, event: dict[str, Any]) -> None:
        """Append an event and wake the watches."""
        self.history.append(event)
        self.changed.set()

    # Calls

    async def state_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """State the era in an answer, once there is one."""
        if self.era or self.stated_era is not None:
            response.headers["Store-Era"] = self.stated_era or str(self.era)

    @web.middleware
    async def apply_faults(self, request: web.Request, handler: Any) -> Any:
        """Count a call and apply the faults that are switched on."""
        self.calls.append(request.path.removeprefix("/-/").partition("/")[0])
        if self.refuse_with is not None:
            return web.Response(status=self.refuse_with)
        answer = self.fixed_answers.get(self.calls[-1], self.fixed_answers.get("*"))
        if answer is not None:
            return web.Response(body=answer, content_type="application/json")
        if self.endless:
            return await self.write_blanks(request)
        if self.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        response = await handler(request)
        if self.lose_answers and request.transport is not None:
            request.transport.abort()
        return response

    async def write_blanks(self, request: web.Request) -> web.StreamResponse:
        """Answer with white space until the caller closes; count it."""
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(BLANKS)
            self.endless_bytes += len(BLANKS)

    async def answer_key(self, request: web.Request) -> web.Response:
        """Answer with one item."""
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response({**item, "at": self.revision})

    async def answer_range(self, request: web.Request) -> web.Response:
        """Answer with a page of items."""
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        is_stale = request.query.get("stale_ok") == "1"
        revision = self.revision - (next(self.stale_lags) if is_stale else 0)
        return web.json_response(
            {"items": page, "has_more": len(keys) > PAGE_ITEMS, "at": revision}
        )

    async def answer_watch(self, request: web.Request) -> web.Response:
        """Answer with the changes after a revision, once there are any."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["wait_ms"]) / 1000
        era = self.era
        while True:
            if era != self.era:
                return web.Response(status=503)
            if after < self.oldest or after > self.revision:
                return web.json_response({}, status=410)
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - loop.time()
            if events or left <= 0:
                return web.json_response({"events": events, "at": self.revision})
            self.changed.clear()
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def answer_txn(self, request: web.Request) -> web.Response:
        """Apply a change if its conditions hold."""
        body = await request.json()
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                return web.json_response({"items": [item]}, status=412)
        for row in body["puts"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return web.json_response({}, status=404)
            if lease:
                self.leases[lease].keys.add(row["key"])
            self.write(row["key"], base64.b64decode(row["value"]), lease)
        for key in body["deletes"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def answer_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        text = (await request.json())["ttl_time"]
        ttl_s = parse_duration(text)
        self.next_lease += 1
        lease = self.next_lease
        ends_at = asyncio.get_running_loop().time() + ttl_s
        self.leases[lease] = Lease(ttl_s, ends_at)
        return web.json_response({"lease": lease, "ttl_time": text})

    async def answer_keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lease = self.leases.get(int(request.match_info["id"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.ends_at = asyncio.get_running_loop().time() + lease.ttl_s
        return web.json_response({"ttl_time": f"{lease.ttl_s}s"})

    async def answer_lease_end(self, request: web.Request) -> web.Response:
        """End a lease."""
        number = int(request.match_info["id"])
        if number not in self.leases:
            return web.json_response({}, status=404)
        self.end_lease(number)
        return web.json_response({})

    def end_lease(self, number: int) -> None:
        """Remove a lease and its keys."""
        for key in self.leases.pop(number).keys:
            self.remove(key)

    async def expire_leases(self) -> None:
        """End the leases that nobody renewed."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            for number, lease in list(self.leases.items()):
                if lease.ends_at < loop.time():
                    self.end_lease(number)
