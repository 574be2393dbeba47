"""At-most-once execution of orders, from the home and witness sides of an entry.

Only the home named in an order's key, in the incarnation named there, may run
the order. This needs no clock, lease or store call. Other entries relay the
order to its home or, if the home is unreachable, have the witness resolve the
key.
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
    """Runs, relays and resolves the orders that reach one entry.

    ``executor`` runs a relayed order at a backend server and is set by the
    entry. It may raise a MasticdeckError with the outcome NOT_RUN only if it is
    proven that the order did not run.
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
        """Return whether this entry starts orders and witnesses those of others."""
        return not (self.is_leaving or self.home.is_closed)

    async def start(self) -> None:
        """Start the periodic selection of a witness and expiry of records."""
        self.spawn(self.run_maintenance())

    async def stop(self) -> None:
        """Cancel all tasks; a graceful shutdown calls ``close`` before this."""
        for task in [*self.background_tasks, *self.running_tasks.values()]:
            task.cancel()
        cancelled_tasks = [*self.background_tasks, *self.running_tasks.values()]
        await asyncio.gather(*cancelled_tasks, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until it ends or ``stop`` is called."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def home_token(self) -> str:
        """Return the home token for look-up responses.

        This is another entry's token when this entry is leaving, and empty when
        none was found.
        """
        return self.home.current_token if self.is_accepting else self.substitute_token

    def create_order(
        self, call: Call, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> Order:
        """Return the order of a call with a key; raise if the key is invalid."""
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
        """Return the order's response after running it here or at its home.

        A repeated order gets the recorded response. Raises the errors of
        ``order_errors``; "not run" is final for the key.
        """
        order = self.create_order(call, body, headers)
        if self.is_home_of(order.token):
            return await self.run_locally(order, execute)
        response = None
        if order.token.home != self.node.id:
            response = await self.relay_to_home(order)
        return response or await self.resolve(order)

    def is_home_of(self, token: HomeToken) -> bool:
        """Return whether the token names this incarnation of this entry as home."""
        return (
            token.home == self.node.id
            and token.home_incarnation == self.node.incarnation
        )

    async def run_relayed(self, order: Order) -> RecordedResponse | None:
        """Run an order that another entry relayed.

        Returns None if the order's home is an earlier incarnation of this entry.
        """
        if not self.is_home_of(order.token):
            return None
        if self.executor is None:
            raise OrderNotRun("its home is still starting")
        return await self.run_locally(order, self.executor)

    async def run_locally(self, order: Order, execute: Executor) -> RecordedResponse:
        """Run the order, wait for its current run, or replay its outcome.

        The run has its own task, so it continues if the caller disconnects.
        """
        record, is_new = self.home.begin_order(order.token, order.key, order.digest)
        if is_new:
            execution = self.execute_once(order, record, execute)
            task = asyncio.create_task(execution)
            task.add_done_callback(mark_exception_retrieved)
            self.running_tasks[order.key] = task
        running_task = self.running_tasks.get(order.key)
        if running_task is None:
            self.emit_event(Code.ORDER_REPLAYED, order)
            return record.replay()
        done, _ = await asyncio.wait({running_task}, timeout=order.remaining_s)
        if not done or running_task.cancelled():
            raise OrderOutcomeUnknown("the order is still running")
        return running_task.result()

    async def execute_once(
        self, order: Order, record: OrderRecord, execute: Executor
    ) -> RecordedResponse:
        """Run a new order and record its outcome."""
        self.emit_event(Code.ORDER_STARTED, order)
        try:
            await self.record_intent(order)
            response = await execute(order.call, order.body, order.headers)
            self.home.table.finish(record, OrderState.ANSWERED, response=response)
            return response
        except MasticdeckError as error:
            raise self.record_failure(record, error) from error
        except Exception as error:
            self.emit_event(Code.COMPONENT_FAILED, order, error=repr(error))
            raise OrderOutcomeUnknown("its run was interrupted") from error
        finally:
            self.home.table.finish(
                record, OrderState.UNKNOWN, detail="its run was interrupted"
            )
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
        """Have the witness record the intent, or raise OrderNotRun.

        A witness that fails here is replaced in the background.
        """
        if not order.token.has_witness:
            return
        try:
            accepted = await self.peer_client.record_intent(order)
        except PeerUnreachable as error:
            self.spawn(self.witness_selector.select(failed_witness=order.token.witness))
            raise OrderNotRun(f"its witness is unreachable: {error}") from error
        if not accepted:
            self.spawn(self.witness_selector.select(failed_witness=order.token.witness))
            raise OrderNotRun("its witness rejected the intent")

    def record_failure(
        self, record: OrderRecord, error: MasticdeckError
    ) -> MasticdeckError:
        """Record a failed run and return the error to raise to the caller."""
        detail = error.detail if isinstance(error, OrderNotRun) else str(error)
        if error.outcome is Outcome.NOT_RUN:
            self.home.table.finish(record, OrderState.NOT_RUN, detail=detail)
            return OrderNotRun(detail, retry_after_s=error.retry_after_s)
        self.home.table.finish(record, OrderState.UNKNOWN, detail=detail)
        return OrderOutcomeUnknown(detail)

    async def report_outcome(self, witness: EntryId, record: OrderRecord) -> None:
        """Send the outcome to the witness, with retries."""
        for _ in range(MAX_REPORT_ATTEMPTS):
            try:
                return await self.peer_client.report_outcome(witness, record)
            except PeerUnreachable:
                await asyncio.sleep(REPORT_RETRY_DELAY_S)
        return None

    async def relay_to_home(self, order: Order) -> RecordedResponse | None:
        """Let the home run the order; return None if it gives no response.

        Part of the remaining time is reserved for resolving the order elsewhere.
        """
        self.emit_event(Code.ORDER_RELAYED, order, entry=order.token.home)
        reserve_s = min(RESOLVE_RESERVE_S, order.remaining_s * RESOLVE_RESERVE_FRACTION)
        try:
            return await self.peer_client.relay(order, order.remaining_s - reserve_s)
        except PeerUnreachable:
            return None

    async def resolve(self, order: Order) -> RecordedResponse:
        """Resolve the outcome of an order without its home."""
        self.emit_event(Code.ORDER_JUDGED, order, entry=order.token.home)
        for entry in self.resolvers(order.token):
            try:
                response = await self.resolve_at(entry, order)
            except PeerUnreachable:
                continue
            if response is not None:
                return response
        raise OrderOutcomeUnknown("neither its home nor its witness can resolve it")

    async def resolve_at(self, entry: EntryId, order: Order) -> RecordedResponse | None:
        """Return the response recorded at an entry, which may be this one.

        Returns None if that entry can't resolve the order; raises the order's
        error if that is its outcome.
        """
        if entry == self.node.id:
            return self.witness.resolve(order.key, order.digest)
        timeout_s = max(MIN_RESOLVE_TIMEOUT_S, order.remaining_s / 2)
        return await self.peer_client.resolve(entry, order, timeout_s)

    def resolvers(self, token: HomeToken) -> list[EntryId]:
        """Return the entries to query in order: the witness, then the adopters."""
        witnesses = [token.witness] if token.has_witness else []
        adopters = [
            entry
            for entry in successors(self.node, token.home)
            if entry not in witnesses
        ]
        return witnesses + adopters

    async def run_maintenance(self) -> None:
        """Periodically remove old records and check the witness."""
        while True:
            self.home.expire_generations()
            self.witness.expire_records()
            await self.witness_selector.check_if_due()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Select another witness when the current one is no longer alive."""
        if entry == self.home.witness and state is not MemberState.ALIVE:
            self.spawn(self.witness_selector.select(failed_witness=entry))

    async def leave(self) -> None:
        """Use another entry's token in look-up responses, before this one stops."""
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
        """Reject new orders, wait for the running ones and hand over the records.

        Orders that are still running after ``grace_s`` seconds are handed over
        as unknown.
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
    """Retrieve a task's exception, so that asyncio doesn't log it as unhandled.

    The callers that waited for the task may have disconnected.
    """
    if not task.cancelled():
        task.exception()
