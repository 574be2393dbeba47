"""Calls to other entries about orders, and the service that answers them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar, final

from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.clock import boottime
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    RecordedResponse,
)
from masticdeck.coordination.order_tokens import HomeToken
from masticdeck.coordination.order_wire import (
    decode_chunk,
    decode_reply,
    decode_response,
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
    """No answer came from another entry; it may have acted on the message."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A keyed request with its whole body; ``key`` is without quotes."""

    call: Call
    key: str
    token: HomeToken
    digest: bytes
    body: bytes
    headers: tuple[tuple[str, str], ...] = field(default=())

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return max(0.0, self.call.deadline - boottime())


class OrderPeerClient:
    """Client side of the service of other entries."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def stub_for(self, entry: EntryId) -> OrdersStub:
        """Return the client of another entry's service."""
        return OrdersStub(self.node.peers.get(entry))

    async def await_reply(
        self, entry: EntryId, pending_reply: Awaitable[T], timeout_s: float
    ) -> T:
        """Await a call and turn every failure into PeerNotReached."""
        try:
            async with asyncio.timeout(timeout_s):
                return await pending_reply
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            raise PeerUnreachable(f"{entry}: {type(error).__name__}") from error

    async def describe(self, entry: EntryId) -> OrderDescribeReply:
        """Return another entry's incarnation and its own home token."""
        message = OrderDescribeRequest(entry=self.node.id)
        method = self.stub_for(entry).Describe(message)
        return await self.await_reply(entry, method, DESCRIBE_TIMEOUT_S)

    async def record_intent(self, order: Order) -> bool:
        """Return whether the witness recorded the intent."""
        message = OrderIntentRequest(key=order.key, digest=order.digest)
        entry = order.token.witness
        timeout_s = min(INTENT_TIMEOUT_S, order.remaining_s)
        reply = await self.await_reply(
            entry, self.stub_for(entry).Intend(message), timeout_s
        )
        return reply.accepted

    async def report_outcome(self, witness: EntryId, record: OrderRecord) -> None:
        """Tell the witness an order's outcome."""
        message = OrderOutcomeRequest(
            key=record.key,
            digest=record.digest,
            outcome=encode_outcome(record.state, record.response),
        )
        method = self.stub_for(witness).Report(message)
        await self.await_reply(witness, method, REPORT_TIMEOUT_S)

    async def resolve(
        self, entry: EntryId, order: Order, timeout_s: float
    ) -> RecordedResponse | None:
        """Return what another entry knows of a key, or None if it can't settle it."""
        message = OrderJudgeRequest(key=order.key, digest=order.digest)
        method = self.stub_for(entry).Judge(message)
        return decode_reply(await self.await_reply(entry, method, timeout_s))

    async def relay(self, order: Order, timeout_s: float) -> RecordedResponse | None:
        """Let the home run an order; None when the home is of a later life."""
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
            fields=[OrderField(name=name, value=text) for name, text in order.headers],
        )
        home = order.token.home
        reply = await self.await_reply(
            home, self.stub_for(home).Relay(message), timeout_s
        )
        return decode_reply(reply)

    async def send_hand_over(self, entry: EntryId, chunk: HandOverChunk) -> None:
        """Give another entry one part of a home's final records."""
        method = self.stub_for(entry).HandOver(encode_chunk(chunk))
        await self.await_reply(entry, method, HAND_OVER_TIMEOUT_S)


class OrderService(OrdersBase):
    """Server side: answers other entries from this entry's orders."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders

    async def Describe(  # noqa: N802
        self, stream: Stream[OrderDescribeRequest, OrderDescribeReply]
    ) -> None:
        """Answer with this entry's incarnation."""
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
        """Record a home's intent."""
        message = await receive_message(stream)
        accepted = self.orders.witness.record_intent(message.key, message.digest)
        await stream.send_message(OrderIntentReply(accepted=accepted))

    async def Report(  # noqa: N802
        self, stream: Stream[OrderOutcomeRequest, OrderOutcomeReply]
    ) -> None:
        """Record an outcome."""
        message = await receive_message(stream)
        state = OrderState(message.outcome.state)
        answer = decode_response(message.outcome)
        self.orders.witness.record_outcome(message.key, message.digest, state, answer)
        await stream.send_message(OrderOutcomeReply())

    async def Judge(  # noqa: N802
        self, stream: Stream[OrderJudgeRequest, OrderReply]
    ) -> None:
        """Settle a key from what this entry remembers."""
        message = await receive_message(stream)

        async def settle() -> RecordedResponse | None:
            return self.orders.witness.resolve(message.key, message.digest)

        await stream.send_message(await build_reply(settle))

    async def Relay(  # noqa: N802
        self, stream: Stream[OrderRelayRequest, OrderReply]
    ) -> None:
        """Run an order that another entry received."""
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
        """Adopt a home's final records."""
        message = await receive_message(stream)
        self.orders.witness.adopt(decode_chunk(message))
        await stream.send_message(OrderHandOverReply())


Q = TypeVar("Q")
R = TypeVar("R")


async def receive_message(stream: Stream[Q, R]) -> Q:
    """Return a call's message, or raise when the peer sent none."""
    message = await stream.recv_message()
    if message is None:
        raise PeerUnreachable("the peer closed the call")
    return message


async def build_reply(
    resolve_order: Callable[[], Awaitable[RecordedResponse | None]],
) -> OrderReply:
    """Return the reply for an answer or for the error raised."""
    try:
        return encode_response(await resolve_order())
    except MasticdeckError as error:
        return encode_error(error)


def decode_call(message: OrderRelayRequest) -> Call:
    """Return the call in a relayed order, with this process's deadline."""
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
