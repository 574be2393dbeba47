"""Builds the components of an entry that accept and roll out configurations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, final

from masticdeck.application import Component
from masticdeck.coordination.acceptance import Acceptance
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.ownership import Ownership
from masticdeck.coordination.rollout import Rollout
from masticdeck.coordination.rollout_peers import RolloutPeers, RolloutService
from masticdeck.coordination.rollout_watch import LedgerWatcher
from masticdeck.coordination.veto_window import OWNERSHIP_NAME, VetoWindows
from masticdeck.entry.operators import OperatorApi
from masticdeck.node import Node
from masticdeck.protocol.identity import Authenticator

if TYPE_CHECKING:
    from grpclib._typing import IServable


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationParts:
    """What the application adds: components, a peer service and the API."""

    rollout: Rollout
    service: IServable
    components: tuple[Component, ...]
    api: OperatorApi


def build_configuration(node: Node, membership: Membership) -> ConfigurationParts:
    """Return the components, not yet started."""
    rollout = Rollout(node)
    peers = RolloutPeers(
        node, rollout, membership, watchers_per_zone=node.config.watchers_per_zone
    )
    watch = LedgerWatcher(node, rollout, peers)
    rollout.sources = [peers, watch]
    acceptance = Acceptance(
        node.store, node.deployment, node.events, lambda: rollout.version
    )
    owner = Ownership(node, OWNERSHIP_NAME, membership=membership)
    windows = VetoWindows(
        acceptance,
        owner,
        window_s=node.config.veto_window_s,
        configuration_in_force=lambda: rollout.configuration,
    )

    def status() -> dict[str, Any]:
        return {
            "watcher": peers.is_watcher(),
            "store_behind": watch.is_store_behind,
            "acceptance_owner": owner.owner,
            "members": [
                {
                    "id": member.id,
                    "zone": member.zone,
                    "state": member.state.value,
                    "version": member.version,
                }
                for member in membership.members.values()
            ],
        }

    api = OperatorApi(
        node,
        acceptance,
        rollout,
        Authenticator(node.config.operator_tokens, node.events),
        status,
    )
    return ConfigurationParts(
        rollout=rollout,
        service=RolloutService(rollout),
        components=(rollout, watch, peers, owner, windows),
        api=api,
    )
