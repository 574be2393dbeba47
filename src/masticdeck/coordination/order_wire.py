"""Conversion between order records and protobuf messages."""

from __future__ import annotations

from masticdeck.coordination.order_errors import ORDER_ERRORS, OrderOutcomeUnknown
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    RecordedResponse,
)
from masticdeck.coordination.order_tokens import parse_key
from masticdeck.coordination.order_witness import HandOverChunk
from masticdeck.errors import MasticdeckError
from masticdeck.ids import EntryId, Incarnation
from masticdeck.protocol.generated.orders_pb2 import (
    OrderField,
    OrderHandOverRequest,
    OrderOutcome,
    OrderRecordMessage,
    OrderReply,
)
from masticdeck.transport.http1 import is_final_status


def encode_outcome(
    state: OrderState, response: RecordedResponse | None, detail: str = ""
) -> OrderOutcome:
    """Return the message that carries the outcome of an order."""
    message = OrderOutcome(state=state.value, detail=detail)
    if response is not None:
        message.status = response.status
        message.body = response.body
        message.truncated = response.truncated
        message.fields.extend(
            OrderField(name=name, value=value) for name, value in response.headers
        )
    return message


def decode_outcome(
    message: OrderOutcome,
) -> tuple[OrderState, RecordedResponse | None]:
    """Return the state in an outcome, and its response if it holds one.

    A response whose status no caller may get leaves the outcome unknown.
    """
    state = OrderState(message.state)
    if state is not OrderState.ANSWERED:
        return state, None
    if not is_final_status(message.status):
        return OrderState.UNKNOWN, None
    return state, RecordedResponse(
        status=message.status,
        headers=tuple((field.name, field.value) for field in message.fields),
        body=message.body,
        truncated=message.truncated,
    )


def encode_response(response: RecordedResponse | None) -> OrderReply:
    """Return the reply to a Judge or Relay call; None makes it unsettled."""
    if response is None:
        return OrderReply(settled=False)
    return OrderReply(
        settled=True, outcome=encode_outcome(OrderState.ANSWERED, response)
    )


def encode_error(error: MasticdeckError) -> OrderReply:
    """Return the reply that carries an error."""
    return OrderReply(
        settled=True,
        error_code=error.code,
        detail=error.detail,
        retry_after_s=error.retry_after_s or 0.0,
    )


def decode_reply(reply: OrderReply) -> RecordedResponse | None:
    """Return the response in a reply, None if it is unsettled, or raise its error."""
    if not reply.settled:
        return None
    if reply.error_code:
        error_class = ORDER_ERRORS.get(reply.error_code, OrderOutcomeUnknown)
        raise error_class(reply.detail, retry_after_s=reply.retry_after_s or None)
    if reply.outcome.state != OrderState.ANSWERED.value:
        return None
    _, response = decode_outcome(reply.outcome)
    if response is None:
        raise OrderOutcomeUnknown(
            f"a peer sent a response with the status {reply.outcome.status}"
        )
    return response


def encode_chunk(chunk: HandOverChunk) -> OrderHandOverRequest:
    """Return the message of one chunk of a hand-over."""
    home, incarnation = chunk.home_id
    return OrderHandOverRequest(
        home=home,
        incarnation=incarnation,
        part=chunk.index,
        last=chunk.is_last,
        expired_through=chunk.expired_through,
        records=[
            OrderRecordMessage(
                key=record.key,
                digest=record.digest,
                outcome=encode_outcome(record.state, record.response, record.detail),
            )
            for record in chunk.records
        ],
    )


def decode_chunk(message: OrderHandOverRequest) -> HandOverChunk:
    """Return the chunk in a hand-over message."""
    return HandOverChunk(
        home_id=(EntryId(message.home), Incarnation(message.incarnation)),
        index=message.part,
        is_last=message.last,
        expired_through=message.expired_through,
        records=tuple(decode_record(record) for record in message.records),
    )


def decode_record(message: OrderRecordMessage) -> OrderRecord:
    """Return the record in a message.

    A record that was still running becomes UNKNOWN, because its home has stopped.
    """
    state, response = decode_outcome(message.outcome)
    return OrderRecord(
        key=message.key,
        digest=message.digest,
        generation=parse_key(message.key).generation,
        state=OrderState.UNKNOWN if state is OrderState.RUNNING else state,
        response=response,
        detail=message.outcome.detail,
    )
