"""The platform's stand-in in the test's own process, with faults by call."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from typing import Any

from bench.standins.platform import Platform, Refused
from masticdeck.errors import StoreConflict, StoreUnavailable
from masticdeck.protocol.store import HttpStore

Fault = Callable[[str, str], str | None]


class MemoryStore(HttpStore):
    """A store client that calls a stand-in directly.

    ``fault`` is asked before each call with the method and the key, and
    answers None, "down" (nothing happens) or "lost" (it happens, no answer).
    """

    def __init__(self, platform: Platform | None = None) -> None:
        super().__init__("memory")
        self.platform = platform or Platform()
        self.fault: Fault = lambda method, key: None
        self.hooks: list[Callable[[str, str], Any]] = []

    async def call(
        self, method: str, body: Any, *, timeout_s: float | None = None
    ) -> Any:
        key = body.get("key", "")
        for hook in self.hooks:
            await hook(method, key)
        await asyncio.sleep(0)
        fault = self.fault(method, key)
        if fault == "down":
            raise StoreUnavailable(method)
        sent_in = self.eras.era
        try:
            answer = await self.platform.call(method, dict(body))
        except Refused as error:
            raise StoreConflict(str(error)) from None
        stated = answer.get("era")
        self.eras.read(None if stated is None else str(stated), sent_in)
        if fault == "lost":
            raise StoreUnavailable(f"{method}: answer lost")
        return answer

    def raw(self, key: str) -> bytes | None:
        item = self.platform.state.items.get(key)
        return None if item is None else base64.b64decode(item.value)
