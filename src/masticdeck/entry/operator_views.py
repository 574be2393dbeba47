"""What the operators' API shows: JSON documents of proposals and versions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
from typing import Any

from masticdeck.coordination.ledger import AcceptedVersion
from masticdeck.coordination.rollout import Rollout
from masticdeck.errors import MasticdeckError
from masticdeck.ids import CustomerId
from masticdeck.node import Node
from masticdeck.state.acceptance import Ledger, Proposal, Settled
from masticdeck.state.changes import Delta, Touch, apply_delta, touched
from masticdeck.state.deployment import Deployment
from masticdeck.state.documents import Fault


def touch_view(touch: Touch) -> dict[str, Any]:
    """Return a customer whom a change touches."""
    return asdict(touch)


def faults_view(faults: Iterable[Fault]) -> list[dict[str, Any]]:
    """Return the faults of two lists."""
    return [asdict(fault) for fault in faults]


def delta_view(delta: Delta) -> list[dict[str, Any]]:
    """Return one line for each item that a delta changes."""
    lines: list[dict[str, Any]] = []
    for kind, edits in (("customer", delta.customers), ("plan", delta.plans)):
        for edit in edits:
            before = (
                None if edit.before is None else edit.before.model_dump(mode="json")
            )
            after = None if edit.after is None else edit.after.model_dump(mode="json")
            item = after or before or {}
            lines.append(
                {"kind": kind, "id": item.get("id"), "before": before, "after": after}
            )
    for change, instances in (("drained", delta.drained), ("in use", delta.undrained)):
        lines += [
            {"kind": "instance", "id": one, "before": None, "after": change}
            for one in instances
        ]
    return lines


def outcome_view(
    outcome: Proposal | Settled, customer: CustomerId | None = None
) -> dict[str, Any]:
    """Return a pending or ended proposal, without others' lines to a customer."""
    if isinstance(outcome, Settled):
        return outcome.model_dump(mode="json")
    document = outcome.model_dump(mode="json", exclude={"delta"})
    document["state"] = "pending"
    document["window_open"] = outcome.stoppable
    document["changes"] = [
        line
        for line in delta_view(outcome.delta)
        if customer is None or line["kind"] != "customer" or line["id"] == customer
    ]
    if customer is not None:
        document["touched"] = [customer] if customer in outcome.touched else []
        document["holders"] = [customer] if customer in outcome.holders else []
    return document


def ledger_view(
    ledger: Ledger, deployment: Deployment, customer: CustomerId | None
) -> dict[str, Any]:
    """Return the accepted version and the pending proposals."""
    shown = [
        outcome_view(one, customer) | {"reasons": reasons(ledger, one, deployment)}
        for one in ledger.proposals
        if customer is None or customer in one.touched
    ]
    if customer is not None:
        for one in shown:
            one["reasons"] = {customer: one["reasons"].get(customer, [])}
    return {"version": ledger.version, "proposals": shown}


def reasons(
    ledger: Ledger, proposal: Proposal, deployment: Deployment
) -> dict[str, list[str]]:
    """Return why a proposal touches each customer."""
    try:
        lists = apply_delta(ledger.lists, proposal.delta)
    except MasticdeckError:
        return {}
    touches = touched(ledger.lists, lists, deployment)
    return {touch.customer: list(touch.reasons) for touch in touches}


def accepted_view(accepted: AcceptedVersion) -> dict[str, Any]:
    """Return one line of the history."""
    proposal = accepted.proposal
    return {
        "version": accepted.configuration.version,
        "proposal": None if proposal is None else proposal.id,
        "by": None if proposal is None else proposal.by,
        "digest": accepted.configuration.lists.digest,
    }


def status_view(node: Node, rollout: Rollout) -> dict[str, Any]:
    """Return this entry's version, and what it knows of its peers' and of the store."""
    return {
        "entry": node.id,
        "zone": node.entry.zone,
        "version": rollout.version,
        "digest": rollout.digest,
        "era": node.store.era,
        "era_age_s": node.store.era_age_s(),
        "known": rollout.is_initialized and not rollout.may_be_stale,
    }
