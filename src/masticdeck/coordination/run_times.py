"""How long a request may be expected to run at an instance.

Load that it answers: an instance works three times longer for an object that it
has not handled lately, so one average over all requests is wrong for both kinds.
An entry remembers which keys an instance has answered and keeps an average for
each kind by route. A request that is cut at its deadline shows a lower bound.
"""

from __future__ import annotations

from collections import OrderedDict

from masticdeck.coordination.room import average
from masticdeck.ids import InstanceId
from masticdeck.state.routes import Route, RouteId

REMEMBERED_KEYS = 24
"""Keys remembered for each instance: about as many objects as one keeps."""

LEAST_PATIENCE_S = 0.4
"""Shortest silence of an instance that counts against it, in seconds."""

PATIENCE_FACTOR = 2.0
"""Silence that counts, in expected run times for an object new to the instance."""


class RunTimes:
    """Run times that this entry has seen, in seconds from sending to the answer.

    The first run for a key at an instance is kept apart from later ones; for a
    route and instances ``i`` and ``j`` of its service:

    >>> times = RunTimes()
    >>> times.learn(route, i, "7", 0.9)
    >>> times.learn(route, i, "7", 0.3)
    >>> times.expected_s(route, i, "7"), times.expected_s(route, j, "7")
    (0.3, 0.9)
    """

    def __init__(self) -> None:
        self.usual_s: dict[tuple[RouteId, bool], float] = {}
        self.keys: dict[InstanceId, OrderedDict[tuple[RouteId, str], None]] = {}

    def knows(self, route: Route, instance: InstanceId, key: str | None) -> bool:
        """Return whether an instance has answered for a key lately."""
        known = self.keys.get(instance)
        return known is not None and key is not None and (route.id, key) in known

    def expected_s(
        self, route: Route, instance: InstanceId, key: str | None
    ) -> float | None:
        """Return how long a request runs there, None when nothing is known."""
        return self.usual_s.get((route.id, self.knows(route, instance, key)))

    def learn(
        self, route: Route, instance: InstanceId, key: str | None, seconds: float
    ) -> None:
        """Take in a complete run; the instance knows the key from now on."""
        kind = route.id, self.knows(route, instance, key)
        self.usual_s[kind] = average(self.usual_s.get(kind), seconds)
        if key is None:
            return
        known = self.keys.setdefault(instance, OrderedDict())
        known[route.id, key] = None
        known.move_to_end((route.id, key))
        if len(known) > REMEMBERED_KEYS:
            known.popitem(last=False)

    def learn_unfinished(
        self, route: Route, instance: InstanceId, key: str | None, seconds: float
    ) -> None:
        """Take in that a run took longer than a time."""
        kind = route.id, self.knows(route, instance, key)
        usual = self.usual_s.get(kind)
        if usual is None or seconds > usual:
            self.usual_s[kind] = average(usual, seconds)

    def forget(self, instance: InstanceId) -> None:
        """Drop what is known of an incarnation that is gone."""
        self.keys.pop(instance, None)

    def patience_s(self, route: Route, left_s: float) -> float | None:
        """Return the silence after which another instance should be tried.

        None when a run may take that long, or another one no longer fits into
        the time left.
        """
        longest = max(
            self.usual_s.get((route.id, False), 0.0),
            self.usual_s.get((route.id, True), 0.0),
        )
        if not longest:
            return None
        patience = max(LEAST_PATIENCE_S, PATIENCE_FACTOR * longest)
        return patience if patience + longest <= left_s else None
