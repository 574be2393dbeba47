"""HTTP client of ``masticdeckctl``: tries one entry after another.

Every change carries an id, so that repeating it at another entry is harmless.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, final

from aiohttp import ClientError, ClientSession, ClientTimeout

from masticdeck.errors import MasticdeckError, StoreUnavailable
from masticdeck.protocol.identity import NotAllowed, NotAuthenticated
from masticdeck.state.acceptance import (
    AcceptedAlready,
    ProposalSettled,
    ProposalVetoed,
    StoreBehind,
    VetoNotAllowed,
    WriteUnknown,
)
from masticdeck.state.checks import ListsInvalid

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_LISTS_INVALID = 3
EXIT_CONFLICT = 4
EXIT_VETOED = 5
EXIT_NOT_ALLOWED = 6
EXIT_UNAVAILABLE = 7
EXIT_UNKNOWN = 8
EXIT_DIFFER = 9
EXIT_TIMEOUT = 10

HTTP_OK = 200
CONFLICT_STATUS = 409
UNAVAILABLE_STATUS = 503
TRY_NEXT_STATUS = frozenset({502, 503, 504})

EXIT_OF_CODE = {
    ListsInvalid.code: EXIT_LISTS_INVALID,
    ProposalVetoed.code: EXIT_VETOED,
    AcceptedAlready.code: EXIT_CONFLICT,
    ProposalSettled.code: EXIT_CONFLICT,
    NotAuthenticated.code: EXIT_NOT_ALLOWED,
    NotAllowed.code: EXIT_NOT_ALLOWED,
    VetoNotAllowed.code: EXIT_NOT_ALLOWED,
    StoreUnavailable.code: EXIT_UNAVAILABLE,
    StoreBehind.code: EXIT_UNAVAILABLE,
    WriteUnknown.code: EXIT_UNKNOWN,
}


class NoEntryReached(MasticdeckError):
    """None of the entries answered."""

    code = "MD4030"
    title = "no entry answered"
    remedy = "check --entry or --deployment, then repeat the command with the same id"
    status = 503


class Refused(Exception):
    """An entry answered with a problem document."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        super().__init__(str(problem.get("detail", f"status {status}")))
        self.status = status
        self.problem = problem

    @property
    def code(self) -> str:
        """Return the error's code."""
        return str(self.problem.get("code", ""))

    @property
    def exit_status(self) -> int:
        """Return the exit status for the error."""
        if self.code in EXIT_OF_CODE:
            return EXIT_OF_CODE[self.code]
        if self.status == CONFLICT_STATUS:
            return EXIT_CONFLICT
        if self.status == UNAVAILABLE_STATUS:
            return EXIT_UNAVAILABLE
        return EXIT_FAILED


@final
@dataclass(kw_only=True)
class Entries:
    """The entries to ask, in order; the one that answered last comes first."""

    urls: Sequence[str]
    token: str
    timeout_s: float = 10.0
    order: list[str] = field(init=False)

    def __post_init__(self) -> None:
        self.order = list(self.urls)

    async def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the answer of the first entry that gives one.

        Raises Refused with the last problem, or NoEntryReached.
        """
        refused: Refused | None = None
        reasons: list[str] = []
        for url in list(self.order):
            try:
                answer = await self.ask(url, method, path, body)
            except Refused as error:
                if error.status not in TRY_NEXT_STATUS:
                    raise
                refused = error
            except (ClientError, OSError, TimeoutError, ValueError) as error:
                reasons.append(f"{url}: {type(error).__name__}")
            else:
                self.order.remove(url)
                self.order.insert(0, url)
                return answer
        if refused is not None:
            raise refused
        raise NoEntryReached(", ".join(reasons) or "no entry is named")

    async def ask(self, url: str, method: str, path: str, body: Any = None) -> Any:
        """Send one request to one entry and return the decoded answer."""
        timeout = ClientTimeout(total=self.timeout_s)
        fields = {"Authorization": f"Bearer {self.token}"}
        async with (
            ClientSession(timeout=timeout, headers=fields) as session,
            session.request(method, f"{url}/-/operators/{path}", json=body) as response,
        ):
            text = await response.text()
            if response.status != HTTP_OK:
                raise Refused(response.status, decode_problem(text))
            return json.loads(text)


def decode_problem(text: str) -> dict[str, Any]:
    """Return a problem document, or one made of another body."""
    try:
        problem = json.loads(text)
    except ValueError:
        problem = None
    return problem if isinstance(problem, dict) else {"detail": text[:200]}


async def fetch_fleet(url: str, timeout_s: float) -> dict[str, Any]:
    """Return what an entry on a live fleet believes; raises NoEntryReached."""
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=timeout_s)) as session,
            session.get(f"{url}/fleet") as response,
        ):
            view: dict[str, Any] = await response.json()
            return view
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        raise NoEntryReached(f"{url}: {error or type(error).__name__}") from None
