"""A fleet with tokens, and operators and customers who use masticdeckctl."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import cappa

from bench.fleet import ROOT, Fleet
from masticdeck.programs.ctl import run_command
from masticdeck.programs.ctl_options import Ctl
from masticdeck.protocol.identity import hash_token

TOKENS = {
    "alice": "operator",
    "bob": "operator",
    "cooperative": "customer",
    "partner-shops": "customer",
    "caller": "caller",
}
WINDOW_S = 1.0


class Organisation:
    """A fleet of riga with short veto windows, and the folder of the lists."""

    def __init__(self, folder: Path, *, entries: int = 4, **settings: Any) -> None:
        self.folder = folder
        tokens = [
            {"role": role, "name": name, "sha256": hash_token(name)}
            for name, role in TOKENS.items()
        ]
        (folder / "tokens.jsonc").write_text(json.dumps({"tokens": tokens}))
        for name in TOKENS:
            (folder / f"{name}.token").write_text(name)
        self.fleet = Fleet(
            "riga",
            entries=entries,
            backends=False,
            settings={
                "operator_tokens": str(folder / "tokens.jsonc"),
                "veto_window_s": WINDOW_S,
                "heartbeat_s": 0.3,
                "lease_ttl_s": 1.0,
                "watchers_per_zone": 1,
            }
            | settings,
        )
        self.lists = folder / "lists"
        self.lists.mkdir()
        for name in ("customers.jsonc", "plans.jsonc"):
            text = (ROOT / "examples" / "riga" / name).read_text()
            (self.lists / name).write_text(f"// base version 0\n{text}")

    async def ctl(self, who: str, *arguments: str) -> int:
        command = cappa.parse(
            Ctl,
            argv=[
                *arguments,
                "--json",
                "--deployment",
                str(self.fleet.deployment_path),
                "--token-file",
                str(self.folder / f"{who}.token"),
                "--timeout",
                "2",
            ],
        )
        return await run_command(command)

    async def accept_first(self) -> None:
        assert await self.ctl("alice", "propose", str(self.lists), "--accept") == 0
        assert await self.ctl("alice", "show", "--lists", str(self.lists)) == 0

    def set_capacity(self, capacity: float) -> None:
        path = self.lists / "plans.jsonc"
        head, partner, rest = path.read_text().partition('"partner", "capacity": ')
        path.write_text(f"{head}{partner}{capacity}{rest[rest.index(',') :]}")

    async def version_of(self, entry: str, *, who: str = "alice") -> int | None:
        url = f"{self.fleet.entry_url(entry)}/-/operators/status"
        fields = {"Authorization": f"Bearer {who}"}
        try:
            async with self.fleet.session.get(url, headers=fields) as response:
                answer = await response.json()
        except (OSError, TimeoutError):
            return None
        return answer["version"] if answer["known"] else None

    async def in_force(self, version: int, *entries: str) -> None:
        async with asyncio.timeout(15):
            for entry in entries or self.fleet.entry_ids:
                while await self.version_of(entry) != version:
                    await asyncio.sleep(0.02)
