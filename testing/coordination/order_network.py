"""``Orders`` of several entries in one process, over a simulated faulty network."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, cast

from bench.fleet import ROOT
from masticdeck.clock import HybridClock, boottime
from masticdeck.config import Config
from masticdeck.coordination.order_peers import Order, OrderPeerClient, PeerUnreachable
from masticdeck.coordination.order_records import OrderRecord, RecordedResponse
from masticdeck.coordination.order_witness import HandOverChunk
from masticdeck.coordination.orders import Orders
from masticdeck.errors import MasticdeckError
from masticdeck.events import EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import EntryId, Incarnation, Rank, RequestId, ServiceId
from masticdeck.node import Node
from masticdeck.protocol.call import Call
from masticdeck.protocol.generated.orders_pb2 import OrderDescribeReply
from masticdeck.state.deployment import Deployment, load_deployment

PAUSED_REPLY_TIMEOUT_S = 0.02
HOME, WITNESS, THIRD, FOURTH = (EntryId(f"entry-{n}") for n in (1, 2, 3, 4))
RIGA_DEPLOYMENT = load_deployment(ROOT / "examples" / "riga" / "deployment.jsonc")


class DirectPeerClient(OrderPeerClient):
    """Delivers messages by calling the components of the other entry."""

    def __init__(self, node: Node, network: OrderNetwork) -> None:
        super().__init__(node)
        self.network = network

    async def send(self, target: EntryId, name: str, handler: Callable[[Orders], Any]):
        return await self.network.deliver(self.node.id, target, name, handler)

    async def describe(self, entry: EntryId) -> OrderDescribeReply:
        return await self.send(
            entry,
            "describe",
            lambda orders: OrderDescribeReply(
                incarnation=orders.node.incarnation,
                open=orders.is_accepting,
                home_token=orders.home_token(),
            ),
        )

    async def record_intent(self, order: Order) -> bool:
        return await self.send(
            order.token.witness,
            "intend",
            lambda orders: orders.witness.record_intent(order.key, order.digest),
        )

    async def report_outcome(self, witness: EntryId, record: OrderRecord) -> None:
        state, response = record.state, record.response
        return await self.send(
            witness,
            "report",
            lambda orders: orders.witness.record_outcome(
                record.key, record.digest, state, response
            ),
        )

    async def resolve(self, entry: EntryId, order: Order, timeout_s: float):
        return await self.send(
            entry,
            "judge",
            lambda orders: orders.witness.resolve(order.key, order.digest),
        )

    async def relay(self, order: Order, timeout_s: float):
        return await self.send(
            order.token.home, "relay", lambda orders: orders.run_relayed(order)
        )

    async def send_hand_over(self, entry: EntryId, chunk: HandOverChunk) -> None:
        return await self.send(
            entry, "hand_over", lambda orders: orders.witness.adopt(chunk)
        )


class OrderNetwork:
    """Entries with a simulated backend server and network, and faults to inject.

    ``losses`` counts the messages to lose by ``(message, "request" | "answer")``.
    An entry in ``resume_events`` is paused: messages to it arrive once its event is
    set, while the sender times out after ``PAUSED_REPLY_TIMEOUT_S``. Orders wait at
    the backend server for ``backend_gate``, or fail with ``backend_failure``.
    ``run_counts`` holds how often each key ran.
    """

    def __init__(self, *, entries: int = 4, **settings: Any) -> None:
        self.deployment: Deployment = RIGA_DEPLOYMENT.model_copy(
            update={"entries": RIGA_DEPLOYMENT.entries[:entries]}
        )
        self.settings = settings
        self.incarnations = itertools.count(1)
        self.entries: dict[EntryId, Orders] = {}
        self.down_entries: set[EntryId] = set()
        self.resume_events: dict[EntryId, asyncio.Event] = {}
        self.losses: Counter[tuple[str, str]] = Counter()
        self.deliveries: set[asyncio.Task[Any]] = set()
        self.run_counts: Counter[str] = Counter()
        self.backend_gate: asyncio.Event | None = None
        self.backend_failure: MasticdeckError | None = None
        for entry in self.deployment.entries:
            self.restart(entry.id)

    def restart(self, entry: EntryId) -> Orders:
        """Start an entry in a new incarnation, without records."""
        clock = HybridClock()
        node = Node(
            config=Config(entry=entry, deployment=ROOT, **self.settings),
            deployment=self.deployment,
            incarnation=Incarnation(next(self.incarnations)),
            clock=clock,
            events=EventLog(entry, clock),
            hooks=create_hooks(),
            store=cast(Any, None),
            vms=cast(Any, None),
            peers=cast(Any, None),
        )
        orders = Orders(node, peer_client=DirectPeerClient(node, self))
        orders.executor = partial(self.execute, entry)
        self.entries[entry] = orders
        self.down_entries.discard(entry)
        return orders

    async def select_witnesses(self) -> None:
        """Let every entry select its witness."""
        for orders in self.entries.values():
            await orders.witness_selector.check_if_due()

    async def deliver(
        self,
        source: EntryId,
        target: EntryId,
        name: str,
        handler: Callable[[Orders], Any],
    ) -> Any:
        """Deliver a message and return its reply, subject to the injected faults."""
        await self.wait_while_paused(source)
        if self.use_loss((name, "request")) or {source, target} & self.down_entries:
            raise PeerUnreachable(name)
        is_reply_lost = self.use_loss((name, "answer"))
        task = asyncio.create_task(self.process_message(target, handler))
        self.deliveries.add(task)
        task.add_done_callback(self.deliveries.discard)
        task.add_done_callback(lambda task: task.cancelled() or task.exception())
        if target in self.resume_events:
            await asyncio.wait({task}, timeout=PAUSED_REPLY_TIMEOUT_S)
            if not task.done():
                raise PeerUnreachable(name)
        reply = await asyncio.shield(task)
        await self.wait_while_paused(source)
        if is_reply_lost or source in self.down_entries:
            raise PeerUnreachable(name)
        return reply

    async def process_message(
        self, target: EntryId, handler: Callable[[Orders], Any]
    ) -> Any:
        """Process a message at its target, after the target's pause."""
        await self.wait_while_paused(target)
        if target in self.down_entries:
            raise PeerUnreachable("down")
        reply = handler(self.entries[target])
        return await reply if isinstance(reply, Awaitable) else reply

    async def wait_while_paused(self, entry: EntryId) -> None:
        """Wait until an entry is not paused."""
        while entry in self.resume_events:
            await self.resume_events[entry].wait()

    def resume(self, entry: EntryId) -> None:
        """Resume an entry if it is paused."""
        if entry in self.resume_events:
            self.resume_events.pop(entry).set()

    def kill(self, entry: EntryId) -> None:
        """Stop an entry without notice and cancel its tasks."""
        self.down_entries.add(entry)
        orders = self.entries[entry]
        for task in [*orders.background_tasks, *orders.running_tasks.values()]:
            task.cancel()

    def use_loss(self, fault: tuple[str, str]) -> bool:
        """Return whether this message is to be lost, and count the loss."""
        if self.losses[fault] <= 0:
            return False
        self.losses[fault] -= 1
        return True

    async def execute(
        self,
        entry: EntryId,
        call: Call,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> RecordedResponse:
        """Run an order at the simulated backend server on behalf of an entry."""
        await self.wait_while_paused(entry)
        if self.backend_failure is not None:
            raise self.backend_failure
        self.run_counts[str(call.idempotency_key)] += 1
        if self.backend_gate is not None:
            await self.backend_gate.wait()
        return RecordedResponse(status=201, headers=(), body=b"done " + body)

    def create_key(self, suffix: str, *, home: EntryId = HOME) -> str:
        """Return a key with the home token that a look-up at ``home`` returns now."""
        return f"{self.entries[home].home_token()}.{suffix}"

    async def send_order(
        self,
        entry: EntryId,
        key: str,
        body: bytes = b"spoon",
        *,
        timeout_s: float = 5.0,
    ) -> RecordedResponse:
        """Send an order to an entry and return its response."""
        call = Call(
            id=RequestId("r"),
            service=ServiceId("pasutijumi"),
            method="POST",
            path="/orders",
            rank=Rank.MIDDLE,
            deadline=boottime() + timeout_s,
            idempotency_key=key,
        )
        orders = self.entries[entry]
        assert orders.executor is not None
        return await orders.run(call, body, orders.executor)

    async def run_pending_tasks(self) -> None:
        """Let background tasks run for 20 iterations of the event loop."""
        for _ in range(20):
            await asyncio.sleep(0)


async def outcome_of(order: Awaitable[RecordedResponse]) -> str:
    """Return ``done``, or the class name of the error that the order raises."""
    try:
        await order
    except MasticdeckError as error:
        return type(error).__name__
    return "done"
