"""Conversion between order records and their messages."""

from __future__ import annotations

from masticdeck.coordination.order_errors import ORDER_ERRORS, OrderOutcomeUnknown
from masticdeck.coordination.order_records import (
    OrderRecord,
    OrderState,
    RecordedAnswer,
)
from masticdeck.coordination.order_tokens import parse_key
from masticdeck.coordination.order_witness import HandOver
from masticdeck.errors import MasticdeckError
from masticdeck.ids import EntryId, Incarnation
from masticdeck.protocol.generated.orders_pb2 import (
    OrderField,
    OrderHandOverRequest,
    OrderOutcome,
    OrderRecordMessage,
    OrderReply,
)


def encode_outcome(
    state: OrderState, answer: RecordedAnswer | None, detail: str = ""
) -> OrderOutcome:
    """Return the message of an outcome."""
    message = OrderOutcome(state=state.value, detail=detail)
    if answer is not None:
        message.status = answer.status
        message.body = answer.body
        message.truncated = answer.truncated
        message.fields.extend(
            OrderField(name=name, value=value) for name, value in answer.fields
        )
    return message


def decode_answer(message: OrderOutcome) -> RecordedAnswer | None:
    """Return the answer in an outcome, or None when it has none."""
    if message.state != OrderState.ANSWERED.value:
        return None
    return RecordedAnswer(
        status=message.status,
        fields=tuple((field.name, field.value) for field in message.fields),
        body=message.body,
        truncated=message.truncated,
    )


def encode_answer(answer: RecordedAnswer | None) -> OrderReply:
    """Return the reply to a judgement or a relayed order."""
    if answer is None:
        return OrderReply(settled=False)
    return OrderReply(settled=True, outcome=encode_outcome(OrderState.ANSWERED, answer))


def encode_error(error: MasticdeckError) -> OrderReply:
    """Return the reply that carries an error."""
    return OrderReply(
        settled=True,
        error_code=error.code,
        detail=error.detail,
        retry_after_s=error.retry_after_s or 0.0,
    )


def decode_reply(reply: OrderReply) -> RecordedAnswer | None:
    """Return the answer in a reply, None when unsettled, or raise its error."""
    if not reply.settled:
        return None
    if reply.error_code:
        kind = ORDER_ERRORS.get(reply.error_code, OrderOutcomeUnknown)
        raise kind(reply.detail, retry_after_s=reply.retry_after_s or None)
    return decode_answer(reply.outcome)


def encode_hand_over(part: HandOver) -> OrderHandOverRequest:
    """Return the message of one part of a hand-over."""
    home, incarnation = part.life
    return OrderHandOverRequest(
        home=home,
        incarnation=incarnation,
        part=part.part,
        last=part.last,
        expired_through=part.expired_through,
        records=[
            OrderRecordMessage(
                key=record.key,
                digest=record.digest,
                outcome=encode_outcome(record.state, record.answer, record.detail),
            )
            for record in part.records
        ],
    )


def decode_hand_over(message: OrderHandOverRequest) -> HandOver:
    """Return one part of a hand-over."""
    return HandOver(
        life=(EntryId(message.home), Incarnation(message.incarnation)),
        part=message.part,
        last=message.last,
        expired_through=message.expired_through,
        records=tuple(decode_record(record) for record in message.records),
    )


def decode_record(message: OrderRecordMessage) -> OrderRecord:
    """Return a record; one that was still running is final and unknown."""
    state = OrderState(message.outcome.state)
    return OrderRecord(
        key=message.key,
        digest=message.digest,
        generation=parse_key(message.key).generation,
        state=OrderState.UNKNOWN if state is OrderState.RUNNING else state,
        answer=decode_answer(message.outcome),
        detail=message.outcome.detail,
    )
