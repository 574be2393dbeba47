"""Stand-in for the platform: key-value service, leases, watches, list of VMs.

``POST /control`` with a JSON object sets faults: ``down`` refuses every call,
``slow_s`` delays them, ``lose_answers`` applies that many writes and then
drops the connection, ``vms`` replaces the list of VMs, ``stale`` makes reads
answer with the state of the moment at which it was set. ``restore`` sets the service
back to an earlier copy of its state, in its next era, which each answer then states.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import copy
import os
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

WRITES = frozenset({"put", "delete", "lease/grant", "lease/renew", "lease/revoke"})
CHANGES_KEPT = 50_000
LEASE_CHECK_S = 0.05


@dataclass(slots=True)
class Item:
    """Value of a key with the revision and the lease it is bound to."""

    value: str
    revision: int
    lease: str | None = None


@dataclass(slots=True)
class Lease:
    """A lease with its duration and the loop time at which it ends."""

    ttl_s: float
    ends: float


@dataclass
class State:
    """All that the service holds, and its faults."""

    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 0
    next_lease: int = 1
    vms: list[dict[str, str]] = field(default_factory=list)
    faults: dict[str, Any] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    waiting_watches: int = 0


class Refused(Exception):
    """A call that ends with a status other than 200."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Platform:
    """The service."""

    def __init__(self) -> None:
        self.state = State()
        self.stale: State | None = None
        self.era = 0
        self.changed = asyncio.Condition()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call of the key-value service."""
        method = request.match_info["method"]
        faults = self.state.faults
        self.state.calls[method] += 1
        await asyncio.sleep(faults.get("slow_s", 0))
        if faults.get("down"):
            raise web.HTTPServiceUnavailable
        try:
            answer = await self.call(method, await request.json())
        except Refused as error:
            return web.Response(status=error.status, text=str(error))
        if method in WRITES and faults.get("lose_answers", 0) > 0:
            faults["lose_answers"] -= 1
            if request.transport is not None:
                request.transport.abort()
        if faults.get("garbage"):
            return web.Response(text="{not json")
        return web.json_response(answer)

    def restore(self, earlier: State) -> None:
        """Come back from a copy: what was written since is gone, and leases are."""
        self.state = copy.deepcopy(earlier)
        self.era += 1

    async def call(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out one call; the answer states the era once there is one."""
        answer = await self.carry_out(method, body)
        return {**answer, "era": self.era} if self.era else answer

    async def carry_out(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out one call."""
        match method:
            case "get":
                item = self.view().items.get(body["key"])
                return {"item": item and encode(body["key"], item)}
            case "list":
                return self.list(body["prefix"])
            case "put":
                return {"revision": await self.put(body)}
            case "delete":
                self.check(body["key"], body.get("expect"))
                await self.remove(body["key"])
                return {}
            case "watch":
                return await self.watch(body)
            case _:
                return await self.lease_call(method, body)

    async def lease_call(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out one call about leases."""
        now = asyncio.get_running_loop().time()
        if method == "lease/grant":
            name = f"lease-{self.state.next_lease}"
            self.state.next_lease += 1
            self.state.leases[name] = Lease(body["ttl_s"], now + body["ttl_s"])
            return {"lease": name}
        lease = self.state.leases.get(body["lease"])
        if lease is None:
            raise Refused(409, "the lease has ended")
        if method == "lease/renew":
            lease.ends = now + lease.ttl_s
            return {}
        await self.end_lease(body["lease"])
        return {}

    def view(self) -> State:
        """Return the state that reads see."""
        return self.stale or self.state

    def list(self, prefix: str) -> dict[str, Any]:
        """Return the items below a prefix."""
        view = self.view()
        items = [
            encode(key, item)
            for key, item in sorted(view.items.items())
            if key.startswith(prefix)
        ]
        return {"items": items, "revision": view.revision}

    def check(self, key: str, expect: int | None) -> None:
        """Refuse a write whose expectation does not hold."""
        item = self.state.items.get(key)
        found = item.revision if item else 0
        if expect is not None and expect != found:
            raise Refused(409, f"revision is {found}")

    async def put(self, body: dict[str, Any]) -> int:
        """Write a key and wake the watches."""
        key, lease = body["key"], body.get("lease")
        if len(body["value"]) > 1_400_000:
            raise Refused(413, "the value is over a megabyte")
        self.check(key, body.get("expect"))
        if lease is not None and lease not in self.state.leases:
            raise Refused(409, "the lease has ended")
        self.state.revision += 1
        self.state.items[key] = Item(body["value"], self.state.revision, lease)
        await self.note(key, body["value"])
        return self.state.revision

    async def remove(self, key: str) -> None:
        """Delete a key and wake the watches."""
        if self.state.items.pop(key, None) is not None:
            self.state.revision += 1
            await self.note(key, None)

    async def note(self, key: str, value: str | None) -> None:
        """Keep a change for the watches."""
        change = {"key": key, "value": value, "revision": self.state.revision}
        self.state.changes.append(change)
        del self.state.changes[:-CHANGES_KEPT]
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, body: dict[str, Any]) -> dict[str, Any]:
        """Wait for changes past a revision."""
        self.state.waiting_watches += 1
        try:
            async with asyncio.timeout(body["wait_s"]), self.changed:
                await self.changed.wait_for(lambda: self.matching(body))
        except TimeoutError:
            pass
        finally:
            self.state.waiting_watches -= 1
        return {"changes": self.matching(body), "revision": self.state.revision}

    def matching(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the changes that a watch waits for."""
        return [
            change
            for change in self.state.changes
            if change["revision"] > body["after"]
            and change["key"].startswith(body["prefix"])
        ]

    async def end_lease(self, name: str) -> None:
        """End a lease and delete its keys."""
        self.state.leases.pop(name, None)
        keys = [key for key, item in self.state.items.items() if item.lease == name]
        for key in keys:
            await self.remove(key)

    async def expire_leases(self) -> None:
        """End leases whose time has passed, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.state.faults.get("down"):
                continue
            for name, lease in list(self.state.leases.items()):
                if lease.ends < loop.time():
                    await self.end_lease(name)

    async def read_vms(self, request: web.Request) -> web.Response:
        """Answer with the list of VMs."""
        if self.state.faults.get("down"):
            raise web.HTTPServiceUnavailable
        return web.json_response({"vms": self.state.vms})

    async def control(self, request: web.Request) -> web.Response:
        """Set faults."""
        body = await request.json()
        if "vms" in body:
            self.state.vms = body.pop("vms")
        if "stale" in body:
            self.stale = copy.deepcopy(self.state) if body.pop("stale") else None
        self.state.faults.update(body)
        return web.json_response({"faults": self.state.faults})

    async def stats(self, request: web.Request) -> web.Response:
        """Answer with call counts."""
        return web.json_response(
            {
                "calls": self.state.calls,
                "waiting_watches": self.state.waiting_watches,
                "revision": self.state.revision,
            }
        )


def encode(key: str, item: Item) -> dict[str, Any]:
    """Return an item as the wire carries it."""
    return {"key": key, "value": item.value, "revision": item.revision}


def decode_value(text: str) -> bytes:
    """Return the bytes of a value on the wire."""
    return base64.b64decode(text)


def build_app(platform: Platform) -> web.Application:
    """Return the HTTP application of the stand-in."""

    async def expiry(app: web.Application) -> Any:
        task = asyncio.create_task(platform.expire_leases())
        yield
        task.cancel()

    app = web.Application(client_max_size=4_000_000)
    app.cleanup_ctx.append(expiry)
    app.router.add_post("/v1/{method:[a-z/]+}", platform.handle)
    app.router.add_get("/v1/vms", platform.read_vms)
    app.router.add_post("/control", platform.control)
    app.router.add_get("/stats", platform.stats)
    return app


def main() -> None:
    """Serve until the process is told to stop."""
    os.environ["UV_USE_IO_URING"] = "0"
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    import uvloop

    loop = uvloop.new_event_loop()
    app = build_app(Platform())
    web.run_app(
        app,
        host=arguments.host,
        port=arguments.port,
        loop=loop,
        print=lambda *_: None,
        access_log=None,
        shutdown_timeout=0.2,
    )


if __name__ == "__main__":
    main()
