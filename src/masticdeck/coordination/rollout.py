"""The accepted configuration in force on this node, which never goes back.

A node takes a configuration only if its version is larger than the one in
force. After its start, until it has heard from the store or from a peer that
knows, it refuses requests; so it does after it stood still for some seconds.
Callers name the version they have seen; a node behind it catches up before it
serves them.
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
    """This entry has heard neither from the store nor from a peer that knows."""

    code = "MD4010"
    title = "configuration in force not known yet"
    remedy = "use another entry, or retry after the time in Retry-After"
    status = 503
    outcome = Outcome.NOT_RUN


class VersionBehind(MasticdeckError):
    """This entry is behind the version that the caller has seen elsewhere."""

    code = "MD4011"
    title = "this entry is behind the version that the caller has seen"
    remedy = "use another entry, or retry after the time in Retry-After"
    status = 503
    outcome = Outcome.NOT_RUN


class VersionHeaderInvalid(MasticdeckError):
    """The header that names the version seen by the caller is not a number."""

    code = "MD4012"
    title = "Masticdeck-Version is not a version number"
    remedy = "send the header of the latest answer, or leave it out"
    status = 400
    outcome = Outcome.NOT_RUN


class ConfigurationSource(Protocol):
    """A place from which newer configurations may come."""

    async def pull(self) -> bool:
        """Ask for what is newer; return whether the source knew an answer."""


@final
class Rollout:
    """What is in force on this node.

    ``is_initialized`` is false until the store or a peer that knows has answered;
    ``may_be_stale`` is true from a pause of this process until one answers again.
    ``sources`` are asked when this node has to catch up. Calls the hook
    ``version_in_force`` at each new version.
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
        """Note that the store or a peer that knows has answered."""
        if not self.is_initialized or self.may_be_stale:
            self.is_initialized = True
            self.may_be_stale = False
            self.notify()

    def tick(self) -> None:
        """Note that this process runs; a gap since the last call is a pause."""
        now = boottime()
        if now - self.last_tick_at > MAX_TICK_GAP_S:
            self.may_be_stale = True
        self.last_tick_at = now

    def can_serve(self, caller_version: Version) -> bool:
        """Return whether a caller who has seen a version may be served now."""
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
        """Report a source that shows other lists under the same version."""
        if lists_differ(self.lists, lists):
            self.node.events.emit(
                Code.VERSION_DISPUTED,
                level=logging.ERROR,
                version=self.version,
                source=source,
                digest=lists.digest,
            )

    def notify(self) -> None:
        """Wake everyone who waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_newer(self, version: Version) -> None:
        """Wait until a version larger than the given one is in force."""
        while self.version <= version:
            await self.changed.wait()

    async def require_version(
        self, caller_version: Version, *, deadline: float
    ) -> None:
        """Return when this node may serve a caller who has seen a version.

        ``deadline`` is in seconds of the boot-time clock. Raises
        ConfigurationUnknown or VersionBehind.
        """
        if self.can_serve(caller_version):
            return
        limit = min(deadline, boottime() + CATCH_UP_TIMEOUT_S)
        while not self.can_serve(caller_version) and boottime() < limit:
            self.start_catch_up()
            with suppress(TimeoutError):
                async with asyncio.timeout(MIN_CATCH_UP_INTERVAL_S):
                    await self.changed.wait()
        if not self.is_initialized or self.may_be_stale:
            raise ConfigurationUnknown(retry_after_s=1.0)
        if self.version < caller_version:
            detail = f"in force here {self.version}, seen {caller_version}"
            raise VersionBehind(detail, retry_after_s=1.0)

    def start_catch_up(self) -> None:
        """Ask every source, unless this is done already or was just now."""
        busy = self.catch_up_task is not None and not self.catch_up_task.done()
        if busy or boottime() - self.catch_up_started_at < MIN_CATCH_UP_INTERVAL_S:
            return
        self.catch_up_started_at = boottime()
        self.catch_up_task = asyncio.create_task(self.catch_up())

    async def catch_up(self) -> None:
        """Ask every source for what is newer."""
        await asyncio.gather(
            *(source.pull() for source in self.sources), return_exceptions=True
        )

    async def start(self) -> None:
        """Do nothing; the sources bring configurations."""

    async def stop(self) -> None:
        """End a catch-up that is under way."""
        if self.catch_up_task is not None:
            self.catch_up_task.cancel()
            await asyncio.wait([self.catch_up_task])


def lists_differ(mine: Lists, other: Lists) -> bool:
    """Return whether two pairs of lists have different content."""
    return mine is not other and mine.digest != other.digest


def parse_version(value: str | None) -> Version:
    """Return the version in a Masticdeck-Version header, 0 without one.

    >>> parse_version("12")
    12
    """
    if value is None:
        return Version(0)
    if not value.isascii() or not value.isdigit() or len(value) > MAX_VERSION_DIGITS:
        raise VersionHeaderInvalid(repr(value[:32]))
    return Version(min(int(value), MAX_VERSION))
