"""A ledger in memory, with operators, customers and a clock that tests move."""

from __future__ import annotations

from pathlib import Path

from masticdeck.clock import HybridClock
from masticdeck.coordination import veto_window
from masticdeck.coordination.acceptance import Acceptance, Change
from masticdeck.coordination.veto_window import VetoWindows
from masticdeck.events import EventLog
from masticdeck.ids import FencingToken, ProposalId, Version
from masticdeck.state.checks import read_lists
from masticdeck.state.deployment import load_deployment
from masticdeck.state.lists import Lists, PlanList
from testing.memory_store import MemoryStore

RIGA = Path(__file__).resolve().parents[2] / "examples" / "riga"
DEPLOYMENT = load_deployment(RIGA / "deployment.jsonc")
LISTS = read_lists(
    (RIGA / "customers.jsonc").read_text(),
    (RIGA / "plans.jsonc").read_text(),
    DEPLOYMENT,
)
WINDOW_S = 8.0


class FakeOwner:
    """An ownership that the test gives and takes."""

    def __init__(self, token: int = 1) -> None:
        self.token = FencingToken(token)
        self.held = True

    def is_valid(self) -> bool:
        return self.held


class World:
    """One store, and as many entries and window owners as a test makes."""

    def __init__(self, monkeypatch=None) -> None:
        self.store = MemoryStore()
        self.floor = Version(0)
        self.now = 100.0
        if monkeypatch is not None:
            monkeypatch.setattr(veto_window, "boottime", lambda: self.now)
        self.acceptance = self.entry()

    def entry(self) -> Acceptance:
        log = EventLog("entry-1", HybridClock())
        return Acceptance(self.store, DEPLOYMENT, log, lambda: self.floor)

    def windows(
        self, owner: FakeOwner | None = None, *, window_s: float = WINDOW_S
    ) -> VetoWindows:
        return VetoWindows(self.entry(), owner or FakeOwner(), window_s=window_s)

    async def accept_first(self) -> None:
        await self.propose("first", LISTS, base=0)
        await self.acceptance.accept(ProposalId("first"), by="alice")

    async def propose(self, name: str, lists: Lists, *, base: int = 1, by: str = "al"):
        change = Change(id=ProposalId(name), base=Version(base), lists=lists, by=by)
        return await self.acceptance.propose(change)

    async def pass_time(self, windows: VetoWindows, seconds: float) -> None:
        for _ in range(round(seconds / windows.poll_s) + 1):
            await windows.turn()
            self.now += windows.poll_s


def with_capacity(plan: str, capacity: float, lists: Lists = LISTS) -> Lists:
    plans = tuple(
        one.model_copy(update={"capacity": capacity}) if one.id == plan else one
        for one in lists.plans.plans
    )
    drained = lists.plans.drained
    return Lists(
        customers=lists.customers, plans=PlanList(plans=plans, drained=drained)
    )
