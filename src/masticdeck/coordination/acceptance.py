"""Acceptance of changes: proposal, veto, withdrawal and acceptance.

All of them race through one compare-and-swap on the ledger, so that exactly
one wins. Each recognises its own earlier effect by the proposal's id and may be
repeated at any entry.
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
    """What an operator proposes: whole lists, made on a base version."""

    id: ProposalId
    base: Version
    lists: Lists
    by: str
    note: str = ""


class Acceptance:
    """The operators' and customers' side of the ledger.

    ``floor`` returns the version in force on this node.
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
        """File a proposal, or return how the one with the same id stands.

        The change is the difference between its lists and those of its base
        version. When other versions were accepted since, it is put on the
        accepted one if the items it changes are still as in its base.
        Raises ListsInvalid, DeltaConflict, NoLongerFits or BaseUnknown.
        """
        known = await self.find_or_none(change.id)
        if known is not None:
            return known
        faults = check_lists(change.lists, self.deployment)
        if faults:
            raise ListsInvalid(faults)
        delta = make_delta(await self.read_base_lists(change.base), change.lists)
        if delta.empty:
            raise ProposalInvalid(f"it equals version {change.base}")

        def decide(ledger: Ledger) -> tuple[Ledger, ProposalStatus]:
            return self.add_proposal(ledger, change, delta)

        outcome = await self.ledger_store.update(decide)
        self.events.emit(
            Code.PROPOSAL_FILED, proposal=change.id, base=change.base, by=change.by
        )
        return outcome

    def add_proposal(
        self, ledger: Ledger, change: Change, delta: Delta
    ) -> tuple[Ledger, ProposalStatus]:
        """Add the proposal to a ledger unless it is there."""
        known = ledger.pending(change.id) or ledger.ended(change.id)
        if known is not None:
            return ledger, known
        if len(ledger.proposals) >= MAX_PENDING:
            raise TooManyProposals(str(len(ledger.proposals)))
        bare = Proposal(
            id=change.id,
            base=change.base,
            by=change.by,
            note=change.note[:MAX_NOTE_CHARACTERS],
            delta=delta,
        )
        proposal = rebased(bare, ledger, self.deployment)
        proposal = proposal.model_copy(update={"window": 1})
        return ledger.replace(proposal), proposal

    async def read_base_lists(self, base: Version) -> Lists:
        """Return the lists of a base version; version 0 has empty ones."""
        if base == 0:
            return EMPTY
        accepted = await self.ledger_store.read_version(base)
        if accepted is None:
            raise BaseUnknown(f"version {base} was never accepted")
        return accepted.configuration.lists

    async def accept(self, proposal: ProposalId, *, by: str) -> ProposalStatus:
        """Accept a proposal, at once or when its veto window has ended.

        Returns the pending proposal while its veto window is open: the owner
        of the windows accepts it when the window ends without a veto.
        """
        old = await self.ledger_store.read_acceptance(proposal)
        if old is not None:
            return old

        def decide(ledger: Ledger) -> tuple[Ledger, ProposalStatus]:
            ended = ledger.ended(proposal)
            if ended is not None:
                return ledger, raise_unless_accepted(ended)
            pending = self.require_pending(ledger, proposal)
            if pending.stoppable:
                if pending.accept_by is not None:
                    return ledger, pending
                asked = pending.model_copy(update={"accept_by": by})
                return ledger.replace(asked), asked
            changed = ledger.accept(pending, by, self.deployment)
            return changed, require_settled(changed, proposal)

        outcome = await self.ledger_store.update(decide)
        self.emit_settled(outcome)
        return outcome

    async def veto(
        self, proposal: ProposalId, *, customer: CustomerId, reason: str
    ) -> Settled:
        """Stop a proposal in the name of a customer who holds a veto on it.

        Raises AcceptedAlready when the acceptance won, and VetoNotAllowed.
        """
        if await self.ledger_store.read_acceptance(proposal) is not None:
            raise AcceptedAlready(repr(proposal))

        def decide(ledger: Ledger) -> tuple[Ledger, Settled]:
            ended = ledger.ended(proposal)
            if ended is not None:
                return ledger, raise_unless_vetoed(ended)
            pending = self.require_pending(ledger, proposal)
            if customer not in pending.holders:
                raise VetoNotAllowed(f"{customer!r} on proposal {proposal!r}")
            end = Settled(
                id=proposal,
                state=ProposalState.VETOED,
                by=customer,
                reason=reason[:MAX_NOTE_CHARACTERS],
            )
            return ledger.settle(end), end

        end = await self.ledger_store.update(decide)
        self.emit_settled(end)
        return end

    async def withdraw(self, proposal: ProposalId, *, by: str) -> Settled:
        """Take a pending proposal back."""

        def decide(ledger: Ledger) -> tuple[Ledger, Settled]:
            ended = ledger.ended(proposal)
            if ended is not None:
                if ended.state is ProposalState.WITHDRAWN:
                    return ledger, ended
                raise ProposalSettled(f"{proposal!r} was {ended.state.value}")
            self.require_pending(ledger, proposal)
            end = Settled(id=proposal, state=ProposalState.WITHDRAWN, by=by)
            return ledger.settle(end), end

        end = await self.ledger_store.update(decide)
        self.emit_settled(end)
        return end

    async def find_or_none(self, proposal: ProposalId) -> ProposalStatus | None:
        """Return how a proposal stands, also when it was accepted long ago."""
        _, ledger = await self.ledger_store.read()
        found = ledger.pending(proposal) or ledger.ended(proposal)
        return found or await self.ledger_store.read_acceptance(proposal)

    async def find(self, proposal: ProposalId) -> ProposalStatus:
        """Return how a proposal stands, or raise ProposalUnknown."""
        found = await self.find_or_none(proposal)
        if found is None:
            raise ProposalUnknown(repr(proposal))
        return found

    async def read_ledger(self) -> Ledger:
        """Return the whole ledger."""
        _, ledger = await self.ledger_store.read()
        return ledger

    async def read_history(self, *, limit: int) -> list[AcceptedVersion]:
        """Return the latest accepted versions, the newest first."""
        return await self.ledger_store.read_history(limit=limit)

    def require_pending(self, ledger: Ledger, proposal: ProposalId) -> Proposal:
        """Return a pending proposal of a ledger, or raise ProposalUnknown."""
        found = ledger.pending(proposal)
        if found is None:
            raise ProposalUnknown(repr(proposal))
        return found

    def emit_settled(self, outcome: ProposalStatus) -> None:
        """Emit the event of an outcome."""
        if isinstance(outcome, Settled):
            self.events.emit(
                SETTLED_EVENT_CODES[outcome.state],
                proposal=outcome.id,
                by=outcome.by,
                version=outcome.version or "",
            )


