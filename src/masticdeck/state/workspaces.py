"""Workspaces of a configuration version: who may send requests, and how many."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NewType, final

from masticdeck.ids import RegionId, WorkspaceId

KeyDigest = NewType("KeyDigest", str)
"""Digest of a key; keys themselves do not get past the adapter of the platform."""


@final
@dataclass(frozen=True, slots=True)
class RateLimit:
    """Requests that all entries together admit for a workspace.

    ``rate_per_s`` is the sustained rate, ``burst`` the number of requests that may
    exceed it at once.
    """

    rate_per_s: float
    burst: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace and what its requests may use.

    ``priority`` replaces that of the route, None keeps the latter. An empty
    ``home_regions`` allows every region. ``limit`` is None for unlimited requests.
    """

    id: WorkspaceId
    priority: int | None = None
    home_regions: frozenset[RegionId] = frozenset()
    limit: RateLimit | None = None


@final
class WorkspaceTable:
    """The workspaces of a configuration, indexed by the digests of their keys.

    A look-up costs one dictionary access, whatever the number of keys. A key that is
    listed for several workspaces names none of them; ``shared_keys`` is the number of
    such keys. ``omitted`` states why workspaces of the configuration were left out.

    >>> table = WorkspaceTable([(Workspace(id=WorkspaceId("w")), [KeyDigest("d")])])
    >>> table.find(KeyDigest("d")).id
    'w'
    """

    def __init__(
        self,
        workspaces: Iterable[tuple[Workspace, Iterable[KeyDigest]]] = (),
        *,
        omitted: Iterable[str] = (),
    ) -> None:
        by_id: dict[WorkspaceId, Workspace] = {}
        by_key: dict[KeyDigest, Workspace | None] = {}
        shared: set[KeyDigest] = set()
        for workspace, keys in workspaces:
            by_id[workspace.id] = workspace
            # Whole sets, because a loop over 100,000 keys delays requests.
            own: dict[KeyDigest, Workspace | None] = dict.fromkeys(keys, workspace)
            shared |= {
                key for key in by_key.keys() & own.keys() if by_key[key] != workspace
            }
            by_key.update(own)
        by_key.update(dict.fromkeys(shared))
        self.by_id: Mapping[WorkspaceId, Workspace] = by_id
        self.by_key: Mapping[KeyDigest, Workspace | None] = by_key
        self.shared_keys = len(shared)
        self.omitted = tuple(omitted)

    def find(self, key: KeyDigest) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return self.by_key.get(key)
