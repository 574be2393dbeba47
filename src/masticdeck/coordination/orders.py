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

from masticdeck.coordination.order_errors import (
    OrderHomeUnknown,
    OrderNotRun,
    OrderOutcomeUnknown,
)
from masticdeck.coordination.order_hand_over import HandOverSender, successors
from masticdeck.coordination.order_home import OrderHome
from masticdeck.coordination.order_peers import Order, OrderPeerClient, PeerUnreachable
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    RecordedResponse,
    request_digest,
)
from masticdeck.coordination.order_tokens import HomeToken, parse_key, unquote
from masticdeck.coordination.order_witness import OrderWitness
from masticdeck.coordination.order_witness_selector import (
    WitnessSelector,
    witness_candidates,
)
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, MemberState, Outcome
from masticdeck.node import Node
from masticdeck.protocol.call import Call

Executor = Callable[
    [Call, bytes, tuple[tuple[str, str], ...]], Awaitable[RecordedResponse]
]

MAINTENANCE_INTERVAL_S = 1.0
RESOLVE_RESERVE_S = 0.5
RESOLVE_RESERVE_FRACTION = 0.25
MIN_RESOLVE_TIMEOUT_S = 0.2
MAX_REPORT_ATTEMPTS = 3
REPORT_RETRY_DELAY_S = 0.5


