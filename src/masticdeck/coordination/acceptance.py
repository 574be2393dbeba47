"""Proposal, veto, withdrawal and acceptance of configuration changes.

Each operation is one compare-and-swap of the ledger, so exactly one of several
concurrent operations on a proposal succeeds. Operations are idempotent: they
recognise their own earlier effect by the proposal ID, so a client may retry
them at any entry.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from masticdeck.coordination.ledger import AcceptedVersion, LedgerStore
from masticdeck.events import Code, EventLog
from masticdeck.ids import CustomerId, ProposalId, Version
from masticdeck.protocol.store import Store
from masticdeck.state.acceptance import (
    MAX_PENDING,
    AcceptedAlready,
    BaseUnknown,
    Ledger,
    Proposal,
    ProposalInvalid,
    ProposalSettled,
    ProposalState,
    ProposalUnknown,
    ProposalVetoed,
    Settled,
    TooManyProposals,
    VetoNotAllowed,
    rebased,
)
from masticdeck.state.changes import Delta, make_delta
from masticdeck.state.checks import ListsInvalid, check_lists
from masticdeck.state.deployment import Deployment
from masticdeck.state.lists import EMPTY, Lists

MAX_NOTE_CHARACTERS = 1000
ProposalStatus = Proposal | Settled


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change request: complete lists, edited from the version ``base``."""

    id: ProposalId
    base: Version
    lists: Lists
    by: str
    note: str = ""


class Acceptance:
    """Operations of operators and customers on the ledger.

    ``version_in_force`` returns the configuration version in force on this
    node.
    """

    def __init__(
        self,
        store: Store,
        deployment: Deployment,
        events: EventLog,
        version_in_force: Callable[[], Version],
    ) -> None:
        self.ledger_store = LedgerStore(store, version_in_force)
        self.deployment = deployment
        self.events = events

    async def propose(self, change: Change) -> ProposalStatus:
        """File a proposal, or return the status of the one with the same ID.

        The proposal stores the difference between the lists of the change and
        those of its base version. If newer versions have been accepted since,
        the difference is rebased onto the accepted one, provided that the items
        it changes are still the same as in its base.
        Raises ListsInvalid, DeltaConflict, NoLongerFits, BaseUnknown,
        ProposalInvalid or TooManyProposals.
        """
        existing = await self.find_or_none(change.id)
        if existing is not None:
            return existing
        faults = check_lists(change.lists, self.deployment)
        if faults:
            raise ListsInvalid(faults)
        delta = make_delta(await self.read_base_lists(change.base), change.lists)
        if delta.empty:
            raise ProposalInvalid(f"the lists equal version {change.base}")

        def transform(ledger: Ledger) -> tuple[Ledger, ProposalStatus]:
            return self.add_proposal(ledger, change, delta)

        status = await self.ledger_store.update(transform)
        self.events.emit(
            Code.PROPOSAL_FILED, proposal=change.id, base=change.base, by=change.by
        )
        return status

    def add_proposal(
        self, ledger: Ledger, change: Change, delta: Delta
    ) -> tuple[Ledger, ProposalStatus]:
        """Return the ledger with the proposal added, unless it has it already."""
        existing = ledger.pending(change.id) or ledger.ended(change.id)
        if existing is not None:
            return ledger, existing
        if len(ledger.proposals) >= MAX_PENDING:
            raise TooManyProposals(str(len(ledger.proposals)))
        unrebased = Proposal(
            id=change.id,
            base=change.base,
            by=change.by,
            note=change.note[:MAX_NOTE_CHARACTERS],
            delta=delta,
        )
        proposal = rebased(unrebased, ledger, self.deployment)
        proposal = proposal.model_copy(update={"window": 1})
        return ledger.replace(proposal), proposal

    async def read_base_lists(self, base: Version) -> Lists:
        """Return the lists of a base version; those of version 0 are empty."""
        if base == 0:
            return EMPTY
        accepted = await self.ledger_store.read_version(base)
        if accepted is None:
            raise BaseUnknown(f"version {base} was never accepted")
        return accepted.configuration.lists

    async def accept(self, proposal: ProposalId, *, by: str) -> ProposalStatus:
        """Accept a proposal now, or request its acceptance for later.

        While its veto window is open, records the request and returns the
        pending proposal. The node that owns the veto windows then accepts it
        when the window ends without a veto.
        """
        settled = await self.ledger_store.read_acceptance(proposal)
        if settled is not None:
            return settled

        def transform(ledger: Ledger) -> tuple[Ledger, ProposalStatus]:
            existing = ledger.ended(proposal)
            if existing is not None:
                return ledger, raise_unless_accepted(existing)
            pending = self.require_pending(ledger, proposal)
            if pending.stoppable:
                if pending.accept_by is not None:
                    return ledger, pending
                requested = pending.model_copy(update={"accept_by": by})
                return ledger.replace(requested), requested
            new_ledger = ledger.accept(pending, by, self.deployment)
            return new_ledger, require_settled(new_ledger, proposal)

        status = await self.ledger_store.update(transform)
        self.emit_settled(status)
        return status

    async def veto(
        self, proposal: ProposalId, *, customer: CustomerId, reason: str
    ) -> Settled:
        """Veto a proposal on behalf of a customer that holds a veto on it.

        Raises AcceptedAlready if the proposal was accepted first, and
        VetoNotAllowed if the customer holds no veto on it.
        """
        if await self.ledger_store.read_acceptance(proposal) is not None:
            raise AcceptedAlready(repr(proposal))

        def transform(ledger: Ledger) -> tuple[Ledger, Settled]:
            existing = ledger.ended(proposal)
            if existing is not None:
                return ledger, raise_unless_vetoed(existing)
            pending = self.require_pending(ledger, proposal)
            if customer not in pending.holders:
                raise VetoNotAllowed(
                    f"{customer!r} holds no veto on proposal {proposal!r}"
                )
            settled = Settled(
                id=proposal,
                state=ProposalState.VETOED,
                by=customer,
                reason=reason[:MAX_NOTE_CHARACTERS],
            )
            return ledger.settle(settled), settled

        settled = await self.ledger_store.update(transform)
        self.emit_settled(settled)
        return settled

    async def withdraw(self, proposal: ProposalId, *, by: str) -> Settled:
        """Withdraw a pending proposal; raises ProposalSettled if it has ended."""

        def transform(ledger: Ledger) -> tuple[Ledger, Settled]:
            existing = ledger.ended(proposal)
            if existing is not None:
                if existing.state is ProposalState.WITHDRAWN:
                    return ledger, existing
                raise ProposalSettled(f"{proposal!r} was {existing.state.value}")
            self.require_pending(ledger, proposal)
            settled = Settled(id=proposal, state=ProposalState.WITHDRAWN, by=by)
            return ledger.settle(settled), settled

        settled = await self.ledger_store.update(transform)
        self.emit_settled(settled)
        return settled

    async def find_or_none(self, proposal: ProposalId) -> ProposalStatus | None:
        """Return the status of a proposal, or None if its ID is unknown.

        Also finds accepted proposals that the ledger no longer lists.
        """
        _, ledger = await self.ledger_store.read()
        status = ledger.pending(proposal) or ledger.ended(proposal)
        return status or await self.ledger_store.read_acceptance(proposal)

    async def find(self, proposal: ProposalId) -> ProposalStatus:
        """Return the status of a proposal, or raise ProposalUnknown."""
        status = await self.find_or_none(proposal)
        if status is None:
            raise ProposalUnknown(repr(proposal))
        return status

    async def read_ledger(self) -> Ledger:
        """Read the ledger from the store."""
        _, ledger = await self.ledger_store.read()
        return ledger

    async def read_history(self, *, limit: int) -> list[AcceptedVersion]:
        """Return the latest accepted versions, newest first."""
        return await self.ledger_store.read_history(limit=limit)

    def require_pending(self, ledger: Ledger, proposal: ProposalId) -> Proposal:
        """Return a pending proposal of the ledger, or raise ProposalUnknown."""
        pending = ledger.pending(proposal)
        if pending is None:
            raise ProposalUnknown(repr(proposal))
        return pending

    def emit_settled(self, status: ProposalStatus) -> None:
        """Emit the event of a settled proposal; does nothing for a pending one."""
        if isinstance(status, Settled):
            self.events.emit(
                SETTLED_EVENT_CODES[status.state],
                proposal=status.id,
                by=status.by,
                version=status.version or "",
            )


