"""Values of the acceptance of changes: proposals and the ledger that holds them.

The ledger is the value of one key of the platform's store. It holds the
accepted version with both lists, the pending proposals, and how the latest
ones ended. Every step is a compare-and-swap of this one key.
"""

from __future__ import annotations

from enum import Enum
from typing import final

from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId, FencingToken, Outcome, ProposalId, Version
from masticdeck.state.changes import Delta, DeltaConflict, apply_delta, touched
from masticdeck.state.checks import check_lists
from masticdeck.state.deployment import Deployment, Model
from masticdeck.state.lists import EMPTY, Configuration, Lists, make_configuration

SETTLED_KEPT = 256
MAX_PENDING = 64


class ProposalInvalid(MasticdeckError):
    """A proposal changes nothing or misses a field."""

    code = "MD4001"
    title = "proposal invalid"
    remedy = "correct the proposal as the detail says"
    status = 400


class ProposalUnknown(MasticdeckError):
    """No pending or ended proposal has the id."""

    code = "MD4003"
    title = "proposal unknown"
    remedy = "list the proposals with masticdeckctl show"
    status = 404


class ProposalVetoed(MasticdeckError):
    """A customer stopped the proposal before it was accepted."""

    code = "MD4004"
    title = "proposal vetoed"
    remedy = "agree with the customer and make a new proposal"
    status = 409


class AcceptedAlready(MasticdeckError):
    """A veto came after the acceptance."""

    code = "MD4005"
    title = "proposal accepted already"
    remedy = "ask an operator to propose a version that takes the change back"
    status = 409


class BaseUnknown(MasticdeckError):
    """A proposal names a base version that was never accepted."""

    code = "MD4006"
    title = "base version unknown"
    remedy = (
        "run masticdeckctl show, make the edit on the lists in force, propose again"
    )
    status = 409


class NoLongerFits(MasticdeckError):
    """A proposal fails the check against a version accepted since its base."""

    code = "MD4007"
    title = "proposal no longer fits the accepted version"
    remedy = (
        "run masticdeckctl show, make the edit on the lists in force, propose again"
    )
    status = 409


class VetoNotAllowed(MasticdeckError):
    """The customer holds no veto or the change does not touch its services."""

    code = "MD4008"
    title = "veto not allowed"
    remedy = "a customer may veto only changes that touch it, if its contract says so"
    status = 403


class StoreBehind(MasticdeckError):
    """The store answered with an older version than is in force."""

    code = "MD4009"
    title = "store answers with an older version than is in force"
    remedy = "wait until the store has caught up, or have its operators restore it"
    status = 503


class ProposalSettled(MasticdeckError):
    """The proposal was withdrawn or refused before."""

    code = "MD4014"
    title = "proposal ended before"
    remedy = "make a new proposal"
    status = 409


class TooManyProposals(MasticdeckError):
    """The ledger holds as many pending proposals as it may."""

    code = "MD4015"
    title = "too many pending proposals"
    remedy = "accept or withdraw some of them first"
    status = 429


class LedgerFull(MasticdeckError):
    """The ledger would be longer than the store's largest value."""

    code = "MD4018"
    title = "the lists and pending proposals are too long for the store"
    remedy = "withdraw pending proposals or shorten the lists"
    status = 413


class WriteUnknown(MasticdeckError):
    """The store did not answer, and the write could not be read back."""

    code = "MD4016"
    title = "outcome of the change unknown"
    remedy = "repeat the same command with the same proposal id; it takes effect once"
    status = 503
    outcome = Outcome.UNKNOWN


class ProposalState(Enum):
    """Where a proposal stands; all but the first are final."""

    PENDING = "pending"
    ACCEPTED = "accepted"
    VETOED = "vetoed"
    WITHDRAWN = "withdrawn"
    REFUSED = "refused"


@final
class Proposal(Model):
    """A pending change.

    ``holders`` are the customers who may veto it. ``window`` numbers the veto
    windows of this proposal: a rebase that touches more holders opens a new one.
    """

    id: ProposalId
    base: Version
    by: str
    note: str = ""
    delta: Delta
    touched: tuple[CustomerId, ...] = ()
    holders: tuple[CustomerId, ...] = ()
    window: int = 1
    window_over: bool = False
    accept_by: str | None = None

    @property
    def stoppable(self) -> bool:
        """Return whether a veto window is still open."""
        return bool(self.holders) and not self.window_over


