"""What the components of one entry share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from masticdeck.ids import EntryId, Incarnation

if TYPE_CHECKING:
    import pluggy

    from masticdeck.clock import HybridClock
    from masticdeck.config import Config
    from masticdeck.events import EventLog
    from masticdeck.protocol.store import Store
    from masticdeck.protocol.vms import VmList
    from masticdeck.state.deployment import Deployment, EntryNode
    from masticdeck.transport.peers import PeerChannels


@dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """This entry's identity, settings and connections to the outside."""

    config: Config
    deployment: Deployment
    incarnation: Incarnation
    clock: HybridClock
    events: EventLog
    hooks: pluggy.PluginManager
    store: Store
    vms: VmList
    peers: PeerChannels

    @property
    def id(self) -> EntryId:
        """Return this entry's id."""
        return self.config.entry

    @property
    def entry(self) -> EntryNode:
        """Return this entry's line in the deployment."""
        return self.deployment.entry_by_id[self.config.entry]
