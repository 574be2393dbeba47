"""What callers and instances saw, and the promises judged from it."""

from __future__ import annotations

import math
import signal
from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import takewhile

from testing.gateway.world import COLD_REQUESTS_PER_S

UNKNOWN_KEY_STATUS = 401
REFUSALS = frozenset({408, 421, 429, 503})

DRAIN_TIMEOUT_S = 2.5

STABLE_WINDOW_S = 4.0
"""Time after its start from which on an entry is in touch."""

REST_DELAY_S = 0.5
"""Time after which an entry has taken in a rest, and in which it may still send."""

MAX_REQUESTS_IN_A_REST = 2

MIN_ENDLESS_ANSWER_S = 1.9
"""Time for which an answer without end is passed on; callers wait 2 s."""

REVOCATION_S = 5.0
"""Time after which a request with a removed key does not run at any entry."""

KEY_PROPAGATION_S = 3.0
"""Time after which no entry refuses a key that was added, in touch or not."""

PUBLIC_PREFIX = "/p/"

MAX_COLD_REQUESTS_IN_A_SECOND = COLD_REQUESTS_PER_S * 1.5 + 5
"""Requests that a cold instance gets at most in a second, from all entries."""


@dataclass
class Asked:
    """One request of a caller and how it ended; status 0 means no answer."""

    id: str
    unsafe: bool
    entry: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    signed: bool = False
    ended_at: float = 0.0
    read: bool = False
    key: str | None = None
    is_to_be_served: bool = True


@dataclass
class Ran:
    """One request that an instance began to run."""

    id: str
    instance: str
    service: str
    target: str
    at: float
    workspace: str | None = None
    has_key: bool = False


@dataclass
class KeySpan:
    """Time for which a workspace has a key, by the store."""

    key: str
    workspace: str
    since: float
    until: float = math.inf


@dataclass
class QuotaBound:
    """Most requests of a workspace that may run in any window."""

    window_s: float
    requests: float


@dataclass
class Rest:
    """An instance's word to an entry that it wants nothing from it for a time."""

    entry: str
    instance: str
    at: float
    until: float


@dataclass
class ColdSpan:
    """Time for which one incarnation of an instance is cold."""

    instance: str
    since: float
    until: float


