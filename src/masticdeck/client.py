"""Library for callers: looks up, keeps answers, and retries what may be retried.

The client asks any of several entries which one to use, keeps the answer for
its time to live, and goes on to the next entry when one cannot be reached. A
request is sent again only when it is idempotent, when the system vouches that
it did not run, or, for an order, under the same key; retries are at most a
tenth of the requests. Every answer is checked to be the whole answer to the
request that was sent.

>>> async with Client(["http://127.0.0.1:18001"]) as client:     # doctest: +SKIP
...     answer = await client.request("katalogs", "/spoons")
...     order = await client.order("pasutijumi", "/orders", body=b"birch spoon")
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self, final

from aiohttp import ClientConnectorError, ClientError, ClientSession, DummyCookieJar
from aiohttp import ClientTimeout as HttpTimeout
from multidict import CIMultiDict, CIMultiDictProxy

from masticdeck.errors import MasticdeckError
from masticdeck.ids import EntryId, Outcome, Rank, ServiceId, Version
from masticdeck.protocol import headers
from masticdeck.protocol.call import IDEMPOTENT_METHODS

LOOKUP_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
GRACE_S = 0.5
SHUN_S = 2.0
MAX_ATTEMPTS = 3
RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0
KEY_BYTES = 16
ECHO_BYTES = 8


class NoEntryAnswers(MasticdeckError):
    """None of the entries answered the look-up."""

    code = "MD2010"
    title = "no entry answers"
    remedy = "check the entries' URLs and the network, then ask again"
    status = 503
    outcome = Outcome.NOT_RUN


class LookupInvalid(MasticdeckError):
    """An entry's look-up answer cannot be used."""

    code = "MD2011"
    title = "look-up refused or not understood"
    remedy = "check the service's name and the client's version"
    status = 502
    outcome = Outcome.NOT_RUN


class AnswerLost(MasticdeckError):
    """The request was sent but no whole answer to it came back."""

    code = "MD2012"
    title = "no whole answer came back"
    remedy = "repeat an idempotent request; repeat an order with the same key"
    status = 502
    outcome = Outcome.UNKNOWN


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An entry that a look-up named."""

    id: EntryId
    url: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class LookupAnswer:
    """Entries in the order in which to try them; times by the monotonic clock."""

    endpoints: tuple[Endpoint, ...]
    expires: float
    home: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A whole answer; ``key`` is the order's key, to ask again with."""

    status: int
    fields: CIMultiDictProxy[str]
    body: bytes
    entry: EntryId
    key: str | None = None

    @property
    def outcome(self) -> Outcome | None:
        """Return what the system vouches for when it refused the request."""
        value = self.fields.get(headers.OUTCOME)
        return None if value is None else Outcome(value)


