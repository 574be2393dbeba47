"""State machine over homes, witnesses and callers.

Checks that no order runs twice, that no order ran whose caller got "not run", and
that every order ran whose caller got a response.
"""

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
from testing.coordination.order_network import (
    FOURTH,
    HOME,
    THIRD,
    WITNESS,
    OrderNetwork,
)

ENTRIES = st.sampled_from([HOME, WITNESS, THIRD, FOURTH])
MESSAGES = st.sampled_from(["intend", "report", "relay", "judge", "hand_over"])
LOSSES = st.sampled_from(["request", "answer"])
STEP_S = 0.005
ORDER_TIMEOUT_S = 0.15


class OrdersMachine(RuleBasedStateMachine):
    """Callers repeat keys at any entry while messages are lost and entries fail.

    ``not_run_keys`` holds the keys for which a caller got "not run", ``done_keys``
    those for which it got a response.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = uvloop.new_event_loop()
        self.network = OrderNetwork(entries=4)
        self.keys: list[str] = []
        self.key_numbers = itertools.count()
        self.not_run_keys: set[str] = set()
        self.done_keys: set[str] = set()
        self.step_tasks: set[asyncio.Task[None]] = set()
        self.step(self.network.select_witnesses())

    def step(self, coroutine) -> None:
        """Run a coroutine and all pending tasks for at most ``STEP_S`` seconds."""

        async def run_step() -> None:
            task = asyncio.create_task(coroutine)
            self.step_tasks.add(task)
            await asyncio.wait({task}, timeout=STEP_S)

        self.loop.run_until_complete(run_step())

    async def send_order(self, entry, key: str) -> None:
        """Send an order and record its outcome for the caller."""
        try:
            await self.network.send_order(entry, key, timeout_s=ORDER_TIMEOUT_S)
            self.done_keys.add(key)
        except MasticdeckError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.not_run_keys.add(key)

    @rule(home=ENTRIES, entry=ENTRIES)
    def send_new_order(self, home, entry) -> None:
        if home in self.network.down_entries or entry in self.network.down_entries:
            return
        self.keys.append(
            self.network.create_key(f"k{next(self.key_numbers)}", home=home)
        )
        self.step(self.send_order(entry, self.keys[-1]))

    @rule(entry=ENTRIES, back=st.integers(0, 4))
    def repeat_order(self, entry, back) -> None:
        if entry not in self.network.down_entries and back < len(self.keys):
            self.step(self.send_order(entry, self.keys[-1 - back]))

    @rule(message=MESSAGES, loss=LOSSES)
    def lose_next_message(self, message, loss) -> None:
        self.network.losses[(message, loss)] = 1

    @rule(entry=ENTRIES)
    def kill(self, entry) -> None:
        self.network.kill(entry)

    @rule(entry=ENTRIES)
    def restart(self, entry) -> None:
        if entry in self.network.down_entries:
            self.network.resume(entry)
            self.network.restart(entry)
            self.step(self.network.entries[entry].witness_selector.check_witness())

    @rule(entry=ENTRIES)
    def pause_or_resume(self, entry) -> None:
        if entry in self.network.resume_events:
            self.network.resume(entry)
        else:
            self.network.resume_events[entry] = asyncio.Event()

    @rule(entry=ENTRIES)
    def shut_down_gracefully(self, entry) -> None:
        if entry not in self.network.down_entries:
            self.step(self.network.entries[entry].close(0.01))

    @rule(stalled=st.booleans())
    def stall_backends(self, stalled) -> None:
        if self.network.backend_gate is not None:
            self.network.backend_gate.set()
        self.network.backend_gate = asyncio.Event() if stalled else None

    @rule(failure=st.sampled_from([None, BackendBroken(), BackendNotReached()]))
    def fail_backends(self, failure) -> None:
        self.network.backend_failure = failure

    @rule(entry=ENTRIES)
    def expire(self, entry) -> None:
        orders = self.network.entries[entry]
        tables = [
            *orders.witness.witnessed_tables.values(),
            *orders.witness.adopted_tables.values(),
        ]
        for table in [orders.home.table, *tables]:
            table.expire(0.0)

    @invariant()
    def orders_run_at_most_once_as_reported(self) -> None:
        assert all(count == 1 for count in self.network.run_counts.values())
        assert not [key for key in self.not_run_keys if self.network.run_counts[key]]
        assert not [key for key in self.done_keys if not self.network.run_counts[key]]

    def teardown(self) -> None:
        for entry in list(self.network.resume_events):
            self.network.resume(entry)
        self.release_backends()
        pending = {*self.step_tasks, *self.network.deliveries}
        if pending:
            self.loop.run_until_complete(
                asyncio.wait(pending, timeout=5 * ORDER_TIMEOUT_S)
            )
        self.orders_run_at_most_once_as_reported()
        remaining = asyncio.all_tasks(self.loop)
        for task in remaining:
            task.cancel()
        if remaining:
            self.loop.run_until_complete(asyncio.wait(remaining))
        self.loop.close()

    def release_backends(self) -> None:
        """Let every stalled run finish."""
        if self.network.backend_gate is not None:
            self.network.backend_gate.set()


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
