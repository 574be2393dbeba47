"""How long a request may be expected to run at an instance.

Load that it answers: an instance works three times longer for an object that it
has not handled lately, so one average over all requests is wrong for both kinds.
An entry remembers which keys an instance has answered and keeps an average for
each kind by route. A request that is cut at its deadline shows a lower bound.
"""

from __future__ import annotations

from collections import OrderedDict

from masticdeck.coordination.instance_load import moving_average
from masticdeck.ids import InstanceId
from masticdeck.state.routes import Route, RouteId

MAX_KEYS_PER_INSTANCE = 24
"""Keys remembered for each instance: about as many objects as one keeps."""

MIN_SILENCE_TIMEOUT_S = 0.4
"""Shortest silence of an instance that counts against it, in seconds."""

SILENCE_TIMEOUT_FACTOR = 2.0
"""Silence that counts, in expected run times for an object new to the instance."""


class RunTimes:
    """Run times that this entry has seen, in seconds from sending to the answer.

    The first run for a key at an instance is kept apart from later ones; for a
    route and instances ``i`` and ``j`` of its service:

    >>> times = RunTimes()
    >>> times.record_run(route, i, "7", 0.9)
    >>> times.record_run(route, i, "7", 0.3)
    >>> times.expected_s(route, i, "7"), times.expected_s(route, j, "7")
    (0.3, 0.9)
    """

    def __init__(self) -> None:
        self.mean_s: dict[tuple[RouteId, bool], float] = {}
        self.answered_keys: dict[
            InstanceId, OrderedDict[tuple[RouteId, str], None]
        ] = {}

    def has_answered(self, route: Route, instance: InstanceId, key: str | None) -> bool:
        """Return whether an instance has answered for a key lately."""
        known = self.answered_keys.get(instance)
        return known is not None and key is not None and (route.id, key) in known

    def expected_s(
        self, route: Route, instance: InstanceId, key: str | None
    ) -> float | None:
        """Return how long a request runs there, None when nothing is known."""
        return self.mean_s.get((route.id, self.has_answered(route, instance, key)))

    def record_run(
        self, route: Route, instance: InstanceId, key: str | None, duration_s: float
    ) -> None:
        """Take in a complete run; the instance knows the key from now on."""
        kind = route.id, self.has_answered(route, instance, key)
        self.mean_s[kind] = moving_average(self.mean_s.get(kind), duration_s)
        if key is None:
            return
        known = self.answered_keys.setdefault(instance, OrderedDict())
        known[route.id, key] = None
        known.move_to_end((route.id, key))
        if len(known) > MAX_KEYS_PER_INSTANCE:
            known.popitem(last=False)

    def record_unfinished(
        self, route: Route, instance: InstanceId, key: str | None, duration_s: float
    ) -> None:
        """Take in that a run took longer than a time."""
        kind = route.id, self.has_answered(route, instance, key)
        usual = self.mean_s.get(kind)
        if usual is None or duration_s > usual:
            self.mean_s[kind] = moving_average(usual, duration_s)

    def remove(self, instance: InstanceId) -> None:
        """Drop what is known of an incarnation that is gone."""
        self.answered_keys.pop(instance, None)

    def silence_timeout_s(self, route: Route, remaining_s: float) -> float | None:
        """Return the silence after which another instance should be tried.

        None when a run may take that long, or another one no longer fits into
        the time left.
        """
        longest = max(
            self.mean_s.get((route.id, False), 0.0),
            self.mean_s.get((route.id, True), 0.0),
        )
        if not longest:
            return None
        patience = max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * longest)
        return patience if patience + longest <= remaining_s else None
