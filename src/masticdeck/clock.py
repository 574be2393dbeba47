"""Clocks: one that goes on while a VM is suspended, and a hybrid logical clock."""

from __future__ import annotations

import time

NANOSECONDS = 1_000_000_000
LOGICAL_BITS = 12
LOGICAL_MASK = (1 << LOGICAL_BITS) - 1


def boottime() -> float:
    """Return seconds of CLOCK_BOOTTIME, which also counts suspended time.

    Leases are judged by this clock, because CLOCK_MONOTONIC stops while the
    VM is suspended and a lapsed lease would then look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def walltime() -> float:
    """Return the time of day in seconds since the epoch; it may jump."""
    return time.time()


class HybridClock:
    """Hybrid logical clock: wall time in microseconds and a 12-bit counter.

    Stamps are integers below 2**63, so that they fit into messages; a stamp
    taken after receiving a message is larger than the stamp the message
    carried, whatever the two wall clocks say.
    Source: Kulkarni et al., "Logical Physical Clocks", 2014.

    >>> clock = HybridClock()
    >>> first = clock.stamp()
    >>> clock.stamp() > first
    True
    >>> clock.receive(first + (1 << 40)) > first + (1 << 40)
    True
    """

    def __init__(self) -> None:
        self.last = 0

    def stamp(self) -> int:
        """Return a stamp larger than every stamp given or received before."""
        wall = (time.time_ns() // 1000) << LOGICAL_BITS
        self.last = max(self.last + 1, wall)
        return self.last

    def receive(self, stamp: int) -> int:
        """Take the stamp of a message into account and return a later one."""
        self.last = max(self.last, stamp)
        return self.stamp()


def stamp_seconds(stamp: int) -> float:
    """Return the wall time of a hybrid stamp in seconds since the epoch."""
    return (stamp >> LOGICAL_BITS) / 1_000_000
