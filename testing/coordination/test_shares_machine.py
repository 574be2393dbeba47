"""Stateful test: no interleaving of owners and holders uses a unit twice.

The real ledger, balancing, sessions and held units run on one virtual clock.
Messages are queued, streams break, processes end, owners pause past their
lease or lose the store, and requests end within the agreed wait.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bench.fleet import place
from masticdeck.coordination import (
    holding,
    owner_session,
    region_owner,
    share_holder,
    share_session,
)
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.owner_session import OwnerSession
from masticdeck.coordination.region_owner import RegionOwner
from masticdeck.coordination.share_holder import ShareHolder
from masticdeck.coordination.share_ledger import DISCONNECT_NOTICE_S
from masticdeck.coordination.share_session import HolderSession
from masticdeck.coordination.slots import Slot
from masticdeck.ids import EntryId, FencingToken, RegionId, ServiceId
from masticdeck.state.deployment import Deployment
from testing.coordination.helpers import make_node

REGION = RegionId("vidzeme")
SERVICE = ServiceId("katalogs")
LEASE_S = 3.0
AGREED_WAIT_S = 10.0
ENTRIES = 3
SETTINGS = {"share_outage_s": 20.0, "share_outage_ttl_s": 30.0}
MODULES_WITH_CLOCK = (
    holding,
    owner_session,
    region_owner,
    share_holder,
    share_session,
)
NO_TOKEN = FencingToken(0)
any_entry = st.integers(0, ENTRIES - 1)


def small_deployment() -> Deployment:
    """Return three entries and two instances of two slots in one region."""
    document = place("riga", entries=ENTRIES)
    instances = [
        instance
        for instance in document["instances"]
        if instance["zone"].startswith(REGION) and instance["service"] == SERVICE
    ]
    document["entries"] = [
        entry | {"zone": "vidzeme-a"} for entry in document["entries"]
    ]
    document["instances"] = [instance | {"slots": 2} for instance in instances[:2]]
    return Deployment.model_validate(document)


@dataclass
class FakeOwnership:
    """The part of Ownership that a region owner uses, set by the machine."""

    clock: Clock
    name: str = f"region/{REGION}"
    token: FencingToken = NO_TOKEN
    owner: EntryId | None = None
    valid_until: float = 0.0
    store_failing: bool = False

    def is_valid(self) -> bool:
        return self.token != 0 and self.clock.now < self.valid_until

    def may_act_without_store(self, max_expired_s: float) -> bool:
        expired_s = self.clock.now - self.valid_until
        return self.token != 0 and self.store_failing and expired_s < max_expired_s


@dataclass
class Clock:
    """The virtual clock that all components share."""

    now: float = 1000.0


class ManualOwner(RegionOwner):
    """A region owner without background tasks; the machine drives it."""

    def spawn_task(self, coroutine: Any) -> None:
        coroutine.close()

    def schedule_balance(self) -> None:
        self.rebalance()


@dataclass
class Request:
    """A request that occupies a slot of a backend server until it ends."""

    slot: Slot
    entry: int
    process_number: int
    ends_at: float


@dataclass
class Stream:
    """Both ends of one holder's stream and the queued messages."""

    entry: int
    process_number: int
    owner: int
    holder_session: HolderSession
    owner_session: OwnerSession | None = None
    reports: list[Any] = field(default_factory=list)
    grants: list[Any] = field(default_factory=list)


