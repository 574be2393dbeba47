"""Client and server of the order service that entries call on each other."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar, final

from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.clock import boottime
from masticdeck.coordination.order_records import (
    OrderRecord,
    RecordedResponse,
)
from masticdeck.coordination.order_tokens import HomeToken
from masticdeck.coordination.order_wire import (
    decode_chunk,
    decode_outcome,
    decode_reply,
    encode_chunk,
    encode_error,
    encode_outcome,
    encode_response,
)
from masticdeck.coordination.order_witness import HandOverChunk
from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId, EntryId, Rank, RequestId, ServiceId
from masticdeck.node import Node
from masticdeck.protocol.call import Call
from masticdeck.protocol.generated.orders_grpc import OrdersBase, OrdersStub
from masticdeck.protocol.generated.orders_pb2 import (
    OrderDescribeReply,
    OrderDescribeRequest,
    OrderField,
    OrderHandOverReply,
    OrderHandOverRequest,
    OrderIntentReply,
    OrderIntentRequest,
    OrderJudgeRequest,
    OrderOutcomeReply,
    OrderOutcomeRequest,
    OrderRelayRequest,
    OrderReply,
)

if TYPE_CHECKING:
    from grpclib.server import Stream

    from masticdeck.coordination.orders import Orders

T = TypeVar("T")

INTENT_TIMEOUT_S = 1.0
DESCRIBE_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 2.0
HAND_OVER_TIMEOUT_S = 2.0


class PeerUnreachable(Exception):
    """Another entry did not reply; it may still have processed the message."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A request with an idempotency key and its whole body.

    ``key`` has no quotes; ``digest`` identifies the content of the request.
    """

    call: Call
    key: str
    token: HomeToken
    digest: bytes
    body: bytes
    headers: tuple[tuple[str, str], ...] = field(default=())

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, self.call.deadline - boottime())


class OrderPeerClient:
    """Calls the order service of other entries."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def stub_for(self, entry: EntryId) -> OrdersStub:
        """Return the gRPC stub for another entry's order service."""
        return OrdersStub(self.node.peers.get(entry))

    async def await_reply(
        self, entry: EntryId, pending_reply: Awaitable[T], timeout_s: float
    ) -> T:
        """Await a reply and raise PeerUnreachable on failure or timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await pending_reply
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            raise PeerUnreachable(f"{entry}: {type(error).__name__}") from error

    async def describe(self, entry: EntryId) -> OrderDescribeReply:
        """Return another entry's incarnation, home token and readiness."""
        message = OrderDescribeRequest(entry=self.node.id)
        pending_reply = self.stub_for(entry).Describe(message)
        return await self.await_reply(entry, pending_reply, DESCRIBE_TIMEOUT_S)

    async def record_intent(self, order: Order) -> bool:
        """Ask the witness to record the intent; return whether it accepted."""
        message = OrderIntentRequest(key=order.key, digest=order.digest)
        entry = order.token.witness
        timeout_s = min(INTENT_TIMEOUT_S, order.remaining_s)
        reply = await self.await_reply(
            entry, self.stub_for(entry).Intend(message), timeout_s
        )
        return reply.accepted

    async def report_outcome(self, witness: EntryId, record: OrderRecord) -> None:
        """Send an order's outcome to the witness."""
        message = OrderOutcomeRequest(
            key=record.key,
            digest=record.digest,
            outcome=encode_outcome(record.state, record.response),
        )
        pending_reply = self.stub_for(witness).Report(message)
        await self.await_reply(witness, pending_reply, REPORT_TIMEOUT_S)

    async def resolve(
        self, entry: EntryId, order: Order, timeout_s: float
    ) -> RecordedResponse | None:
        """Return the response recorded at another entry.

        Returns None if the entry can't resolve the key; raises the order's error
        if that is its outcome.
        """
        message = OrderJudgeRequest(key=order.key, digest=order.digest)
        pending_reply = self.stub_for(entry).Judge(message)
        return decode_reply(await self.await_reply(entry, pending_reply, timeout_s))

    async def relay(self, order: Order, timeout_s: float) -> RecordedResponse | None:
        """Let the home run an order; None if the home has restarted since."""
        call = order.call
        message = OrderRelayRequest(
            key=order.key,
            digest=order.digest,
            request=call.id,
            service=call.service,
            method=call.method,
            path=call.path,
            rank=call.rank.value,
            remaining_s=order.remaining_s,
            customer=call.customer or "",
            body=order.body,
            fields=[
                OrderField(name=name, value=value) for name, value in order.headers
            ],
        )
        home = order.token.home
        reply = await self.await_reply(
            home, self.stub_for(home).Relay(message), timeout_s
        )
        return decode_reply(reply)

    async def send_hand_over(self, entry: EntryId, chunk: HandOverChunk) -> None:
        """Send one chunk of a home's final records to another entry."""
        pending_reply = self.stub_for(entry).HandOver(encode_chunk(chunk))
        await self.await_reply(entry, pending_reply, HAND_OVER_TIMEOUT_S)


