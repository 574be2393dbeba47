"""A transport whose close delivers what was written first.

A server of a library closes its transport whenever it has done with a connection, and
knows nothing of what the caller has read. It gets this transport in place of the real
one, so that each of its closes takes the way of the table of states.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any, final

from masticdeck.clock import boottime
from masticdeck.transport.connection_end.ending import LINGER_S, ConnectionEnding
from masticdeck.transport.connection_end.states import ConnectionEvent


@final
class EndingTransport:
    """Passes everything on but writes and ends.

    >>> ending = ConnectionEnding(lambda: 5.0)  # doctest: +SKIP
    >>> transport = EndingTransport(real, ending)  # doctest: +SKIP
    >>> transport.write(answer)  # doctest: +SKIP
    >>> transport.close()  # doctest: +SKIP
    >>> transport.is_closing()  # doctest: +SKIP
    True
    """

    def __init__(self, transport: asyncio.Transport, ending: ConnectionEnding) -> None:
        self.transport = transport
        self.ending = ending
        ending.transport = transport

    def __getattr__(self, name: str) -> Any:
        """Return what the real transport has."""
        return getattr(self.transport, name)

    def write(self, data: bytes) -> None:
        """Write bytes; none follow the last answer."""
        if self.ending.life.may_write:
            self.transport.write(data)
            self.ending.delivery.record_write(boottime())

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Write several parts."""
        self.write(b"".join(parts))

    def is_closing(self) -> bool:
        """Return whether no more answers are sent."""
        return not self.ending.life.may_write or self.transport.is_closing()

    def close(self) -> None:
        """End the connection once its caller has what was written.

        A caller that got an answer just now may have sent its next request, which would
        reset a closed connection.
        """
        if not self.ending.life.may_write:
            return
        delivery = self.ending.delivery
        is_recent = boottime() - delivery.written_at < LINGER_S
        if is_recent or self.ending.undelivered_bytes():
            self.ending.take(ConnectionEvent.LAST_ANSWER_BEGUN)
            self.transport.resume_reading()
            self.ending.take(ConnectionEvent.LAST_ANSWER_WRITTEN)
        else:
            self.ending.take(ConnectionEvent.IDLE)

    def abort(self) -> None:
        """Close the connection of a caller that has left."""
        self.ending.take(ConnectionEvent.CALLER_LEFT)

    def cut(self) -> None:
        """Break the answer under way off, behind those that are whole."""
        if self.ending.life.may_write:
            self.transport.resume_reading()
        self.ending.take(ConnectionEvent.ANSWER_BROKEN)
