"""Kept connections to instances, by incarnation."""

from __future__ import annotations

import asyncio

from masticdeck.clock import boottime
from masticdeck.ids import InstanceId
from masticdeck.state.fleet import FleetInstance
from masticdeck.transport.http1_client import InstanceConnection, connect

CONNECT_TIMEOUT_S = 0.6
"""Longest wait for a connection: several round trips between regions."""

UNSTATED_IDLE_S = 30.0
"""How long a connection is kept when the instance states no idle time.

The instance's own close removes it before, and a request that meets the close
on its way is sent again.
"""

IDLE_PART = 0.85
"""Part of an instance's idle time after which a connection is not used."""

UNSAFE_IDLE_S = 3.0
"""Idle time after which a connection is not used for an unsafe request.

A connection that the instance has dropped is reset by what is sent next, and
an unsafe request cannot be sent again then.
"""

SWEEP_S = 1.0
"""Seconds between closings of connections that were idle for too long."""

ConnectionKey = tuple[InstanceId, int, str, int]


class InstancePool:
    """Connections to the instances, the most recently used first."""

    def __init__(self) -> None:
        self.idle: dict[ConnectionKey, list[InstanceConnection]] = {}
        self.sweeper: asyncio.Task[None] | None = None
        self.opened = 0

    async def start(self) -> None:
        """Begin to close connections that nobody uses."""
        self.sweeper = asyncio.create_task(self.sweep())

    async def stop(self) -> None:
        """Close every idle connection."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connections in list(self.idle.values()):
            for connection in list(connections):
                connection.close()
        self.idle.clear()

    def take(
        self, instance: FleetInstance, *, repeatable: bool
    ) -> InstanceConnection | None:
        """Return an idle connection that is likely still open, or None."""
        connections = self.idle.get(connection_key(instance), [])
        while connections:
            connection = connections[-1]
            if not repeatable and idle_s(connection) > UNSAFE_IDLE_S:
                return None
            connections.pop()
            connection.on_idle_end = None
            if not connection.closed and is_fresh(connection):
                return connection
            connection.close()
        return None

    async def open(self, instance: FleetInstance) -> InstanceConnection:
        """Open a new connection; raises OSError or TimeoutError."""
        self.opened += 1
        return await connect(instance.host, instance.port, timeout_s=CONNECT_TIMEOUT_S)

    def give_back(
        self, instance: FleetInstance, connection: InstanceConnection
    ) -> None:
        """Keep a connection whose exchange has ended."""
        connections = self.idle.setdefault(connection_key(instance), [])
        connection.on_idle_end = lambda ended: discard(connections, ended)
        connections.append(connection)

    def drop(self, instance: FleetInstance) -> None:
        """Close the idle connections to an incarnation that is gone."""
        for connection in self.idle.pop(connection_key(instance), []):
            connection.on_idle_end = None
            connection.close()

    async def sweep(self) -> None:
        """Close connections before the instance does."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for connections in self.idle.values():
                for connection in list(connections):
                    if not is_fresh(connection):
                        discard(connections, connection)
                        connection.on_idle_end = None
                        connection.close()


def connection_key(instance: FleetInstance) -> ConnectionKey:
    """Return what tells the connections of two incarnations apart."""
    return instance.id, instance.born_ms, instance.host, instance.port


def idle_s(connection: InstanceConnection) -> float:
    """Return the seconds since a connection was last used."""
    return boottime() - connection.idle_since


def is_fresh(connection: InstanceConnection) -> bool:
    """Return whether the instance has likely not closed a connection yet."""
    limit = connection.idle_limit_s
    limit = UNSTATED_IDLE_S if limit is None else limit
    return idle_s(connection) < IDLE_PART * limit


def discard(
    connections: list[InstanceConnection], connection: InstanceConnection
) -> None:
    """Remove a connection if it is still in the list."""
    if connection in connections:
        connections.remove(connection)
