"""Counts the veto windows of pending proposals; one node does so at a time.

The owner counts by its own boot-time clock and only the time in which it could
read the ledger, because customers cannot veto while the store is down. A new
owner first writes its fencing token into the ledger, which makes every write of
an older owner fail, and starts the windows anew.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

from masticdeck.clock import boottime
from masticdeck.coordination.acceptance import Acceptance, require_settled
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.ids import FencingToken, ProposalId
from masticdeck.state.acceptance import (
    Ledger,
    NoLongerFits,
    Proposal,
    Settled,
    StoreBehind,
)
from masticdeck.state.changes import DeltaConflict
from masticdeck.state.lists import Configuration

OWNERSHIP_NAME = "acceptance"
MAX_POLL_INTERVAL_S = 0.5
POLLS_PER_WINDOW = 8
MAX_GAP_POLLS = 4
RESTORE_DELAY_S = 10.0


class OwnerLease(Protocol):
    """The part of an ownership that the windows need."""

    @property
    def token(self) -> FencingToken:
        """Return the fencing token of the lease held last."""

    def valid(self) -> bool:
        """Return whether the lease is held at this moment."""


class OwnershipLost(MasticdeckError):
    """The lease of the owner of the veto windows ended before its write."""

    code = "MD4017"
    title = "owner of the veto windows has changed"
    remedy = "nothing to do; the new owner counts the windows anew"
    status = 503


class VetoWindows:
    """Ends veto windows and accepts what operators asked to accept."""

    def __init__(
        self,
        acceptance: Acceptance,
        owner: OwnerLease,
        *,
        window_s: float,
        configuration_in_force: Callable[[], Configuration | None] = lambda: None,
    ) -> None:
        self.acceptance = acceptance
        self.owner = owner
        self.window_s = window_s
        self.configuration_in_force = configuration_in_force
        self.store_behind_since: float | None = None
        self.poll_interval_s = min(MAX_POLL_INTERVAL_S, window_s / POLLS_PER_WINDOW)
        self.elapsed_s: dict[tuple[ProposalId, int], float] = {}
        self.last_read_at: float | None = None
        self.written_token = FencingToken(0)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to count whenever this node is the owner."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop counting."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    async def run(self) -> None:
        """Count for ever."""
        while True:
            with contextlib.suppress(MasticdeckError):
                await self.poll_or_restore()
            await asyncio.sleep(self.poll_interval_s)

    async def poll_or_restore(self) -> None:
        """Count, or write the version in force back to a store that lost it.

        The wait lets a still newer version that another node has in force
        reach this one first.
        """
        try:
            await self.poll()
        except StoreBehind:
            now = boottime()
            if self.store_behind_since is None:
                self.store_behind_since = now
            if now - self.store_behind_since >= RESTORE_DELAY_S:
                await self.restore()
        else:
            self.store_behind_since = None

    async def restore(self) -> None:
        """Write the version in force back, if this node is the owner."""
        configuration = self.configuration_in_force()
        if configuration is None or not self.owner.valid():
            return
        file = self.acceptance.ledger_store
        if await file.restore(configuration, self.acceptance.deployment):
            self.acceptance.events.emit(
                Code.VERSION_RESTORED, version=configuration.version
            )

    async def poll(self) -> None:
        """Read the ledger once and count on."""
        if not self.owner.valid():
            self.reset()
            return
        token = self.owner.token
        if token != self.written_token:
            self.reset()
            await self.acceptance.ledger_store.update(
                self.set_fence, before_write=self.require_lease
            )
            self.written_token = token
        last, self.last_read_at = self.last_read_at, None
        began = boottime()
        _, ledger = await self.acceptance.ledger_store.read()
        self.require_fence(ledger)
        passed = self.measure_elapsed_s(last, began)
        for proposal in ledger.proposals:
            if proposal.stoppable:
                await self.add_elapsed(proposal, passed)
            elif proposal.accept_by is not None:
                await self.end_window(proposal)
        pending = {(one.id, one.window) for one in ledger.proposals}
        self.elapsed_s = {key: s for key, s in self.elapsed_s.items() if key in pending}

    def measure_elapsed_s(self, last: float | None, now: float) -> float:
        """Return the seconds since the last read, 0 after a failure or a gap."""
        self.last_read_at = now
        if last is None or now - last > MAX_GAP_POLLS * self.poll_interval_s:
            return 0.0
        return now - last

    async def add_elapsed(self, proposal: Proposal, passed: float) -> None:
        """Add time to a window and end it when it has lasted long enough."""
        key = (proposal.id, proposal.window)
        if key not in self.elapsed_s:
            self.elapsed_s[key] = 0.0
            self.acceptance.events.emit(
                Code.VETO_WINDOW_OPENED,
                proposal=proposal.id,
                window=proposal.window,
                holders=",".join(proposal.holders),
            )
            return
        self.elapsed_s[key] += passed
        if self.elapsed_s[key] >= self.window_s:
            await self.end_window(proposal)

    async def end_window(self, proposal: Proposal) -> None:
        """End a window, and accept the proposal when that was asked for."""

        def decide(ledger: Ledger) -> tuple[Ledger, Settled | None]:
            return self.apply_window_end(ledger, proposal)

        end = await self.acceptance.ledger_store.update(
            decide, before_write=self.require_lease
        )
        self.acceptance.events.emit(
            Code.VETO_WINDOW_ENDED, proposal=proposal.id, window=proposal.window
        )
        if end is not None:
            self.acceptance.emit_settled(end)

    def apply_window_end(
        self, ledger: Ledger, proposal: Proposal
    ) -> tuple[Ledger, Settled | None]:
        """Return the ledger with a window ended, if it is still the same one."""
        self.require_fence(ledger)
        pending = ledger.pending(proposal.id)
        if pending is None or pending.window != proposal.window:
            return ledger, ledger.ended(proposal.id)
        if pending.accept_by is None:
            over = pending.model_copy(update={"window_over": True})
            return (ledger if pending.window_over else ledger.replace(over)), None
        deployment = self.acceptance.deployment
        try:
            changed = ledger.accept(pending, pending.accept_by, deployment)
        except (DeltaConflict, NoLongerFits):
            changed = ledger.rebase(pending, deployment)
        return changed, require_settled(changed, proposal.id)

    def set_fence(self, ledger: Ledger) -> tuple[Ledger, None]:
        """Return the ledger with this owner's token."""
        token = self.owner.token
        if ledger.fence > token:
            raise OwnershipLost(f"token {token}, ledger {ledger.fence}")
        if ledger.fence == token:
            return ledger, None
        return ledger.model_copy(update={"fence": token}), None

    def require_fence(self, ledger: Ledger) -> None:
        """Raise OwnerLapsed unless the ledger carries this owner's token."""
        if ledger.fence != self.written_token or self.written_token != self.owner.token:
            raise OwnershipLost(f"token {self.written_token}, ledger {ledger.fence}")

    def require_lease(self) -> None:
        """Raise OwnerLapsed unless the lease is held at this moment."""
        if not self.owner.valid():
            raise OwnershipLost(f"token {self.owner.token}")

    def reset(self) -> None:
        """Drop every count."""
        self.elapsed_s.clear()
        self.last_read_at = None
        self.written_token = FencingToken(0)