class OrderService(OrdersBase):
    """Serves the order service to other entries."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders

    async def Describe(  # noqa: N802
        self, stream: Stream[OrderDescribeRequest, OrderDescribeReply]
    ) -> None:
        """Reply with this entry's incarnation, home token and readiness."""
        await stream.recv_message()
        reply = OrderDescribeReply(
            incarnation=self.orders.node.incarnation,
            open=self.orders.is_accepting,
            home_token=self.orders.home.current_token
            if self.orders.is_accepting
            else "",
        )
        await stream.send_message(reply)

    async def Intend(  # noqa: N802
        self, stream: Stream[OrderIntentRequest, OrderIntentReply]
    ) -> None:
        """Record the intent of a home to run an order."""
        message = await receive_message(stream)
        accepted = self.orders.witness.record_intent(message.key, message.digest)
        await stream.send_message(OrderIntentReply(accepted=accepted))

    async def Report(  # noqa: N802
        self, stream: Stream[OrderOutcomeRequest, OrderOutcomeReply]
    ) -> None:
        """Record the outcome that a home reports."""
        message = await receive_message(stream)
        state, response = decode_outcome(message.outcome)
        self.orders.witness.record_outcome(message.key, message.digest, state, response)
        await stream.send_message(OrderOutcomeReply())

    async def Judge(  # noqa: N802
        self, stream: Stream[OrderJudgeRequest, OrderReply]
    ) -> None:
        """Resolve a key from the records of this entry."""
        message = await receive_message(stream)

        async def resolve() -> RecordedResponse | None:
            return self.orders.witness.resolve(message.key, message.digest)

        await stream.send_message(await build_reply(resolve))

    async def Relay(  # noqa: N802
        self, stream: Stream[OrderRelayRequest, OrderReply]
    ) -> None:
        """Run an order that another entry received from its caller."""
        message = await receive_message(stream)
        order = self.orders.create_order(
            decode_call(message),
            message.body,
            tuple((field.name, field.value) for field in message.fields),
        )
        await stream.send_message(
            await build_reply(lambda: self.orders.run_relayed(order))
        )

    async def HandOver(  # noqa: N802
        self, stream: Stream[OrderHandOverRequest, OrderHandOverReply]
    ) -> None:
        """Adopt a chunk of a stopping home's final records."""
        message = await receive_message(stream)
        self.orders.witness.adopt(decode_chunk(message))
        await stream.send_message(OrderHandOverReply())


Q = TypeVar("Q")
R = TypeVar("R")


async def receive_message(stream: Stream[Q, R]) -> Q:
    """Return the request message of a call, or raise if the peer sent none."""
    message = await stream.recv_message()
    if message is None:
        raise PeerUnreachable("the peer closed the call without a message")
    return message


async def build_reply(
    resolve_order: Callable[[], Awaitable[RecordedResponse | None]],
) -> OrderReply:
    """Return the reply for the response of an order or for the error it raises."""
    try:
        return encode_response(await resolve_order())
    except MasticdeckError as error:
        return encode_error(error)


def decode_call(message: OrderRelayRequest) -> Call:
    """Return the call in a relayed order.

    The message carries the remaining time, from which the deadline is set on
    this host's clock.
    """
    return Call(
        id=RequestId(message.request),
        service=ServiceId(message.service),
        method=message.method,
        path=message.path,
        rank=Rank(message.rank),
        deadline=boottime() + message.remaining_s,
        customer=CustomerId(message.customer) if message.customer else None,
        idempotency_key=message.key,
    )
