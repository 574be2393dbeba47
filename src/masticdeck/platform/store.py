"""The platform's store behind masticdeck's ``Store`` interface."""

from __future__ import annotations

import asyncio
import base64
import json
import logging
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from typing import Any, NamedTuple, TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout

from masticdeck.errors import (
    StoreAnswerInvalid,
    StoreConflict,
    StoreHistoryLost,
    StoreUnavailable,
)
from masticdeck.events import Code, EventLog
from masticdeck.ids import Era, LeaseId, Revision
from masticdeck.metrics import Metrics
from masticdeck.platform.keys import conceal_keys
from masticdeck.platform.units import format_duration
from masticdeck.protocol.positions import (
    EraTracker,
    counter_of,
    era_of,
    pack_position,
)
from masticdeck.protocol.store import (
    ABSENT,
    Availability,
    Change,
    Changes,
    KeyValue,
    Listing,
    check_watched_era,
    decode_item,
    read_answer,
)
from masticdeck.transport.answers import AnswerConnector

CALL_TIMEOUT_S = 1.5
"""Longest wait for an answer; the store answers in milliseconds when it is well."""

IDLE_CONNECTION_S = 20.0
"""How long an idle connection to the store is kept, in seconds."""

CONFIG_KEY = "op/config"
ERA_HEADER = "Store-Era"

MAX_INLINE_BYTES = 65_536
"""Largest configuration whose keys are concealed on the event loop."""

Record = TypeVar("Record", KeyValue, Change)

CONFLICTS = {412: "another revision", 404: "no such lease"}
HISTORY_LOST = 410


class Answer(NamedTuple):
    """Status and fields of an answer, and the era of the store that gave it."""

    status: int
    fields: dict[str, Any]
    era: Era


