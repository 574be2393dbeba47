"""Storage of the ledger and its history under keys of the platform's store.

A change is a function that takes the current ledger and returns the new one.
It must be idempotent: when the response to a write is lost, the ledger is read
again and the function applied to it, and it must then find its effect there.
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

T = TypeVar("T")

LEDGER_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
ACCEPTED_PREFIX = "configuration/accepted/"
MAX_UPDATE_ATTEMPTS = 30
MAX_DECOMPRESSED_LEDGER_BYTES = 16 * MAX_VALUE_BYTES
RETRY_DELAY_S = 0.02
MAX_READ_ATTEMPTS = 3


class AcceptedVersion(Model):
    """An accepted configuration and the proposal that introduced it."""

    proposal: Settled | None
    configuration: Configuration


def history_key(version: Version) -> str:
    """Return the store key of a version in the history."""
    return f"{HISTORY_PREFIX}{version:010d}"


class LedgerStore:
    """Reads and updates the ledger.

    ``version_in_force`` returns the version in force on this node. A ledger
    with a lower version comes from a store that lags or has lost writes, so
    reads and updates of it fail with StoreBehind.
    """

    def __init__(self, store: Store, version_in_force: Callable[[], Version]) -> None:
        self.store = store
        self.version_in_force = version_in_force
        self.random = random.Random()

    async def read(self) -> tuple[Revision, Ledger]:
        """Return the revision of the ledger and the ledger.

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
        transform: Callable[[Ledger], tuple[Ledger, T]],
        *,
        before_write: Callable[[], None] | None = None,
    ) -> T:
        """Apply a change by compare-and-swap and return its result.

        ``transform`` returns the new ledger and the result; it returns the
        ledger it was given if there is nothing to write. ``before_write`` is
        called immediately before the write and raises to prevent it.
        Raises WriteUnknown if the response to a write was lost and the ledger
        could not be read back, or if no attempt succeeds.
        """
        is_write_unresolved = False
        for _ in range(MAX_UPDATE_ATTEMPTS):
            revision, ledger = await self.read_with_retries(
                is_write_unresolved=is_write_unresolved
            )
            new_ledger, result = transform(ledger)
            if new_ledger is ledger:
                return result
            try:
                await self.archive(ledger, new_ledger)
                if before_write is not None:
                    before_write()
                await self.store.put(
                    LEDGER_KEY, encode_ledger(new_ledger), expect=revision
                )
                return result
            except StoreConflict:
                await asyncio.sleep(RETRY_DELAY_S * self.random.random())
            except (StoreUnavailable, StoreAnswerInvalid):
                is_write_unresolved = True
        raise WriteUnknown("every attempt to write the ledger failed")

    async def read_with_retries(
        self, *, is_write_unresolved: bool
    ) -> tuple[Revision, Ledger]:
        """Read the ledger, with retries if an earlier write is unresolved."""
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
        """Copy the accepted version to the history before it is replaced.

        The content of a version never changes, so repeated or concurrent writes
        of the same key are harmless.
        """
        if new.version == old.version or old.version == 0:
            return
        accepted = AcceptedVersion(
            proposal=old.accepted, configuration=old.configuration
        )
        await self.put_if_absent(
            history_key(old.version), accepted.model_dump_json().encode()
        )
        if old.accepted is not None:
            key = f"{ACCEPTED_PREFIX}{old.accepted.id}"
            await self.put_if_absent(key, old.accepted.model_dump_json().encode())

    async def restore(
        self, configuration: Configuration, deployment: Deployment
    ) -> bool:
        """Write the version in force to a store that returns an older one.

        Returns whether it was written. If only the store's reads lag, the store
        rejects the write, because the current revision is not the one read.
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
        """Write a key unless it exists already."""
        try:
            await self.store.put(key, value, expect=ABSENT)
        except StoreConflict:
            return

    async def read_version(self, version: Version) -> AcceptedVersion | None:
        """Return an accepted version, or None if there is no such version."""
        _, ledger = await self.read()
        if version == ledger.version:
            return AcceptedVersion(
                proposal=ledger.accepted, configuration=ledger.configuration
            )
        item = await self.store.get(history_key(version))
        return None if item is None else decode(AcceptedVersion, item.value)

    async def read_acceptance(self, proposal: ProposalId) -> Settled | None:
        """Return the archived acceptance of a proposal, or None."""
        item = await self.store.get(f"{ACCEPTED_PREFIX}{proposal}")
        return None if item is None else decode(Settled, item.value)

    async def read_history(self, *, limit: int) -> list[AcceptedVersion]:
        """Return the latest accepted versions, newest first."""
        _, ledger = await self.read()
        first_version = max(1, ledger.version - limit + 1)
        versions = [
            Version(number) for number in range(ledger.version, first_version - 1, -1)
        ]
        accepted_versions = [await self.read_version(version) for version in versions]
        return [accepted for accepted in accepted_versions if accepted is not None]


ModelT = TypeVar("ModelT", bound=Model)


def decode(model: type[ModelT], value: bytes) -> ModelT:
    """Decode the JSON of a model, or raise StoreAnswerInvalid."""
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        detail = f"{model.__name__} cannot be decoded: {error.error_count()} errors"
        raise StoreAnswerInvalid(detail) from None


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger as zlib-compressed JSON.

    Raises LedgerFull if the result exceeds the store's maximum value size.
    """
    value = zlib.compress(ledger.model_dump_json().encode())
    if len(value) > MAX_VALUE_BYTES:
        raise LedgerFull(f"{len(value)} bytes, maximum {MAX_VALUE_BYTES}")
    return value


def decode_ledger(value: bytes) -> Ledger:
    """Decode a ledger from its stored value, or raise StoreAnswerInvalid."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(value, MAX_DECOMPRESSED_LEDGER_BYTES)
    except zlib.error as error:
        raise StoreAnswerInvalid(f"the ledger cannot be decoded: {error}") from None
    if not inflater.eof:
        raise StoreAnswerInvalid("the ledger is truncated or too long")
    return decode(Ledger, text)
