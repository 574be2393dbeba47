"""Names of the headers on the caller's and the backend's side.

Standard headers serve where one exists: ``Priority`` (RFC 9218) carries the
rank, ``Retry-After`` the wait, ``Idempotency-Key`` the key of an order and
``traceparent`` the request's trace.
"""

from __future__ import annotations

from multidict import CIMultiDict

from masticdeck.ids import Rank

HOST = "Host"
PRIORITY = "Priority"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"
TRACEPARENT = "traceparent"
TIMEOUT_MS = "Masticdeck-Timeout-Ms"
CUSTOMER = "Masticdeck-Customer"
OUTCOME = "Masticdeck-Outcome"
REQUEST_ID = "Masticdeck-Request"
VERSION = "Masticdeck-Version"
DRAINING = "Masticdeck-Draining"
INSTANCE = "Masticdeck-Instance"
ECHO = "Masticdeck-Echo"
ATTEMPT = "Masticdeck-Attempt"

URGENCY = {Rank.URGENT: 1, Rank.MIDDLE: 3, Rank.LOW: 6}

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def remove_hop_by_hop(fields: CIMultiDict[str]) -> None:
    """Drop the headers that belong to one connection, Connection's own included.

    >>> fields = CIMultiDict({"Connection": "X-Trace", "X-Trace": "1", "A": "2"})
    >>> remove_hop_by_hop(fields)
    >>> dict(fields)
    {'A': '2'}
    """
    named = fields.get("connection")
    if named is not None:
        for name in named.split(","):
            fields.popall(name.strip(), None)
    for name in HOP_BY_HOP:
        if name in fields:
            del fields[name]


def parse_priority(value: str) -> Rank | None:
    """Return the rank that a Priority header asks for, or None if it has none.

    >>> parse_priority("u=1, i")
    <Rank.URGENT: 'urgent'>
    """
    for part in value.split(","):
        name, _, level = part.strip().partition("=")
        if name == "u" and level.isascii() and level.isdigit():
            return rank_of_urgency(int(level))
    return None


def rank_of_urgency(urgency: int) -> Rank:
    """Return the rank for an RFC 9218 urgency of 0 (highest) to 7."""
    if urgency <= 1:
        return Rank.URGENT
    return Rank.MIDDLE if urgency <= 4 else Rank.LOW


def format_priority(rank: Rank) -> str:
    """Return the Priority header for a rank."""
    return f"u={URGENCY[rank]}"
