"""Instances that the configuration in force names as drained get no new work."""

from __future__ import annotations

from masticdeck.coordination.drain_notes import DrainNote, DrainSource
from masticdeck.coordination.drains import Drains
from masticdeck.coordination.membership import Membership
from masticdeck.hookspec import hookimpl
from masticdeck.ids import InstanceId, Version
from masticdeck.state.lists import Lists, PlanList
from testing.coordination.configuration_world import LISTS
from testing.coordination.test_rollout import Entry, Network


class HookRecorder:
    """Records the drain hooks in the order of their calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []

    @hookimpl
    def instance_leaving(self, instance, source):
        self.calls.append(("leaving", instance))

    @hookimpl
    def instance_returned(self, instance, source):
        self.calls.append(("returned", instance))


def lists_with_drained(*names: str) -> Lists:
    instances = tuple(InstanceId(name) for name in names)
    return Lists(
        customers=LISTS.customers,
        plans=PlanList(plans=LISTS.plans.plans, drained=instances),
    )


async def test_drained_instances_leave_and_return_with_the_version_in_force():
    """An instance that another source still reports must not return with the lists."""
    entry = Entry(Network(count=1), "entry-1", watchers=1)
    drains = Drains(entry.node, Membership(entry.node))
    recorder = HookRecorder()
    entry.node.hooks.register(recorder)
    entry.rollout.install(
        Version(1), lists_with_drained("raksti-1", "raksti-2"), source="test"
    )
    assert drains.leaving_names == {"raksti-1", "raksti-2"}
    drains.record_notes(
        [DrainNote(name="raksti-2", source=DrainSource.PLATFORM, leaving=True, stamp=1)]
    )
    entry.rollout.install(Version(2), lists_with_drained(), source="test")
    assert drains.leaving_names == {"raksti-2"}
    assert recorder.calls == [
        ("leaving", "raksti-1"),
        ("leaving", "raksti-2"),
        ("returned", "raksti-1"),
    ]
