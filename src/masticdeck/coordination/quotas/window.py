"""Counts requests in a sliding window of time."""

from __future__ import annotations

from collections import deque
from typing import final

BUCKETS_PER_WINDOW = 50


@final
class SlidingWindow:
    """Number of requests admitted in the last ``window_s`` seconds.

    Requests are counted in buckets, so that memory does not grow with the rate. The
    window is longer by up to one bucket, never shorter.

    >>> window = SlidingWindow(5.0)
    >>> window.add(0.0)
    >>> window.count(5.0), window.count(5.2)
    (1, 0)
    """

    def __init__(self, window_s: float) -> None:
        self.bucket_s = window_s / BUCKETS_PER_WINDOW
        self.buckets: deque[list[int]] = deque()
        self.total = 0

    def index(self, now: float) -> int:
        """Return the number of the bucket that a boot time belongs to."""
        return int(now // self.bucket_s)

    def expire(self, now: float) -> None:
        """Drop the buckets that no window ending now touches."""
        oldest = self.index(now) - BUCKETS_PER_WINDOW
        while self.buckets and self.buckets[0][0] < oldest:
            self.total -= self.buckets.popleft()[1]

    def add(self, now: float) -> None:
        """Count a request."""
        self.expire(now)
        index = self.index(now)
        if not self.buckets or self.buckets[-1][0] != index:
            self.buckets.append([index, 0])
        self.buckets[-1][1] += 1
        self.total += 1

    def remove(self, added_at: float) -> None:
        """Take back a request that certainly did not run."""
        index = self.index(added_at)
        for bucket in reversed(self.buckets):
            if bucket[0] == index and bucket[1]:
                bucket[1] -= 1
                self.total -= 1
                return
            if bucket[0] < index:
                return

    def count(self, now: float) -> int:
        """Return the requests in the window that ends now."""
        self.expire(now)
        return self.total

    def oldest_expires_s(self, now: float) -> float:
        """Return the seconds until the oldest request leaves the window, 0 without."""
        self.expire(now)
        for index, count in self.buckets:
            if count:
                return (index + BUCKETS_PER_WINDOW + 1) * self.bucket_s - now
        return 0.0
