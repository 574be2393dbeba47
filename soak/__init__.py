"""A randomized soak: real entry processes, faults from outside, promises checked."""

from __future__ import annotations
