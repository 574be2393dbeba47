"""Events as JSON lines, and their collection from processes over HTTP."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator

from aiohttp import ClientError, ClientSession, ClientTimeout

from masticdeck.errors import MasticdeckError
from masticdeck.events import Code, Event

FEED_PATH = "/-/events"
FETCH_TIMEOUT_S = 2.0
EVENTS_PER_ANSWER = 5_000


class EventFeedInvalid(MasticdeckError):
    """A line of an event feed cannot be decoded."""

    code = "MD8001"
    title = "event feed invalid"
    remedy = "check that the address or file is an event feed of this version"
    status = 502


def encode_events(events: Iterable[Event]) -> bytes:
    """Return events as one JSON array a line."""
    rows = (
        json.dumps([one.stamp, one.process, one.code.value, one.fields])
        for one in events
    )
    return "".join(f"{row}\n" for row in rows).encode()


def decode_events(body: bytes) -> Iterator[Event]:
    """Yield the events of a feed; raises EventFeedInvalid.

    Events whose number this version does not know are left out.
    """
    known = {code.value: code for code in Code}
    for number, row in enumerate(body.splitlines(), start=1):
        try:
            stamp, process, code, fields = json.loads(row)
            texts = {str(name): str(value) for name, value in fields.items()}
            if code in known:
                yield Event(int(stamp), str(process), known[code], texts)
        except (ValueError, TypeError, AttributeError):
            raise EventFeedInvalid(f"line {number}") from None


def decode_log(body: bytes) -> Iterator[Event]:
    """Yield the events of a process's log of JSON lines.

    Text before the first brace of a line, which log collectors add, and lines
    that are no events are passed over.
    """
    known = {code.value: code for code in Code}
    for row in body.splitlines():
        try:
            line = json.loads(row[row.index(b"{") :])
            code = known[line["code"]]
            texts = {str(name): str(value) for name, value in line["fields"].items()}
            yield Event(int(line["stamp"]), str(line["process"]), code, texts)
        except (ValueError, TypeError, KeyError, AttributeError):
            continue


def select_events(ring: Iterable[Event], after: int) -> list[Event]:
    """Return the oldest events past a stamp, at most EVENTS_PER_ANSWER."""
    chosen = [event for event in ring if event.stamp > after]
    return chosen[:EVENTS_PER_ANSWER]


async def fetch_events(session: ClientSession, url: str, after: int) -> list[Event]:
    """Return a process's events past a stamp, or none when it does not answer."""
    timeout = ClientTimeout(total=FETCH_TIMEOUT_S)
    try:
        async with session.get(
            f"{url}{FEED_PATH}?after={after}", timeout=timeout
        ) as response:
            body = await response.read()
            status = response.status
    except (TimeoutError, ClientError, OSError):
        return []
    return list(decode_events(body)) if status == 200 else []
