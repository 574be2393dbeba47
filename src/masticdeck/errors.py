"""Typed errors with stable codes; every message names the remedy.

A subclass states its ``code``, the HTTP ``status`` under which callers see it
and the ``outcome`` that the system can vouch for. The catalogue in
``docs/ERRORS.md`` is checked against the subclasses.

>>> str(StoreUnavailable("connection refused"))
'MD1001 store unavailable: connection refused; retry after the store is back'
"""

from __future__ import annotations

from typing import ClassVar

from masticdeck.ids import Outcome


class MasticdeckError(Exception):
    """Base of every error that is meant for callers or operators."""

    code: ClassVar[str] = "MD1000"
    title: ClassVar[str] = "internal error"
    remedy: ClassVar[str] = "report it with the event log of this process"
    status: ClassVar[int] = 500
    outcome: ClassVar[Outcome | None] = None

    def __init__(self, detail: str = "", *, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        """Return one sentence: code, what happened, and the remedy."""
        middle = f": {self.detail}" if self.detail else ""
        return f"{self.code} {self.title}{middle}; {self.remedy}"


class StoreUnavailable(MasticdeckError):
    """The platform's store did not answer; a write may have taken effect."""

    code = "MD1001"
    title = "store unavailable"
    remedy = "retry after the store is back"
    status = 503


class StoreConflict(MasticdeckError):
    """A compare-and-swap met another revision than expected."""

    code = "MD1002"
    title = "store conflict"
    remedy = "read the key again and rebase the change"
    status = 409


class StoreAnswerInvalid(MasticdeckError):
    """The store sent an answer that cannot be decoded."""

    code = "MD1003"
    title = "store answer invalid"
    remedy = "check that the store address in the settings is the platform's service"
    status = 502


class StoreHistoryLost(MasticdeckError):
    """The store no longer has the changes after the revision asked for."""

    code = "MD1004"
    title = "store history lost"
    remedy = "read the keys anew and watch from their revision"
    status = 503


class SettingsInvalid(MasticdeckError):
    """A settings or deployment file has errors, all listed in the detail."""

    code = "MD1101"
    title = "settings invalid"
    remedy = "correct the named fields and start again"
    status = 400


class RequestInvalid(MasticdeckError):
    """A caller's request is malformed."""

    code = "MD2001"
    title = "request invalid"
    remedy = "correct the request as the detail says"
    status = 400
    outcome = Outcome.NOT_RUN


class ServiceUnknown(MasticdeckError):
    """The caller named a service that the deployment lacks."""

    code = "MD2002"
    title = "service unknown"
    remedy = "use a service named in the deployment file"
    status = 404
    outcome = Outcome.NOT_RUN


class FieldsTooLarge(MasticdeckError):
    """The request line or a header is larger than the settings allow."""

    code = "MD2005"
    title = "request line or header too large"
    remedy = "send a shorter path and shorter headers"
    status = 431
    outcome = Outcome.NOT_RUN


class HeadTooSlow(MasticdeckError):
    """The head of a request did not arrive within the time for it."""

    code = "MD2006"
    title = "request head too slow"
    remedy = "send the request line and the headers at once"
    status = 408
    outcome = Outcome.NOT_RUN


class BodyTooSlow(MasticdeckError):
    """The deadline passed before the whole body of a request arrived."""

    code = "MD2007"
    title = "request body too slow"
    remedy = "send the body faster or ask with a longer timeout"
    status = 408
    outcome = Outcome.UNKNOWN


class Overloaded(MasticdeckError):
    """No slot can serve the request within the agreed wait."""

    code = "MD2101"
    title = "no capacity within the agreed wait"
    remedy = "retry after the time in Retry-After"
    status = 503
    outcome = Outcome.NOT_RUN


class DeadlinePassed(MasticdeckError):
    """The caller's deadline passed before the request was sent on."""

    code = "MD2102"
    title = "deadline passed before the request was sent"
    remedy = "ask again with a longer timeout"
    status = 504
    outcome = Outcome.NOT_RUN


class OutcomeUnknown(MasticdeckError):
    """The request reached a backend server but no whole answer came back."""

    code = "MD2103"
    title = "outcome unknown"
    remedy = "repeat an idempotent request; ask for an order again with the same key"
    status = 502
    outcome = Outcome.UNKNOWN


class EntryStopping(MasticdeckError):
    """The entry stops before the request would be certain to end."""

    code = "MD2104"
    title = "entry stopping"
    remedy = "send the request to another entry at once"
    status = 503
    outcome = Outcome.NOT_RUN
