"""Random interleavings of owners and holders never use a unit twice.

The real ledger, balance, sessions and holdings run on one virtual clock.
Messages wait in queues, streams break, processes die, owners sleep past their
lease or lose the store, and requests end at the latest after the agreed wait.
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
    held_units,
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
WAIT_S = 10.0
ENTRIES = 3
SETTINGS = {"share_outage_s": 20.0, "share_outage_ttl_s": 30.0}
CLOCKED = (held_units, owner_session, region_owner, share_holder, share_session)
NO_TOKEN = FencingToken(0)
any_entry = st.integers(0, ENTRIES - 1)


def small_deployment() -> Deployment:
    """Return three entries and two instances of two slots in one region."""
    raw = place("riga", entries=ENTRIES)
    near = [
        one
        for one in raw["instances"]
        if one["zone"].startswith(REGION) and one["service"] == SERVICE
    ]
    raw["entries"] = [one | {"zone": "vidzeme-a"} for one in raw["entries"]]
    raw["instances"] = [one | {"slots": 2} for one in near[:2]]
    return Deployment.model_validate(raw)


@dataclass
class FakeOwnership:
    """What a region owner asks of its ownership, set by the machine."""

    clock: Clock
    name: str = f"region/{REGION}"
    token: FencingToken = NO_TOKEN
    owner: EntryId | None = None
    valid_until: float = 0.0
    store_failing: bool = False

    def is_valid(self) -> bool:
        return self.token != 0 and self.clock.now < self.valid_until

    def may_act_without_store(self, max_expired_s: float) -> bool:
        late = self.clock.now - self.valid_until
        return self.token != 0 and self.store_failing and late < max_expired_s


@dataclass
class Clock:
    """The one clock of all."""

    now: float = 1000.0


class QuietOwner(RegionOwner):
    """A region owner whose background work the machine does."""

    def spawn_task(self, body: Any) -> None:
        body.close()

    def schedule_balance(self) -> None:
        self.rebalance()


@dataclass
class Request:
    """A request that occupies a unit at the backend server until it ends."""

    slot: Slot
    entry: int
    process: int
    ends: float


@dataclass
class Stream:
    """Both ends of one holder's stream and the messages under way."""

    entry: int
    process: int
    owner: int
    near: HolderSession
    far: OwnerSession | None = None
    reports: list[Any] = field(default_factory=list)
    grants: list[Any] = field(default_factory=list)


