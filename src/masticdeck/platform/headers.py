"""The platform's headers on requests and answers."""

from __future__ import annotations

import math
import re

from masticdeck.errors import RequestInvalid
from masticdeck.ids import InstanceId, WorkspaceId
from masticdeck.platform.keys import digest_key
from masticdeck.protocol.dialect import (
    AnswerMarks,
    Headers,
    InstanceUse,
    RequestMarks,
    end_to_end,
    find_header,
    find_headers,
)
from masticdeck.state.workspaces import KeyDigest

REQUEST_ID = b"attempt-id"
AFFINITY = b"affinity-key"
REMAINING_MS = b"deadline-remaining-ms"
EXPECTED_INSTANCE = b"expected-instance"
NOT_RUN = b"not-executed"
SIGNATURE = b"server-signature"
USE = b"server-load"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
CREDENTIAL = b"credential"
WORKSPACE = b"tenant"

MAX_REMAINING_MS = 600_000
MISDIRECTED = 421
TURNED_AWAY = 503

SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")

MIN_USE_FIGURES = 3
MAX_USE_FIGURES = 4
MAX_FIGURE_DIGITS = 9

SET_HERE = frozenset(
    {
        REMAINING_MS,
        EXPECTED_INSTANCE,
        CREDENTIAL,
        WORKSPACE,
        b"content-length",
        b"expect",
        b"host",
    }
)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_request(self, headers: Headers) -> RequestMarks:
        """Return a request's marks, or raise RequestInvalid."""
        identity = find_header(headers, REQUEST_ID) or b""
        affinity = find_header(headers, AFFINITY)
        return RequestMarks(
            id=identity.decode("latin-1"),
            affinity=None if affinity is None else affinity.decode("latin-1"),
            remaining_s=parse_remaining(find_header(headers, REMAINING_MS)),
            key=parse_key(find_headers(headers, CREDENTIAL)),
        )

    def forward_headers(
        self,
        headers: Headers,
        *,
        remaining_s: float,
        instance: InstanceId,
        workspace: WorkspaceId | None = None,
    ) -> Headers:
        """Return the headers under which a request goes to an instance."""
        host = find_header(headers, b"host") or b""
        kept = [
            (key, value)
            for key, value in end_to_end(headers)
            if key.lower() not in SET_HERE
        ]
        remaining_ms = max(1, math.floor(remaining_s * 1000))
        owner = [] if workspace is None else [(b"Tenant", workspace.encode())]
        return [
            (b"Host", host),
            *kept,
            (b"Deadline-Remaining-Ms", str(remaining_ms).encode()),
            (b"Expected-Instance", instance.encode()),
            *owner,
        ]

    def read_answer(self, status: int, headers: Headers) -> AnswerMarks:
        """Return an answer's marks."""
        identity = find_header(headers, REQUEST_ID)
        connection = find_header(headers, b"connection") or b""
        misdirected = status == MISDIRECTED
        use_header = find_header(headers, USE)
        use = None if use_header is None else parse_use(use_header)
        leaving = find_headers(headers, LEAVING)
        rests = find_headers(headers, RETRY_AFTER) if status == TURNED_AWAY else []
        rest_s = parse_rest(rests)
        return AnswerMarks(
            request_id=None if identity is None else identity.decode("latin-1"),
            not_run=misdirected or find_header(headers, NOT_RUN) is not None,
            misdirected=misdirected,
            signed=find_header(headers, SIGNATURE) is not None,
            use=use,
            has_invalid_use=use_header is not None and use is None,
            idle_s=parse_idle(find_header(headers, b"keep-alive")),
            closes=b"close" in connection.lower(),
            is_leaving=leaving == [b"1"],
            rest_s=rest_s,
            has_invalid_notice=leaving not in ([], [b"1"])
            or bool(rests and rest_s is None),
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers under which an instance's answer goes back."""
        return [
            (key, value)
            for key, value in end_to_end(headers)
            if key.lower() != b"content-length"
        ]


def parse_remaining(value: bytes | None) -> float | None:
    """Return the seconds that a caller still waits, None when it does not say.

    >>> parse_remaining(b"1500")
    1.5
    """
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise RequestInvalid("the remaining time is not a number of milliseconds")
    return min(int(value), MAX_REMAINING_MS) / 1000


def parse_key(values: list[bytes]) -> KeyDigest | None:
    """Return the digest of a request's key, None without one or with several.

    >>> parse_key([])
    >>> parse_key([b"a", b"b"])
    """
    return digest_key(values[0]) if len(values) == 1 and values[0] else None


def parse_use(value: bytes) -> InstanceUse | None:
    """Return what an instance says of its load, None when that cannot be read.

    The optional fourth figure is how long work takes on the instance's machine, in
    percent of the usual time. Figures that follow it are ignored.

    >>> parse_use(b"3,0,8")
    InstanceUse(running=3, waiting=0, slots=8, slowdown=1.0)
    >>> parse_use(b"3,0,8,250")
    InstanceUse(running=3, waiting=0, slots=8, slowdown=2.5)
    """
    figures = [parse_figure(part) for part in value.split(b",")[:MAX_USE_FIGURES]]
    if len(figures) < MIN_USE_FIGURES or None in figures:
        return None
    running, waiting, slots, *percents = (figure or 0 for figure in figures)
    if not slots:
        return None
    slowdown = percents[0] / 100 if percents and percents[0] else 1.0
    return InstanceUse(running, waiting, slots, slowdown)


def parse_figure(value: bytes) -> int | None:
    """Return a whole number of at most ``MAX_FIGURE_DIGITS`` digits, else None."""
    figure = value.strip()
    if not figure.isdigit() or len(figure) > MAX_FIGURE_DIGITS:
        return None
    return int(figure)


def parse_rest(values: list[bytes]) -> float | None:
    """Return the seconds for which an instance wants no requests, None if unreadable.

    A date is not a number of seconds.

    >>> parse_rest([b"1.5"])
    1.5
    >>> parse_rest([b"Sat, 05 Dec 2026 12:00:00 GMT"])
    """
    if len(values) != 1 or SECONDS.fullmatch(values[0].strip()) is None:
        return None
    return float(values[0])


def parse_idle(value: bytes | None) -> float | None:
    """Return the seconds that an idle connection stays open, if stated.

    >>> parse_idle(b"timeout=10, max=100")
    10.0
    """
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
