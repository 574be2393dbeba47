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

PAST_KEPT = 8
CATCH_UP_S = 0.5
MIN_CATCH_UP_INTERVAL_S = 0.1
PAUSE_S = 3.0
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


class Source(Protocol):
    """A place from which newer configurations may come."""

    async def pull(self) -> bool:
        """Ask for what is newer; return whether the source knew an answer."""


@final
class Rollout:
    """What is in force on this node.

    ``known`` is false until the store or a peer that knows has answered;
    ``doubtful`` is true from a pause of this process until one answers again.
    ``sources`` are asked when this node has to catch up. Calls the hook
    ``version_in_force`` at each new version.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.version = Version(0)
        self.configuration: Configuration | None = None
        self.lists: Lists = EMPTY
        self.known = False
        self.doubtful = False
        self.ticked_at = boottime()
        self.past: OrderedDict[Version, Lists] = OrderedDict()
        self.sources: list[Source] = []
        self.changed = asyncio.Event()
        self.catching: asyncio.Task[None] | None = None
        self.caught_up_at = 0.0

    @property
    def digest(self) -> str:
        """Return the digest of the lists in force."""
        return self.lists.digest

    def confirm(self) -> None:
        """Note that the store or a peer that knows has answered."""
        if not self.known or self.doubtful:
            self.known = True
            self.doubtful = False
            self.notify()

    def tick(self) -> None:
        """Note that this process runs; a gap since the last call is a pause."""
        now = boottime()
        if now - self.ticked_at > PAUSE_S:
            self.doubtful = True
        self.ticked_at = now

    def serves(self, seen: Version) -> bool:
        """Return whether a caller who has seen a version may be served now."""
        if boottime() - self.ticked_at > PAUSE_S:
            self.tick()
        return self.known and not self.doubtful and self.version >= seen

    def install(self, version: Version, lists: Lists, *, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if version < self.version:
            return False
        if version == self.version:
            self.check_same(lists, source)
            return False
        self.past[self.version] = self.lists
        while len(self.past) > PAST_KEPT:
            self.past.popitem(last=False)
        self.version = version
        self.lists = lists
        configuration = Configuration(
            version=version, customers=lists.customers, plans=lists.plans
        )
        self.configuration = configuration
        self.known = True
        self.doubtful = False
        self.node.events.emit(
            Code.VERSION_IN_FORCE, version=version, source=source, digest=self.digest
        )
        self.node.hooks.hook.version_in_force(
            version=version, configuration=configuration
        )
        self.notify()
        return True

    def check_same(self, lists: Lists, source: str) -> None:
        """Report a source that shows other lists under the same version."""
        if version_lists_differ(self.lists, lists):
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

    async def wait_newer(self, version: Version) -> None:
        """Wait until a version larger than the given one is in force."""
        while self.version <= version:
            await self.changed.wait()

    async def require(self, seen: Version, *, deadline: float) -> None:
        """Return when this node may serve a caller who has seen a version.

        ``deadline`` is in seconds of the boot-time clock. Raises
        ConfigurationUnknown or VersionBehind.
        """
        if self.serves(seen):
            return
        limit = min(deadline, boottime() + CATCH_UP_S)
        while not self.serves(seen) and boottime() < limit:
            self.begin_catch_up()
            with suppress(TimeoutError):
                async with asyncio.timeout(MIN_CATCH_UP_INTERVAL_S):
                    await self.changed.wait()
        if not self.known or self.doubtful:
            raise ConfigurationUnknown(retry_after_s=1.0)
        if self.version < seen:
            detail = f"in force here {self.version}, seen {seen}"
            raise VersionBehind(detail, retry_after_s=1.0)

    def begin_catch_up(self) -> None:
        """Ask every source, unless this is done already or was just now."""
        busy = self.catching is not None and not self.catching.done()
        if busy or boottime() - self.caught_up_at < MIN_CATCH_UP_INTERVAL_S:
            return
        self.caught_up_at = boottime()
        self.catching = asyncio.create_task(self.catch_up())

    async def catch_up(self) -> None:
        """Ask every source for what is newer."""
        await asyncio.gather(
            *(source.pull() for source in self.sources), return_exceptions=True
        )

    async def start(self) -> None:
        """Do nothing; the sources bring configurations."""

    async def stop(self) -> None:
        """End a catch-up that is under way."""
        if self.catching is not None:
            self.catching.cancel()
            await asyncio.wait([self.catching])


def version_lists_differ(mine: Lists, other: Lists) -> bool:
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
