"""Registers this entry in the platform's store, under a lease.

The record disappears when the process exits, does not run for longer than the
lease or unregisters, so that the directory stops listing the entry without a
decision by anyone else.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.fleet_view import ENTRY_PREFIX, encode_entry
from masticdeck.errors import MasticdeckError, StoreConflict
from masticdeck.events import Code, EventLog
from masticdeck.ids import Era, LeaseId
from masticdeck.protocol.positions import lease_era
from masticdeck.protocol.store import Store
from masticdeck.state.fleet import FleetEntry

LEASE_TTL_S = 4.0
"""Lifetime of the registration without a renewal."""

RENEW_INTERVAL_S = 1.2
"""Seconds between renewals; two may be lost before the lease expires."""

MAX_UNLISTED_RENEWALS = 2
"""Renewals without the record being listed, after which it is written again."""

INITIAL_RETRY_S = 0.3
"""Delay before the first retry of a failed registration."""

MAX_RETRY_S = 2.4
"""Maximum delay between retries, which doubles with each failure."""


class EntryRegistration(BackgroundTask):
    """Keeps this entry registered while it accepts requests."""

    def __init__(
        self,
        store: Store,
        entry: FleetEntry,
        events: EventLog,
        *,
        is_listed: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(events)
        self.is_listed = is_listed
        self.store = store
        self.entry = entry
        self.lease: LeaseId | None = None
        self.renewed_at = -math.inf
        self.registered_at = math.inf
        self.has_ended = False
        self.last_registered_at = math.inf
        self.retry_s = INITIAL_RETRY_S

    def is_held(self) -> bool:
        """Return whether the lease has certainly not expired.

        Its lifetime counts from before the call that granted or renewed it.
        """
        return not self.has_ended and self.lease is not None and self.is_recent()

    def is_recent(self) -> bool:
        """Return whether the lease was renewed in its lifetime, ended or not."""
        return boottime() - self.renewed_at < LEASE_TTL_S

    def begin_era(self, era: Era) -> None:
        """Take in that a lease of an earlier era of the store has ended.

        The record is written again at the time of the next renewal, so that all entries
        do so spread over ``RENEW_INTERVAL_S``. The others keep it in use until then.
        """
        if self.lease is not None and lease_era(self.lease) < era:
            self.has_ended = True

    def held_since(self) -> float:
        """Return the boot time since which the record certainly exists.

        It is infinite while that is not certain.
        """
        return self.registered_at if self.is_held() else math.inf

    async def stop(self) -> None:
        """Remove the registration if it still exists."""
        await self.unregister()

    async def unregister(self) -> None:
        """Remove the registration; if the store fails, the lease expires instead."""
        await super().stop()
        lease, self.lease = self.lease, None
        if lease is None:
            return
        try:
            await self.store.revoke_lease(lease)
            self.events.emit(Code.ENTRY_UNREGISTERED, entry=self.entry.id)
        except MasticdeckError as error:
            self.events.emit(
                Code.ENTRY_UNREGISTERED,
                level=logging.WARNING,
                entry=self.entry.id,
                error=error.code,
            )

    async def run(self) -> None:
        """Register, and register again whenever the lease has ended."""
        while True:
            try:
                await self.register()
                self.retry_s = INITIAL_RETRY_S
                await self.renew()
            except MasticdeckError:
                await self.wait_to_retry()

    async def wait_to_retry(self) -> None:
        """Wait before the next attempt, with randomized exponential backoff."""
        await asyncio.sleep(self.retry_s * random.uniform(0.5, 1.0))
        self.retry_s = min(MAX_RETRY_S, 2 * self.retry_s)

    async def register(self) -> None:
        """Write the record under a new lease."""
        self.registered_at = math.inf
        requested_at = boottime()
        previous, self.lease = self.lease, await self.store.grant_lease(LEASE_TTL_S)
        key = f"{ENTRY_PREFIX}{self.entry.id}"
        await self.store.put(key, encode_entry(self.entry), lease=self.lease)
        if not (previous and self.is_recent() and is_earlier(previous, self.lease)):
            self.last_registered_at = boottime()
        self.renewed_at, self.has_ended = requested_at, False
        self.registered_at = self.last_registered_at
        self.events.emit(Code.ENTRY_REGISTERED, entry=self.entry.id, lease=self.lease)

    async def renew(self) -> None:
        """Renew the lease until it has ended or the record has to be written again."""
        assert self.lease is not None
        unlisted_renewals = 0
        while self.is_held():
            await asyncio.sleep(RENEW_INTERVAL_S)
            sent_at = boottime()
            try:
                await self.store.renew_lease(self.lease)
                self.renewed_at = sent_at
                unlisted_renewals = 0 if self.is_listed() else unlisted_renewals + 1
                if unlisted_renewals > MAX_UNLISTED_RENEWALS:
                    return
            except StoreConflict:
                self.has_ended = True
                return
            except MasticdeckError:
                await asyncio.sleep(INITIAL_RETRY_S)


def is_earlier(lease: LeaseId, later: LeaseId) -> bool:
    """Return whether a lease is of an earlier era of the store than another one.

    The others then keep the record in use until it is written again.
    """
    return lease_era(lease) < lease_era(later)