SETTLED_EVENT_CODES = {
    ProposalState.ACCEPTED: Code.PROPOSAL_ACCEPTED,
    ProposalState.VETOED: Code.PROPOSAL_VETOED,
    ProposalState.WITHDRAWN: Code.PROPOSAL_WITHDRAWN,
    ProposalState.REFUSED: Code.PROPOSAL_REFUSED,
}


def raise_unless_accepted(ended: Settled) -> Settled:
    """Return the end of an accepted proposal, or raise what ended it."""
    if ended.state is ProposalState.ACCEPTED:
        return ended
    if ended.state is ProposalState.VETOED:
        raise ProposalVetoed(f"{ended.id!r} by {ended.by}: {ended.reason}")
    raise ProposalSettled(f"{ended.id!r} was {ended.state.value}: {ended.reason}")


def raise_unless_vetoed(ended: Settled) -> Settled:
    """Return the end of a vetoed proposal, or raise what ended it."""
    if ended.state is ProposalState.VETOED:
        return ended
    if ended.state is ProposalState.ACCEPTED:
        raise AcceptedAlready(f"{ended.id!r} as version {ended.version}")
    raise ProposalSettled(f"{ended.id!r} was {ended.state.value}")


def require_settled(ledger: Ledger, proposal: ProposalId) -> Settled:
    """Return how a proposal ended in a ledger."""
    ended = ledger.ended(proposal)
    if ended is None:
        raise ProposalUnknown(repr(proposal))
    return ended
