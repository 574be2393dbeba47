"""A state machine that drives the real acceptance code with faults.

Several entries propose, veto, accept and withdraw at the same time, while the
store loses answers and goes down between any two calls, owners of the veto
windows pause and change, and all of it is checked against what was told.
"""

from __future__ import annotations

import asyncio
import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticdeck.coordination import ledger as ledger_module
from masticdeck.coordination import veto_window
from masticdeck.coordination.acceptance import Acceptance
from masticdeck.coordination.veto_window import VetoWindows
from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId, ProposalId
from masticdeck.state.acceptance import (
    AcceptedAlready,
    ProposalState,
    ProposalVetoed,
    Settled,
)
from testing.coordination.configuration_world import (
    FakeOwner,
    World,
    with_capacity,
)

HOLDERS = {"partner": "partner-shops", "full": "cooperative"}
NAMES = st.sampled_from([ProposalId(f"p{number}") for number in range(4)])
SHORT_WINDOW_S = 2.0
SEEN: set[int] = set()


class AcceptanceMachine(RuleBasedStateMachine):
    """Races of operators and customers over one store."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = World()
        self.saved = (veto_window.boottime, ledger_module.RETRY_DELAY_S)
        veto_window.boottime = lambda: self.world.now
        ledger_module.RETRY_DELAY_S = 0.0
        self.run(self.world.accept_first())
        self.tokens = 1
        self.owner = FakeOwner(1)
        self.windows = self.world.windows(self.owner, window_s=SHORT_WINDOW_S)
        self.stale_windows: list[VetoWindows] = []
        self.told: dict[ProposalId, ProposalState] = {
            ProposalId("first"): ProposalState.ACCEPTED
        }
        self.versions: dict[int, str] = {}
        self.opened: dict[tuple[str, int], float] = {}

    def teardown(self) -> None:
        SEEN.add(self.ledger().version)
        veto_window.boottime, ledger_module.RETRY_DELAY_S = self.saved
        self.loop.close()

    def run(self, *actions) -> list:
        async def together():
            return await asyncio.gather(*actions, return_exceptions=True)

        answers = self.loop.run_until_complete(together())
        for answer in answers:
            if isinstance(answer, BaseException) and not isinstance(
                answer, MasticdeckError
            ):
                raise answer
        return answers

    def note(self, answers: list) -> None:
        """Check what was told against what was told before."""
        for answer in answers:
            if isinstance(answer, Settled):
                told = self.told.setdefault(answer.id, answer.state)
                assert told is answer.state

    def set_faults(self, seed: int | None) -> None:
        """Lose answers and refuse calls at random places."""
        chance = random.Random(seed)
        states = ["lost", "down", None, None, None, None]
        self.world.store.fault = lambda method, key: (
            None
            if seed is None
            else chance.choice(states)
            if method in ("put", "get")
            else None
        )

    def ledger(self):
        self.set_faults(None)
        return self.loop.run_until_complete(self.world.acceptance.read_ledger())

    @rule(
        name=NAMES,
        plan=st.sampled_from(["partner", "full"]),
        capacity=st.sampled_from([0.125, 0.25, 0.375, 0.5]),
        seed=st.none() | st.integers(0, 999),
    )
    def propose(self, name, plan, capacity, seed):
        version = self.ledger().version
        lists = with_capacity(plan, capacity, self.ledger().lists)
        self.set_faults(seed)
        self.note(self.run(self.world.propose(name, lists, base=version)))

    @rule(name=NAMES, seed=st.none() | st.integers(0, 999))
    def race(self, name, seed):
        """Veto, accept and withdraw one proposal at the same time."""
        before = self.ledger()
        known = before.pending(name) or before.ended(name)
        entries: list[Acceptance] = [self.world.entry() for _ in range(4)]
        self.set_faults(seed)
        answers = self.run(
            entries[0].veto(name, customer=CustomerId(HOLDERS["partner"]), reason=""),
            entries[1].accept(name, by="alice"),
            entries[2].veto(name, customer=CustomerId(HOLDERS["full"]), reason=""),
            entries[3].accept(name, by="bob"),
        )
        self.note(answers)
        after = self.ledger()
        if known is not None and not isinstance(known, Settled):
            end = after.ended(name)
            vetoed = any(isinstance(one, ProposalVetoed) for one in answers)
            late = any(isinstance(one, AcceptedAlready) for one in answers)
            if vetoed:
                assert end.state is ProposalState.VETOED
            if late:
                assert end.state is ProposalState.ACCEPTED

    @rule(name=NAMES, seed=st.none() | st.integers(0, 999))
    def accept(self, name, seed):
        """Two operators accept at the same time."""
        self.set_faults(seed)
        entries = [self.world.entry() for _ in range(2)]
        self.note(self.run(*(one.accept(name, by="alice") for one in entries)))

    @rule(capacity=st.sampled_from([0.1, 0.2, 0.3]), seed=st.integers(0, 999))
    def accept_after_a_quiet_window(self, capacity, seed):
        """Only the last step, with the window over, meets faults."""
        before = self.ledger()
        name = ProposalId(f"quiet-{before.version}")
        lists = with_capacity("partner", capacity, before.lists)
        self.run(self.world.propose(name, lists, base=before.version))
        self.holders_had_their_window()
        for _ in range(round(SHORT_WINDOW_S / self.windows.poll_interval_s) + 2):
            self.run(self.windows.poll())
            self.world.now += self.windows.poll_interval_s
        self.accept(name, seed)

    @rule(name=NAMES, seed=st.none() | st.integers(0, 999))
    def window_ends_in_a_race(self, name, seed):
        """Let the window end while a customer stops the proposal."""
        self.set_faults(seed)
        self.world.now += self.windows.poll_interval_s
        shops = CustomerId(HOLDERS["partner"])
        self.note(
            self.run(
                self.windows.poll(),
                self.world.entry().veto(name, customer=shops, reason=""),
            )
        )

    @rule(name=NAMES, seed=st.none() | st.integers(0, 999))
    def withdraw(self, name, seed):
        self.set_faults(seed)
        self.note(self.run(self.world.acceptance.withdraw(name, by="alice")))

    @rule(steps=st.integers(4, 20), seed=st.none() | st.integers(0, 999))
    def pass_time(self, steps, seed):
        for _ in range(steps):
            self.set_faults(seed)
            self.run(self.windows.poll())
            self.holders_had_their_window()
            self.world.now += self.windows.poll_interval_s

    @rule()
    def change_owner(self):
        """A paused owner keeps its belief for a moment; a new one takes over."""
        self.set_faults(None)
        self.run(self.windows.poll())
        self.stale_windows.append(self.windows)
        self.tokens += 1
        self.owner = FakeOwner(self.tokens)
        self.windows = self.world.windows(self.owner, window_s=SHORT_WINDOW_S)
        self.run(self.windows.poll())

    @rule()
    def wake_paused_owners(self):
        before = self.ledger()
        for _ in range(round(SHORT_WINDOW_S / self.windows.poll_interval_s) + 2):
            for windows in self.stale_windows:
                self.run(windows.poll())
            self.world.now += self.windows.poll_interval_s
        assert self.ledger() == before

    @invariant()
    def nothing_told_is_undone(self):
        self.set_faults(None)
        for name, state in self.told.items():
            found = self.loop.run_until_complete(self.world.acceptance.find(name))
            assert isinstance(found, Settled)
            assert found.state is state

    @invariant()
    def versions_never_change(self):
        ledger = self.ledger()
        assert ledger.version >= max(self.versions, default=0)
        for version in range(1, ledger.version + 1):
            accepted = self.loop.run_until_complete(
                self.world.acceptance.ledger_store.read_version(version)
            )
            digest = accepted.configuration.lists.digest
            assert self.versions.setdefault(version, digest) == digest

    @invariant()
    def holders_had_their_window(self):
        """No proposal with holders is accepted before its window has lasted."""
        ledger = self.ledger()
        for one in ledger.proposals:
            self.opened.setdefault((one.id, one.window), self.world.now)
            if one.holders and one.window_over:
                began = self.opened[one.id, one.window]
                assert (
                    self.world.now - began
                    >= SHORT_WINDOW_S - self.windows.poll_interval_s
                )
        for end in ledger.settled:
            began = [at for (name, _), at in self.opened.items() if name == end.id]
            if end.state is ProposalState.ACCEPTED and began:
                assert (
                    self.world.now - max(began)
                    >= SHORT_WINDOW_S - self.windows.poll_interval_s
                )


TestAcceptanceMachine = AcceptanceMachine.TestCase
TestAcceptanceMachine.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_machine_reaches_later_versions():
    """The machine above is of use only if its proposals are accepted."""
    if not SEEN:
        TestAcceptanceMachine("runTest").runTest()
    assert max(SEEN) >= 3
