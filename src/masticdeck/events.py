"""Numbered events: the catalogue, a bounded ring per process, and logging.

Every event has a code in ``Code``; ``EventLog.emit`` stamps it with the hybrid
clock, keeps it in the ring and writes it through ``logging``. Subjects such as
``request``, ``proposal``, ``instance`` and ``zone`` are keyword fields, so that
the time line can filter on them.
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import final

from masticdeck.clock import HybridClock

logger = logging.getLogger("masticdeck")

RING_EVENTS = 20_000


class Code(Enum):
    """Event numbers with their meaning; documented in ``docs/EVENTS.md``.

    Ranges: 1xx process, 2xx membership, 3xx configuration, 4xx shares,
    5xx requests, 6xx orders, 7xx drains, 8xx shifts, 9xx platform.
    """

    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102
    COMPONENT_FAILED = 103
    SETTINGS_RELOADED = 104
    SETTINGS_REJECTED = 105
    MEMBER_CHANGED = 200
    MEMBER_REFUTED = 201
    OWNER_ACQUIRED = 210
    OWNER_LOST = 211
    OWNER_STORE_ERROR = 212
    ENTRY_SEEN = 220
    ENTRY_GONE = 221
    ENTRY_REGISTERED = 222
    ENTRY_UNREGISTERED = 223
    PROPOSAL_FILED = 300
    PROPOSAL_ACCEPTED = 301
    PROPOSAL_VETOED = 302
    PROPOSAL_WITHDRAWN = 303
    PROPOSAL_REFUSED = 304
    VETO_WINDOW_OPENED = 305
    VETO_WINDOW_ENDED = 306
    VERSION_IN_FORCE = 310
    VERSION_BEHIND = 311
    STORE_BEHIND = 312
    VERSION_DISPUTED = 313
    VERSION_RESTORED = 314
    OPERATOR_REQUEST = 320
    TOKENS_RELOADED = 321
    TOKENS_INVALID = 322
    SHARES_TAKEN_OVER = 400
    SHARES_SETTLED = 401
    SHARES_STOPPED = 402
    SHARES_EXPIRED = 403
    SHARES_CONFLICT = 404
    SHARES_OUTLAST_STORE = 405
    SHARES_JOINED = 406
    SHARES_LAPSED = 407
    QUOTAS_ALLOCATED = 430
    QUOTAS_UNWRITTEN = 431
    QUOTA_REFUSALS = 432
    REQUEST_RECEIVED = 500
    REQUEST_SENT = 501
    REQUEST_ANSWERED = 502
    REQUEST_REFUSED = 503
    REQUEST_UNKNOWN = 504
    REQUEST_REPEATED = 505
    REQUEST_ABANDONED = 506
    REQUEST_CUT = 507
    REQUEST_FAILED = 508
    DIRECTORY_ANSWERED = 510
    TRIP_MEASURED = 520
    CALLER_MEMORY_SHORT = 530
    INSTANCE_EJECTED = 550
    INSTANCE_RESTORED = 551
    INSTANCE_SHED = 552
    LOAD_REPORT_INVALID = 553
    INSTANCE_RESTING = 554
    NOTICE_INVALID = 555
    INSTANCE_SEEN = 560
    INSTANCE_GONE = 561
    INSTANCE_MISSING = 562
    INSTANCE_LEAVING = 565
    INSTANCE_COLD = 566
    ZONE_RETURN_UNRECORDED = 567
    EVACUATION_BEGUN = 563
    EVACUATION_ENDED = 564
    ORDER_STARTED = 600
    ORDER_FINISHED = 601
    ORDER_REPLAYED = 602
    ORDER_RELAYED = 603
    ORDER_JUDGED = 604
    ORDER_SEALED = 605
    ORDER_INTENDED = 606
    ORDER_WITNESSED = 607
    WITNESS_CHOSEN = 610
    ORDERS_CLOSED = 611
    ORDERS_HANDED_OVER = 612
    ORDERS_ADOPTED = 613
    DRAIN_SEEN = 700
    DRAIN_ENDED = 701
    ENTRY_LEAVING = 710
    ENTRY_FINISHED = 711
    REQUESTS_CUT = 712
    KEYS_RELOADED = 720
    KEYS_INVALID = 721
    SHIFT_STEPPED = 800
    SHIFT_FOLLOWED = 801
    SHIFT_HELD = 802
    SHIFT_CONFLICT = 803
    SHIFT_CLAIMED = 804
    STORE_UNAVAILABLE = 900
    STORE_AVAILABLE = 901
    RECORD_INVALID = 910
    FEED_LOADED = 911
    FEED_FOLLOWING = 912
    FEED_FAILED = 913
    WORKSPACES_OMITTED = 914
    STORE_ERA_BEGUN = 920
    STORE_ERA_IGNORED = 921
    RECORD_LAPSED = 922
    RECORD_HELD = 923
    FEED_RECALLED = 924
    WARMTH_UNCONFIRMED = 930
    WARMTH_CONFIRMED = 931


@final
@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened in one process at one hybrid stamp."""

    stamp: int
    process: str
    code: Code
    fields: dict[str, str] = field(default_factory=dict)


class EventLog:
    """Ring of the process's latest events, newest last."""

    def __init__(
        self, process: str, clock: HybridClock, *, capacity: int = RING_EVENTS
    ) -> None:
        self.process = process
        self.clock = clock
        self.ring: deque[Event] = deque(maxlen=capacity)

    def emit(self, code: Code, *, level: int = logging.INFO, **fields: object) -> Event:
        """Record an event with string-valued subjects and log it."""
        texts: dict[str, str] = fields  # type: ignore[assignment]
        for name, value in fields.items():
            if type(value) is not str:
                texts[name] = str(value)
        event = Event(self.clock.stamp(), self.process, code, texts)
        self.ring.append(event)
        if logger.isEnabledFor(level):
            logger.log(
                level,
                "%s %s",
                code.name.lower(),
                " ".join(f"{name}={value}" for name, value in texts.items()),
                extra={"event": code.value, "fields": texts, "stamp": event.stamp},
            )
        return event
