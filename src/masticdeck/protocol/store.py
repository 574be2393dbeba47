"""Client of the platform's key-value service, behind one narrow interface.

``Store`` is what the rest of the code uses; ``HttpStore`` is the only module
that knows the wire format. A write whose answer was lost raises
StoreUnavailable although it may have taken effect: callers read back.
"""

from __future__ import annotations

import base64
import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol, final

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout

from masticdeck.errors import (
    MasticdeckError,
    StoreAnswerInvalid,
    StoreConflict,
    StoreHistoryLost,
    StoreUnavailable,
)
from masticdeck.events import Code, EventLog
from masticdeck.ids import Era, LeaseId, Revision
from masticdeck.protocol.positions import (
    NO_ERA,
    EraTracker,
    counter_of,
    era_of,
    pack_position,
)
from masticdeck.transport.answers import AnswerConnector, AnswerTooLong, read_bounded

ABSENT = Revision(0)
CALL_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1_048_576

MAX_ANSWER_BYTES = 16_777_216
"""Largest answer of the store that is read; a page has about a megabyte."""


@final
@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and the revision of its last modification."""

    key: str
    value: bytes
    revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Change:
    """One change seen by a watch; ``value`` is None when the key was deleted."""

    key: str
    value: bytes | None
    revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Changes:
    """Answer of a watch: the changes, and the revision to watch on from."""

    changes: tuple[Change, ...]
    revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Listing:
    """All keys below a prefix at one revision of the store."""

    items: tuple[KeyValue, ...]
    revision: Revision


class Store(Protocol):
    """Compare-and-swap, leases and watches.

    Every method raises StoreUnavailable when no answer came in time. Revisions are
    positions, which order by the store's era first. What depends on a revision or a
    lease of an earlier era raises StoreConflict, and a watch StoreHistoryLost.
    """

    @property
    def era(self) -> Era:
        """Return the newest era that the store is known to have reached."""

    def era_age_s(self) -> float | None:
        """Return the time since the present era began, None if that was not seen."""

    def note_era(self, era: Era) -> None:
        """Take in that the store has reached an era, as another entry says."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the key's value, or None when it is absent."""

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        """Return every key below a prefix.

        With ``allow_stale`` the listing may be some seconds old, which makes it
        cheaper; a watch from its revision brings it up to date.
        """

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: Revision | None = None,
        lease: LeaseId | None = None,
    ) -> Revision:
        """Write a key and return its new revision.

        ``expect`` is the revision the key must have now, ``ABSENT`` for a key
        that must not exist, None for an unconditional write. A key bound to a
        lease is deleted when the lease ends. Raises StoreConflict.
        """

    async def delete(self, key: str, *, expect: Revision | None = None) -> None:
        """Delete a key; raises StoreConflict when ``expect`` does not match."""

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that ends ``ttl_s`` seconds after its last renewal."""

    async def renew_lease(self, lease: LeaseId) -> None:
        """Extend a lease; raises StoreConflict when it has already ended."""

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""

    async def watch(self, prefix: str, after: Revision, *, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` for changes below a prefix past a revision."""


class Availability:
    """Turns the results of calls into events when an outage begins or ends."""

    def __init__(self, events: EventLog | None) -> None:
        self.events = events
        self.available = True

    def note(self, *, available: bool, detail: str = "") -> None:
        """Take in whether a call got an answer."""
        if available is self.available or self.events is None:
            return
        self.available = available
        if available:
            self.events.emit(Code.STORE_AVAILABLE)
        else:
            self.events.emit(
                Code.STORE_UNAVAILABLE, level=logging.WARNING, error=detail
            )