class SharesMachine(RuleBasedStateMachine):
    """The rules under which units move."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.saved = [(module, module.boottime) for module in CLOCKED]
        for module in CLOCKED:
            module.boottime = lambda: self.clock.now  # type: ignore[attr-defined]
        self.loop = asyncio.new_event_loop()
        self.deployment = small_deployment()
        self.processes = [0] * ENTRIES
        self.up = [True] * ENTRIES
        self.holders = [self.make_holder(n) for n in range(ENTRIES)]
        self.owners = [self.make_owner(n) for n in range(ENTRIES)]
        self.streams: list[Stream] = []
        self.answers: list[tuple[int, int, FencingToken, Any]] = []
        self.requests: list[Request] = []
        self.lease_ends = 0.0
        self.token = 0
        self.record: EntryId | None = None
        self.cut_off: set[int] = set()

    def make_holder(self, n: int) -> ShareHolder:
        name = self.deployment.entries[n].id
        node = make_node(self.deployment, name, **SETTINGS)
        return ShareHolder(node, Membership(node))

    def make_owner(self, n: int) -> QuietOwner:
        ownership: Any = FakeOwnership(self.clock)
        owner = QuietOwner(self.holders[n].node, REGION, ownership)
        owner.fence = self.holders[n].fence
        return owner

    def teardown(self) -> None:
        for module, function in self.saved:
            module.boottime = function  # type: ignore[attr-defined]
        self.loop.close()

    def call(self, function: Any, *arguments: Any) -> Any:
        """Run real code within a running loop."""

        async def body() -> Any:
            result = function(*arguments)
            await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(body())

    @initialize()
    def start_all(self) -> None:
        """Begin with one owner and three holders with units."""
        self.hand_over(0, [True] * ENTRIES, [True] * ENTRIES)

    @rule(
        n=any_entry,
        asked=st.lists(st.booleans(), min_size=ENTRIES, max_size=ENTRIES),
        joined=st.lists(st.booleans(), min_size=ENTRIES, max_size=ENTRIES),
    )
    def hand_over(self, n: int, asked: list[bool], joined: list[bool]) -> None:
        """Change the owner; only some entries are asked, and only some join."""
        if self.clock.now <= self.lease_ends:
            self.advance(self.lease_ends - self.clock.now + 0.1)
        self.acquire(n)
        for m in range(ENTRIES):
            if asked[m]:
                self.read_back(n, m)
        while self.answers:
            self.deliver(self.answers[0])
        for m in range(ENTRIES):
            if joined[m]:
                self.connect(m, n, 1)
        self.pump()

    @rule()
    def pump(self) -> None:
        """Deliver every message, some rounds long."""
        for _ in range(3):
            moving = [one for one in self.streams if one.entry not in self.cut_off]
            for stream in [one for one in moving if self.current(one)]:
                self.send_report(stream, self.holders[stream.entry].waiting[SERVICE])
            for stream in moving:
                while stream in self.streams and stream.reports:
                    self.arrive(stream)
            for stream in moving:
                while stream in self.streams and stream.grants:
                    self.receive(stream)

    @rule(n=any_entry, cut=st.booleans())
    def cut_off_holder(self, n: int, cut: bool) -> None:
        """Cut a holder off from every owner, or let its messages go on."""
        (self.cut_off.add if cut else self.cut_off.discard)(n)

    @rule(n=any_entry, rounds=st.sampled_from([1, 4, 12, 26, 70]))
    def keep_renewing(self, n: int, rounds: int) -> None:
        """Let time pass while everything works."""
        for _ in range(rounds):
            self.advance(0.9)
            self.renew(n)
            self.check(n)
            self.pump()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.9, 9.0, 15.0, 31.0]))
    def advance(self, seconds: float) -> None:
        self.clock.now += seconds
        for request in list(self.requests):
            if request.ends <= self.clock.now:
                self.finish(request)

    def finish(self, request: Request) -> None:
        self.requests.remove(request)
        if self.processes[request.entry] == request.process and self.up[request.entry]:
            self.call(self.holders[request.entry].release, request.slot)

    @rule(n=any_entry)
    def acquire(self, n: int) -> None:
        """Become the owner in the store, once the earlier lease has ended."""
        owner = self.owners[n]
        if not self.up[n] or self.clock.now <= self.lease_ends:
            return
        if owner.ownership.store_failing:
            return
        self.token += 1
        self.lease_ends = self.clock.now + LEASE_S
        owner.ownership.token = FencingToken(self.token)
        owner.ownership.valid_until = self.clock.now + LEASE_S - 0.1
        self.call(owner.change_token, FencingToken(self.token))
        prior, self.record = self.record, owner.node.id
        self.call(owner.set_prior_owner, prior)

    @rule(n=any_entry)
    def renew(self, n: int) -> None:
        owner = self.owners[n].ownership
        if owner.store_failing or not owner.token:
            return
        if owner.token == self.token and self.clock.now < self.lease_ends:
            self.lease_ends = self.clock.now + LEASE_S
            owner.valid_until = self.clock.now + LEASE_S - 0.1
        else:
            owner.token = FencingToken(0)
            self.call(self.owners[n].change_token, FencingToken(0))

    @rule(n=any_entry, failing=st.booleans())
    def cut_from_store(self, n: int, failing: bool) -> None:
        """Cut an owner off, whether the store is down for the others or not."""
        self.owners[n].ownership.store_failing = failing

    @rule(n=any_entry)
    def check(self, n: int) -> None:
        owner = self.owners[n]
        if self.up[n] and owner.token:
            self.call(owner.check_expiry)

    @rule(n=any_entry, m=any_entry, waiting=st.integers(0, 4))
    def connect(self, n: int, m: int, waiting: int) -> None:
        """Open a stream from a holder to an owner, leaving any older one."""
        if not self.up[n]:
            return
        holder = self.holders[n]
        holder.waiting[SERVICE] = waiting
        holder.waiting_since = {SERVICE: self.clock.now} if waiting else {}
        near = HolderSession(holder, REGION, self.owners[m].node.id)
        holder.sessions[REGION] = near
        stream = Stream(n, self.processes[n], m, near)
        stream.reports.append(self.call(lambda: near.build_report(full=True)))
        self.streams.append(stream)

    def current(self, stream: Stream) -> bool:
        """Return whether the holder still listens on a stream."""
        n = stream.entry
        if not self.up[n] or self.processes[n] != stream.process:
            return False
        return self.holders[n].sessions.get(REGION) is stream.near

    @precondition(lambda self: self.streams)
    @rule(data=st.data(), waiting=st.integers(0, 4))
    def report(self, data: Any, waiting: int) -> None:
        self.send_report(data.draw(st.sampled_from(self.streams)), waiting)

    def send_report(self, stream: Stream, waiting: int) -> None:
        if self.current(stream):
            holder = self.holders[stream.entry]
            holder.waiting[SERVICE] = waiting
            holder.waiting_since = {SERVICE: self.clock.now} if waiting else {}
            stream.reports.append(
                self.call(lambda: stream.near.build_report(full=False))
            )

    @precondition(lambda self: any(one.reports for one in self.streams))
    @rule(data=st.data())
    def deliver_report(self, data: Any) -> None:
        ready = [one for one in self.streams if one.reports]
        self.arrive(data.draw(st.sampled_from(ready)))

    def arrive(self, stream: Stream) -> None:
        """Let the owner take the next report of a stream."""
        owner = self.owners[stream.owner]
        report = stream.reports.pop(0)
        if not self.up[stream.owner] or not owner.may_grant():
            self.streams.remove(stream)
            return
        if report.full:
            if report.token > owner.token:
                self.streams.remove(stream)
                return
            stream.far = self.call(OwnerSession, owner, report)
        if stream.far is None or owner.sessions.get(stream.far.entry) is not stream.far:
            self.streams.remove(stream)
            return
        self.call(stream.far.handle_report, report)
        self.send_grants(owner)

    def send_grants(self, owner: RegionOwner) -> None:
        """Compose what the owner's sessions have been woken for."""
        for stream in self.streams:
            far = stream.far
            live = far is not None and owner.sessions.get(far.entry) is far
            if live and far.grant_needed.is_set() and owner.may_grant():
                far.grant_needed.clear()
                stream.grants.append(self.call(far.build_grant))

    @precondition(lambda self: any(one.grants for one in self.streams))
    @rule(data=st.data())
    def deliver_grant(self, data: Any) -> None:
        ready = [one for one in self.streams if one.grants]
        self.receive(data.draw(st.sampled_from(ready)))

    def receive(self, stream: Stream) -> None:
        """Let the holder take the next grant of a stream."""
        grant = stream.grants.pop(0)
        if self.current(stream) and not self.call(stream.near.handle_grant, grant):
            del self.holders[stream.entry].sessions[REGION]
            self.streams.remove(stream)

    @rule(n=any_entry, m=any_entry)
    def read_back(self, n: int, m: int) -> None:
        """Let an owner ask an entry; a dead process refuses the connection."""
        owner = self.owners[n]
        if not self.up[n] or not owner.token or owner.settled:
            return
        entry = self.holders[m].node.id
        if not self.up[m]:
            ended = [one for one in self.requests if one.entry == m]
            if not ended:
                self.call(owner.settle_entry, entry, owner.token)
            return
        answer = self.call(self.holders[m].answer_read_back, REGION, owner.token)
        self.answers.append((n, m, owner.token, answer))

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def deliver_answer(self, data: Any) -> None:
        self.deliver(data.draw(st.sampled_from(self.answers)))

    def deliver(self, chosen: tuple[int, int, FencingToken, Any]) -> None:
        """Let an owner take an answer to its reading back."""
        self.answers.remove(chosen)
        n, m, token, answer = chosen
        if self.up[n]:
            entry = self.holders[m].node.id
            self.call(self.owners[n].handle_read_back, entry, token, answer)
            self.send_grants(self.owners[n])

    @rule(n=any_entry, count=st.integers(1, 4))
    def take(self, n: int, count: int) -> None:
        holder = self.holders[n]
        for _ in range(count):
            free = holder.free(SERVICE)
            if not self.up[n] or not free:
                return
            slot = self.call(holder.try_acquire, min(free))
            if slot is not None:
                ends = self.clock.now + WAIT_S
                self.requests.append(Request(slot, n, self.processes[n], ends))

    @rule()
    def take_everywhere(self) -> None:
        for n in range(ENTRIES):
            self.take(n, 4)

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def end_request(self, data: Any) -> None:
        self.finish(data.draw(st.sampled_from(self.requests)))

    @rule(n=any_entry)
    def kill(self, n: int) -> None:
        if not self.up[n]:
            return
        self.up[n] = False
        self.owners[n].ownership.token = FencingToken(0)
        for request in self.requests:
            if request.entry == n:
                request.ends = min(request.ends, self.clock.now + DISCONNECT_NOTICE_S)

    @rule(n=any_entry)
    def restart(self, n: int) -> None:
        """Start the process again after the backends noticed its end."""
        if self.up[n] or any(one.entry == n for one in self.requests):
            return
        self.up[n] = True
        self.processes[n] += 1
        self.holders[n] = self.make_holder(n)
        self.owners[n] = self.make_owner(n)

    @rule(n=any_entry, m=any_entry)
    def prove_gone(self, n: int, m: int) -> None:
        """Let an owner meet a refused connection to a dead holder."""
        owner = self.owners[n]
        record = owner.ledger.holders.get(self.holders[m].node.id)
        if self.up[n] and not self.up[m] and record is not None:
            self.call(owner.ledger.quarantine_units, record, self.clock.now)

    @invariant()
    def no_unit_is_used_twice(self) -> None:
        used = [(one.slot.instance, one.slot.index) for one in self.requests]
        assert len(used) == len(set(used)), used


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
