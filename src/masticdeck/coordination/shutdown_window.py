"""Decides until when an entry that is stopping may send a request to an instance.

The process is killed at the end of its grace period, and a request that is at work
at an instance then loses its answer; one that is not idempotent may not even be
repeated. A request that may not be answered in time is therefore refused at once, so
that its caller uses another entry.

A caller that used an older response of the directory may still connect at the
beginning of a stop. Its request is served if its run is expected to fit into the
remaining time. Later requests come from callers that know of the stop or keep a
connection open for long. They are served only if they are certain to end in time,
because their deadline passes before.
"""

from __future__ import annotations

import math

EXPECTED_RUN_FACTOR = 2.0
"""Time that a run must have before the end, as a multiple of its expected time."""


class ShutdownWindow:
    """The time in which a stopping entry still responds; unlimited before a stop.

    >>> window = ShutdownWindow()
    >>> window.begin(accept_until=102.5, end_at=105.0)
    >>> request = {"objective_s": 0.5, "deadline": 108.0, "expected_run_s": 1.0}
    >>> window.latest_start(received_at=101.0, **request)
    103.0
    >>> window.latest_start(received_at=103.0, **request)
    -inf
    """

    def __init__(self) -> None:
        self.accept_until = math.inf
        self.end_at = math.inf

    @property
    def has_begun(self) -> bool:
        """Return whether the entry is stopping."""
        return self.end_at < math.inf

    def begin(self, *, accept_until: float, end_at: float) -> None:
        """Begin a stop whose last response is due at boot time ``end_at``.

        New connections are accepted until boot time ``accept_until``.
        """
        self.accept_until = accept_until
        self.end_at = end_at

    def covers(self, deadline: float) -> bool:
        """Return whether a request with this deadline ends before the entry does."""
        return deadline <= self.end_at

    def latest_start(
        self,
        *,
        received_at: float,
        deadline: float,
        objective_s: float,
        expected_run_s: float,
    ) -> float:
        """Return the boot time until which a request may be sent to an instance.

        ``deadline`` is the boot time at which the request has ended in any case,
        ``expected_run_s`` is 0 when nothing is known of its run time.
        """
        if self.covers(deadline):
            return math.inf
        if received_at > self.accept_until:
            return -math.inf
        return self.end_at - max(objective_s, EXPECTED_RUN_FACTOR * expected_run_s)
