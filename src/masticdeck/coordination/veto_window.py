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
from masticdeck.coordination.acceptance import Acceptance, end_of
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

OWNER_NAME = "acceptance"
MAX_POLL_S = 0.5
POLLS_PER_WINDOW = 8
MAX_GAP_POLLS = 4
RESTORE_AFTER_S = 10.0


class Owner(Protocol):
    """The part of an ownership that the windows need."""

    @property
    def token(self) -> FencingToken:
        """Return the fencing token of the lease held last."""

    def is_valid(self) -> bool:
        """Return whether the lease is held at this moment."""


class OwnerLapsed(MasticdeckError):
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
        owner: Owner,
        *,
        window_s: float,
        in_force: Callable[[], Configuration | None] = lambda: None,
    ) -> None:
        self.acceptance = acceptance
        self.owner = owner
        self.window_s = window_s
        self.in_force = in_force
        self.behind_since: float | None = None
        self.poll_s = min(MAX_POLL_S, window_s / POLLS_PER_WINDOW)
        self.counted: dict[tuple[ProposalId, int], float] = {}
        self.last_read: float | None = None
        self.token = FencingToken(0)
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
                await self.turn_or_restore()
            await asyncio.sleep(self.poll_s)

    async def turn_or_restore(self) -> None:
        """Count, or write the version in force back to a store that lost it.

        The wait lets a still newer version that another node has in force
        reach this one first.
        """
        try:
            await self.turn()
        except StoreBehind:
            now = boottime()
            if self.behind_since is None:
                self.behind_since = now
            if now - self.behind_since >= RESTORE_AFTER_S:
                await self.restore()
        else:
            self.behind_since = None

    async def restore(self) -> None:
        """Write the version in force back, if this node is the owner."""
        configuration = self.in_force()
        if configuration is None or not self.owner.is_valid():
            return
        file = self.acceptance.file
        if await file.restore(configuration, self.acceptance.deployment):
            self.acceptance.events.emit(
                Code.VERSION_RESTORED, version=configuration.version
            )

    async def turn(self) -> None:
        """Read the ledger once and count on."""
        if not self.owner.is_valid():
            self.forget()
            return
        token = self.owner.token
        if token != self.token:
            self.forget()
            await self.acceptance.file.update(self.fence, guard=self.guard)
            self.token = token
        last, self.last_read = self.last_read, None
        began = boottime()
        _, ledger = await self.acceptance.file.read()
        self.require_fence(ledger)
        passed = self.time_passed(last, began)
        for proposal in ledger.proposals:
            if proposal.stoppable:
                await self.count(proposal, passed)
            elif proposal.accept_by is not None:
                await self.end(proposal)
        pending = {(one.id, one.window) for one in ledger.proposals}
        self.counted = {key: s for key, s in self.counted.items() if key in pending}

    def time_passed(self, last: float | None, now: float) -> float:
        """Return the seconds since the last read, 0 after a failure or a gap."""
        self.last_read = now
        if last is None or now - last > MAX_GAP_POLLS * self.poll_s:
            return 0.0
        return now - last

    async def count(self, proposal: Proposal, passed: float) -> None:
        """Add time to a window and end it when it has lasted long enough."""
        key = (proposal.id, proposal.window)
        if key not in self.counted:
            self.counted[key] = 0.0
            self.acceptance.events.emit(
                Code.VETO_WINDOW_OPENED,
                proposal=proposal.id,
                window=proposal.window,
                holders=",".join(proposal.holders),
            )
            return
        self.counted[key] += passed
        if self.counted[key] >= self.window_s:
            await self.end(proposal)

    async def end(self, proposal: Proposal) -> None:
        """End a window, and accept the proposal when that was asked for."""

        def decide(ledger: Ledger) -> tuple[Ledger, Settled | None]:
            return self.decide_end(ledger, proposal)

        end = await self.acceptance.file.update(decide, guard=self.guard)
        self.acceptance.events.emit(
            Code.VETO_WINDOW_ENDED, proposal=proposal.id, window=proposal.window
        )
        if end is not None:
            self.acceptance.tell(end)

    def decide_end(
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
        return changed, end_of(changed, proposal.id)

    def fence(self, ledger: Ledger) -> tuple[Ledger, None]:
        """Return the ledger with this owner's token."""
        token = self.owner.token
        if ledger.fence > token:
            raise OwnerLapsed(f"token {token}, ledger {ledger.fence}")
        if ledger.fence == token:
            return ledger, None
        return ledger.model_copy(update={"fence": token}), None

    def require_fence(self, ledger: Ledger) -> None:
        """Raise OwnerLapsed unless the ledger carries this owner's token."""
        if ledger.fence != self.token or self.token != self.owner.token:
            raise OwnerLapsed(f"token {self.token}, ledger {ledger.fence}")

    def guard(self) -> None:
        """Raise OwnerLapsed unless the lease is held at this moment."""
        if not self.owner.is_valid():
            raise OwnerLapsed(f"token {self.owner.token}")

    def forget(self) -> None:
        """Drop every count."""
        self.counted.clear()
        self.last_read = None
        self.token = FencingToken(0)
