"""Departures of callers whose connections are not read."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator

import pytest

from masticdeck.transport.departures import DepartureWatch


class StoppedTransport:
    """A transport that reads nothing."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closing = False

    def get_extra_info(self, name: str) -> socket.socket:
        """Return the socket."""
        assert name == "socket"
        return self.sock

    def is_closing(self) -> bool:
        """Return whether the socket has been closed."""
        return self.closing

    def close(self) -> None:
        """Close the socket at once, as libuv does."""
        self.closing = True
        self.sock.close()


@pytest.fixture
async def watch() -> AsyncIterator[DepartureWatch]:
    watch = DepartureWatch()
    watch.start()
    yield watch
    watch.stop()


def open_pair() -> tuple[StoppedTransport, socket.socket]:
    """Return a connection that is not read, and its other side."""
    ours, theirs = socket.socketpair()
    return StoppedTransport(ours), theirs


async def test_departure_behind_unread_bytes_is_told_once(watch):
    transport, other = open_pair()
    told: list[str] = []
    watch.watch(transport, lambda: told.append("left"))
    other.send(b"unread")
    await asyncio.sleep(0.05)
    assert told == []
    other.close()
    await asyncio.sleep(0.05)
    assert told == ["left"]
    watch.unwatch(transport)
    transport.close()


async def test_departure_before_the_watch_is_told(watch):
    transport, other = open_pair()
    told: list[str] = []
    other.close()
    watch.watch(transport, lambda: told.append("left"))
    await asyncio.sleep(0.05)
    assert told == ["left"]
    transport.close()


async def test_connection_may_be_watched_again(watch):
    transport, other = open_pair()
    told: list[str] = []
    for turn in range(3):
        watch.watch(transport, lambda turn=turn: told.append(turn))
        watch.watch(transport, lambda turn=turn: told.append(turn))
        if turn < 2:
            watch.unwatch(transport)
            watch.unwatch(transport)
    other.close()
    await asyncio.sleep(0.05)
    assert told == [2]
    transport.close()


async def test_new_connection_with_the_descriptor_of_a_closed_one_is_watched(watch):
    """Guards against a connection that loses its watch to the end of another one."""
    old, old_other = open_pair()
    new, new_other = open_pair()
    told: list[str] = []
    watch.watch(old, lambda: told.append("old"))
    descriptor = old.sock.fileno()
    old.close()
    os.dup2(new.sock.fileno(), descriptor)
    new.sock.close()
    new.sock = socket.socket(fileno=descriptor)
    watch.watch(new, lambda: told.append("new"))
    watch.unwatch(old)
    old_other.close()
    new_other.close()
    await asyncio.sleep(0.05)
    assert told == ["new"]
    watch.unwatch(new)
    new.close()


async def test_nothing_is_watched_after_the_stop():
    watch = DepartureWatch()
    watch.start()
    transport, other = open_pair()
    told: list[str] = []
    watch.watch(transport, lambda: told.append("left"))
    watch.stop()
    watch.watch(transport, lambda: told.append("left"))
    watch.unwatch(transport)
    other.close()
    await asyncio.sleep(0.05)
    assert told == []
    transport.close()
