"""The application object: owns components, starts them and cleans them up."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from masticdeck.events import Code, EventLog

COMPONENT_STOP_S = 5.0

RESTART_DELAY_S = 1.0
"""Seconds from the failure of a background task to its next start."""


class Component(Protocol):
    """A part of a process with a beginning and an end."""

    async def start(self) -> None:
        """Acquire what the component needs; called in the order of adding."""

    async def stop(self) -> None:
        """Release everything; called in the reverse order, once."""


class Application:
    """Life cycle of a process.

    Components start in the order in which they were added and stop in the
    reverse order. A component that fails to stop, or takes longer than
    ``COMPONENT_STOP_S`` seconds, is logged, and the others are still stopped.
    ``before_stop`` holds what a planned stop does first, ``on_reload`` what is
    done when the settings have changed.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.components: list[Component] = []
        self.started: list[Component] = []
        self.before_stop: list[Callable[[], Awaitable[None]]] = []
        self.on_reload: list[Callable[[], None]] = []

    def add(self, component: Component) -> None:
        """Append a component."""
        self.components.append(component)

    async def start(self) -> None:
        """Start every component, or stop the started ones and raise."""
        try:
            for component in self.components:
                await component.start()
                self.started.append(component)
        except BaseException:
            await self.stop()
            raise
        self.events.emit(Code.PROCESS_STARTED)

    async def finish(self) -> None:
        """Let the process finish its work before a planned stop."""
        for hook in self.before_stop:
            await hook()

    def reload(self) -> None:
        """Let the components take in changed settings."""
        for hook in self.on_reload:
            hook()

    async def stop(self) -> None:
        """Stop the started components in reverse order."""
        self.events.emit(Code.PROCESS_STOPPING)
        while self.started:
            component = self.started.pop()
            try:
                async with asyncio.timeout(COMPONENT_STOP_S):
                    await component.stop()
            except Exception as error:
                self.events.emit(
                    Code.COMPONENT_FAILED,
                    level=logging.ERROR,
                    component=type(component).__name__,
                    error=repr(error),
                )
        self.events.emit(Code.PROCESS_STOPPED)


class BackgroundTask:
    """A component that is one task; a subclass says in ``run`` what it does.

    An unexpected error must not end its work for the rest of the process: it is
    logged, and ``run`` is called again after ``RESTART_DELAY_S``.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin the task; does not wait for anything that it does."""
        self.task = asyncio.create_task(self.run_supervised())

    async def stop(self) -> None:
        """Cancel the task."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def run_supervised(self) -> None:
        """Call ``run`` until it returns or is cancelled."""
        while True:
            try:
                return await self.run()
            except Exception as error:
                self.events.emit(
                    Code.COMPONENT_FAILED,
                    level=logging.ERROR,
                    component=type(self).__name__,
                    error=repr(error),
                )
            await asyncio.sleep(RESTART_DELAY_S)

    async def run(self) -> None:
        """Work until the task is cancelled."""
        raise NotImplementedError