SETTLED_EVENT_CODES = {
    ProposalState.ACCEPTED: Code.PROPOSAL_ACCEPTED,
    ProposalState.VETOED: Code.PROPOSAL_VETOED,
    ProposalState.WITHDRAWN: Code.PROPOSAL_WITHDRAWN,
    ProposalState.REFUSED: Code.PROPOSAL_REFUSED,
}


def raise_unless_accepted(settled: Settled) -> Settled:
    """Return the settled proposal if it was accepted, else raise.

    Raises ProposalVetoed or ProposalSettled.
    """
    if settled.state is ProposalState.ACCEPTED:
        return settled
    if settled.state is ProposalState.VETOED:
        raise ProposalVetoed(f"{settled.id!r} by {settled.by}: {settled.reason}")
    raise ProposalSettled(f"{settled.id!r} was {settled.state.value}: {settled.reason}")


def raise_unless_vetoed(settled: Settled) -> Settled:
    """Return the settled proposal if it was vetoed, else raise.

    Raises AcceptedAlready or ProposalSettled.
    """
    if settled.state is ProposalState.VETOED:
        return settled
    if settled.state is ProposalState.ACCEPTED:
        raise AcceptedAlready(f"{settled.id!r} as version {settled.version}")
    raise ProposalSettled(f"{settled.id!r} was {settled.state.value}")


def require_settled(ledger: Ledger, proposal: ProposalId) -> Settled:
    """Return a settled proposal of the ledger, or raise ProposalUnknown."""
    settled = ledger.ended(proposal)
    if settled is None:
        raise ProposalUnknown(repr(proposal))
    return settled