class Orders:
    """At-most-once orders of one entry.

    ``executor`` runs a relayed order at a backend server; the entry sets it.
    It raises a MasticdeckError whose ``outcome`` is NOT_RUN only when that is
    proven.
    """

    def __init__(
        self, node: Node, *, peer_client: OrderPeerClient | None = None
    ) -> None:
        self.node = node
        self.home = OrderHome(node)
        self.witness = OrderWitness(node)
        self.peer_client = peer_client or OrderPeerClient(node)
        self.executor: Executor | None = None
        self.running_tasks: dict[str, asyncio.Task[RecordedResponse]] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.substitute_token = ""
        self.is_leaving = False
        self.witness_selector = WitnessSelector(node, self.home, self.peer_client)
        self.hand_over_sender = HandOverSender(
            node, self.home, self.witness, self.peer_client
        )
        node.hooks.register(self)

    @property
    def is_accepting(self) -> bool:
        """Return whether this entry begins orders and witnesses for others."""
        return not (self.is_leaving or self.home.is_closed)

    async def start(self) -> None:
        """Begin to look for a witness and to maintain the records."""
        self.spawn(self.run_maintenance())

    async def stop(self) -> None:
        """End the background work; see ``close`` for the planned stop."""
        for task in [*self.background_tasks, *self.running_tasks.values()]:
            task.cancel()
        pending = [*self.background_tasks, *self.running_tasks.values()]
        await asyncio.gather(*pending, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run background work until it ends or this component stops."""
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def home_token(self) -> str:
        """Return the token for look-up answers; empty when there is none."""
        return self.home.current_token if self.is_accepting else self.substitute_token

    def create_order(
        self, call: Call, body: bytes, headers: tuple[tuple[str, str], ...]
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
            digest=request_digest(call, body),
            body=body,
            headers=headers,
        )

    async def run(
        self,
        call: Call,
        body: bytes,
        execute: Executor,
        *,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> RecordedResponse:
        """Return the order's answer, running it here or at its home.

        A repeat gets the recorded answer. Raises the errors of
        ``order_errors``; "not run" is final for the key.
        """
        order = self.create_order(call, body, headers)
        if self.is_home_of(order.token):
            return await self.run_locally(order, execute)
        answer = None
        if order.token.home != self.node.id:
            answer = await self.relay_to_home(order)
        return answer or await self.resolve(order)

    def is_home_of(self, token: HomeToken) -> bool:
        """Return whether the token names this entry in this life as home."""
        return (
            token.home == self.node.id
            and token.home_incarnation == self.node.incarnation
        )

    async def run_relayed(self, order: Order) -> RecordedResponse | None:
        """Run an order for another entry; None when its home was an earlier life."""
        if not self.is_home_of(order.token):
            return None
        if self.executor is None:
            raise OrderNotRun("its home is still starting")
        return await self.run_locally(order, self.executor)

    async def run_locally(self, order: Order, execute: Executor) -> RecordedResponse:
        """Run the order, wait for the run in progress, or replay its outcome."""
        record, new = self.home.begin_order(order.token, order.key, order.digest)
        if new:
            work = self.execute_once(order, record, execute)
            task = asyncio.create_task(work)
            task.add_done_callback(mark_exception_retrieved)
            self.running_tasks[order.key] = task
        run = self.running_tasks.get(order.key)
        if run is None:
            self.emit_event(Code.ORDER_REPLAYED, order)
            return record.replay()
        done, _ = await asyncio.wait({run}, timeout=order.remaining_s)
        if not done or run.cancelled():
            raise OrderOutcomeUnknown("it still runs")
        return run.result()

    async def execute_once(
        self, order: Order, record: OrderRecord, execute: Executor
    ) -> RecordedResponse:
        """Run a new order once and record how it ended."""
        self.emit_event(Code.ORDER_STARTED, order)
        try:
            await self.record_intent(order)
            answer = await execute(order.call, order.body, order.headers)
            self.home.table.finish(record, OrderState.ANSWERED, response=answer)
            return answer
        except MasticdeckError as error:
            raise self.record_failure(record, error) from error
        except Exception as error:
            self.emit_event(Code.COMPONENT_FAILED, order, error=repr(error))
            raise OrderOutcomeUnknown("it broke off") from error
        finally:
            self.home.table.finish(record, OrderState.UNKNOWN, detail="it broke off")
            del self.running_tasks[order.key]
            self.emit_event(Code.ORDER_FINISHED, order, state=record.state.value)
            if order.token.has_witness:
                self.spawn(self.report_outcome(order.token.witness, record))

    def emit_event(self, code: Code, order: Order, **fields: object) -> None:
        """Emit an event about an order."""
        self.node.events.emit(
            code,
            level=logging.DEBUG,
            request=order.call.id,
            order=order.key,
            **fields,
        )

    async def record_intent(self, order: Order) -> None:
        """Let the witness record the intent, or raise OrderNotRun."""
        if not order.token.has_witness:
            return
        try:
            accepted = await self.peer_client.record_intent(order)
        except PeerUnreachable as error:
            self.spawn(self.witness_selector.select(failed_witness=order.token.witness))
            raise OrderNotRun(f"its witness was not reached: {error}") from error
        if not accepted:
            self.spawn(self.witness_selector.select(failed_witness=order.token.witness))
            raise OrderNotRun("its witness refused it")

    def record_failure(
        self, record: OrderRecord, error: MasticdeckError
    ) -> MasticdeckError:
        """Record a failed run and return the error for the caller."""
        detail = error.detail if isinstance(error, OrderNotRun) else str(error)
        if error.outcome is Outcome.NOT_RUN:
            self.home.table.finish(record, OrderState.NOT_RUN, detail=detail)
            return OrderNotRun(detail, retry_after_s=error.retry_after_s)
        self.home.table.finish(record, OrderState.UNKNOWN, detail=detail)
        return OrderOutcomeUnknown(detail)

    async def report_outcome(self, witness: EntryId, record: OrderRecord) -> None:
        """Tell the witness the outcome, trying a few times."""
        for _ in range(MAX_REPORT_ATTEMPTS):
            try:
                return await self.peer_client.report_outcome(witness, record)
            except PeerUnreachable:
                await asyncio.sleep(REPORT_RETRY_DELAY_S)
        return None

    async def relay_to_home(self, order: Order) -> RecordedResponse | None:
        """Let the home run the order; None when the home gave no answer."""
        self.emit_event(Code.ORDER_RELAYED, order, entry=order.token.home)
        reserve = min(RESOLVE_RESERVE_S, order.remaining_s * RESOLVE_RESERVE_FRACTION)
        try:
            return await self.peer_client.relay(order, order.remaining_s - reserve)
        except PeerUnreachable:
            return None

    async def resolve(self, order: Order) -> RecordedResponse:
        """Settle a key without its home."""
        self.emit_event(Code.ORDER_JUDGED, order, entry=order.token.home)
        for entry in self.resolvers(order.token):
            try:
                answer = await self.resolve_at(entry, order)
            except PeerUnreachable:
                continue
            if answer is not None:
                return answer
        raise OrderOutcomeUnknown("neither its home nor its witness can tell")

    async def resolve_at(self, entry: EntryId, order: Order) -> RecordedResponse | None:
        """Return what one entry, perhaps this one, knows of a key."""
        if entry == self.node.id:
            return self.witness.resolve(order.key, order.digest)
        timeout_s = max(MIN_RESOLVE_TIMEOUT_S, order.remaining_s / 2)
        return await self.peer_client.resolve(entry, order, timeout_s)

    def resolvers(self, token: HomeToken) -> list[EntryId]:
        """Return the entries to ask in turn: the witness, then the adopters."""
        witness = [token.witness] if token.has_witness else []
        adopters = [
            one for one in successors(self.node, token.home) if one not in witness
        ]
        return witness + adopters

    async def run_maintenance(self) -> None:
        """Keep a live witness and bounded records."""
        while True:
            self.home.expire_generations()
            self.witness.expire_records()
            await self.witness_selector.check_if_due()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Choose another witness when the present one leaves or dies."""
        if entry == self.home.witness and state is not MemberState.ALIVE:
            self.spawn(self.witness_selector.select(failed_witness=entry))

    async def leave(self) -> None:
        """Give look-ups another entry's token, as this one is about to stop."""
        self.is_leaving = True
        for entry in witness_candidates(self.node):
            try:
                reply = await self.peer_client.describe(entry)
            except PeerUnreachable:
                continue
            if reply.home_token:
                self.substitute_token = reply.home_token
                return

    async def close(self, grace_s: float) -> None:
        """Begin no further order, finish those that run, hand over the records.

        Orders that still run after ``grace_s`` seconds are handed over as
        unknown.
        """
        self.home.close()
        self.node.events.emit(Code.ORDERS_CLOSED, running=len(self.running_tasks))
        if self.running_tasks:
            await asyncio.wait({*self.running_tasks.values()}, timeout=grace_s)
        for task in list(self.running_tasks.values()):
            task.cancel()
        await asyncio.gather(*self.running_tasks.values(), return_exceptions=True)
        await self.hand_over_sender.send_all()


def mark_exception_retrieved(task: asyncio.Task[RecordedResponse]) -> None:
    """Mark the exception of a run that nobody waits for any more as seen."""
    if not task.cancelled():
        task.exception()
