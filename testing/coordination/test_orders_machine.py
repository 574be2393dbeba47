"""State machine over homes, witnesses and callers: at most one run, true refusals."""

from __future__ import annotations

import asyncio
import itertools

import uvloop
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticdeck.errors import MasticdeckError
from masticdeck.ids import Outcome
from masticdeck.protocol.backend import BackendBroken, BackendNotReached
from testing.coordination.order_network import FOURTH, HOME, THIRD, WITNESS, Network

ENTRIES = st.sampled_from([HOME, WITNESS, THIRD, FOURTH])
MESSAGES = st.sampled_from(["intend", "report", "relay", "judge", "hand_over"])
LOSSES = st.sampled_from(["request", "answer"])
STEP_S = 0.005
WAIT_S = 0.15


class OrdersMachine(RuleBasedStateMachine):
    """Callers repeat keys at any entry while messages and entries are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = uvloop.new_event_loop()
        self.net = Network(entries=4)
        self.keys: list[str] = []
        self.numbers = itertools.count()
        self.not_run: set[str] = set()
        self.done: set[str] = set()
        self.asked: set[asyncio.Task[None]] = set()
        self.step(self.net.choose_witnesses())

    def step(self, work) -> None:
        """Run a coroutine and let the others go on for a moment."""

        async def body() -> None:
            task = asyncio.create_task(work)
            self.asked.add(task)
            await asyncio.wait({task}, timeout=STEP_S)

        self.loop.run_until_complete(body())

    async def ask(self, entry, key: str) -> None:
        """Send an order and note what the caller was told."""
        try:
            await self.net.ask(entry, key, wait_s=WAIT_S)
            self.done.add(key)
        except MasticdeckError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.not_run.add(key)

    @rule(home=ENTRIES, entry=ENTRIES)
    def order(self, home, entry) -> None:
        if home in self.net.down or entry in self.net.down:
            return
        self.keys.append(self.net.key(f"k{next(self.numbers)}", home=home))
        self.step(self.ask(entry, self.keys[-1]))

    @rule(entry=ENTRIES, back=st.integers(0, 4))
    def repeat(self, entry, back) -> None:
        if entry not in self.net.down and back < len(self.keys):
            self.step(self.ask(entry, self.keys[-1 - back]))

    @rule(message=MESSAGES, loss=LOSSES)
    def lose(self, message, loss) -> None:
        self.net.lose[(message, loss)] = 1

    @rule(entry=ENTRIES)
    def kill(self, entry) -> None:
        self.net.kill(entry)

    @rule(entry=ENTRIES)
    def restart(self, entry) -> None:
        if entry in self.net.down:
            self.net.resume(entry)
            self.net.restart(entry)
            self.step(self.net.entries[entry].witness_selector.check_witness())

    @rule(entry=ENTRIES)
    def pause_or_resume(self, entry) -> None:
        if entry in self.net.paused:
            self.net.resume(entry)
        else:
            self.net.paused[entry] = asyncio.Event()

    @rule(entry=ENTRIES)
    def stop_as_planned(self, entry) -> None:
        if entry not in self.net.down:
            self.step(self.net.entries[entry].close(0.01))

    @rule(stalled=st.booleans())
    def stall_backends(self, stalled) -> None:
        if self.net.gate is not None:
            self.net.gate.set()
        self.net.gate = asyncio.Event() if stalled else None

    @rule(failure=st.sampled_from([None, BackendBroken(), BackendNotReached()]))
    def fail_backends(self, failure) -> None:
        self.net.failure = failure

    @rule(entry=ENTRIES)
    def expire(self, entry) -> None:
        orders = self.net.entries[entry]
        tables = [
            *orders.witness.witnessed_tables.values(),
            *orders.witness.adopted_tables.values(),
        ]
        for table in [orders.home.table, *tables]:
            table.expire(0.0)

    @invariant()
    def runs_at_most_once_and_refusals_are_true(self) -> None:
        assert all(count == 1 for count in self.net.runs.values())
        assert not [key for key in self.not_run if self.net.runs[key]]
        assert not [key for key in self.done if not self.net.runs[key]]

    def teardown(self) -> None:
        for entry in list(self.net.paused):
            self.net.resume(entry)
        self.stall_backends_off()
        pending = {*self.asked, *self.net.late}
        if pending:
            self.loop.run_until_complete(asyncio.wait(pending, timeout=5 * WAIT_S))
        self.runs_at_most_once_and_refusals_are_true()
        everything = asyncio.all_tasks(self.loop)
        for task in everything:
            task.cancel()
        if everything:
            self.loop.run_until_complete(asyncio.wait(everything))
        self.loop.close()

    def stall_backends_off(self) -> None:
        """Let every stalled run end."""
        if self.net.gate is not None:
            self.net.gate.set()


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
