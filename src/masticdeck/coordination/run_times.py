"""Predicts how long a request runs at an instance.

An instance needs three times as long for an object that it has not handled
recently, so a single average over all requests would be wrong for both kinds. An
entry remembers which keys an instance has answered and keeps an average for each
kind by route. A request that is cancelled at its deadline gives a lower bound.
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from masticdeck.coordination.instance_load import moving_average
from masticdeck.ids import InstanceId
from masticdeck.state.routes import Route, RouteId

MAX_KEYS_PER_INSTANCE = 24
"""Keys remembered for an instance: about as many objects as it caches."""

MAX_KEPT_KEY_LENGTH = 64
"""Length of a key from which its digest is remembered in its place."""

MIN_SILENCE_TIMEOUT_S = 0.4
"""Shortest time without a response after which another instance is tried."""

SILENCE_TIMEOUT_FACTOR = 2.0
"""Silence timeout in multiples of the longest expected run time of the route."""


class RunTimes:
    """Run times observed by this entry, in seconds from sending to the response.

    The first run for a key at an instance is averaged apart from later runs; for
    a route and instances ``i`` and ``j`` of its service:

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
        """Return whether an instance has recently answered a request for a key."""
        keys = self.answered_keys.get(instance)
        if keys is None or key is None:
            return False
        return (route.id, shorten(key)) in keys

    def expected_s(
        self, route: Route, instance: InstanceId, key: str | None
    ) -> float | None:
        """Return the expected run time of a request, None without observations."""
        return self.mean_s.get((route.id, self.has_answered(route, instance, key)))

    def record_run(
        self, route: Route, instance: InstanceId, key: str | None, duration_s: float
    ) -> None:
        """Record a complete run, after which the instance has answered the key."""
        mean_key = route.id, self.has_answered(route, instance, key)
        self.mean_s[mean_key] = moving_average(self.mean_s.get(mean_key), duration_s)
        if key is None:
            return
        keys = self.answered_keys.setdefault(instance, OrderedDict())
        answered = route.id, shorten(key)
        keys[answered] = None
        keys.move_to_end(answered)
        if len(keys) > MAX_KEYS_PER_INSTANCE:
            keys.popitem(last=False)

    def record_unfinished(
        self, route: Route, instance: InstanceId, key: str | None, duration_s: float
    ) -> None:
        """Record that a run took longer than ``duration_s``."""
        mean_key = route.id, self.has_answered(route, instance, key)
        mean_s = self.mean_s.get(mean_key)
        if mean_s is None or duration_s > mean_s:
            self.mean_s[mean_key] = moving_average(mean_s, duration_s)

    def remove(self, instance: InstanceId) -> None:
        """Remove the keys of an incarnation that no longer exists."""
        self.answered_keys.pop(instance, None)

    def silence_timeout_s(self, route: Route, remaining_s: float) -> float | None:
        """Return the time without a response after which to try another instance.

        None without observations, or when a run at another instance would no
        longer fit into the remaining time.
        """
        max_run_s = max(
            self.mean_s.get((route.id, False), 0.0),
            self.mean_s.get((route.id, True), 0.0),
        )
        if not max_run_s:
            return None
        timeout_s = max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * max_run_s)
        return timeout_s if timeout_s + max_run_s <= remaining_s else None


def shorten(key: str) -> str:
    """Return what is remembered of a key; callers may choose long ones."""
    return (
        key
        if len(key) <= MAX_KEPT_KEY_LENGTH
        else xxhash.xxh3_128_hexdigest(key.encode())
    )