class SharesMachine(RuleBasedStateMachine):
    """Rules that move units, messages, processes and time."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.original_clocks = [
            (module, module.boottime) for module in MODULES_WITH_CLOCK
        ]
        for module in MODULES_WITH_CLOCK:
            module.boottime = lambda: self.clock.now  # type: ignore[attr-defined]
        self.loop = asyncio.new_event_loop()
        self.deployment = small_deployment()
        self.process_numbers = [0] * ENTRIES
        self.is_running = [True] * ENTRIES
        self.holders = [self.make_holder(n) for n in range(ENTRIES)]
        self.owners = [self.make_owner(n) for n in range(ENTRIES)]
        self.streams: list[Stream] = []
        self.answers: list[tuple[int, int, FencingToken, Any]] = []
        self.requests: list[Request] = []
        self.lease_ends_at = 0.0
        self.token = 0
        self.recorded_owner: EntryId | None = None
        self.cut_off_holders: set[int] = set()

    def make_holder(self, n: int) -> ShareHolder:
        entry = self.deployment.entries[n].id
        node = make_node(self.deployment, entry, **SETTINGS)
        return ShareHolder(node, Membership(node))

    def make_owner(self, n: int) -> ManualOwner:
        ownership: Any = FakeOwnership(self.clock)
        owner = ManualOwner(self.holders[n].node, REGION, ownership)
        owner.fence = self.holders[n].fence
        return owner

    def teardown(self) -> None:
        for module, function in self.original_clocks:
            module.boottime = function  # type: ignore[attr-defined]
        self.loop.close()

    def call(self, function: Any, *arguments: Any) -> Any:
        """Call a function inside the running event loop."""

        async def body() -> Any:
            result = function(*arguments)
            await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(body())

    @initialize()
    def start_all(self) -> None:
        """Start with one owner and three holders that have units."""
        self.hand_over(0, [True] * ENTRIES, [True] * ENTRIES)

    @rule(
        n=any_entry,
        answering=st.lists(st.booleans(), min_size=ENTRIES, max_size=ENTRIES),
        joining=st.lists(st.booleans(), min_size=ENTRIES, max_size=ENTRIES),
    )
    def hand_over(self, n: int, answering: list[bool], joining: list[bool]) -> None:
        """Change the owner; some entries answer its read-back and some join it."""
        if self.clock.now <= self.lease_ends_at:
            self.advance(self.lease_ends_at - self.clock.now + 0.1)
        self.acquire(n)
        for m in range(ENTRIES):
            if answering[m]:
                self.read_back(n, m)
        while self.answers:
            self.deliver_answer_to_owner(self.answers[0])
        for m in range(ENTRIES):
            if joining[m]:
                self.connect(m, n, 1)
        self.process_messages()

    @rule()
    def process_messages(self) -> None:
        """Send reports and deliver every queued message, for three rounds."""
        for _ in range(3):
            streams = [
                stream
                for stream in self.streams
                if stream.entry not in self.cut_off_holders
            ]
            for stream in [stream for stream in streams if self.is_current(stream)]:
                self.send_report(stream, self.holders[stream.entry].waiting[SERVICE])
            for stream in streams:
                while stream in self.streams and stream.reports:
                    self.deliver_report_of(stream)
            for stream in streams:
                while stream in self.streams and stream.grants:
                    self.deliver_grant_of(stream)

    @rule(n=any_entry, cut=st.booleans())
    def cut_off_holder(self, n: int, cut: bool) -> None:
        """Cut a holder off from every owner, or reconnect it."""
        (self.cut_off_holders.add if cut else self.cut_off_holders.discard)(n)

    @rule(n=any_entry, rounds=st.sampled_from([1, 4, 12, 26, 70]))
    def keep_renewing(self, n: int, rounds: int) -> None:
        """Let time pass without any fault."""
        for _ in range(rounds):
            self.advance(0.9)
            self.renew(n)
            self.check(n)
            self.process_messages()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.9, 9.0, 15.0, 31.0]))
    def advance(self, seconds: float) -> None:
        self.clock.now += seconds
        for request in list(self.requests):
            if request.ends_at <= self.clock.now:
                self.finish(request)

    def finish(self, request: Request) -> None:
        self.requests.remove(request)
        if (
            self.process_numbers[request.entry] == request.process_number
            and self.is_running[request.entry]
        ):
            self.call(self.holders[request.entry].release, request.slot)

    @rule(n=any_entry)
    def acquire(self, n: int) -> None:
        """Make an entry the owner once the previous lease has expired."""
        owner = self.owners[n]
        if not self.is_running[n] or self.clock.now <= self.lease_ends_at:
            return
        if owner.ownership.store_failing:
            return
        self.token += 1
        self.lease_ends_at = self.clock.now + LEASE_S
        owner.ownership.token = FencingToken(self.token)
        owner.ownership.valid_until = self.clock.now + LEASE_S - 0.1
        self.call(owner.change_token, FencingToken(self.token))
        prior, self.recorded_owner = self.recorded_owner, owner.node.id
        self.call(owner.set_prior_owner, prior)

    @rule(n=any_entry)
    def renew(self, n: int) -> None:
        owner = self.owners[n].ownership
        if owner.store_failing or not owner.token:
            return
        if owner.token == self.token and self.clock.now < self.lease_ends_at:
            self.lease_ends_at = self.clock.now + LEASE_S
            owner.valid_until = self.clock.now + LEASE_S - 0.1
        else:
            owner.token = FencingToken(0)
            self.call(self.owners[n].change_token, FencingToken(0))

    @rule(n=any_entry, failing=st.booleans())
    def cut_from_store(self, n: int, failing: bool) -> None:
        """Cut an owner off from the store, or reconnect it.

        The store may stay available to the other entries.
        """
        self.owners[n].ownership.store_failing = failing

    @rule(n=any_entry)
    def check(self, n: int) -> None:
        owner = self.owners[n]
        if self.is_running[n] and owner.token:
            self.call(owner.check_expiry)

    @rule(n=any_entry, m=any_entry, waiting=st.integers(0, 4))
    def connect(self, n: int, m: int, waiting: int) -> None:
        """Open a stream from a holder to an owner, abandoning any earlier one."""
        if not self.is_running[n]:
            return
        holder = self.holders[n]
        holder.waiting[SERVICE] = waiting
        holder.waiting_since = {SERVICE: self.clock.now} if waiting else {}
        holder_session = HolderSession(holder, REGION, self.owners[m].node.id)
        holder.sessions[REGION] = holder_session
        stream = Stream(n, self.process_numbers[n], m, holder_session)
        stream.reports.append(self.call(lambda: holder_session.build_report(full=True)))
        self.streams.append(stream)

    def is_current(self, stream: Stream) -> bool:
        """Return whether a stream is the holder's current one."""
        n = stream.entry
        if not self.is_running[n] or self.process_numbers[n] != stream.process_number:
            return False
        return self.holders[n].sessions.get(REGION) is stream.holder_session

    @precondition(lambda self: self.streams)
    @rule(data=st.data(), waiting=st.integers(0, 4))
    def report(self, data: Any, waiting: int) -> None:
        self.send_report(data.draw(st.sampled_from(self.streams)), waiting)

    def send_report(self, stream: Stream, waiting: int) -> None:
        if self.is_current(stream):
            holder = self.holders[stream.entry]
            holder.waiting[SERVICE] = waiting
            holder.waiting_since = {SERVICE: self.clock.now} if waiting else {}
            stream.reports.append(
                self.call(lambda: stream.holder_session.build_report(full=False))
            )

    @precondition(lambda self: any(stream.reports for stream in self.streams))
    @rule(data=st.data())
    def deliver_report(self, data: Any) -> None:
        streams = [stream for stream in self.streams if stream.reports]
        self.deliver_report_of(data.draw(st.sampled_from(streams)))

    def deliver_report_of(self, stream: Stream) -> None:
        """Deliver the next report of a stream to its owner."""
        owner = self.owners[stream.owner]
        report = stream.reports.pop(0)
        if not self.is_running[stream.owner] or not owner.may_grant():
            self.streams.remove(stream)
            return
        if report.full:
            if report.token > owner.token:
                self.streams.remove(stream)
                return
            stream.owner_session = self.call(OwnerSession, owner, report)
        if (
            stream.owner_session is None
            or owner.sessions.get(stream.owner_session.entry)
            is not stream.owner_session
        ):
            self.streams.remove(stream)
            return
        self.call(stream.owner_session.handle_report, report)
        self.send_grants(owner)

    def send_grants(self, owner: RegionOwner) -> None:
        """Build the grants that the owner's sessions have pending."""
        for stream in self.streams:
            session = stream.owner_session
            is_open = (
                session is not None and owner.sessions.get(session.entry) is session
            )
            if is_open and session.grant_needed.is_set() and owner.may_grant():
                session.grant_needed.clear()
                stream.grants.append(self.call(session.build_grant))

    @precondition(lambda self: any(stream.grants for stream in self.streams))
    @rule(data=st.data())
    def deliver_grant(self, data: Any) -> None:
        streams = [stream for stream in self.streams if stream.grants]
        self.deliver_grant_of(data.draw(st.sampled_from(streams)))

    def deliver_grant_of(self, stream: Stream) -> None:
        """Deliver the next grant of a stream to its holder."""
        grant = stream.grants.pop(0)
        if self.is_current(stream) and not self.call(
            stream.holder_session.handle_grant, grant
        ):
            del self.holders[stream.entry].sessions[REGION]
            self.streams.remove(stream)

    @rule(n=any_entry, m=any_entry)
    def read_back(self, n: int, m: int) -> None:
        """Let an owner read back from an entry.

        A process that has ended refuses the connection.
        """
        owner = self.owners[n]
        if not self.is_running[n] or not owner.token or owner.settled:
            return
        entry = self.holders[m].node.id
        if not self.is_running[m]:
            running_requests = [
                request for request in self.requests if request.entry == m
            ]
            if not running_requests:
                self.call(owner.settle_entry, entry, owner.token)
            return
        answer = self.call(self.holders[m].answer_read_back, REGION, owner.token)
        self.answers.append((n, m, owner.token, answer))

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def deliver_answer(self, data: Any) -> None:
        self.deliver_answer_to_owner(data.draw(st.sampled_from(self.answers)))

    def deliver_answer_to_owner(
        self, queued_answer: tuple[int, int, FencingToken, Any]
    ) -> None:
        """Deliver a read-back answer to the owner that requested it."""
        self.answers.remove(queued_answer)
        n, m, token, answer = queued_answer
        if self.is_running[n]:
            entry = self.holders[m].node.id
            self.call(self.owners[n].handle_read_back, entry, token, answer)
            self.send_grants(self.owners[n])

    @rule(n=any_entry, count=st.integers(1, 4))
    def start_requests(self, n: int, count: int) -> None:
        holder = self.holders[n]
        for _ in range(count):
            free = holder.free_slots(SERVICE)
            if not self.is_running[n] or not free:
                return
            slot = self.call(holder.try_acquire, min(free))
            if slot is not None:
                ends_at = self.clock.now + AGREED_WAIT_S
                self.requests.append(Request(slot, n, self.process_numbers[n], ends_at))

    @rule()
    def start_requests_everywhere(self) -> None:
        for n in range(ENTRIES):
            self.start_requests(n, 4)

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def end_request(self, data: Any) -> None:
        self.finish(data.draw(st.sampled_from(self.requests)))

    @rule(n=any_entry)
    def kill(self, n: int) -> None:
        if not self.is_running[n]:
            return
        self.is_running[n] = False
        self.owners[n].ownership.token = FencingToken(0)
        for request in self.requests:
            if request.entry == n:
                request.ends_at = min(
                    request.ends_at, self.clock.now + DISCONNECT_NOTICE_S
                )

    @rule(n=any_entry)
    def restart(self, n: int) -> None:
        """Start a process again once its requests have ended at the backends."""
        if self.is_running[n] or any(request.entry == n for request in self.requests):
            return
        self.is_running[n] = True
        self.process_numbers[n] += 1
        self.holders[n] = self.make_holder(n)
        self.owners[n] = self.make_owner(n)

    @rule(n=any_entry, m=any_entry)
    def observe_refused_connection(self, n: int, m: int) -> None:
        """Let an owner observe that a holder's process has ended."""
        owner = self.owners[n]
        record = owner.ledger.holders.get(self.holders[m].node.id)
        if self.is_running[n] and not self.is_running[m] and record is not None:
            self.call(owner.ledger.quarantine_units, record, self.clock.now)

    @invariant()
    def no_unit_is_used_twice(self) -> None:
        used_units = [
            (request.slot.instance, request.slot.index) for request in self.requests
        ]
        assert len(used_units) == len(set(used_units)), used_units


SharesMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
)
TestSharesMachine = seed(4)(SharesMachine.TestCase)