class PlatformStore(Availability):
    """Client of the platform's store; one session for each process.

    A write whose answer was lost raises StoreUnavailable although it may have
    taken effect, now or some seconds later.
    """

    def __init__(self, address: str, *, events: EventLog, metrics: Metrics) -> None:
        super().__init__(events)
        self.url = f"http://{address}/-"
        self.metrics = metrics
        self.eras = EraTracker(events, metrics)
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
        connector = AnswerConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        self.session = ClientSession(connector=connector)

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def get(self, key: str) -> KeyValue | None:
        """Return the key's value, or None when it is absent."""
        status, fields, era = await self.call("GET", "kv-key", query={"key": key})
        return None if status == 404 else await concealed(decode_item(fields, era))

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        """Return every key below a prefix.

        The pages are read one after the other, and stale ones may be of different
        age; the listing's revision is the lowest of theirs, so that a watch from
        there misses nothing.
        """
        items: list[KeyValue] = []
        revisions: list[Revision] = []
        eras: set[Era] = set()
        query = {"prefix": prefix, **({"stale_ok": "1"} if allow_stale else {})}
        while True:
            answer = await self.call("GET", "kv-range", query=query)
            fields, era = self.expect(answer), answer.era
            eras.add(era)
            if len(eras) > 1:
                raise StoreUnavailable("the store came back from a copy between pages")
            with invalid_answers():
                rows = fields["items"]
                page = [decode_item(row, era) for row in self.with_valid_keys(rows)]
                revisions.append(decode_revision(fields["at"], era))
            items += [await concealed(item) for item in page]
            if not fields.get("has_more") or not rows:
                return Listing(tuple(items), min(revisions))
            query["after"] = page[-1].key if page else str(rows[-1]["key"])

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: Revision | None = None,
        lease: LeaseId | None = None,
    ) -> Revision:
        """Write a key and return its new revision."""
        row: dict[str, Any] = {
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
        }
        if lease is not None:
            row["lease"] = int(self.eras.lease_number(lease))
        answer = await self.commit(key, expect, {"puts": [row], "deletes": []})
        if lease is not None:
            self.eras.check_lease(lease, answer.era)
        with invalid_answers():
            return decode_revision(answer.fields["revision"], answer.era)

    async def delete(self, key: str, *, expect: Revision | None = None) -> None:
        """Delete a key."""
        await self.commit(key, expect, {"puts": [], "deletes": [key]})

    async def commit(
        self, key: str, expect: Revision | None, change: dict[str, Any]
    ) -> Answer:
        """Apply a change if the key has the revision expected of it."""
        rows = []
        if expect is not None:
            rows = [{"key": key, "revision": self.eras.counter_expected(expect)}]
        answer = await self.call("POST", "kv-txn", body={"expected": rows, **change})
        self.expect(answer)
        self.eras.check_condition(expect or ABSENT, answer.era)
        return answer

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease."""
        body = {"ttl_time": format_duration(ttl_s)}
        answer = await self.call("POST", "kv-lease", body=body)
        fields = self.expect(answer)
        with invalid_answers():
            return self.eras.name_lease(str(int(fields["lease"])), answer.era)

    async def renew_lease(self, lease: LeaseId) -> None:
        """Extend a lease."""
        number = self.eras.lease_number(lease)
        answer = await self.call("POST", f"kv-keep/{number}")
        self.expect(answer)
        self.eras.check_lease(lease, answer.era)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        number = self.eras.lease_number(lease)
        self.expect(await self.call("DELETE", f"kv-lease-end/{number}"))

    async def watch(self, prefix: str, after: Revision, *, wait_s: float) -> Changes:
        """Wait for changes below a prefix; raises StoreHistoryLost."""
        self.eras.advance_to(era_of(after))
        query = {
            "prefix": prefix,
            "after": str(counter_of(after)),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self.call("GET", "kv-watch", query=query, wait_s=wait_s)
        fields, era = self.expect(answer), answer.era
        check_watched_era(after, era)
        with invalid_answers():
            rows = self.with_valid_keys(fields["events"])
            changes = [decode_change(row, era) for row in rows]
            revision = decode_revision(fields["at"], era)
        return Changes(tuple([await concealed(one) for one in changes]), revision)

    def with_valid_keys(
        self, rows: Iterable[Mapping[str, Any]]
    ) -> Iterator[Mapping[str, Any]]:
        """Return the rows of an answer whose key can be passed on and logged.

        Another writer may choose any key, such as one that no other entry could be
        sent. It names no record to use.
        """
        for row in rows:
            key = str(row["key"])
            if key.isprintable():
                yield row
                continue
            self.metrics.count("invalid_keys")
            if self.events is not None:
                self.events.emit(
                    Code.RECORD_INVALID,
                    level=logging.WARNING,
                    key=ascii(key),
                    error="the key is not printable",
                )

    def expect(self, answer: Answer) -> dict[str, Any]:
        """Return the fields of a successful answer."""
        status, fields, _ = answer
        if status in CONFLICTS:
            raise StoreConflict(CONFLICTS[status])
        if status == HISTORY_LOST:
            raise StoreHistoryLost()
        if status != 200:
            raise StoreAnswerInvalid(f"status {status}")
        return fields

    async def call(
        self,
        method: str,
        name: str,
        *,
        query: Mapping[str, str] | None = None,
        body: object = None,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send one call; return the status, the fields and the era of its answer."""
        if self.session is None:
            raise StoreUnavailable("the store client is not started")
        kind = name.partition("/")[0].removeprefix("kv-")
        self.metrics.count(f"store_{kind.replace('-', '_')}_calls")
        timeout = ClientTimeout(total=CALL_TIMEOUT_S + wait_s)
        sent_in = self.eras.era
        try:
            async with self.session.request(
                method, f"{self.url}/{name}", params=query, json=body, timeout=timeout
            ) as response:
                status, content = response.status, await read_answer(response)
            era = self.eras.read(response.headers.get(ERA_HEADER), sent_in)
            fields = decode_fields(status, content)
        except (TimeoutError, ClientError, OSError) as error:
            raise self.lost(f"{kind}: {type(error).__name__}") from error
        except StoreUnavailable as error:
            raise self.lost(f"{kind}: {error.detail}") from error
        self.note(available=True)
        return Answer(status, fields, era)

    def lost(self, detail: str) -> StoreUnavailable:
        """Record that a call got no usable answer."""
        self.metrics.count("store_failures")
        self.note(available=False, detail=detail)
        return StoreUnavailable(detail)


@contextmanager
def invalid_answers() -> Iterator[None]:
    """Raise StoreAnswerInvalid for any answer that cannot be decoded."""
    try:
        yield
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise StoreAnswerInvalid(f"{type(error).__name__}: {error}"[:200]) from None


def decode_revision(value: object, era: Era) -> Revision:
    """Return a position in an era, or raise TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    return pack_position(era, value)


def decode_fields(status: int, content: bytes) -> dict[str, Any]:
    """Return the fields of an answer, or raise for one that says nothing."""
    if status == 429 or status >= 500:
        raise StoreUnavailable(f"status {status}")
    try:
        fields = json.loads(content)
    except (ValueError, RecursionError):
        fields = None
    if isinstance(fields, dict):
        return fields
    if status != 200:
        return {}
    raise StoreAnswerInvalid("the answer is not a JSON object")


async def concealed(item: Record) -> Record:
    """Return an item or a change without keys of workspaces.

    A large value is read in another thread: with 100,000 keys it would stop the event
    loop of a small VM for half a second.
    """
    if item.key != CONFIG_KEY or item.value is None:
        return item
    if len(item.value) <= MAX_INLINE_BYTES:
        return replace(item, value=conceal_keys(item.value))
    value = await asyncio.to_thread(conceal_keys, item.value)
    return replace(item, value=value)


def decode_change(event: Mapping[str, Any], era: Era) -> Change:
    """Return a change of an answer, or raise StoreAnswerInvalid."""
    if event.get("tombstone"):
        return Change(str(event["key"]), None, decode_revision(event["revision"], era))
    item = decode_item(event, era)
    return Change(item.key, item.value, item.revision)
