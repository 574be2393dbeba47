"""Probes that date the updates of a stream without a common clock.

An update may be read long after it was made: it may wait in the buffer of a socket, or
the process may be suspended. A follower therefore sends numbered probes, and each
update repeats the newest one that its sender had received. The update was made after
that probe was sent, so a statement about its age counts from then.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import final

PROBE_INTERVAL_S = 0.3
"""Seconds between two probes on a stream."""

MAX_PENDING_PROBES = 64
"""Probes remembered; a source that is further behind proves nothing of use."""


@final
class SentProbes:
    """Probes that a follower has sent on one stream, with the boot times of sending.

    >>> probes = SentProbes()
    >>> number = probes.add(10.0)
    >>> probes.proved_at(number, 1.5)
    8.5
    """

    def __init__(self) -> None:
        self.sent_at: OrderedDict[int, float] = OrderedDict()
        self.newest = 0

    def add(self, now: float) -> int:
        """Return the number of a probe that is about to be sent."""
        self.newest += 1
        self.sent_at[self.newest] = now
        if len(self.sent_at) > MAX_PENDING_PROBES:
            self.sent_at.popitem(last=False)
        return self.newest

    def proved_at(self, probe: int, age_s: float) -> float:
        """Return the boot time at which the source of an update was provably current.

        ``probe`` is the one that the update repeats, and ``age_s`` the age of the
        source's own proof. Without a known probe the time is minus infinity.
        """
        sent_at = self.sent_at.get(probe)
        if sent_at is None:
            return -math.inf
        while next(iter(self.sent_at)) < probe:
            self.sent_at.popitem(last=False)
        return sent_at - age_s


@final
class ReceivedProbe:
    """The newest probe that a source has received on one stream, 0 without one."""

    def __init__(self) -> None:
        self.number = 0

    def receive(self, number: int) -> None:
        """Take in a probe; an earlier one than the newest changes nothing."""
        self.number = max(self.number, number)
