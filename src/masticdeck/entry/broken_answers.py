"""Log lines and the counter of broken answers of instances."""

from __future__ import annotations

import logging

from masticdeck.coordination.slots import Slot
from masticdeck.events import Code, EventLog
from masticdeck.metrics import Metrics
from masticdeck.protocol.backend import BackendBroken
from masticdeck.protocol.call import Call


def record_broken_answer(
    events: EventLog, metrics: Metrics, call: Call, slot: Slot, error: BackendBroken
) -> None:
    """Log and count an answer that broke off or is invalid."""
    metrics.count("broken_responses")
    events.emit(
        Code.REQUEST_FAILED,
        level=logging.WARNING,
        request=call.id,
        instance=slot.instance,
        end="broken",
        error=error.detail,
    )
