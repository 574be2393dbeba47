"""The accepted configuration in force on this node; its version never decreases.

A node installs a configuration only if its version is higher than the one in
force. After its start it refuses requests until it is initialized, that is,
until the store or a peer that is itself initialized has answered. If its
process was paused for some seconds, it refuses requests again until one of them
answers. Callers send the version they have seen; a node with a lower version
catches up before it serves them.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from contextlib import suppress
from typing import Protocol, final

from masticdeck.clock import boottime
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.ids import Outcome, Version
from masticdeck.node import Node
from masticdeck.state.lists import EMPTY, Configuration, Lists

MAX_PREVIOUS_LISTS = 8
CATCH_UP_TIMEOUT_S = 0.5
MIN_CATCH_UP_INTERVAL_S = 0.1
MAX_TICK_GAP_S = 3.0
MAX_VERSION = 1 << 53
MAX_VERSION_DIGITS = 16


class ConfigurationUnknown(MasticdeckError):
    """Neither the store nor an initialized peer has answered this entry yet."""

    code = "MD4010"
    title = "configuration in force not known yet"
    remedy = "use another entry, or retry after the time in Retry-After"
    status = 503
    outcome = Outcome.NOT_RUN


class VersionBehind(MasticdeckError):
    """The version in force here is lower than the one the caller has seen."""

    code = "MD4011"
    title = "this entry is behind the version that the caller has seen"
    remedy = "use another entry, or retry after the time in Retry-After"
    status = 503
    outcome = Outcome.NOT_RUN


class VersionHeaderInvalid(MasticdeckError):
    """The caller's version is not a decimal number of at most 16 digits."""

    code = "MD4012"
    title = "Masticdeck-Version is not a version number"
    remedy = "send the value from the latest response, or omit the header"
    status = 400
    outcome = Outcome.NOT_RUN


class ConfigurationSource(Protocol):
    """A source of newer configurations, such as the store or the peers."""

    async def pull(self) -> bool:
        """Install the source's version if it is newer; return whether it answered."""


@final
class Rollout:
    """The configuration in force on this node.

    ``is_initialized`` is false until the store or an initialized peer has
    answered; ``may_be_stale`` is true from a pause of this process until one of
    them answers again. ``sources`` are queried when this node has to catch up.
    ``previous_lists`` are the bases from which peers can receive a delta. Calls
    the hook ``version_in_force`` at each new version.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.version = Version(0)
        self.configuration: Configuration | None = None
        self.lists: Lists = EMPTY
        self.is_initialized = False
        self.may_be_stale = False
        self.last_tick_at = boottime()
        self.previous_lists: OrderedDict[Version, Lists] = OrderedDict()
        self.sources: list[ConfigurationSource] = []
        self.changed = asyncio.Event()
        self.catch_up_task: asyncio.Task[None] | None = None
        self.catch_up_started_at = 0.0

    @property
    def digest(self) -> str:
        """Return the digest of the lists in force."""
        return self.lists.digest

    def mark_current(self) -> None:
        """Record that the store or an initialized peer has answered."""
        if not self.is_initialized or self.may_be_stale:
            self.is_initialized = True
            self.may_be_stale = False
            self.notify()

    def tick(self) -> None:
        """Record that this process runs; a long gap between calls is a pause."""
        now = boottime()
        if now - self.last_tick_at > MAX_TICK_GAP_S:
            self.may_be_stale = True
        self.last_tick_at = now

    def can_serve(self, caller_version: Version) -> bool:
        """Return whether a caller that has seen a version can be served now."""
        if boottime() - self.last_tick_at > MAX_TICK_GAP_S:
            self.tick()
        return (
            self.is_initialized
            and not self.may_be_stale
            and self.version >= caller_version
        )

    def install(self, version: Version, lists: Lists, *, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if version < self.version:
            return False
        if version == self.version:
            self.report_if_disputed(lists, source)
            return False
        self.previous_lists[self.version] = self.lists
        while len(self.previous_lists) > MAX_PREVIOUS_LISTS:
            self.previous_lists.popitem(last=False)
        self.version = version
        self.lists = lists
        configuration = Configuration(
            version=version, customers=lists.customers, plans=lists.plans
        )
        self.configuration = configuration
        self.is_initialized = True
        self.may_be_stale = False
        self.node.events.emit(
            Code.VERSION_IN_FORCE, version=version, source=source, digest=self.digest
        )
        self.node.hooks.hook.version_in_force(
            version=version, configuration=configuration
        )
        self.notify()
        return True

    def report_if_disputed(self, lists: Lists, source: str) -> None:
        """Report a source that has different lists under the same version."""
        if lists_differ(self.lists, lists):
            self.node.events.emit(
                Code.VERSION_DISPUTED,
                level=logging.ERROR,
                version=self.version,
                source=source,
                digest=lists.digest,
            )

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_newer(self, version: Version) -> None:
        """Wait until a version higher than the given one is in force."""
        while self.version <= version:
            await self.changed.wait()

    async def require_version(
        self, caller_version: Version, *, deadline: float
    ) -> None:
        """Catch up until this node can serve a caller that has seen a version.

        ``deadline`` is a time of the boot-time clock, in seconds. Raises
        ConfigurationUnknown or VersionBehind if the node cannot catch up in
        time.
        """
        if self.can_serve(caller_version):
            return
        catch_up_deadline = min(deadline, boottime() + CATCH_UP_TIMEOUT_S)
        while not self.can_serve(caller_version) and boottime() < catch_up_deadline:
            self.start_catch_up()
            with suppress(TimeoutError):
                async with asyncio.timeout(MIN_CATCH_UP_INTERVAL_S):
                    await self.changed.wait()
        if not self.is_initialized or self.may_be_stale:
            raise ConfigurationUnknown(retry_after_s=1.0)
        if self.version < caller_version:
            detail = (
                f"version in force {self.version}, caller has seen {caller_version}"
            )
            raise VersionBehind(detail, retry_after_s=1.0)

    def start_catch_up(self) -> None:
        """Start a catch-up, unless one is running or was started just before."""
        is_catching_up = (
            self.catch_up_task is not None and not self.catch_up_task.done()
        )
        if (
            is_catching_up
            or boottime() - self.catch_up_started_at < MIN_CATCH_UP_INTERVAL_S
        ):
            return
        self.catch_up_started_at = boottime()
        self.catch_up_task = asyncio.create_task(self.catch_up())

    async def catch_up(self) -> None:
        """Pull newer versions from every source."""
        await asyncio.gather(
            *(source.pull() for source in self.sources), return_exceptions=True
        )

    async def start(self) -> None:
        """Do nothing; the sources run as components of their own."""

    async def stop(self) -> None:
        """Cancel a running catch-up."""
        if self.catch_up_task is not None:
            self.catch_up_task.cancel()
            await asyncio.wait([self.catch_up_task])


def lists_differ(first: Lists, second: Lists) -> bool:
    """Return whether the contents of two configurations differ."""
    return first is not second and first.digest != second.digest


def parse_version(value: str | None) -> Version:
    """Parse the value of a Masticdeck-Version header; None gives version 0.

    >>> parse_version("12")
    12
    """
    if value is None:
        return Version(0)
    if not value.isascii() or not value.isdigit() or len(value) > MAX_VERSION_DIGITS:
        raise VersionHeaderInvalid(repr(value[:32]))
    return Version(min(int(value), MAX_VERSION))