@dataclass
class Ledger:
    """Everything that was seen, and spans in which bounds do not hold."""

    asked: dict[str, Asked] = field(default_factory=dict)
    ran: list[Ran] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)
    versions: list[tuple[float, str]] = field(default_factory=list)
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    planned_stops: dict[str, tuple[float, float]] = field(default_factory=dict)
    killed: set[str] = field(default_factory=set)
    exits: dict[str, int] = field(default_factory=dict)
    started: dict[str, float] = field(default_factory=dict)
    early_stops: set[str] = field(default_factory=set)
    endless: set[str] = field(default_factory=set)
    arrivals: list[Ran] = field(default_factory=list)
    rests: list[Rest] = field(default_factory=list)
    cold: list[ColdSpan] = field(default_factory=list)
    passed_on_leaving: dict[tuple[str, str], float] = field(default_factory=dict)
    has_workspaces: bool = False
    key_spans: list[KeySpan] = field(default_factory=list)
    quotas: dict[str, QuotaBound] = field(default_factory=dict)
    leaks: list[str] = field(default_factory=list)

    def calm(self, since: float, until: float) -> bool:
        """Return whether no fault touched a span."""
        return all(end < since or begin > until for begin, end in self.disturbed)

    def breaches(self) -> list[str]:
        """Return every promise that was broken, as text."""
        return [
            *self.mixed_answers(),
            *self.repeated_runs(),
            *self.false_refusals(),
            *self.late_work(),
            *self.work_after_notice(),
            *self.disturbed_rests(),
            *self.flooded_instances(),
            *self.old_versions(),
            *self.bad_stops(),
            *self.leaked_keys(),
            *self.wrong_workspaces(),
            *self.false_unknown_keys(),
            *self.exceeded_quotas(),
        ]

    def mixed_answers(self) -> list[str]:
        """A success is the whole answer to its own request."""
        return [
            f"MIXED {one.id} got {one.body[:80]!r}"
            for one in self.asked.values()
            if one.status == 200
            and not (one.signed and one.body.split()[:1] == [one.id.encode()])
        ]

    def repeated_runs(self) -> list[str]:
        """An unsafe request runs once at most, and only if it was asked."""
        counts = Counter(one.id for one in self.ran)
        unknown = [
            f"UNASKED {one.id!r} {one.target} at {one.instance}"
            for one in self.ran
            if one.id not in self.asked
        ]
        return unknown + [
            f"TWICE {name} ran {count} times"
            for name, count in counts.items()
            if count > 1 and name in self.asked and self.asked[name].unsafe
        ]

    def false_refusals(self) -> list[str]:
        """A refused unsafe request never ran."""
        ran = {one.id for one in self.ran}
        return [
            f"REFUSED {one.id} ran and was answered {one.status}"
            for one in self.asked.values()
            if one.unsafe and one.status in REFUSALS and one.id in ran
        ]

    def late_work(self) -> list[str]:
        """An instance that leaves gets nothing 2.5 s later, in calm times.

        An entry that has just started is not in touch, as one that was disturbed.
        """
        return [
            f"DRAIN {one.id} reached {one.instance} {one.at - left:.2f} s late"
            for one in self.ran
            if (left := self.left.get(one.instance)) is not None
            and one.at > left + DRAIN_TIMEOUT_S
            and self.calm(left - 4, one.at)
            and not self.has_just_started(one)
        ]

    def has_just_started(self, one: Ran) -> bool:
        """Return whether the entry that sent a request had started just before."""
        asked = self.asked.get(one.id)
        started_at = self.started.get(asked.entry, -math.inf) if asked else -math.inf
        return one.at - started_at < STABLE_WINDOW_S

    def work_after_notice(self) -> list[str]:
        """An entry that passed on an instance's notice of leaving soon stops using it.

        This holds whatever the store says, but for entries that were paused.
        """
        found = []
        for one in self.arrivals:
            asked = self.asked.get(one.id)
            if asked is None or asked.entry in self.killed:
                continue
            told_at = self.passed_on_leaving.get((asked.entry, one.instance))
            if told_at is not None and asked.sent_at > told_at + DRAIN_TIMEOUT_S:
                late_s = asked.sent_at - told_at
                found.append(f"DRAIN {one.id} at {one.instance} {late_s:.2f} s late")
        return found

    def disturbed_rests(self) -> list[str]:
        """An instance that rests gets two requests of an entry at the most."""
        arrivals = defaultdict(list)
        for one in self.arrivals:
            asked = self.asked.get(one.id)
            if asked is not None:
                arrivals[asked.entry, one.instance].append(one.at)
        found = []
        for rest in self.rests:
            count = sum(
                rest.at + REST_DELAY_S < at < rest.until
                for at in arrivals[rest.entry, rest.instance]
            )
            if count > MAX_REQUESTS_IN_A_REST and rest.entry not in self.killed:
                found.append(f"BUDGET {count} requests to {rest.instance} in its rest")
        return found

    def chill(self, instance: str, now: float, until: float) -> None:
        """Record that an instance is cold from now on, or for longer than it was."""
        span = self.cold_span(instance, now)
        if span is None:
            self.cold.append(ColdSpan(instance, now, until))
        else:
            span.until = max(span.until, until)

    def end(self, instance: str, now: float) -> None:
        """End the cold time and the rests of an incarnation that ends."""
        for span in (*self.cold, *self.rests):
            if span.instance == instance:
                span.until = min(span.until, now)

    def cold_span(self, instance: str, at: float) -> ColdSpan | None:
        """Return the span in which an instance is cold at a time, if it is."""
        for span in self.cold:
            if span.instance == instance and span.since <= at < span.until:
                return span
        return None

    def flooded_instances(self) -> list[str]:
        """A cold instance gets few requests in any second, from all entries together.

        No fault excuses an entry from this.
        """
        found = []
        for span in self.cold:
            at, count = self.busiest_second(span)
            if count > MAX_COLD_REQUESTS_IN_A_SECOND:
                found.append(
                    f"FAILBACK {count} requests to {span.instance} in a second, "
                    f"{at - span.since:.2f} s after it became cold at {span.since:.2f}"
                )
        return found

    def is_flooded(self, span: ColdSpan, now: float) -> bool:
        """Return whether an instance got too many requests in the last second."""
        since = max(span.since, now - 1.0)
        recent = takewhile(lambda one: one.at > since, reversed(self.arrivals))
        count = sum(one.instance == span.instance for one in recent)
        return count > MAX_COLD_REQUESTS_IN_A_SECOND

    def busiest_second(self, span: ColdSpan) -> tuple[float, int]:
        """Return the second of a cold span with most requests, and their number."""
        times = sorted(
            one.at
            for one in self.arrivals
            if one.instance == span.instance and span.since <= one.at < span.until
        )
        counts = [
            (at, bisect_left(times, at + 1.0) - position)
            for position, at in enumerate(times)
        ]
        return max(counts, key=lambda second: second[1], default=(span.since, 0))

    def old_versions(self) -> list[str]:
        """A version is in force 2.5 s after its acceptance, in calm times.

        A request that is repeated while a newer one comes into force runs by that.
        """
        found = []
        for one in self.ran:
            asked = self.asked.get(one.id)
            if asked is None or not one.target.startswith("/v/"):
                continue
            current = [(at, to) for at, to in self.versions if at < asked.sent_at]
            if not current:
                continue
            at, service = current[-1]
            settled = asked.sent_at > at + 2.5 and self.calm(at - 4, one.at)
            newer = {to for at, to in self.versions if asked.sent_at <= at < one.at}
            if settled and one.service not in {service, *newer}:
                found.append(f"CONFIG {one.id} ran at {one.service}, not {service}")
        return found

    def bad_stops(self) -> list[str]:
        """A planned stop ends in time with status 0 and cuts no request.

        A process that was not ready yet may also end by the signal itself. An answer
        that its instance never ends is cut at the caller's deadline.
        """
        found = [
            f"STOP {name} ended with {status}"
            for name, status in self.exits.items()
            if name not in self.killed
            and status != 0
            and not (status == -signal.SIGTERM and name in self.early_stops)
        ]
        began = defaultdict(list)
        for one in self.ran:
            began[one.id].append(one.at)
        for one in self.asked.values():
            span = self.planned_stops.get(one.entry)
            if span is None or one.entry in self.killed or one.status:
                continue
            in_span = span[0] <= one.ended_at <= span[1]
            if in_span and self.was_endless(one):
                continue
            if in_span and one.id in began and self.calm(span[0] - 4, one.ended_at):
                found.append(f"LOST {one.id} at {one.entry} while it stopped")
        return found

    def leaked_keys(self) -> list[str]:
        """No key reaches an instance or the output of a process."""
        at_instances = [
            f"KEY of {one.id} reached {one.instance}"
            for one in self.arrivals
            if one.has_key
        ]
        return at_instances + [f"KEY in {place}" for place in self.leaks]

    def wrong_workspaces(self) -> list[str]:
        """A request runs as the workspace that has its key, or had it just before.

        The bound counts from the caller's sending, and no fault excuses an entry.
        """
        spans = defaultdict(list)
        for span in self.key_spans:
            spans[span.key, span.workspace].append(span)
        found = []
        for one in self.ran:
            asked = self.asked.get(one.id)
            if asked is None or not self.has_workspaces:
                continue
            if one.target.startswith(PUBLIC_PREFIX):
                is_right = one.workspace is None
            else:
                is_right = any(
                    span.since <= one.at and asked.sent_at <= span.until + REVOCATION_S
                    for span in spans.get((asked.key, one.workspace), ())
                )
            if not is_right:
                found.append(f"WORKSPACE {one.id} ran as {one.workspace}")
        return found

    def false_unknown_keys(self) -> list[str]:
        """A key that exists for some seconds is not called unknown, whatever fails."""
        spans = defaultdict(list)
        for span in self.key_spans:
            spans[span.key].append(span)
        found = []
        for one in self.asked.values():
            if one.status != UNKNOWN_KEY_STATUS or one.key is None:
                continue
            owned = spans.get(one.key, [])
            since = min((span.since for span in owned), default=math.inf)
            until = max((span.until for span in owned), default=math.inf)
            if since < one.sent_at - KEY_PROPAGATION_S and until > one.ended_at:
                found.append(f"UNKNOWN {one.id} has a key and got 401")
        return found

    def exceeded_quotas(self) -> list[str]:
        """Of a limited workspace no more run in any window than the bound allows."""
        found = []
        for workspace, bound in self.quotas.items():
            ids = {one.id for one in self.ran if one.workspace == workspace}
            times = sorted(self.asked[id_].sent_at for id_ in ids if id_ in self.asked)
            counts = [
                bisect_left(times, at + bound.window_s) - position
                for position, at in enumerate(times)
            ]
            if max(counts, default=0) > bound.requests:
                found.append(f"QUOTA {max(counts)} requests of {workspace}")
        return found

    def was_endless(self, one: Asked) -> bool:
        """Return whether an instance's answer went on until the caller's deadline."""
        waited_s = one.ended_at - one.sent_at
        return one.id in self.endless and waited_s >= MIN_ENDLESS_ANSWER_S
