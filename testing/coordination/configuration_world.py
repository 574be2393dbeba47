"""An in-memory ledger with a clock that the tests control."""

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


class FakeOwnerLease:
    """An ownership whose lease the test grants and revokes."""

    def __init__(self, token: int = 1) -> None:
        self.token = FencingToken(token)
        self.is_held = True

    def is_valid(self) -> bool:
        return self.is_held


class World:
    """One store, any number of entries and window owners, and the current time.

    With ``monkeypatch``, the veto windows use ``now`` as their clock.
    """

    def __init__(self, monkeypatch=None) -> None:
        self.store = MemoryStore()
        self.version_in_force = Version(0)
        self.now = 100.0
        if monkeypatch is not None:
            monkeypatch.setattr(veto_window, "boottime", lambda: self.now)
        self.acceptance = self.make_acceptance()

    def make_acceptance(self) -> Acceptance:
        log = EventLog("entry-1", HybridClock())
        return Acceptance(self.store, DEPLOYMENT, log, lambda: self.version_in_force)

    def make_windows(
        self, owner: FakeOwnerLease | None = None, *, window_s: float = WINDOW_S
    ) -> VetoWindows:
        return VetoWindows(
            self.make_acceptance(), owner or FakeOwnerLease(), window_s=window_s
        )

    async def accept_first_version(self) -> None:
        await self.propose("first", LISTS, base=0)
        await self.acceptance.accept(ProposalId("first"), by="alice")

    async def propose(self, name: str, lists: Lists, *, base: int = 1, by: str = "al"):
        change = Change(id=ProposalId(name), base=Version(base), lists=lists, by=by)
        return await self.acceptance.propose(change)

    async def advance(self, windows: VetoWindows, seconds: float) -> None:
        for _ in range(round(seconds / windows.poll_interval_s) + 1):
            await windows.poll()
            self.now += windows.poll_interval_s


def with_capacity(plan_id: str, capacity: float, lists: Lists = LISTS) -> Lists:
    plans = tuple(
        plan.model_copy(update={"capacity": capacity}) if plan.id == plan_id else plan
        for plan in lists.plans.plans
    )
    drained = lists.plans.drained
    return Lists(
        customers=lists.customers, plans=PlanList(plans=plans, drained=drained)
    )