@dataclass(slots=True, kw_only=True)
class Ask:
    """One request of the caller through all of its attempts."""

    method: str
    service: ServiceId
    path: str
    body: bytes
    fields: CIMultiDict[str]
    deadline: float
    key: str | None = None
    tried: set[str] = field(default_factory=set)

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be sent again after it may have run."""
        return self.key is not None or self.method in IDEMPOTENT_METHODS


class RetryBudget:
    """Retries as a part of requests, so that retries never multiply load.

    >>> budget = RetryBudget()
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self) -> None:
        self.saved = 1.0

    def earn(self) -> None:
        """Count a request."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class Client:
    """A caller's connection to the system; use as an asynchronous context."""

    def __init__(self, entries: Sequence[str], *, client: str | None = None) -> None:
        self.entries = tuple(url.rstrip("/") for url in entries)
        self.client = client
        self.answers: dict[ServiceId, LookupAnswer] = {}
        self.shunned: dict[str, float] = {}
        self.budget = RetryBudget()
        self.version = Version(0)
        self.session: ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the HTTP session."""
        self.session = ClientSession(
            cookie_jar=DummyCookieJar(),
            timeout=HttpTimeout(total=None),
            auto_decompress=False,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def request(
        self,
        service: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        rank: Rank | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
        fields: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request and return its whole answer.

        Raises NoEntryAnswers, LookupInvalid or AnswerLost; a refusal by the
        system is an Answer with an ``outcome``.
        """
        ask = self.create_ask(method, service, path, body, rank, timeout_s, fields)
        return await self.carry(ask)

    async def order(
        self,
        service: str,
        path: str,
        *,
        body: bytes,
        key: str | None = None,
        method: str = "POST",
        rank: Rank | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
        fields: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send an order that runs at most once and return its answer.

        Without ``key`` a new one is made, bound to the home that the look-up
        names; pass the key of an earlier answer or error to ask for the same
        order again. AnswerLost names the key in its detail.
        """
        ask = self.create_ask(method, service, path, body, rank, timeout_s, fields)
        ask.key = key or await self.mint_key(ask.service)
        ask.fields[headers.IDEMPOTENCY_KEY] = f'"{ask.key}"'
        return await self.carry(ask)

    async def mint_key(self, service: ServiceId) -> str:
        """Return a new order key bound to the home of the look-up answer."""
        home = (await self.look_up(service)).home
        own = secrets.token_hex(KEY_BYTES)
        return f"{home}.{own}" if home else own

    def create_ask(
        self,
        method: str,
        service: str,
        path: str,
        body: bytes,
        rank: Rank | None,
        timeout_s: float,
        fields: Mapping[str, str] | None,
    ) -> Ask:
        """Return a request with its headers."""
        named = CIMultiDict(fields or {})
        if rank is not None:
            named[headers.PRIORITY] = headers.format_priority(rank)
        return Ask(
            method=method.upper(),
            service=ServiceId(service),
            path=path,
            body=body,
            fields=named,
            deadline=time.monotonic() + timeout_s,
        )

    async def carry(self, ask: Ask) -> Answer:
        """Try entries until one answers or no further try is allowed."""
        self.budget.earn()
        attempts = 0
        while True:
            attempts += 1
            endpoint = await self.choose(ask)
            try:
                answer = await self.send(ask, endpoint, attempts)
            except (NoEntryAnswers, AnswerLost) as error:
                self.shun(ask.service, endpoint)
                if not self.may_retry(ask, error.outcome, attempts):
                    raise
            else:
                again = answer.outcome is Outcome.NOT_RUN and ask.key is None
                if not again or not self.may_retry(ask, answer.outcome, attempts):
                    return answer
                await self.pause(ask, answer)
            ask.tried.add(endpoint.url)

    def may_retry(self, ask: Ask, outcome: Outcome | None, attempts: int) -> bool:
        """Return whether a request may be sent again, within the budget."""
        if attempts >= MAX_ATTEMPTS or time.monotonic() >= ask.deadline:
            return False
        safe = outcome is Outcome.NOT_RUN or ask.repeatable
        return safe and self.budget.spend()

    async def pause(self, ask: Ask, answer: Answer) -> None:
        """Wait as long as a refusal says, within the caller's time."""
        value = answer.fields.get(headers.RETRY_AFTER, "0")
        seconds = float(value) if value.isascii() and value.isdigit() else 0.0
        left = ask.deadline - time.monotonic()
        await asyncio.sleep(max(0.0, min(seconds, left)))

    async def choose(self, ask: Ask) -> Endpoint:
        """Return the first entry that was neither tried nor found dead."""
        now = time.monotonic()
        endpoints = (await self.look_up(ask.service)).endpoints
        alive = [one for one in endpoints if self.shunned.get(one.url, 0.0) < now]
        fresh = [one for one in alive if one.url not in ask.tried]
        return (fresh or alive or list(endpoints))[0]

    def shun(self, service: ServiceId, endpoint: Endpoint) -> None:
        """Leave an entry out for a while, and look up again."""
        self.shunned[endpoint.url] = time.monotonic() + SHUN_S
        self.answers.pop(service, None)

    async def look_up(self, service: ServiceId) -> LookupAnswer:
        """Return a look-up answer that has not expired."""
        known = self.answers.get(service)
        if known is not None and known.expires > time.monotonic():
            return known
        seeds = [one.url for one in known.endpoints] if known else []
        now = time.monotonic()
        urls = list(dict.fromkeys([*seeds, *self.entries]))
        urls.sort(key=lambda url: self.shunned.get(url, 0.0) > now)
        for url in urls:
            answer = await self.ask_entry(url, service)
            if answer is not None:
                self.answers[service] = answer
                return answer
        raise NoEntryAnswers(f"{len(urls)} entries were asked about {service!r}")

    async def ask_entry(self, url: str, service: ServiceId) -> LookupAnswer | None:
        """Ask one entry; returns None when it cannot be reached."""
        parameters = {"service": str(service)}
        if self.client is not None:
            parameters["client"] = self.client
        asked = time.monotonic()
        try:
            async with self.open_session().get(
                f"{url}/lookup",
                params=parameters,
                timeout=HttpTimeout(total=LOOKUP_TIMEOUT_S),
            ) as response:
                raw = await response.read()
                status = response.status
        except (ClientError, OSError, TimeoutError):
            self.shunned[url] = time.monotonic() + SHUN_S
            return None
        return decode_lookup(raw, status, asked)

    async def send(self, ask: Ask, endpoint: Endpoint, attempt: int) -> Answer:
        """Send the request to one entry and read the whole answer.

        Raises NoEntryAnswers when nothing was sent, AnswerLost after that.
        """
        echo = secrets.token_hex(ECHO_BYTES)
        left = ask.deadline - time.monotonic()
        fields = ask.fields.copy()
        fields[headers.TIMEOUT_MS] = str(max(1, int(left * 1000)))
        fields[headers.ATTEMPT] = str(attempt)
        fields[headers.ECHO] = echo
        fields[headers.VERSION] = str(self.version)
        try:
            async with self.open_session().request(
                ask.method,
                f"{endpoint.url}/service/{ask.service}{ask.path}",
                data=ask.body or None,
                headers=fields,
                allow_redirects=False,
                timeout=HttpTimeout(total=max(0.0, left) + GRACE_S),
                middlewares=(send_once,),
            ) as response:
                body = await response.read()
        except ClientConnectorError as error:
            raise NoEntryAnswers(f"{endpoint.id}: {error.os_error}") from error
        except (ClientError, OSError, TimeoutError) as error:
            text = f"{endpoint.id}: {type(error).__name__}"
            raise AnswerLost(f"{text}, key {ask.key}") from error
        if response.headers.get(headers.ECHO) != echo:
            raise AnswerLost(f"{endpoint.id}: the answer is to another request")
        self.note_version(response.headers.get(headers.VERSION, ""))
        return Answer(
            status=response.status,
            fields=response.headers,
            body=body,
            entry=endpoint.id,
            key=ask.key,
        )

    def note_version(self, value: str) -> None:
        """Keep the newest configuration seen, which later entries must have."""
        if value.isascii() and value.isdigit():
            self.version = max(self.version, Version(int(value)))

    def open_session(self) -> ClientSession:
        """Return the session of the open client."""
        if self.session is None:
            raise NoEntryAnswers("the client is not open; use it with async with")
        return self.session


class ConnectionBroke(ClientError):
    """A connection broke after it was had; hides the kinds that are retried."""


async def send_once(request: Any, handler: Any) -> Any:
    """Keep the HTTP library from sending a request again by itself."""
    try:
        return await handler(request)
    except ClientConnectorError:
        raise
    except (ClientError, OSError) as error:
        raise ConnectionBroke(type(error).__name__) from error


def decode_lookup(raw: bytes, status: int, asked: float) -> LookupAnswer:
    """Return a look-up answer; its time to live counts from the asking."""
    try:
        document = json.loads(raw)
        if status != 200:
            raise LookupInvalid(str(document["detail"])[:200])
        endpoints = tuple(
            Endpoint(id=EntryId(str(one["id"])), url=str(one["url"]))
            for one in document["entries"]
        )
        home, ttl_s = str(document.get("home", "")), float(document["ttl_s"])
    except (KeyError, TypeError, ValueError) as error:
        raise LookupInvalid(f"status {status}, {type(error).__name__}") from None
    if not endpoints:
        raise LookupInvalid("the answer names no entry")
    return LookupAnswer(endpoints=endpoints, expires=asked + ttl_s, home=home)
