"""What the headers of callers and instances mean, apart from their names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, final

from masticdeck.ids import InstanceId, WorkspaceId
from masticdeck.state.workspaces import KeyDigest

Headers = list[tuple[bytes, bytes]]

PER_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMarks:
    """What a caller says of its request beside method, path and body.

    ``remaining_s`` is how long the caller still waits, in seconds; ``affinity``
    names the object that the request concerns. ``key`` is the digest of its key, None
    unless it has exactly one.
    """

    id: str
    affinity: str | None
    remaining_s: float | None
    key: KeyDigest | None = None


@final
@dataclass(frozen=True, slots=True)
class InstanceUse:
    """Requests running and waiting at an instance, of all entries together.

    ``slowdown`` is the factor by which work takes longer than usual on the
    instance's machine at the moment, 1 when the instance does not say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerMarks:
    """What an instance says of its answer beside status and body.

    ``not_run`` is true only when the instance vouches that it did not run the
    request; ``misdirected`` when another instance has the address. ``use`` is its
    load report, None without one; ``has_invalid_use`` states that there is one that
    cannot be read. ``idle_s`` is how long it keeps the connection open, None when it
    does not say. ``is_leaving`` states that this incarnation of the instance is about
    to end; ``rest_s`` is for how many seconds it wants no request from this entry, None
    when it does not say. ``has_invalid_notice`` states that one of these two cannot be
    read.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    use: InstanceUse | None
    idle_s: float | None
    closes: bool
    has_invalid_use: bool = False
    is_leaving: bool = False
    rest_s: float | None = None
    has_invalid_notice: bool = False


class Dialect(Protocol):
    """The header names of one platform."""

    def read_request(self, headers: Headers) -> RequestMarks:
        """Return a request's marks, or raise RequestInvalid."""

    def forward_headers(
        self,
        headers: Headers,
        *,
        remaining_s: float,
        instance: InstanceId,
        workspace: WorkspaceId | None = None,
    ) -> Headers:
        """Return the headers under which a request goes to an instance."""

    def read_answer(self, status: int, headers: Headers) -> AnswerMarks:
        """Return an answer's marks."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers under which an instance's answer goes back."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case.

    >>> find_header([(b"Host", b"a.example")], b"host")
    b'a.example'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def find_headers(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header; ``name`` is in lower case."""
    return [value for key, value in headers if key.lower() == name]


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that do not belong to one connection only."""
    dropped = set(PER_CONNECTION)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    return [(key, value) for key, value in headers if key.lower() not in dropped]
