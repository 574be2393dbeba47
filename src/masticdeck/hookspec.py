"""The named hooks through which components learn of each other's decisions.

Components register objects whose methods carry ``@hookimpl``; callers use
keyword arguments only. Hooks are synchronous and must not block.

>>> hooks = create_hooks()
>>> class Listener:
...     @hookimpl
...     def entry_leaving(self) -> None:
...         print("leaving")
>>> _ = hooks.register(Listener())
>>> _ = hooks.hook.entry_leaving()
leaving
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pluggy

if TYPE_CHECKING:
    from masticdeck.ids import (
        EntryId,
        FencingToken,
        InstanceId,
        MemberState,
        ServiceId,
        Version,
    )
    from masticdeck.state.lists import Configuration

PROJECT = "masticdeck"
hookspec = pluggy.HookspecMarker(PROJECT)
hookimpl = pluggy.HookimplMarker(PROJECT)


class Hooks:
    """Specification of every hook."""

    @hookspec
    def version_in_force(self, version: Version, configuration: Configuration) -> None:
        """Tell that an accepted configuration is now in force on this node."""

    @hookspec
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Tell that this node's view of another entry changed."""

    @hookspec
    def ownership_changed(
        self, name: str, owner: EntryId | None, token: FencingToken
    ) -> None:
        """Tell who owns a name; ``token`` is 0 unless it is this node."""

    @hookspec
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Tell that a backend instance must get no new work."""

    @hookspec
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Tell that a backend instance may get new work again."""

    @hookspec
    def entry_leaving(self) -> None:
        """Tell that this entry begins its planned stop."""

    @hookspec
    def slots_available(self, service: ServiceId) -> None:
        """Tell that this node may have gained usable slots of a service."""


def create_hooks() -> pluggy.PluginManager:
    """Return an empty plugin manager that knows the specification."""
    manager = pluggy.PluginManager(PROJECT)
    manager.add_hookspecs(Hooks)
    return manager
