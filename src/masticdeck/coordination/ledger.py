"""The ledger's key in the store: read, compare-and-swap, and history.

Every change is a function from the ledger that was read to the ledger that is
to be written. It must recognise its own earlier effect, so that a write whose
answer was lost is resolved by reading again.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import TypeVar

from pydantic import ValidationError

from masticdeck.errors import StoreAnswerInvalid, StoreConflict, StoreUnavailable
from masticdeck.ids import ProposalId, Revision, Version
from masticdeck.protocol.store import ABSENT, MAX_VALUE_BYTES, Store
from masticdeck.state.acceptance import (
    Ledger,
    LedgerFull,
    Settled,
    StoreBehind,
    WriteUnknown,
)
from masticdeck.state.deployment import Deployment, Model
from masticdeck.state.lists import Configuration

ResultT = TypeVar("ResultT")

LEDGER_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
ACCEPTED_PREFIX = "configuration/accepted/"
MAX_UPDATE_ATTEMPTS = 30
MAX_DECOMPRESSED_LEDGER_BYTES = 16 * MAX_VALUE_BYTES
RETRY_DELAY_S = 0.02
MAX_READ_ATTEMPTS = 3


class AcceptedVersion(Model):
    """One version of the history and the proposal that made it."""

    proposal: Settled | None
    configuration: Configuration


def history_key(version: Version) -> str:
    """Return the key of a version of the history."""
    return f"{HISTORY_PREFIX}{version:010d}"


class LedgerStore:
    """Reads and writes the ledger.

    ``version_in_force`` returns the version in force on this node. An older
    ledger comes from a store that lags, and nothing is written over it.
    """

    def __init__(self, store: Store, version_in_force: Callable[[], Version]) -> None:
        self.store = store
        self.version_in_force = version_in_force
        self.random = random.Random()

    async def read(self) -> tuple[Revision, Ledger]:
        """Return the ledger and its revision.

        Raises StoreUnavailable, StoreBehind or StoreAnswerInvalid.
        """
        item = await self.store.get(LEDGER_KEY)
        ledger = Ledger() if item is None else decode_ledger(item.value)
        if ledger.version < self.version_in_force():
            raise StoreBehind(
                f"version {ledger.version}, in force {self.version_in_force()}"
            )
        return (ABSENT if item is None else item.revision), ledger

    async def update(
        self,
        transform: Callable[[Ledger], tuple[Ledger, ResultT]],
        *,
        before_write: Callable[[], None] | None = None,
    ) -> ResultT:
        """Apply a change by compare-and-swap and return what it decided.

        ``transform`` returns the same ledger when nothing is left to write.
        ``before_write`` is called right before the write and raises to prevent it.
        Raises WriteUnknown when a write's answer was lost and the ledger could
        not be read back.
        """
        unsure = False
        for _ in range(MAX_UPDATE_ATTEMPTS):
            revision, ledger = await self.read_with_retries(is_write_unresolved=unsure)
            changed, result = transform(ledger)
            if changed is ledger:
                return result
            try:
                await self.archive(ledger, changed)
                if before_write is not None:
                    before_write()
                await self.store.put(
                    LEDGER_KEY, encode_ledger(changed), expect=revision
                )
                return result
            except StoreConflict:
                await asyncio.sleep(RETRY_DELAY_S * self.random.random())
            except (StoreUnavailable, StoreAnswerInvalid):
                unsure = True
        raise WriteUnknown("the ledger is written by too many at once")

    async def read_with_retries(
        self, *, is_write_unresolved: bool
    ) -> tuple[Revision, Ledger]:
        """Read the ledger, more than once when a write's answer was lost."""
        for attempt in range(MAX_READ_ATTEMPTS):
            try:
                return await self.read()
            except (StoreUnavailable, StoreAnswerInvalid) as error:
                if not is_write_unresolved:
                    raise
                if attempt == MAX_READ_ATTEMPTS - 1:
                    raise WriteUnknown(error.detail) from error
                await asyncio.sleep(RETRY_DELAY_S * (1 << attempt))
        raise WriteUnknown

    async def archive(self, old: Ledger, new: Ledger) -> None:
        """Keep a version in the history before another takes its place.

        A version never changes, so that a repeated or concurrent write of the
        same key is harmless.
        """
        if new.version == old.version or old.version == 0:
            return
        entry = AcceptedVersion(proposal=old.accepted, configuration=old.configuration)
        await self.put_if_absent(
            history_key(old.version), entry.model_dump_json().encode()
        )
        if old.accepted is not None:
            key = f"{ACCEPTED_PREFIX}{old.accepted.id}"
            await self.put_if_absent(key, old.accepted.model_dump_json().encode())

    async def restore(
        self, configuration: Configuration, deployment: Deployment
    ) -> bool:
        """Write the version in force over an older one that the store shows.

        Returns whether it was written. A store of which only the reads lag
        refuses the write, because its revision is not the one that was read.
        """
        item = await self.store.get(LEDGER_KEY)
        ledger = Ledger() if item is None else decode_ledger(item.value)
        if ledger.version >= configuration.version:
            return False
        restored = ledger.model_copy(
            update={"version": configuration.version, "lists": configuration.lists}
        )
        for proposal in ledger.proposals:
            restored = restored.rebase(proposal, deployment)
        revision = ABSENT if item is None else item.revision
        await self.store.put(LEDGER_KEY, encode_ledger(restored), expect=revision)
        return True

    async def put_if_absent(self, key: str, value: bytes) -> None:
        """Write a key that never changes, unless it is there."""
        try:
            await self.store.put(key, value, expect=ABSENT)
        except StoreConflict:
            return

    async def read_version(self, version: Version) -> AcceptedVersion | None:
        """Return a version of the history, or None when it was never accepted."""
        _, ledger = await self.read()
        if version == ledger.version:
            return AcceptedVersion(
                proposal=ledger.accepted, configuration=ledger.configuration
            )
        item = await self.store.get(history_key(version))
        return None if item is None else decode(AcceptedVersion, item.value)

    async def read_acceptance(self, proposal: ProposalId) -> Settled | None:
        """Return how an old proposal was accepted, or None."""
        item = await self.store.get(f"{ACCEPTED_PREFIX}{proposal}")
        return None if item is None else decode(Settled, item.value)

    async def read_history(self, *, limit: int) -> list[AcceptedVersion]:
        """Return the latest versions, the newest first."""
        _, ledger = await self.read()
        oldest = max(1, ledger.version - limit + 1)
        versions = [Version(one) for one in range(ledger.version, oldest - 1, -1)]
        found = [await self.read_version(one) for one in versions]
        return [one for one in found if one is not None]


ModelT = TypeVar("ModelT", bound=Model)


def decode(model: type[ModelT], value: bytes) -> ModelT:
    """Return a value of the store, or raise StoreAnswerInvalid."""
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        detail = f"{model.__name__} cannot be decoded: {error.error_count()} faults"
        raise StoreAnswerInvalid(detail) from None


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the value of the store for a ledger: JSON, compressed by zlib.

    Raises LedgerFull when it is longer than the store takes.
    """
    value = zlib.compress(ledger.model_dump_json().encode())
    if len(value) > MAX_VALUE_BYTES:
        raise LedgerFull(f"{len(value)} bytes, at most {MAX_VALUE_BYTES}")
    return value


def decode_ledger(value: bytes) -> Ledger:
    """Return the ledger in a value of the store, or raise StoreAnswerInvalid."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(value, MAX_DECOMPRESSED_LEDGER_BYTES)
    except zlib.error as error:
        raise StoreAnswerInvalid(f"the ledger cannot be decoded: {error}") from None
    if not inflater.eof:
        raise StoreAnswerInvalid("the ledger is cut short or too long")
    return decode(Ledger, text)
