"""Callers that leave while nothing is read from their connections.

A connection from which nothing is read shows neither its end nor a reset to the event
loop, since the end lies behind the bytes that are not read. The kernel knows of it.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress


class DepartureWatch:
    """Tells at once when a caller closes or resets a connection that is watched.

    A caller that ends only its sending side counts as one that has left. An end
    behind more bytes than the kernel takes without being read is not seen.

    >>> watch = DepartureWatch()
    >>> watch.start()  # doctest: +SKIP
    >>> watch.watch(transport, transport.abort)  # doctest: +SKIP
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.watched: dict[int, asyncio.BaseTransport] = {}
        self.callbacks: dict[asyncio.BaseTransport, Callable[[], None]] = {}
        self.loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Begin to wait for departures in the running event loop."""
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.epoll.fileno(), self.take_departures)

    def stop(self) -> None:
        """Watch nothing more."""
        if self.loop is not None:
            self.loop.remove_reader(self.epoll.fileno())
            self.loop = None
        self.epoll.close()
        self.watched.clear()
        self.callbacks.clear()

    def watch(
        self, transport: asyncio.BaseTransport, on_departure: Callable[[], None]
    ) -> None:
        """Call ``on_departure`` once, when the caller has left, until ``unwatch``."""
        sock = transport.get_extra_info("socket")
        if sock is None or transport.is_closing() or self.epoll.closed:
            return
        if transport not in self.callbacks:
            descriptor = sock.fileno()
            self.epoll.register(descriptor, select.EPOLLRDHUP)
            self.watched[descriptor] = transport
        self.callbacks[transport] = on_departure

    def unwatch(self, transport: asyncio.BaseTransport) -> None:
        """Watch a connection no longer; also to be called once it is lost."""
        if self.callbacks.pop(transport, None) is None:
            return
        # The descriptor of a closed transport may already belong to another one.
        if not transport.is_closing():
            self.forget(transport.get_extra_info("socket").fileno())

    def take_departures(self) -> None:
        """Pass on what the kernel tells."""
        for descriptor, _ in self.epoll.poll(0):
            transport = self.watched.get(descriptor)
            self.forget(descriptor)
            if transport is not None and transport in self.callbacks:
                self.callbacks.pop(transport)()

    def forget(self, descriptor: int) -> None:
        """Remove a descriptor, unless its end has removed it."""
        self.watched.pop(descriptor, None)
        with suppress(OSError):
            self.epoll.unregister(descriptor)
