"""Workspaces and keys of a soak run, and the changes of them while callers send."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import TYPE_CHECKING, Any

from soak.ledger import REVOCATION_S, KeySpan, Ledger, QuotaBound
from testing.platform.workspaces import (
    WORKSPACE_HEADER,
    key_line,
    strict_bounds,
    workspace,
)

if TYPE_CHECKING:
    from soak.world import World

SECRET_PREFIX = "soak-secret-"
WORKSPACES = ("w0", "w1", "w2", "w3")
HOT = "hot"
HOT_RATE, HOT_BURST = 20.0, 20.0
"""Limit of the hot workspace, a fraction of what its callers send."""

QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 5.0, 0.1, 20.0
KEYS_OF_EACH = 2
MAX_CHANGE_PAUSE_S = 1.5

HOT_PART, UNKNOWN_PART, RETIRED_PART, KEYLESS_PART = 0.25, 0.05, 0.1, 0.05
"""Parts of the requests with a key of the hot workspace, with one that never was, with
one that was removed, and without any; the others have a key of an unlimited one."""

LONG_PAUSE_PART = 0.3
"""Part of the runs in which an entry is suspended for longer than the bound."""

FORGED_PART = 0.3
PUBLIC_PART = 0.1


class Keys:
    """The keys that workspaces have at present; ``ledger`` gets when they had them."""

    def __init__(self, seed: int, ledger: Ledger) -> None:
        self.random = random.Random(f"keys {seed}")
        self.has_long_pause = self.random.random() < LONG_PAUSE_PART
        self.ledger = ledger
        self.numbers = itertools.count()
        self.current: dict[str, KeySpan] = {}
        self.retired: list[str] = []
        self.used_only: list[str] = []
        ledger.quotas[HOT] = QuotaBound(
            QUOTA_WINDOW_S,
            (HOT_RATE * QUOTA_WINDOW_S + HOT_BURST) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK,
        )
        for name in (*WORKSPACES, HOT) * KEYS_OF_EACH:
            self.add(self.new_key(), name)

    def new_key(self) -> str:
        """Return a key that was never used before."""
        return f"{SECRET_PREFIX}{next(self.numbers)}-{self.random.getrandbits(64):x}"

    def add(self, key: str, name: str) -> None:
        """Let a workspace have a key from now on."""
        self.current[key] = KeySpan(key, name, time.monotonic())
        self.ledger.key_spans.append(self.current[key])

    def rows(self) -> list[dict[str, Any]]:
        """Return the workspaces as the operator writes them."""
        limit = {"rate_per_s": HOT_RATE, "burst": HOT_BURST}
        return [
            workspace(
                name,
                *(key for key, span in self.current.items() if span.workspace == name),
                **(limit if name == HOT else {}),
            )
            for name in (*WORKSPACES, HOT)
        ]

    def bounds(self) -> dict[str, Any]:
        """Return the bounds of the entries."""
        return {
            **strict_bounds(REVOCATION_S),
            "quota_window": f"{QUOTA_WINDOW_S:g}s",
            "quota_overage": QUOTA_OVERAGE,
            "quota_slack": QUOTA_SLACK,
        }

    def unlimited(self) -> list[str]:
        """Return the keys of workspaces without a limit."""
        return [key for key, span in self.current.items() if span.workspace != HOT]

    def remove_all_but_one(self, world: World) -> list[str]:
        """Remove most keys of unlimited workspaces at once, and return them."""
        removed = [self.current.pop(key) for key in self.unlimited()[1:]]
        self.retired += [span.key for span in removed]
        world.configure(world.ledger.versions[-1][1])
        for span in removed:
            span.until = time.monotonic()
        return [span.key for span in removed]

    def change(self, world: World) -> None:
        """Add, remove or move a key, and let the store acknowledge that."""
        ended: list[KeySpan] = []
        kind = self.random.choice(["add", "remove", "move", "replace"])
        if kind != "add" and len(self.unlimited()) > 1:
            key = self.random.choice(self.unlimited())
            ended.append(self.current.pop(key))
            if kind == "move":
                self.add(key, self.random.choice(WORKSPACES))
            else:
                self.retired.append(key)
        if kind in ("add", "replace"):
            self.add(self.new_key(), self.random.choice(WORKSPACES))
        world.configure(world.ledger.versions[-1][1])
        for span in ended:
            span.until = time.monotonic()

    async def keep_changing(self, world: World) -> None:
        """Change keys until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(0.1, MAX_CHANGE_PAUSE_S))
            self.change(world)

    def choose(self) -> tuple[str | None, list[str], bool]:
        """Return a caller's key, its header lines, and whether it is to be served."""
        drawn = self.random.random()
        is_served = False
        key: str | None
        if self.used_only:
            key = self.random.choice(self.used_only)
        elif drawn < KEYLESS_PART:
            key = None
        elif drawn < KEYLESS_PART + UNKNOWN_PART:
            key = self.new_key()
        elif drawn < KEYLESS_PART + UNKNOWN_PART + RETIRED_PART and self.retired:
            key = self.random.choice(self.retired[-5:])
        elif drawn < KEYLESS_PART + UNKNOWN_PART + RETIRED_PART + HOT_PART:
            hot = [key for key in self.current if key not in self.unlimited()]
            key = self.random.choice(hot)
        else:
            key, is_served = self.random.choice(self.unlimited()), True
        lines = [] if key is None else [key_line(key)]
        if self.random.random() < FORGED_PART:
            lines.append(f"{WORKSPACE_HEADER}: {self.random.choice(WORKSPACES)}")
        return key, lines, is_served
