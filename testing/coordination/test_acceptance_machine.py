"""Stateful test of the acceptance with store faults.

Several entries propose, veto, accept and withdraw concurrently. The store loses
responses and is down for random calls, and owners of the veto windows pause and
change. The ledger must always agree with the outcomes reported to the callers.
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
    FakeOwnerLease,
    World,
    with_capacity,
)

VETO_HOLDERS = {"partner": "partner-shops", "full": "cooperative"}
PROPOSAL_IDS = st.sampled_from([ProposalId(f"p{number}") for number in range(4)])
SHORT_WINDOW_S = 2.0
REACHED_VERSIONS: set[int] = set()


class AcceptanceMachine(RuleBasedStateMachine):
    """Concurrent operators and customers with one store."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = World()
        self.original_values = (veto_window.boottime, ledger_module.RETRY_DELAY_S)
        veto_window.boottime = lambda: self.world.now
        ledger_module.RETRY_DELAY_S = 0.0
        self.run(self.world.accept_first_version())
        self.last_token = 1
        self.owner = FakeOwnerLease(1)
        self.windows = self.world.make_windows(self.owner, window_s=SHORT_WINDOW_S)
        self.stale_windows: list[VetoWindows] = []
        self.reported_states: dict[ProposalId, ProposalState] = {
            ProposalId("first"): ProposalState.ACCEPTED
        }
        self.versions: dict[int, str] = {}
        self.opened_at: dict[tuple[str, int], float] = {}

    def teardown(self) -> None:
        REACHED_VERSIONS.add(self.read_ledger().version)
        veto_window.boottime, ledger_module.RETRY_DELAY_S = self.original_values
        self.loop.close()

    def run(self, *actions) -> list:
        async def gather_all():
            return await asyncio.gather(*actions, return_exceptions=True)

        results = self.loop.run_until_complete(gather_all())
        for result in results:
            if isinstance(result, BaseException) and not isinstance(
                result, MasticdeckError
            ):
                raise result
        return results

    def check_reported(self, results: list) -> None:
        """Check that a proposal is always reported with the same final state."""
        for result in results:
            if isinstance(result, Settled):
                state = self.reported_states.setdefault(result.id, result.state)
                assert state is result.state

    def set_faults(self, seed: int | None) -> None:
        """Lose responses and fail calls at random; None disables the faults."""
        rng = random.Random(seed)
        states = ["lost", "down", None, None, None, None]
        self.world.store.fault = lambda method, key: (
            None
            if seed is None
            else rng.choice(states)
            if method in ("put", "get")
            else None
        )

    def read_ledger(self):
        self.set_faults(None)
        return self.loop.run_until_complete(self.world.acceptance.read_ledger())

    @rule(
        name=PROPOSAL_IDS,
        plan=st.sampled_from(["partner", "full"]),
        capacity=st.sampled_from([0.125, 0.25, 0.375, 0.5]),
        seed=st.none() | st.integers(0, 999),
    )
    def propose(self, name, plan, capacity, seed):
        version = self.read_ledger().version
        lists = with_capacity(plan, capacity, self.read_ledger().lists)
        self.set_faults(seed)
        self.check_reported(self.run(self.world.propose(name, lists, base=version)))

    @rule(name=PROPOSAL_IDS, seed=st.none() | st.integers(0, 999))
    def race(self, name, seed):
        """Veto and accept one proposal from several entries at the same time."""
        before = self.read_ledger()
        status_before = before.pending(name) or before.ended(name)
        entries: list[Acceptance] = [self.world.make_acceptance() for _ in range(4)]
        self.set_faults(seed)
        results = self.run(
            entries[0].veto(
                name, customer=CustomerId(VETO_HOLDERS["partner"]), reason=""
            ),
            entries[1].accept(name, by="alice"),
            entries[2].veto(name, customer=CustomerId(VETO_HOLDERS["full"]), reason=""),
            entries[3].accept(name, by="bob"),
        )
        self.check_reported(results)
        after = self.read_ledger()
        if status_before is not None and not isinstance(status_before, Settled):
            settled = after.ended(name)
            veto_reported = any(
                isinstance(result, ProposalVetoed) for result in results
            )
            acceptance_reported = any(
                isinstance(result, AcceptedAlready) for result in results
            )
            if veto_reported:
                assert settled.state is ProposalState.VETOED
            if acceptance_reported:
                assert settled.state is ProposalState.ACCEPTED

    @rule(name=PROPOSAL_IDS, seed=st.none() | st.integers(0, 999))
    def accept(self, name, seed):
        """Accept one proposal from two entries at the same time."""
        self.set_faults(seed)
        entries = [self.world.make_acceptance() for _ in range(2)]
        self.check_reported(
            self.run(*(entry.accept(name, by="alice") for entry in entries))
        )

    @rule(capacity=st.sampled_from([0.1, 0.2, 0.3]), seed=st.integers(0, 999))
    def accept_after_a_window_without_faults(self, capacity, seed):
        """Accept with faults, after a window that ended without any."""
        before = self.read_ledger()
        name = ProposalId(f"quiet-{before.version}")
        lists = with_capacity("partner", capacity, before.lists)
        self.run(self.world.propose(name, lists, base=before.version))
        self.check_windows_lasted()
        for _ in range(round(SHORT_WINDOW_S / self.windows.poll_interval_s) + 2):
            self.run(self.windows.poll())
            self.world.now += self.windows.poll_interval_s
        self.accept(name, seed)

    @rule(name=PROPOSAL_IDS, seed=st.none() | st.integers(0, 999))
    def race_window_end_with_veto(self, name, seed):
        """Let the window end while a customer vetoes the proposal."""
        self.set_faults(seed)
        self.world.now += self.windows.poll_interval_s
        shops = CustomerId(VETO_HOLDERS["partner"])
        self.check_reported(
            self.run(
                self.windows.poll(),
                self.world.make_acceptance().veto(name, customer=shops, reason=""),
            )
        )

    @rule(name=PROPOSAL_IDS, seed=st.none() | st.integers(0, 999))
    def withdraw(self, name, seed):
        self.set_faults(seed)
        self.check_reported(self.run(self.world.acceptance.withdraw(name, by="alice")))

    @rule(steps=st.integers(4, 20), seed=st.none() | st.integers(0, 999))
    def pass_time(self, steps, seed):
        for _ in range(steps):
            self.set_faults(seed)
            self.run(self.windows.poll())
            self.check_windows_lasted()
            self.world.now += self.windows.poll_interval_s

    @rule()
    def change_owner(self):
        """Let a new owner take over while the old one still assumes a valid lease."""
        self.set_faults(None)
        self.run(self.windows.poll())
        self.stale_windows.append(self.windows)
        self.last_token += 1
        self.owner = FakeOwnerLease(self.last_token)
        self.windows = self.world.make_windows(self.owner, window_s=SHORT_WINDOW_S)
        self.run(self.windows.poll())

    @rule()
    def resume_stale_owners(self):
        before = self.read_ledger()
        for _ in range(round(SHORT_WINDOW_S / self.windows.poll_interval_s) + 2):
            for windows in self.stale_windows:
                self.run(windows.poll())
            self.world.now += self.windows.poll_interval_s
        assert self.read_ledger() == before

    @invariant()
    def reported_outcomes_are_final(self):
        self.set_faults(None)
        for name, state in self.reported_states.items():
            status = self.loop.run_until_complete(self.world.acceptance.find(name))
            assert isinstance(status, Settled)
            assert status.state is state

    @invariant()
    def versions_never_change(self):
        ledger = self.read_ledger()
        assert ledger.version >= max(self.versions, default=0)
        for version in range(1, ledger.version + 1):
            accepted = self.loop.run_until_complete(
                self.world.acceptance.ledger_store.read_version(version)
            )
            digest = accepted.configuration.lists.digest
            assert self.versions.setdefault(version, digest) == digest

    @invariant()
    def check_windows_lasted(self):
        """No proposal with veto holders is accepted before its window has ended."""
        ledger = self.read_ledger()
        for proposal in ledger.proposals:
            self.opened_at.setdefault((proposal.id, proposal.window), self.world.now)
            if proposal.holders and proposal.window_over:
                opened_at = self.opened_at[proposal.id, proposal.window]
                assert (
                    self.world.now - opened_at
                    >= SHORT_WINDOW_S - self.windows.poll_interval_s
                )
        for settled in ledger.settled:
            opening_times = [
                at for (name, _), at in self.opened_at.items() if name == settled.id
            ]
            if settled.state is ProposalState.ACCEPTED and opening_times:
                assert (
                    self.world.now - max(opening_times)
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
    """Proposals must be accepted, else the stateful test checks nothing."""
    if not REACHED_VERSIONS:
        TestAcceptanceMachine("runTest").runTest()
    assert max(REACHED_VERSIONS) >= 3
