"""Timing of the veto windows of pending proposals, by one node at a time.

The owner of the windows measures them with its own boot-time clock. It counts
only the time in which it could read the ledger, because customers cannot veto
while the store is down. A new owner first writes its fencing token to the
ledger, which makes every write of an earlier owner fail, and restarts all
windows.
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
    """The part of an ownership that the veto windows use."""

    @property
    def token(self) -> FencingToken:
        """Return the fencing token of the latest lease."""

    def is_valid(self) -> bool:
        """Return whether the lease is held now."""


class OwnershipLost(MasticdeckError):
    """The owner of the veto windows lost its lease before its write."""

    code = "MD4017"
    title = "owner of the veto windows has changed"
    remedy = "no action needed; the new owner restarts the veto windows"
    status = 503


class VetoWindows:
    """Ends veto windows and accepts the proposals marked for acceptance.

    ``elapsed_s`` holds the counted seconds of each window, by proposal ID and
    window number. ``written_token`` is the fencing token that this node has
    written to the ledger.
    """

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
        """Start the polling; only the owner of the windows counts."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop the polling."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            with contextlib.suppress(MasticdeckError):
                await self.poll_or_restore()
            await asyncio.sleep(self.poll_interval_s)

    async def poll_or_restore(self) -> None:
        """Poll, or restore the version in force to a store that lost it.

        The restore is delayed so that an even newer version in force on another
        node can reach this one first.
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
        """Write the version in force to the store if this node is the owner."""
        configuration = self.configuration_in_force()
        if configuration is None or not self.owner.is_valid():
            return
        ledger_store = self.acceptance.ledger_store
        if await ledger_store.restore(configuration, self.acceptance.deployment):
            self.acceptance.events.emit(
                Code.VERSION_RESTORED, version=configuration.version
            )

    async def poll(self) -> None:
        """Read the ledger once and add the elapsed time to the open windows."""
        if not self.owner.is_valid():
            self.reset()
            return
        token = self.owner.token
        if token != self.written_token:
            self.reset()
            await self.acceptance.ledger_store.update(
                self.set_fence, before_write=self.require_lease
            )
            self.written_token = token
        previous_read_at, self.last_read_at = self.last_read_at, None
        read_at = boottime()
        _, ledger = await self.acceptance.ledger_store.read()
        self.require_fence(ledger)
        seconds = self.measure_elapsed_s(previous_read_at, read_at)
        for proposal in ledger.proposals:
            if proposal.stoppable:
                await self.add_elapsed(proposal, seconds)
            elif proposal.accept_by is not None:
                await self.end_window(proposal)
        pending_windows = {
            (proposal.id, proposal.window) for proposal in ledger.proposals
        }
        self.elapsed_s = {
            window: elapsed_s
            for window, elapsed_s in self.elapsed_s.items()
            if window in pending_windows
        }

    def measure_elapsed_s(
        self, previous_read_at: float | None, read_at: float
    ) -> float:
        """Record a read and return the seconds since the previous one.

        Returns 0 after a failed read or a long gap, such as a pause of this
        process.
        """
        self.last_read_at = read_at
        if (
            previous_read_at is None
            or read_at - previous_read_at > MAX_GAP_POLLS * self.poll_interval_s
        ):
            return 0.0
        return read_at - previous_read_at

    async def add_elapsed(self, proposal: Proposal, seconds: float) -> None:
        """Add seconds to a window and end it when it has lasted ``window_s``."""
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
        self.elapsed_s[key] += seconds
        if self.elapsed_s[key] >= self.window_s:
            await self.end_window(proposal)

    async def end_window(self, proposal: Proposal) -> None:
        """End a window, and accept the proposal if its acceptance was requested."""

        def transform(ledger: Ledger) -> tuple[Ledger, Settled | None]:
            return self.apply_window_end(ledger, proposal)

        settled = await self.acceptance.ledger_store.update(
            transform, before_write=self.require_lease
        )
        self.acceptance.events.emit(
            Code.VETO_WINDOW_ENDED, proposal=proposal.id, window=proposal.window
        )
        if settled is not None:
            self.acceptance.emit_settled(settled)

    def apply_window_end(
        self, ledger: Ledger, proposal: Proposal
    ) -> tuple[Ledger, Settled | None]:
        """Return the ledger with a window ended, and the settled proposal if any.

        Leaves the ledger unchanged if the proposal has ended or has a newer
        window.
        """
        self.require_fence(ledger)
        pending = ledger.pending(proposal.id)
        if pending is None or pending.window != proposal.window:
            return ledger, ledger.ended(proposal.id)
        if pending.accept_by is None:
            ended = pending.model_copy(update={"window_over": True})
            return (ledger if pending.window_over else ledger.replace(ended)), None
        deployment = self.acceptance.deployment
        try:
            new_ledger = ledger.accept(pending, pending.accept_by, deployment)
        except (DeltaConflict, NoLongerFits):
            new_ledger = ledger.rebase(pending, deployment)
        return new_ledger, require_settled(new_ledger, proposal.id)

    def set_fence(self, ledger: Ledger) -> tuple[Ledger, None]:
        """Return the ledger with this owner's fencing token."""
        token = self.owner.token
        if ledger.fence > token:
            raise OwnershipLost(
                f"own token {token}, token in the ledger {ledger.fence}"
            )
        if ledger.fence == token:
            return ledger, None
        return ledger.model_copy(update={"fence": token}), None

    def require_fence(self, ledger: Ledger) -> None:
        """Raise OwnershipLost unless the ledger has this owner's token."""
        if ledger.fence != self.written_token or self.written_token != self.owner.token:
            raise OwnershipLost(
                f"own token {self.written_token}, token in the ledger {ledger.fence}"
            )

    def require_lease(self) -> None:
        """Raise OwnershipLost unless the lease is held now."""
        if not self.owner.is_valid():
            raise OwnershipLost(f"lease of token {self.owner.token} is not held")

    def reset(self) -> None:
        """Discard all counted time and the written token."""
        self.elapsed_s.clear()
        self.last_read_at = None
        self.written_token = FencingToken(0)
