"""Kept connections to instances, by incarnation."""

from __future__ import annotations

import asyncio

from masticdeck.clock import boottime
from masticdeck.ids import InstanceId
from masticdeck.state.fleet import FleetInstance
from masticdeck.transport.http1_client import InstanceConnection, connect

CONNECT_TIMEOUT_S = 0.6
"""Longest wait for a connection: several round trips between regions."""

UNSTATED_IDLE_S = 4.0
"""How long a connection is kept when the instance states no idle time."""

IDLE_PART = 0.7
"""Part of an instance's idle time after which a connection is not used."""

UNSAFE_IDLE_PART = 0.4
"""The same for requests that may not be repeated after a reset."""

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
        part = IDLE_PART if repeatable else UNSAFE_IDLE_PART
        connections = self.idle.get(connection_key(instance), [])
        while connections:
            connection = connections.pop()
            connection.on_idle_end = None
            if not connection.closed and is_fresh(connection, part):
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
                    if not is_fresh(connection, IDLE_PART):
                        discard(connections, connection)
                        connection.on_idle_end = None
                        connection.close()


def connection_key(instance: FleetInstance) -> ConnectionKey:
    """Return what tells the connections of two incarnations apart."""
    return instance.id, instance.born_ms, instance.host, instance.port


def is_fresh(connection: InstanceConnection, part: float) -> bool:
    """Return whether a connection was idle for less than its idle time."""
    limit = connection.idle_limit_s
    idle = boottime() - connection.idle_since
    return idle < part * (UNSTATED_IDLE_S if limit is None else limit)


def discard(
    connections: list[InstanceConnection], connection: InstanceConnection
) -> None:
    """Remove a connection if it is still in the list."""
    if connection in connections:
        connections.remove(connection)
