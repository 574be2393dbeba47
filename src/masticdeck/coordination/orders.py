"""Orders that run at most once: the component that ties home and witness.

The only entry that may ever run an order is the home that its key names, in
the life that the key names. No clock, lease or store call is needed for that.
Other entries relay the order to its home, or let the witness settle the key
when the home can't be reached.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from masticdeck.coordination.order_choice import WitnessChoice, candidates
from masticdeck.coordination.order_errors import (
    OrderHomeUnknown,
    OrderNotRun,
    OrderOutcomeUnknown,
)
from masticdeck.coordination.order_hand_over import RecordHandOver, successors
from masticdeck.coordination.order_home import Home
from masticdeck.coordination.order_peers import Order, OrderPeers, PeerNotReached
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    RecordedAnswer,
    digest_of,
)
from masticdeck.coordination.order_tokens import HomeToken, parse_key, unquote
from masticdeck.coordination.order_witness import Witness
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, MemberState, Outcome
from masticdeck.node import Node
from masticdeck.protocol.call import Call

Executor = Callable[
    [Call, bytes, tuple[tuple[str, str], ...]], Awaitable[RecordedAnswer]
]

MAINTAIN_S = 1.0
JUDGE_RESERVE_S = 0.5
JUDGE_RESERVE_PART = 0.25
JUDGE_LEAST_S = 0.2
REPORT_TRIES = 3
REPORT_RETRY_S = 0.5


class Orders:
    """At-most-once orders of one entry.

    ``executor`` runs a relayed order at a backend server; the entry sets it.
    It raises a MasticdeckError whose ``outcome`` is NOT_RUN only when that is
    proven.
    """

    def __init__(self, node: Node, *, peers: OrderPeers | None = None) -> None:
        self.node = node
        self.home = Home(node)
        self.witness = Witness(node)
        self.peers = peers or OrderPeers(node)
        self.executor: Executor | None = None
        self.running: dict[str, asyncio.Task[RecordedAnswer]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.foreign_token = ""
        self.leaving = False
        self.choice = WitnessChoice(node, self.home, self.peers)
        self.records = RecordHandOver(node, self.home, self.witness, self.peers)
        node.hooks.register(self)

    @property
    def open(self) -> bool:
        """Return whether this entry begins orders and witnesses for others."""
        return not (self.leaving or self.home.closed)

    async def start(self) -> None:
        """Begin to look for a witness and to maintain the records."""
        self.spawn(self.maintain())

    async def stop(self) -> None:
        """End the background work; see ``close`` for the planned stop."""
        for task in [*self.tasks, *self.running.values()]:
            task.cancel()
        pending = [*self.tasks, *self.running.values()]
        await asyncio.gather(*pending, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run background work until it ends or this component stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def home_token(self) -> str:
        """Return the token for look-up answers; empty when there is none."""
        return self.home.token if self.open else self.foreign_token

    def create_order(
        self, call: Call, body: bytes, fields: tuple[tuple[str, str], ...]
    ) -> Order:
        """Return the order of a keyed call; raises for an unusable key."""
        key = unquote(call.idempotency_key or "")
        token = parse_key(key)
        entries = self.node.deployment.entry_by_id
        if token.home not in entries:
            raise OrderHomeUnknown(repr(token.home))
        if token.has_witness and token.witness not in entries:
            raise OrderHomeUnknown(f"witness {token.witness!r}")
        return Order(
            call=call,
            key=key,
            token=token,
            digest=digest_of(call, body),
            body=body,
            fields=fields,
        )

    async def run(
        self,
        call: Call,
        body: bytes,
        execute: Executor,
        *,
        fields: tuple[tuple[str, str], ...] = (),
    ) -> RecordedAnswer:
        """Return the order's answer, running it here or at its home.

        A repeat gets the recorded answer. Raises the errors of
        ``order_errors``; "not run" is final for the key.
        """
        order = self.create_order(call, body, fields)
        if self.is_home_of(order.token):
            return await self.run_here(order, execute)
        answer = None
        if order.token.home != self.node.id:
            answer = await self.relay(order)
        return answer or await self.judge(order)

    def is_home_of(self, token: HomeToken) -> bool:
        """Return whether the token names this entry in this life as home."""
        return (
            token.home == self.node.id
            and token.home_incarnation == self.node.incarnation
        )

    async def run_relayed(self, order: Order) -> RecordedAnswer | None:
        """Run an order for another entry; None when its home was an earlier life."""
        if not self.is_home_of(order.token):
            return None
        if self.executor is None:
            raise OrderNotRun("its home is still starting")
        return await self.run_here(order, self.executor)

    async def run_here(self, order: Order, execute: Executor) -> RecordedAnswer:
        """Run the order, wait for the run in progress, or replay its outcome."""
        record, new = self.home.begin(order.token, order.key, order.digest)
        if new:
            work = self.carry_out(order, record, execute)
            task = asyncio.create_task(work)
            task.add_done_callback(retrieve)
            self.running[order.key] = task
        run = self.running.get(order.key)
        if run is None:
            self.note(Code.ORDER_REPLAYED, order)
            return record.replay()
        done, _ = await asyncio.wait({run}, timeout=order.remaining_s)
        if not done or run.cancelled():
            raise OrderOutcomeUnknown("it still runs")
        return run.result()

    async def carry_out(
        self, order: Order, record: OrderRecord, execute: Executor
    ) -> RecordedAnswer:
        """Run a new order once and record how it ended."""
        self.note(Code.ORDER_STARTED, order)
        try:
            await self.declare(order)
            answer = await execute(order.call, order.body, order.fields)
            self.home.table.finish(record, OrderState.ANSWERED, answer=answer)
            return answer
        except MasticdeckError as error:
            raise self.fail(record, error) from error
        except Exception as error:
            self.note(Code.COMPONENT_FAILED, order, error=repr(error))
            raise OrderOutcomeUnknown("it broke off") from error
        finally:
            self.home.table.finish(record, OrderState.UNKNOWN, detail="it broke off")
            del self.running[order.key]
            self.note(Code.ORDER_FINISHED, order, state=record.state.value)
            if order.token.has_witness:
                self.spawn(self.report(order.token.witness, record))

    def note(self, code: Code, order: Order, **fields: object) -> None:
        """Emit an event about an order."""
        self.node.events.emit(
            code,
            level=logging.DEBUG,
            request=order.call.id,
            order=order.key,
            **fields,
        )

    async def declare(self, order: Order) -> None:
        """Let the witness record the intent, or raise OrderNotRun."""
        if not order.token.has_witness:
            return
        try:
            accepted = await self.peers.intend(order)
        except PeerNotReached as error:
            self.spawn(self.choice.choose(unless=order.token.witness))
            raise OrderNotRun(f"its witness was not reached: {error}") from error
        if not accepted:
            self.spawn(self.choice.choose(unless=order.token.witness))
            raise OrderNotRun("its witness refused it")

    def fail(self, record: OrderRecord, error: MasticdeckError) -> MasticdeckError:
        """Record a failed run and return the error for the caller."""
        detail = error.detail if isinstance(error, OrderNotRun) else str(error)
        if error.outcome is Outcome.NOT_RUN:
            self.home.table.finish(record, OrderState.NOT_RUN, detail=detail)
            return OrderNotRun(detail, retry_after_s=error.retry_after_s)
        self.home.table.finish(record, OrderState.UNKNOWN, detail=detail)
        return OrderOutcomeUnknown(detail)

    async def report(self, witness: EntryId, record: OrderRecord) -> None:
        """Tell the witness the outcome, trying a few times."""
        for _ in range(REPORT_TRIES):
            try:
                return await self.peers.report(witness, record)
            except PeerNotReached:
                await asyncio.sleep(REPORT_RETRY_S)
        return None

    async def relay(self, order: Order) -> RecordedAnswer | None:
        """Let the home run the order; None when the home gave no answer."""
        self.note(Code.ORDER_RELAYED, order, entry=order.token.home)
        reserve = min(JUDGE_RESERVE_S, order.remaining_s * JUDGE_RESERVE_PART)
        try:
            return await self.peers.relay(order, order.remaining_s - reserve)
        except PeerNotReached:
            return None

    async def judge(self, order: Order) -> RecordedAnswer:
        """Settle a key without its home."""
        self.note(Code.ORDER_JUDGED, order, entry=order.token.home)
        for entry in self.judges(order.token):
            try:
                answer = await self.ask(entry, order)
            except PeerNotReached:
                continue
            if answer is not None:
                return answer
        raise OrderOutcomeUnknown("neither its home nor its witness can tell")

    async def ask(self, entry: EntryId, order: Order) -> RecordedAnswer | None:
        """Return what one entry, perhaps this one, knows of a key."""
        if entry == self.node.id:
            return self.witness.judge(order.key, order.digest)
        timeout_s = max(JUDGE_LEAST_S, order.remaining_s / 2)
        return await self.peers.judge(entry, order, timeout_s)

    def judges(self, token: HomeToken) -> list[EntryId]:
        """Return the entries to ask in turn: the witness, then the adopters."""
        witness = [token.witness] if token.has_witness else []
        adopters = [
            one for one in successors(self.node, token.home) if one not in witness
        ]
        return witness + adopters

    async def maintain(self) -> None:
        """Keep a live witness and bounded records."""
        while True:
            self.home.maintain()
            self.witness.maintain()
            await self.choice.maintain()
            await asyncio.sleep(MAINTAIN_S)

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Choose another witness when the present one leaves or dies."""
        if entry == self.home.witness and state is not MemberState.ALIVE:
            self.spawn(self.choice.choose(unless=entry))

    async def leave(self) -> None:
        """Give look-ups another entry's token, as this one is about to stop."""
        self.leaving = True
        for entry in candidates(self.node):
            try:
                reply = await self.peers.describe(entry)
            except PeerNotReached:
                continue
            if reply.home_token:
                self.foreign_token = reply.home_token
                return

    async def close(self, grace_s: float) -> None:
        """Begin no further order, finish those that run, hand over the records.

        Orders that still run after ``grace_s`` seconds are handed over as
        unknown.
        """
        self.home.close()
        self.node.events.emit(Code.ORDERS_CLOSED, running=len(self.running))
        if self.running:
            await asyncio.wait({*self.running.values()}, timeout=grace_s)
        for task in list(self.running.values()):
            task.cancel()
        await asyncio.gather(*self.running.values(), return_exceptions=True)
        await self.records.hand_over()


def retrieve(task: asyncio.Task[RecordedAnswer]) -> None:
    """Mark the exception of a run that nobody waits for any more as seen."""
    if not task.cancelled():
        task.exception()
