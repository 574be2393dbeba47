"""Leader election by a lease in the store, with fencing tokens.

The owner of a name is the entry whose key ``owner/<name>`` exists in the
platform's store, bound to a lease. The revision of the key is the fencing
token, so a later owner always has a larger one. Receivers use a ``Fence`` to
refuse lower tokens.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Sequence
from contextlib import suppress

import xxhash

from masticdeck.clock import boottime
from masticdeck.coordination.membership import Membership
from masticdeck.errors import MasticdeckError, StoreConflict, StoreUnavailable
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, FencingToken, LeaseId, MemberState, RegionId
from masticdeck.node import Node
from masticdeck.protocol.positions import era_of
from masticdeck.protocol.store import ABSENT

MAX_CANDIDATES = 3
RENEWALS_PER_TTL = 3
DRIFT_FRACTION = 0.02
MIN_DRIFT_MARGIN_S = 0.1
CANDIDATE_STAGGER_S = 0.3
WATCH_TIMEOUT_S = 15.0
NON_CANDIDATE_POLL_S = 0.5
RETRY_DELAY_S = 0.25
REVOKE_TIMEOUT_S = 1.0
MAX_FAILURE_AGE_S = 3.0


def rendezvous_order(name: str, entries: Sequence[EntryId]) -> list[EntryId]:
    """Return the entries by descending rendezvous hash with a name.

    Removing an entry keeps the relative order of the others, so that few
    owners change when the fleet does.

    >>> order = rendezvous_order("region/east", [EntryId("a"), EntryId("b")])
    >>> sorted(order)
    ['a', 'b']
    """
    return sorted(
        entries,
        key=lambda entry: xxhash.xxh64_intdigest(f"{name}/{entry}".encode()),
        reverse=True,
    )


def rank_candidates(
    membership: Membership, name: str, region: RegionId | None
) -> list[EntryId]:
    """Return the entries that may own a name, those of the region first.

    Entries that were never observed are included, so that the first entry to
    start does not acquire every name.
    """
    candidates = rendezvous_order(
        name, membership.alive_entries() + membership.unobserved_entries()
    )
    if region is None:
        return candidates
    deployment = membership.node.deployment
    return sorted(
        candidates,
        key=lambda entry: (
            deployment.region_of[deployment.entry_by_id[entry].zone] != region
        ),
    )


class Fence:
    """Highest fencing token accepted for each name; refuses lower ones.

    >>> fence = Fence()
    >>> fence.accept("region/east", FencingToken(7))
    True
    >>> fence.accept("region/east", FencingToken(6))
    False
    """

    def __init__(self) -> None:
        self.highest_tokens: dict[str, FencingToken] = {}

    def accept(self, name: str, token: FencingToken) -> bool:
        """Record a token unless a higher one is known; return whether it was."""
        if token < self.highest_tokens.get(name, 0):
            return False
        self.highest_tokens[name] = token
        return True


class Ownership:
    """Competes for the ownership of one name and renews its lease.

    ``token`` is this node's fencing token, or 0 while it does not hold the
    key. ``owner`` is the holder of the key as last read from the store; only
    the first MAX_CANDIDATES candidates read it. With ``region``, entries of
    that region come first among the candidates. Check ``is_valid`` right
    before each action and again after each ``await``.

    >>> ownership = Ownership(node, "region/east", ttl_s=3.0)  # doctest: +SKIP
    >>> await ownership.start()                                # doctest: +SKIP
    >>> if ownership.is_valid():                               # doctest: +SKIP
    ...     act(ownership.token)
    """

    def __init__(
        self,
        node: Node,
        name: str,
        *,
        ttl_s: float | None = None,
        membership: Membership | None = None,
        region: RegionId | None = None,
    ) -> None:
        self.node = node
        self.name = name
        self.key = f"owner/{name}"
        self.ttl_s = node.config.lease_ttl_s if ttl_s is None else ttl_s
        self.membership = membership
        self.region = region
        self.token = FencingToken(0)
        self.owner: EntryId | None = None
        self.lease: LeaseId | None = None
        self.valid_until = 0.0
        self.attempt_count = 0
        self.attempt_value = b""
        self.attempt_started_at = 0.0
        self.attempt_lease: LeaseId | None = None
        self.last_failure_at = 0.0
        self.failed_call_started_at = 0.0
        self.key_revision = ABSENT
        self.task: asyncio.Task[None] | None = None
        self.owner_gone = asyncio.Event()
        node.hooks.register(self)

    @property
    def margin_s(self) -> float:
        """Return the safety margin of the lease for clock drift."""
        return max(MIN_DRIFT_MARGIN_S, self.ttl_s * DRIFT_FRACTION)

    def is_valid(self) -> bool:
        """Return whether this node holds a valid lease at this moment.

        A lease ends with the era of the store in which it was granted.
        """
        return (
            self.token != 0
            and boottime() < self.valid_until
            and self.is_of_present_era()
        )

    def is_of_present_era(self) -> bool:
        """Return whether the key was acquired in the newest era of the store."""
        return era_of(self.token) >= self.node.store.era

    def may_act_without_store(self, max_expired_s: float) -> bool:
        """Return whether an expired lease may still be used in a store outage.

        True if this node held the key when it last reached the store, a call
        that began after the lease expired has just failed, and the lease
        expired less than ``max_expired_s`` ago. A process that resumes from a
        pause therefore calls the store before it uses the expired lease.
        """
        now = boottime()
        return (
            self.token != 0
            and self.is_of_present_era()
            and self.failed_call_started_at > self.valid_until
            and now - self.last_failure_at < MAX_FAILURE_AGE_S
            and now - self.valid_until < max_expired_s
        )

    @property
    def store_failing(self) -> bool:
        """Return whether the store was unavailable at the latest call."""
        return self.last_failure_at > 0.0

    def candidates(self) -> list[EntryId]:
        """Return the entries that may compete, in order of preference."""
        if self.membership is None:
            return [self.node.id]
        return rank_candidates(self.membership, self.name, self.region)

    async def start(self) -> None:
        """Start competing for the name."""
        self.task = asyncio.create_task(self.run(), name=f"ownership {self.name}")

    async def stop(self) -> None:
        """Stop and revoke the lease, so that another entry can acquire at once."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        lease = self.lease
        self.record_lost()
        if lease is not None:
            with suppress(MasticdeckError, TimeoutError):
                async with asyncio.timeout(REVOKE_TIMEOUT_S):
                    await self.node.store.revoke_lease(lease)

    async def run(self) -> None:
        """Renew the lease or compete for the name until cancelled."""
        while True:
            started_at = boottime()
            try:
                delay_s = await (self.renew() if self.token else self.compete())
                self.last_failure_at = 0.0
            except StoreUnavailable:
                self.last_failure_at = boottime()
                self.failed_call_started_at = started_at
                delay_s = RETRY_DELAY_S
            except StoreConflict:
                delay_s = RETRY_DELAY_S
            except MasticdeckError as error:
                self.node.events.emit(
                    Code.OWNER_STORE_ERROR,
                    level=logging.WARNING,
                    name=self.name,
                    error=error,
                )
                delay_s = RETRY_DELAY_S
            await asyncio.sleep(delay_s)

    async def renew(self) -> float:
        """Extend the lease and return the seconds until the next renewal."""
        started_at = boottime()
        lease = self.lease
        assert lease is not None
        try:
            await self.node.store.renew_lease(lease)
        except StoreConflict:
            self.record_lost()
            raise
        self.valid_until = started_at + self.ttl_s - self.margin_s
        return max(0.0, self.ttl_s / RENEWALS_PER_TTL - (boottime() - started_at))

    async def compete(self) -> float:
        """Read the key, then watch it or try to acquire it; return the next delay.

        Lower-ranked candidates wait longer before they acquire, so that they
        rarely collide.
        """
        candidates = self.candidates()
        rank = (
            candidates.index(self.node.id)
            if self.node.id in candidates
            else MAX_CANDIDATES
        )
        if rank >= MAX_CANDIDATES:
            return NON_CANDIDATE_POLL_S
        if await self.read_key():
            return 0.0
        if self.owner is not None:
            await self.watch_key()
            return 0.0
        if rank:
            await asyncio.sleep(rank * CANDIDATE_STAGGER_S)
            if await self.read_key() or self.owner is not None:
                return 0.0
        await self.acquire()
        return self.ttl_s / RENEWALS_PER_TTL

    async def read_key(self) -> bool:
        """Read who holds the key; return whether this node turns out to hold it.

        That is the case if an attempt wrote the key but its answer was lost.
        """
        item = await self.node.store.get(self.key)
        if item is None:
            self.observe_owner(None)
            return False
        self.key_revision = item.revision
        if self.attempt_value and item.value == self.attempt_value:
            self.record_acquired(FencingToken(item.revision))
            return True
        self.observe_owner(EntryId(json.loads(item.value)["entry"]))
        return False

    async def watch_key(self) -> None:
        """Wait until the key changes or membership reports its holder gone."""
        self.owner_gone.clear()
        watch_task = asyncio.ensure_future(
            self.node.store.watch(self.key, self.key_revision, wait_s=WATCH_TIMEOUT_S)
        )
        gone_task = asyncio.create_task(self.owner_gone.wait())
        tasks = (watch_task, gone_task)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if watch_task.done():
                watch_task.result()
        finally:
            watch_task.cancel()
            gone_task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if self.owner_gone.is_set():
            await self.delete_key_of_ended_owner()

    async def delete_key_of_ended_owner(self) -> None:
        """Delete the owner's key if its port refuses connections.

        That process has ended, so there is no need to wait for its lease to
        expire. A late delete fails because the revision has changed.
        """
        if self.owner is None:
            return
        entry = self.node.deployment.entry_by_id[self.owner]
        try:
            _, writer = await asyncio.open_connection(entry.host, entry.peer_port)
            writer.close()
        except ConnectionRefusedError:
            await self.node.store.delete(self.key, expect=self.key_revision)
        except OSError:
            return

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Check on the owner at once when membership reports it gone."""
        if entry == self.owner and state is MemberState.GONE:
            self.owner_gone.set()

    async def acquire(self) -> None:
        """Create the key under a new lease."""
        self.attempt_count += 1
        self.attempt_started_at = boottime()
        value = {
            "entry": self.node.id,
            "incarnation": self.node.incarnation,
            "attempt": self.attempt_count,
        }
        lease = await self.node.store.grant_lease(self.ttl_s)
        self.attempt_lease = lease
        self.attempt_value = json.dumps(value).encode()
        revision = await self.node.store.put(
            self.key, self.attempt_value, expect=ABSENT, lease=lease
        )
        self.record_acquired(FencingToken(revision))

    def record_acquired(self, token: FencingToken) -> None:
        """Record that the latest attempt acquired the key."""
        self.token = token
        self.lease = self.attempt_lease
        self.valid_until = self.attempt_started_at + self.ttl_s - self.margin_s
        self.attempt_value = b""
        self.owner = self.node.id
        self.node.events.emit(Code.OWNER_ACQUIRED, name=self.name, token=token)
        self.notify_hooks()

    def record_lost(self) -> None:
        """Clear the token and lease after they were lost or given up."""
        if not self.token:
            return
        self.node.events.emit(Code.OWNER_LOST, name=self.name, token=self.token)
        self.token = FencingToken(0)
        self.lease = None
        self.owner = None
        self.valid_until = 0.0
        self.notify_hooks()

    def observe_owner(self, owner: EntryId | None) -> None:
        """Record who holds the key and call the hook if it changed."""
        if owner != self.owner:
            self.owner = owner
            self.notify_hooks()

    def notify_hooks(self) -> None:
        """Call ``ownership_changed`` with the current owner and token."""
        self.node.hooks.hook.ownership_changed(
            name=self.name, owner=self.owner, token=self.token
        )
