"""The states of a caller's connection, and what each event does to them.

Whatever ends a connection is an event, and the table below has its next state and the
action that leads there. Three promises follow from it:

- An answer that was written whole is delivered before the connection closes, as long as
  its caller goes on reading.
- No bytes follow the last answer, nor a part of an answer that broke off.
- An answer that broke off ends in a reset, once what was written before is delivered.

>>> life = ConnectionLife()
>>> life.apply(ConnectionEvent.LAST_ANSWER_BEGUN)
<Action.NONE: 'none'>
>>> life.apply(ConnectionEvent.LAST_ANSWER_WRITTEN), life.state
(<Action.NONE: 'none'>, <ConnectionState.FLUSHING: 'flushing'>)
>>> life.apply(ConnectionEvent.FLUSHED), life.state
(<Action.END_SENDING: 'end sending'>, <ConnectionState.LINGERING: 'lingering'>)
"""

from __future__ import annotations

from enum import Enum
from typing import final


class ConnectionState(Enum):
    """How far a caller's connection has come."""

    OPEN = "open"
    """Requests are read and answered."""

    REJECTING = "rejecting"
    """A rejection waits for its turn behind other answers; nothing more is parsed."""

    LAST_ANSWER = "last answer"
    """The last answer is under way, and its head may have told so."""

    FLUSHING = "flushing"
    """All answers are written, and the process still holds a part of them."""

    LINGERING = "lingering"
    """The sending side has ended; what arrives is read and dropped.

    Closing a socket with unread bytes would reset it, and the caller would lose what is
    still on its way.
    """

    CUTTING = "cutting"
    """An answer broke off; what was written before is delivered, and then reset."""

    CLOSED = "closed"


class ConnectionEvent(Enum):
    """What happens to a connection."""

    REQUEST_REJECTED = "request rejected"
    """What follows a request cannot be read, or is not to be."""

    LAST_ANSWER_BEGUN = "last answer begun"
    """An answer is to tell its caller that the connection ends."""

    LAST_ANSWER_WRITTEN = "last answer written"
    ANSWER_BROKEN = "answer broken"
    """An answer ends before it is whole."""

    FLUSHED = "flushed"
    """The kernel has taken all bytes."""

    DELIVERED = "delivered"
    """The caller's side has acknowledged all bytes."""

    IDLE = "idle"
    """Nothing is under way, and the idle time or the time of a stop is over."""

    STALLED = "stalled"
    """The caller takes no bytes of an answer for longer than it may."""

    LINGER_TIME_OVER = "linger time over"
    """The caller neither takes bytes nor closes after the last answer."""

    MEMORY_SHORT = "memory short"
    """What the process holds for the caller has to be freed at once."""

    CALLER_LEFT = "caller left"
    PROCESS_ENDS = "process ends"


class Action(Enum):
    """What a transition does to the socket."""

    NONE = "none"
    END_SENDING = "end sending"
    CLOSE = "close"
    ABORT = "abort"
    """Close, and drop what the process holds; the kernel delivers what it has."""

    RESET = "reset"


Transition = tuple[ConnectionState, Action]

S, E = ConnectionState, ConnectionEvent

TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], Transition] = {
    (S.OPEN, E.LAST_ANSWER_BEGUN): (S.LAST_ANSWER, Action.NONE),
    (S.OPEN, E.REQUEST_REJECTED): (S.REJECTING, Action.NONE),
    (S.OPEN, E.ANSWER_BROKEN): (S.CUTTING, Action.NONE),
    (S.OPEN, E.IDLE): (S.CLOSED, Action.CLOSE),
    (S.OPEN, E.STALLED): (S.CLOSED, Action.ABORT),
    (S.OPEN, E.MEMORY_SHORT): (S.CLOSED, Action.ABORT),
    (S.OPEN, E.CALLER_LEFT): (S.CLOSED, Action.ABORT),
    (S.OPEN, E.PROCESS_ENDS): (S.LINGERING, Action.END_SENDING),
    (S.REJECTING, E.LAST_ANSWER_BEGUN): (S.LAST_ANSWER, Action.NONE),
    (S.REJECTING, E.ANSWER_BROKEN): (S.CUTTING, Action.NONE),
    (S.REJECTING, E.STALLED): (S.CLOSED, Action.ABORT),
    (S.REJECTING, E.MEMORY_SHORT): (S.CLOSED, Action.ABORT),
    (S.REJECTING, E.CALLER_LEFT): (S.CLOSED, Action.ABORT),
    (S.REJECTING, E.PROCESS_ENDS): (S.CLOSED, Action.CLOSE),
    (S.LAST_ANSWER, E.LAST_ANSWER_WRITTEN): (S.FLUSHING, Action.NONE),
    (S.LAST_ANSWER, E.ANSWER_BROKEN): (S.CUTTING, Action.NONE),
    (S.LAST_ANSWER, E.STALLED): (S.CLOSED, Action.ABORT),
    (S.LAST_ANSWER, E.MEMORY_SHORT): (S.CLOSED, Action.ABORT),
    (S.LAST_ANSWER, E.CALLER_LEFT): (S.CLOSED, Action.ABORT),
    (S.LAST_ANSWER, E.PROCESS_ENDS): (S.CLOSED, Action.CLOSE),
    (S.FLUSHING, E.FLUSHED): (S.LINGERING, Action.END_SENDING),
    (S.FLUSHING, E.STALLED): (S.CLOSED, Action.ABORT),
    (S.FLUSHING, E.MEMORY_SHORT): (S.CLOSED, Action.ABORT),
    (S.FLUSHING, E.CALLER_LEFT): (S.CLOSED, Action.ABORT),
    (S.FLUSHING, E.PROCESS_ENDS): (S.LINGERING, Action.END_SENDING),
    (S.LINGERING, E.LINGER_TIME_OVER): (S.CLOSED, Action.CLOSE),
    (S.LINGERING, E.MEMORY_SHORT): (S.CLOSED, Action.ABORT),
    (S.LINGERING, E.CALLER_LEFT): (S.CLOSED, Action.CLOSE),
    (S.CUTTING, E.DELIVERED): (S.CLOSED, Action.RESET),
    (S.CUTTING, E.STALLED): (S.CLOSED, Action.ABORT),
    (S.CUTTING, E.LINGER_TIME_OVER): (S.CLOSED, Action.RESET),
    (S.CUTTING, E.MEMORY_SHORT): (S.CLOSED, Action.ABORT),
    (S.CUTTING, E.CALLER_LEFT): (S.CLOSED, Action.ABORT),
    (S.CUTTING, E.PROCESS_ENDS): (S.CLOSED, Action.CLOSE),
}
"""Next state and action; an event that has no row changes nothing."""

ENDING_STATES = frozenset({S.FLUSHING, S.LINGERING, S.CUTTING})
"""States in which nothing more is written, and the rest is delivered."""

WRITING_STATES = frozenset({S.OPEN, S.REJECTING, S.LAST_ANSWER})


@final
class ConnectionLife:
    """The state of one connection."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = ConnectionState.OPEN

    def apply(self, event: ConnectionEvent) -> Action:
        """Take in an event and return what is to be done to the socket."""
        state, action = TRANSITIONS.get((self.state, event), (self.state, Action.NONE))
        self.state = state
        return action

    @property
    def is_ending(self) -> bool:
        """Return whether the answers are written, and their delivery is awaited."""
        return self.state in ENDING_STATES

    @property
    def may_write(self) -> bool:
        """Return whether an answer may still be written."""
        return self.state in WRITING_STATES

    @property
    def reads_requests(self) -> bool:
        """Return whether requests are read; otherwise what arrives is dropped."""
        return self.state is ConnectionState.OPEN
