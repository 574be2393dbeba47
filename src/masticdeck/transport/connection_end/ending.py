"""Ends a caller's connection by the table of its states; both programs use it.

A connection whose answers are all written is watched until its caller has them:
``check`` asks the kernel, at intervals that grow, since an event loop does not tell.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

from masticdeck.clock import boottime
from masticdeck.transport.connection_end.delivery import Delivery
from masticdeck.transport.connection_end.states import (
    Action,
    ConnectionEvent,
    ConnectionLife,
    ConnectionState,
)
from masticdeck.transport.sockets import set_reset_on_close

LINGER_S = 3.0
"""How long a caller may take no bytes and not close after the last answer.

Bytes that arrive meanwhile are read and dropped.
"""

MIN_CHECK_S = 0.01
MAX_CHECK_S = 0.2
"""Seconds between two checks of an ending connection, which double up to this."""


@final
class ConnectionEnding:
    """The end of one connection.

    ``stall_s`` returns the time in seconds for which a caller may take no bytes of what
    the process still holds. Once the connection is ending, its owner drops what
    arrives, and calls ``end`` when the connection is lost.
    """

    def __init__(self, stall_s: Callable[[], float]) -> None:
        now = boottime()
        self.life = ConnectionLife()
        self.delivery = Delivery(now)
        self.stall_s = stall_s
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.check_s = MIN_CHECK_S
        self.began_at = now

    def undelivered_bytes(self) -> int:
        """Return the bytes that were written and are not with the caller."""
        if self.transport is None:
            return 0
        return self.delivery.update(self.transport, boottime())

    def take(self, event: ConnectionEvent) -> None:
        """Take in an event and do what follows from it."""
        was_ending = self.life.is_ending
        self.perform(self.life.apply(event))
        if self.life.is_ending and not was_ending:
            self.began_at = boottime()
            self.check()

    def perform(self, action: Action) -> None:
        """Do to the socket what a transition asks for."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if action is Action.END_SENDING:
            transport.write_eof()
            self.delivery.record_write(boottime())
        elif action is Action.CLOSE:
            transport.close()
        elif action is Action.ABORT:
            transport.abort()
        elif action is Action.RESET:
            set_reset_on_close(transport, True)
            transport.abort()

    def check(self) -> None:
        """Look how far the delivery has come, and look again later."""
        self.timer = None
        now = boottime()
        undelivered = self.undelivered_bytes()
        delivery = self.delivery
        if not delivery.held_bytes:
            self.take(ConnectionEvent.FLUSHED)
        if not undelivered and delivery.kernel_bytes is not None:
            self.take(ConnectionEvent.DELIVERED)
        waited_s = now - max(self.began_at, delivery.progressed_at)
        if delivery.held_bytes and waited_s > self.stall_s():
            self.take(ConnectionEvent.STALLED)
        if not delivery.held_bytes and waited_s > LINGER_S:
            self.take(ConnectionEvent.LINGER_TIME_OVER)
        if self.life.is_ending:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.check_s, self.check)
            self.check_s = min(MAX_CHECK_S, 2 * self.check_s)

    def end(self) -> None:
        """Forget a connection that is lost."""
        self.life.state = ConnectionState.CLOSED
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
