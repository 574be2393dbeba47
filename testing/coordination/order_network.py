"""Several entries' ``Orders`` in one process, joined by a network with faults."""

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

PATIENCE_S = 0.02
HOME, WITNESS, THIRD, FOURTH = (EntryId(f"entry-{n}") for n in (1, 2, 3, 4))
RIGA = load_deployment(ROOT / "examples" / "riga" / "deployment.jsonc")


class DirectPeers(OrderPeerClient):
    """Carries messages by calling the other entry's components."""

    def __init__(self, node: Node, network: Network) -> None:
        super().__init__(node)
        self.network = network

    async def send(self, target: EntryId, name: str, act: Callable[[Orders], Any]):
        return await self.network.deliver(self.node.id, target, name, act)

    async def describe(self, entry: EntryId) -> OrderDescribeReply:
        return await self.send(
            entry,
            "describe",
            lambda it: OrderDescribeReply(
                incarnation=it.node.incarnation,
                open=it.is_accepting,
                home_token=it.home_token(),
            ),
        )

    async def record_intent(self, order: Order) -> bool:
        return await self.send(
            order.token.witness,
            "intend",
            lambda it: it.witness.record_intent(order.key, order.digest),
        )

    async def report_outcome(self, witness: EntryId, record: OrderRecord) -> None:
        state, answer = record.state, record.response
        return await self.send(
            witness,
            "report",
            lambda it: it.witness.record_outcome(
                record.key, record.digest, state, answer
            ),
        )

    async def resolve(self, entry: EntryId, order: Order, timeout_s: float):
        return await self.send(
            entry, "judge", lambda it: it.witness.resolve(order.key, order.digest)
        )

    async def relay(self, order: Order, timeout_s: float):
        return await self.send(
            order.token.home, "relay", lambda it: it.run_relayed(order)
        )

    async def send_hand_over(self, entry: EntryId, chunk: HandOverChunk) -> None:
        return await self.send(entry, "hand_over", lambda it: it.witness.adopt(chunk))


class Network:
    """Entries, the runs of their backend servers, and faults to set.

    ``lose`` holds ``(message, "request" | "answer")`` once for each loss;
    messages to an entry in ``paused`` arrive when its event is set, while the
    sender gives up at once.
    """

    def __init__(self, *, entries: int = 4, **settings: Any) -> None:
        self.deployment: Deployment = RIGA.model_copy(
            update={"entries": RIGA.entries[:entries]}
        )
        self.settings = settings
        self.incarnations = itertools.count(1)
        self.entries: dict[EntryId, Orders] = {}
        self.down: set[EntryId] = set()
        self.paused: dict[EntryId, asyncio.Event] = {}
        self.lose: Counter[tuple[str, str]] = Counter()
        self.late: set[asyncio.Task[Any]] = set()
        self.runs: Counter[str] = Counter()
        self.gate: asyncio.Event | None = None
        self.failure: MasticdeckError | None = None
        for entry in self.deployment.entries:
            self.restart(entry.id)

    def restart(self, entry: EntryId) -> Orders:
        """Begin a new life of an entry, without records."""
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
        orders = Orders(node, peer_client=DirectPeers(node, self))
        orders.executor = partial(self.execute, entry)
        self.entries[entry] = orders
        self.down.discard(entry)
        return orders

    async def choose_witnesses(self) -> None:
        """Let every entry choose its witness."""
        for orders in self.entries.values():
            await orders.witness_selector.check_if_due()

    async def deliver(
        self,
        source: EntryId,
        target: EntryId,
        name: str,
        act: Callable[[Orders], Any],
    ) -> Any:
        """Carry one message, with the faults that are set."""
        await self.awake(source)
        if self.take((name, "request")) or {source, target} & self.down:
            raise PeerUnreachable(name)
        lost = self.take((name, "answer"))
        task = asyncio.create_task(self.arrive(target, act))
        self.late.add(task)
        task.add_done_callback(self.late.discard)
        task.add_done_callback(lambda one: one.cancelled() or one.exception())
        if target in self.paused:
            await asyncio.wait({task}, timeout=PATIENCE_S)
            if not task.done():
                raise PeerUnreachable(name)
        answer = await asyncio.shield(task)
        await self.awake(source)
        if lost or source in self.down:
            raise PeerUnreachable(name)
        return answer

    async def arrive(self, target: EntryId, act: Callable[[Orders], Any]) -> Any:
        """Act on a message at its target, later when that is paused."""
        await self.awake(target)
        if target in self.down:
            raise PeerUnreachable("down")
        answer = act(self.entries[target])
        return await answer if isinstance(answer, Awaitable) else answer

    async def awake(self, entry: EntryId) -> None:
        """Wait while an entry is paused."""
        while entry in self.paused:
            await self.paused[entry].wait()

    def resume(self, entry: EntryId) -> None:
        """Let a paused entry go on."""
        if entry in self.paused:
            self.paused.pop(entry).set()

    def kill(self, entry: EntryId) -> None:
        """End an entry with all that it was doing."""
        self.down.add(entry)
        orders = self.entries[entry]
        for task in [*orders.background_tasks, *orders.running_tasks.values()]:
            task.cancel()

    def take(self, fault: tuple[str, str]) -> bool:
        """Use up one of the losses that are set."""
        if self.lose[fault] <= 0:
            return False
        self.lose[fault] -= 1
        return True

    async def execute(
        self,
        entry: EntryId,
        call: Call,
        body: bytes,
        fields: tuple[tuple[str, str], ...],
    ) -> RecordedResponse:
        """Run an order at the backend server for an entry."""
        await self.awake(entry)
        if self.failure is not None:
            raise self.failure
        self.runs[str(call.idempotency_key)] += 1
        if self.gate is not None:
            await self.gate.wait()
        return RecordedResponse(status=201, headers=(), body=b"done " + body)

    def key(self, own: str, *, home: EntryId = HOME) -> str:
        """Return a key under the token that a look-up at ``home`` gives now."""
        return f"{self.entries[home].home_token()}.{own}"

    async def ask(
        self, entry: EntryId, key: str, body: bytes = b"spoon", *, wait_s: float = 5.0
    ) -> RecordedResponse:
        """Send an order to an entry."""
        call = Call(
            id=RequestId("r"),
            service=ServiceId("pasutijumi"),
            method="POST",
            path="/orders",
            rank=Rank.MIDDLE,
            deadline=boottime() + wait_s,
            idempotency_key=key,
        )
        orders = self.entries[entry]
        assert orders.executor is not None
        return await orders.run(call, body, orders.executor)

    async def settle(self) -> None:
        """Wait until no background work is left."""
        for _ in range(20):
            await asyncio.sleep(0)


async def outcome(asked: Awaitable[RecordedResponse]) -> str:
    """Return ``done`` or the class name of the error."""
    try:
        await asked
    except MasticdeckError as error:
        return type(error).__name__
    return "done"