class HttpStore(Availability):
    """The store over HTTP with JSON bodies.

    With ``events``, the beginning and the end of an outage are events.
    """

    def __init__(
        self,
        url: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        events: EventLog | None = None,
    ) -> None:
        super().__init__(events)
        self.url = url
        self.timeout_s = timeout_s
        self.eras = EraTracker(events)
        self.session: ClientSession | None = None

    @property
    def era(self) -> Era:
        """Return the newest era that the store is known to have reached."""
        return self.eras.era

    def era_age_s(self) -> float | None:
        """Return the time since the present era began, None if that was not seen."""
        return self.eras.age_s()

    def note_era(self, era: Era) -> None:
        """Take in that the store has reached an era."""
        self.eras.advance_to(era)

    async def start(self) -> None:
        """Open the HTTP session."""
        self.session = ClientSession(connector=AnswerConnector())

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def get(self, key: str) -> KeyValue | None:
        """Return the key's value, or None when it is absent."""
        answer = await self.call("get", {"key": key})
        item = answer.get("item")
        return decode_item(item, answer_era(answer)) if item else None

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        """Return every key below a prefix."""
        answer = await self.call("list", {"prefix": prefix})
        era = answer_era(answer)
        items = tuple(decode_item(item, era) for item in answer["items"])
        return Listing(items, decode_position(answer["revision"], era))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: Revision | None = None,
        lease: LeaseId | None = None,
    ) -> Revision:
        """Write a key and return its new revision."""
        body = {
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
            "expect": None if expect is None else self.eras.counter_expected(expect),
            "lease": None if lease is None else self.eras.lease_number(lease),
        }
        answer = await self.call("put", body)
        era = answer_era(answer)
        self.eras.check_condition(expect or ABSENT, era)
        if lease is not None:
            self.eras.check_lease(lease, era)
        return decode_position(answer["revision"], era)

    async def delete(self, key: str, *, expect: Revision | None = None) -> None:
        """Delete a key."""
        counter = None if expect is None else self.eras.counter_expected(expect)
        answer = await self.call("delete", {"key": key, "expect": counter})
        self.eras.check_condition(expect or ABSENT, answer_era(answer))

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease."""
        answer = await self.call("lease/grant", {"ttl_s": ttl_s})
        return self.eras.name_lease(str(answer["lease"]), answer_era(answer))

    async def renew_lease(self, lease: LeaseId) -> None:
        """Extend a lease."""
        number = self.eras.lease_number(lease)
        answer = await self.call("lease/renew", {"lease": number})
        self.eras.check_lease(lease, answer_era(answer))

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        await self.call("lease/revoke", {"lease": self.eras.lease_number(lease)})

    async def watch(self, prefix: str, after: Revision, *, wait_s: float) -> Changes:
        """Wait for changes below a prefix."""
        self.eras.advance_to(era_of(after))
        body = {"prefix": prefix, "after": counter_of(after), "wait_s": wait_s}
        answer = await self.call("watch", body, timeout_s=wait_s + self.timeout_s)
        era = answer_era(answer)
        check_watched_era(after, era)
        changes = tuple(decode_change(item, era) for item in answer["changes"])
        return Changes(changes, decode_position(answer["revision"], era))

    async def call(
        self, method: str, body: Mapping[str, Any], *, timeout_s: float | None = None
    ) -> Any:
        """Send one call and return the decoded answer."""
        sent_in = self.eras.era
        try:
            status, text = await self.send(method, body, timeout_s or self.timeout_s)
            answer = decode_answer(method, status, text)
            stated = answer.get("era")
            answer["era"] = self.eras.read(
                None if stated is None else str(stated), sent_in
            )
        except StoreUnavailable as error:
            self.note(available=False, detail=error.detail)
            raise
        except MasticdeckError:
            self.note(available=True)
            raise
        self.note(available=True)
        return answer

    async def send(
        self, method: str, body: Mapping[str, Any], timeout_s: float
    ) -> tuple[int, str]:
        """Send one call and return the status and the text of its answer."""
        if self.session is None:
            raise StoreUnavailable("the store client is not started")
        url = f"{self.url}/v1/{method}"
        timeout = ClientTimeout(total=timeout_s)
        try:
            async with self.session.post(url, json=body, timeout=timeout) as response:
                return response.status, (await read_answer(response)).decode()
        except (TimeoutError, ClientError, OSError, UnicodeDecodeError) as error:
            raise StoreUnavailable(f"{method}: {type(error).__name__}") from error


async def read_answer(response: ClientResponse) -> bytes:
    """Return the body of an answer, or raise StoreUnavailable when it is too long."""
    try:
        return await read_bounded(response, MAX_ANSWER_BYTES)
    except AnswerTooLong as error:
        raise StoreUnavailable(str(error)) from None


def decode_answer(method: str, status: int, text: str) -> Any:
    """Return an answer's fields, or raise the error that it stands for."""
    if status == StoreConflict.status:
        raise StoreConflict(f"{method}: {text[:200]}")
    if status >= 500:
        raise StoreUnavailable(f"{method}: status {status}")
    try:
        answer = json.loads(text)
    except (ValueError, RecursionError):
        raise StoreAnswerInvalid(f"{method}: not JSON") from None
    if status != 200 or not isinstance(answer, dict):
        raise StoreAnswerInvalid(f"{method}: status {status}")
    return _Answer(method, answer)


class _Answer(dict[str, Any]):
    """Answer whose missing fields raise StoreAnswerInvalid."""

    def __init__(self, method: str, fields: dict[str, Any]) -> None:
        super().__init__(fields)
        self.method = method

    def __missing__(self, name: str) -> Any:
        raise StoreAnswerInvalid(f"{self.method}: field {name!r} is missing")


def answer_era(answer: Mapping[str, Any]) -> Era:
    """Return the era of a decoded answer; a store without eras states none."""
    return Era(answer.get("era", NO_ERA))


def check_watched_era(after: Revision, era: Era) -> None:
    """Raise StoreHistoryLost if a watch continued in another era than it began.

    The changes after a position of one era are not those after its counter in another.
    """
    if after and era_of(after) != era:
        raise StoreHistoryLost(f"era {era} after {era_of(after)}")


def decode_position(value: Any, era: Era) -> Revision:
    """Return a position of an answer, or raise StoreAnswerInvalid."""
    try:
        return pack_position(era, int(value))
    except (TypeError, ValueError) as error:
        raise StoreAnswerInvalid(str(error)[:200]) from None


def decode_item(item: Mapping[str, Any], era: Era = NO_ERA) -> KeyValue:
    """Return an item of an answer, or raise StoreAnswerInvalid."""
    try:
        value = base64.b64decode(item["value"], validate=True)
        return KeyValue(str(item["key"]), value, decode_position(item["revision"], era))
    except (KeyError, TypeError, ValueError):
        raise StoreAnswerInvalid("an item lacks key, value or revision") from None


def decode_change(item: Mapping[str, Any], era: Era = NO_ERA) -> Change:
    """Return a change of an answer, or raise StoreAnswerInvalid."""
    try:
        raw = item["value"]
        value = None if raw is None else base64.b64decode(raw, validate=True)
        return Change(str(item["key"]), value, decode_position(item["revision"], era))
    except (KeyError, TypeError, ValueError):
        raise StoreAnswerInvalid("a change lacks key, value or revision") from None