@final
class Settled(Model):
    """How a proposal ended; ``version`` is set when it was accepted."""

    id: ProposalId
    state: ProposalState
    by: str
    version: Version | None = None
    reason: str = ""


@final
class Ledger(Model):
    """The accepted version, the pending proposals and the latest ended ones.

    ``fence`` is the largest fencing token of an owner of the veto windows that
    has written; an owner with a smaller token may change nothing.
    """

    version: Version = Version(0)
    lists: Lists = EMPTY
    proposals: tuple[Proposal, ...] = ()
    settled: tuple[Settled, ...] = ()
    fence: FencingToken = FencingToken(0)

    @property
    def configuration(self) -> Configuration:
        """Return the accepted configuration."""
        return make_configuration(self.version, self.lists)

    def pending(self, proposal: ProposalId) -> Proposal | None:
        """Return a pending proposal, or None."""
        return next((one for one in self.proposals if one.id == proposal), None)

    def ended(self, proposal: ProposalId) -> Settled | None:
        """Return how a proposal ended, or None while it is pending or unknown."""
        return next((one for one in self.settled if one.id == proposal), None)

    @property
    def accepted(self) -> Settled | None:
        """Return the proposal that made the accepted version."""
        return next((one for one in self.settled if one.version == self.version), None)

    def replace(self, proposal: Proposal) -> Ledger:
        """Return the ledger with a proposal added or replaced."""
        others = tuple(one for one in self.proposals if one.id != proposal.id)
        return self.model_copy(update={"proposals": (*others, proposal)})

    def settle(self, end: Settled) -> Ledger:
        """Return the ledger with a proposal ended."""
        proposals = tuple(one for one in self.proposals if one.id != end.id)
        settled = (*self.settled, end)[-SETTLED_KEPT:]
        return self.model_copy(update={"proposals": proposals, "settled": settled})

    def accept(self, proposal: Proposal, by: str, deployment: Deployment) -> Ledger:
        """Return the ledger with a proposal accepted and the others rebased.

        Raises DeltaConflict or NoLongerFits.
        """
        lists = checked(self.lists, proposal.delta, deployment)
        version = Version(self.version + 1)
        end = Settled(
            id=proposal.id, state=ProposalState.ACCEPTED, by=by, version=version
        )
        ledger = self.settle(end).model_copy(
            update={"version": version, "lists": lists}
        )
        for other in ledger.proposals:
            ledger = ledger.rebase(other, deployment)
        return ledger

    def rebase(self, proposal: Proposal, deployment: Deployment) -> Ledger:
        """Return the ledger with a proposal on the accepted version, or refused."""
        try:
            return self.replace(rebased(proposal, self, deployment))
        except (DeltaConflict, NoLongerFits, ProposalInvalid) as error:
            return self.settle(
                Settled(
                    id=proposal.id,
                    state=ProposalState.REFUSED,
                    by=f"version {self.version}",
                    reason=str(error),
                )
            )


def checked(base: Lists, delta: Delta, deployment: Deployment) -> Lists:
    """Return the base with a delta, or raise DeltaConflict or NoLongerFits."""
    lists = apply_delta(base, delta)
    faults = check_lists(lists, deployment)
    if faults:
        raise NoLongerFits("; ".join(f"{one.field}: {one.problem}" for one in faults))
    return lists


def rebased(proposal: Proposal, ledger: Ledger, deployment: Deployment) -> Proposal:
    """Return a proposal on the accepted version, with its holders found anew."""
    lists = checked(ledger.lists, proposal.delta, deployment)
    if lists.digest == ledger.lists.digest:
        raise ProposalInvalid("the change is in force already")
    touches = touched(ledger.lists, lists, deployment)
    holders = tuple(one.customer for one in touches if one.veto)
    more = not set(holders) <= set(proposal.holders)
    return proposal.model_copy(
        update={
            "base": ledger.version,
            "touched": tuple(one.customer for one in touches),
            "holders": holders,
            "window": proposal.window + more,
            "window_over": proposal.window_over and not more,
        }
    )
