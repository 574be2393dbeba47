"""Work that needs one doer: an owner by a store lease, with a fencing token.

An owner is the entry whose key ``owner/<name>`` exists in the platform's
store, bound to a lease. The key's revision is the fencing token: a later
owner's key always has a larger revision. Receivers refuse lower tokens by a
``Fence``.
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
from masticdeck.ids import EntryId, FencingToken, MemberState, RegionId
from masticdeck.node import Node
from masticdeck.protocol.store import ABSENT, LeaseId

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

    Removing an entry changes the order of no other two, so that few owners
    move when the fleet changes.

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
    """Return the entries that may own a name, a region's own entries first.

    Entries of which nothing was ever heard count as well, so that the first
    entry that starts does not take every name.
    """
    order = rendezvous_order(
        name, membership.alive_entries() + membership.unobserved_entries()
    )
    if region is None:
        return order
    deployment = membership.node.deployment
    return sorted(
        order,
        key=lambda entry: (
            deployment.region_of[deployment.entry_by_id[entry].zone] != region
        ),
    )


class Fence:
    """Highest fencing token seen by name; refuses lower ones.

    >>> fence = Fence()
    >>> fence.accept("region/east", FencingToken(7))
    True
    >>> fence.accept("region/east", FencingToken(6))
    False
    """

    def __init__(self) -> None:
        self.highest_tokens: dict[str, FencingToken] = {}

    def accept(self, name: str, token: FencingToken) -> bool:
        """Return whether a token is at least the highest seen, and keep it."""
        if token < self.highest_tokens.get(name, 0):
            return False
        self.highest_tokens[name] = token
        return True


class Ownership:
    """This node's part in finding and being the owner of one name.

    ``token`` is this node's fencing token, or 0 when it does not hold the
    key. ``owner`` is the holder as last read from the store; only the first
    few candidates read it. With ``region``, entries of that region come
    first among the candidates. ``is_valid`` must be asked right before each act
    and again after each wait.

    >>> ownership = Ownership(node, "region/east", ttl_s=3.0)  # doctest: +SKIP
    >>> await ownership.start()                                # doctest: +SKIP
    >>> if ownership.valid():                                  # doctest: +SKIP
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
        """Return what is subtracted from the lease for the drift of clocks."""
        return max(MIN_DRIFT_MARGIN_S, self.ttl_s * DRIFT_FRACTION)

    def is_valid(self) -> bool:
        """Return whether this node owns the name at this moment."""
        return self.token != 0 and boottime() < self.valid_until

    def may_act_without_store(self, max_expired_s: float) -> bool:
        """Return whether a lapsed lease may be relied on in a store outage.

        True while the key was last known to be this node's, a call that began
        after the lease lapsed has just failed, and the lease lapsed less than
        ``bound_s`` ago. A process that wakes from a pause thus asks the store
        before it relies on this.
        """
        now = boottime()
        return (
            self.token != 0
            and self.failed_call_started_at > self.valid_until
            and now - self.last_failure_at < MAX_FAILURE_AGE_S
            and now - self.valid_until < max_expired_s
        )

    @property
    def store_failing(self) -> bool:
        """Return whether the latest call to the store got no answer."""
        return self.last_failure_at > 0.0

    def candidates(self) -> list[EntryId]:
        """Return the entries that may try, in the order in which they do."""
        if self.membership is None:
            return [self.node.id]
        return rank_candidates(self.membership, self.name, self.region)

    async def start(self) -> None:
        """Begin to compete for the name."""
        self.task = asyncio.create_task(self.run(), name=f"ownership {self.name}")

    async def stop(self) -> None:
        """Give the name up, so that another entry takes it at once."""
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
        """Hold the name or wait for it, for ever."""
        while True:
            began = boottime()
            try:
                delay = await (self.renew() if self.token else self.compete())
                self.last_failure_at = 0.0
            except StoreUnavailable:
                self.last_failure_at = boottime()
                self.failed_call_started_at = began
                delay = RETRY_DELAY_S
            except StoreConflict:
                delay = RETRY_DELAY_S
            except MasticdeckError as error:
                self.node.events.emit(
                    Code.OWNER_STORE_ERROR,
                    level=logging.WARNING,
                    name=self.name,
                    error=error,
                )
                delay = RETRY_DELAY_S
            await asyncio.sleep(delay)

    async def renew(self) -> float:
        """Extend the lease and return the seconds until the next renewal."""
        began = boottime()
        lease = self.lease
        assert lease is not None
        try:
            await self.node.store.renew_lease(lease)
        except StoreConflict:
            self.record_lost()
            raise
        self.valid_until = began + self.ttl_s - self.margin_s
        return max(0.0, self.ttl_s / RENEWALS_PER_TTL - (boottime() - began))

    async def compete(self) -> float:
        """Read the key, then take it, watch it or leave it to others."""
        order = self.candidates()
        rank = order.index(self.node.id) if self.node.id in order else MAX_CANDIDATES
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
        """Read who holds the key; return whether a lost write had made it ours."""
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
        """Wait until the key changes or its holder is said to be gone."""
        self.owner_gone.clear()
        watching = asyncio.ensure_future(
            self.node.store.watch(self.key, self.key_revision, wait_s=WATCH_TIMEOUT_S)
        )
        gone = asyncio.create_task(self.owner_gone.wait())
        tasks = (watching, gone)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                watching.result()
        finally:
            watching.cancel()
            gone.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if self.owner_gone.is_set():
            await self.delete_key_of_ended_owner()

    async def delete_key_of_ended_owner(self) -> None:
        """Delete the key of a process whose port refuses connections.

        The process has ended and can act no more, so that nobody needs to
        wait for its lease. A delete that comes late meets another revision.
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
        """Look at the holder at once when it is said to be gone."""
        if entry == self.owner and state is MemberState.GONE:
            self.owner_gone.set()

    async def acquire(self) -> None:
        """Create the key under a new lease."""
        self.attempt_count += 1
        self.attempt_started_at = boottime()
        document = {
            "entry": self.node.id,
            "incarnation": self.node.incarnation,
            "attempt": self.attempt_count,
        }
        lease = await self.node.store.grant_lease(self.ttl_s)
        self.attempt_lease = lease
        self.attempt_value = json.dumps(document).encode()
        revision = await self.node.store.put(
            self.key, self.attempt_value, expect=ABSENT, lease=lease
        )
        self.record_acquired(FencingToken(revision))

    def record_acquired(self, token: FencingToken) -> None:
        """Become the owner by the attempt whose write is in the store."""
        self.token = token
        self.lease = self.attempt_lease
        self.valid_until = self.attempt_started_at + self.ttl_s - self.margin_s
        self.attempt_value = b""
        self.owner = self.node.id
        self.node.events.emit(Code.OWNER_ACQUIRED, name=self.name, token=token)
        self.notify_hooks()

    def record_lost(self) -> None:
        """Forget the key after the store said that the lease has ended."""
        if not self.token:
            return
        self.node.events.emit(Code.OWNER_LOST, name=self.name, token=self.token)
        self.token = FencingToken(0)
        self.lease = None
        self.owner = None
        self.valid_until = 0.0
        self.notify_hooks()

    def observe_owner(self, owner: EntryId | None) -> None:
        """Keep who holds the key and tell when it has changed."""
        if owner != self.owner:
            self.owner = owner
            self.notify_hooks()

    def notify_hooks(self) -> None:
        """Call the hook with what is known now."""
        self.node.hooks.hook.ownership_changed(
            name=self.name, owner=self.owner, token=self.token
        )
