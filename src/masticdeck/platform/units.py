"""Durations as the platform writes them: a number with ``ms`` or ``s``."""

from __future__ import annotations

import math
import re

PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
MAX_DURATION_S = 86_400.0 * 366
SECONDS = {"ms": 0.001, "s": 1.0}


def parse_duration(text: object) -> float:
    """Return a duration in seconds, or raise ValueError.

    >>> parse_duration("1500ms")
    1.5
    >>> parse_duration("2.5s")
    2.5
    """
    match = PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a duration")
    seconds = float(match[1]) * SECONDS[match[2]]
    if seconds > MAX_DURATION_S:
        raise ValueError("a duration of over a year")
    return seconds


def format_duration(seconds: float) -> str:
    """Return a duration in whole milliseconds, rounded up.

    >>> format_duration(2.0004)
    '2001ms'
    """
    return f"{math.ceil(seconds * 1000)}ms"
