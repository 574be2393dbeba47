"""The sum of what entries admit for a workspace, without a network."""

from __future__ import annotations

import random
from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass, field
from functools import lru_cache

import pytest

from masticdeck.clock import HybridClock, boottime
from masticdeck.coordination.feed import RecordReplica
from masticdeck.coordination.quotas import allocator as allocator_module
from masticdeck.coordination.quotas import limiter as limiter_module
from masticdeck.coordination.quotas.allocation import (
    ALLOCATION_KEY,
    Allocation,
    Share,
    WorkspaceShares,
    decode_allocation,
    encode_allocation,
    read_allocation_order,
)
from masticdeck.coordination.quotas.allocator import QuotaAllocator
from masticdeck.coordination.quotas.demand import Confirmation
from masticdeck.coordination.quotas.distribution import Distribution
from masticdeck.coordination.quotas.limiter import (
    QuotaExceeded,
    QuotaLimiter,
    QuotaUnproved,
)
from masticdeck.coordination.quotas.terms import QuotaTerms
from masticdeck.errors import StoreConflict, StoreUnavailable
from masticdeck.events import EventLog
from masticdeck.ids import EntryId, Era, Revision, WorkspaceId
from masticdeck.protocol.positions import NO_ERA, pack_position
from masticdeck.protocol.records import RecordInvalid
from masticdeck.protocol.store import KeyValue
from masticdeck.state.workspaces import RateLimit, Workspace, WorkspaceTable

TERMS = QuotaTerms(window_s=5.0, overage=0.1, slack=20.0)
WORKSPACE = WorkspaceId("w")
TICK_S = 0.05
NO_REVISION = Revision(0)


@pytest.fixture(autouse=True)
def _decode_once(monkeypatch):
    """Let all simulated entries share what is decoded from one record."""
    decode = lru_cache(maxsize=4)(decode_allocation)
    monkeypatch.setattr(limiter_module, "decode_allocation", decode)
    monkeypatch.setattr(allocator_module, "decode_allocation", decode)


@dataclass
class StoreRecord:
    """The record of the allocation, with the compare-and-swap of the store."""

    value: bytes | None = None
    revision: Revision = NO_REVISION
    is_away: bool = False
    loses_answers: bool = False
    delayed: list[tuple[bytes, Revision]] = field(default_factory=list)

    async def put(self, key, value, *, expect=None, lease=None):
        if self.is_away:
            raise StoreUnavailable("the store is away")
        if self.loses_answers:
            self.delayed.append((value, expect))
            raise StoreUnavailable("no answer")
        return self.write(value, expect)

    def write(self, value, expect):
        if expect != (NO_REVISION if self.value is None else self.revision):
            raise StoreConflict("another revision")
        self.value, self.revision = value, Revision(self.revision + 1)
        return self.revision

    def finish_delayed(self):
        """Do the writes whose answers were lost."""
        for value, expect in self.delayed:
            with suppress(StoreConflict):
                self.write(value, expect)
        self.delayed.clear()

    def delete(self):
        self.value, self.revision = None, Revision(self.revision + 1)


@dataclass
class EntryReplica:
    """What one entry knows of the record, and since when it may be outdated."""

    records: dict[str, KeyValue] = field(default_factory=dict)
    deletion_revisions: dict[str, Revision] = field(default_factory=dict)
    proved_at: float = 0.0
    era: Era = NO_ERA

    def proof_age_s(self, now):
        return now - self.proved_at

    def is_unrestored(self, key):
        return False


class SimulatedEntry:
    """An entry with its limiter and its allocator, and what it has admitted."""

    def __init__(self, name: str, fleet: SimulatedFleet) -> None:
        self.id = EntryId(name)
        self.fleet = fleet
        self.replica = EntryReplica()
        self.is_connected = True
        self.is_running = True
        self.allocator = QuotaAllocator(
            fleet.store,
            self.replica,
            EventLog("test", HybridClock()),
            clock=lambda: fleet.now,
            terms=lambda: TERMS,
            workspaces=lambda: fleet.table,
            members=lambda: frozenset(fleet.members),
            is_allocator=lambda: (
                fleet.allocators is None or self.id in fleet.allocators
            ),
        )
        self.start()

    def start(self) -> None:
        """Begin without any memory of requests, as after a restart."""
        self.limiter = QuotaLimiter(
            self.id,
            terms=lambda: TERMS,
            proof_age_s=lambda: self.replica.proof_age_s(self.fleet.now),
            started_at=self.fleet.now,
            clock=lambda: self.fleet.now,
            seed=1,
        )
        record = self.replica.records.get(ALLOCATION_KEY)
        if record is not None:
            self.limiter.record_changed(ALLOCATION_KEY, record.value)

    def read_store(self) -> None:
        """Take over the record, as the feed does."""
        store = self.fleet.store
        if store.is_away:
            return
        known = self.replica.records.get(ALLOCATION_KEY)
        if store.value is None and known is not None:
            del self.replica.records[ALLOCATION_KEY]
            self.replica.deletion_revisions[ALLOCATION_KEY] = store.revision
            self.limiter.record_changed(ALLOCATION_KEY, None)
        elif store.value is not None and (
            known is None or known.revision < store.revision
        ):
            self.replica.records[ALLOCATION_KEY] = KeyValue(
                ALLOCATION_KEY, store.value, store.revision
            )
            with suppress(RecordInvalid):
                self.limiter.record_changed(ALLOCATION_KEY, store.value)
        self.replica.proved_at = self.fleet.now

    def confirm(self) -> Confirmation | None:
        """Return what a report states of the allocation in use."""
        if not self.limiter.is_complete(self.fleet.now):
            return None
        record = self.replica.records.get(ALLOCATION_KEY)
        return Confirmation(
            NO_REVISION if record is None else record.revision,
            self.limiter.admitted_in_window(self.fleet.now),
        )

    def ask(self) -> bool:
        """Ask to admit a request; return whether it was."""
        try:
            self.limiter.admit(self.fleet.workspace, self.fleet.now)
        except (QuotaExceeded, QuotaUnproved):
            return False
        self.fleet.admitted.append(self.fleet.now)
        return True


class SimulatedFleet:
    """Entries that share the quota of one workspace, in virtual time.

    ``allocators`` names the entries that take themselves for the allocator, None
    stands for all.
    """

    def __init__(self, count: int, limit: RateLimit) -> None:
        self.now = 1000.0
        self.random = random.Random(7)
        self.store = StoreRecord()
        self.set_limit(limit)
        self.admitted: list[float] = []
        self.members = {EntryId(f"e{number}") for number in range(count)}
        self.allocators: set[EntryId] | None = {EntryId("e0")}
        self.entries = [SimulatedEntry(f"e{number}", self) for number in range(count)]

    def set_limit(self, limit: RateLimit) -> None:
        """Put a configuration with another limit in force."""
        self.workspace = Workspace(id=WORKSPACE, limit=limit)
        self.table = WorkspaceTable([(self.workspace, [])])

    async def run(self, duration_s: float, ask) -> tuple[int, int]:
        """Let time pass; return the requests asked for and admitted."""
        asked = 0
        admitted_before = len(self.admitted)
        for tick in range(round(duration_s / TICK_S)):
            self.now += TICK_S
            for entry in self.entries:
                if entry.is_connected and entry.is_running and tick % 4 == 0:
                    entry.read_store()
            for entry in ask(self):
                if entry.is_running:
                    asked += 1
                    entry.ask()
            if tick % 20 == 0:
                await self.allocate()
        return asked, len(self.admitted) - admitted_before

    async def allocate(self) -> None:
        """Deliver the reports and let the allocators act."""
        for allocator in self.entries:
            if (
                not allocator.is_connected
                or not allocator.is_running
                or not allocator.allocator.is_allocator()
            ):
                continue
            for entry in self.entries:
                if entry.is_connected and entry.is_running:
                    demand = entry.limiter.demand(self.now)
                    allocator.allocator.reports.record(
                        entry.id, demand, self.now, confirmation=entry.confirm()
                    )
            try:
                await allocator.allocator.allocate_once(self.now)
            except (StoreConflict, StoreUnavailable):
                continue

    def most_in_window(self) -> int:
        """Return the most requests admitted in any window."""
        most = first = 0
        for last, at in enumerate(self.admitted):
            while self.admitted[first] <= at - TERMS.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


def from_all(rate_per_s: float):
    """Return demand that meets all entries at random."""

    def ask(fleet):
        expected = rate_per_s * TICK_S
        number = int(expected) + (fleet.random.random() < expected % 1)
        return [fleet.random.choice(fleet.entries) for _ in range(number)]

    return ask


def from_first(rate_per_s: float, entries: int, *, offset: int = 0):
    """Return demand that meets only some of the entries."""
    ask_all = from_all(rate_per_s)

    def ask(fleet):
        group = fleet.entries[offset : offset + entries]
        return [fleet.random.choice(group) for _ in ask_all(fleet)]

    return ask


def moving_demand(interval_s: float):
    """Return a flood that moves to other entries of 24 at intervals."""

    def ask(fleet):
        offset = int(fleet.now / interval_s) % 6 * 4
        return [fleet.entries[offset + fleet.random.randrange(4)] for _ in range(20)]

    return ask


@pytest.mark.parametrize("count", [66, 195, 1900])
async def test_sum_stays_within_the_bound_when_every_entry_is_flooded(count):
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(count, limit)
    await fleet.run(8.0, from_all(2000.0))
    assert 0 < fleet.most_in_window() <= TERMS.bound(limit)


@pytest.mark.parametrize("count", [66, 195])
async def test_workspace_over_its_limit_gets_nine_tenths_of_it(count):
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(count, limit)
    await fleet.run(20.0, from_all(300.0))
    _, admitted = await fleet.run(20.0, from_all(300.0))
    assert admitted >= 0.9 * limit.rate_per_s * 20.0
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_limit_is_used_by_a_workspace_that_meets_few_entries():
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(66, limit)
    await fleet.run(25.0, from_first(300.0, 3))
    _, admitted = await fleet.run(20.0, from_first(300.0, 3))
    assert admitted >= 0.9 * limit.rate_per_s * 20.0
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_workspace_below_its_limit_is_not_refused_in_steady_state():
    fleet = SimulatedFleet(24, RateLimit(160.0, 160.0))
    await fleet.run(15.0, from_all(100.0))
    asked, admitted = await fleet.run(20.0, from_all(100.0))
    assert admitted >= 0.999 * asked


async def test_small_workspace_of_one_zone_is_not_refused_in_steady_state():
    fleet = SimulatedFleet(24, RateLimit(2.6, 2.6))
    await fleet.run(25.0, from_first(1.6, 4))
    asked, admitted = await fleet.run(60.0, from_first(1.6, 4))
    assert admitted >= 0.99 * asked


async def test_change_of_the_allocator_does_not_upset_the_division():
    # Guards against an even division by an allocator that has no reports yet, or does
    # not know which entries were asked before it took over.
    fleet = SimulatedFleet(24, RateLimit(2.6, 2.6))
    await fleet.run(40.0, from_first(1.6, 4))
    written = fleet.store.revision
    asked = admitted = 0
    for allocator in ("e5", "e6"):
        fleet.allocators = {EntryId(allocator)}
        counts = await fleet.run(40.0, from_first(1.6, 4))
        asked, admitted = asked + counts[0], admitted + counts[1]
    assert admitted >= 0.99 * asked
    assert fleet.store.revision - written <= 80 / 5


async def test_restart_of_all_entries_stays_within_the_bound():
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(66, limit)
    await fleet.run(20.0, from_all(1000.0))
    for entry in fleet.entries:
        entry.start()
    await fleet.run(10.0, from_all(1000.0))
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_entries_that_are_cut_off_stop_by_themselves():
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(66, limit)
    await fleet.run(10.0, from_all(1000.0))
    cut = fleet.entries[20:40]
    for entry in cut:
        entry.is_connected = False
        fleet.members.discard(entry.id)
    await fleet.run(30.0, from_all(1000.0))
    assert not any(entry.ask() for entry in cut)
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_demand_that_moves_between_entries_stays_within_the_bound():
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(24, limit)

    await fleet.run(60.0, moving_demand(4.0))
    # Demand that others join moves allowances while their holders still use them.
    for offset in (8, 0):
        await fleet.run(15.0, from_first(1000.0, 2, offset=offset))
        await fleet.run(8.0, from_all(3000.0))
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_entries_that_all_take_themselves_for_the_allocator_keep_the_bound():
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(24, limit)
    fleet.allocators = None
    await fleet.run(30.0, from_all(1000.0))
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_allocators_that_take_turns_and_miss_records_keep_the_bound():
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(24, limit)
    for turn in range(20):
        fleet.allocators = {EntryId(f"e{turn % 5}")}
        offset = turn % 6 * 4
        await fleet.run(
            2.0,
            lambda fleet, offset=offset: [
                fleet.entries[offset + fleet.random.randrange(4)] for _ in range(20)
            ],
        )
    await fleet.run(20.0, from_first(1000.0, 2, offset=8))
    for turn in range(15):
        fleet.allocators = {EntryId(f"e{turn % 5}")}
        await fleet.run(1.0, from_all(3000.0))
    assert fleet.most_in_window() <= TERMS.bound(limit)


@pytest.mark.parametrize("is_allocated", [True, False])
async def test_lower_limit_binds_after_one_window(is_allocated):
    fleet = SimulatedFleet(24, RateLimit(100.0, 100.0))
    await fleet.run(20.0, from_all(1000.0))
    if not is_allocated:
        fleet.allocators = set()
    lower = RateLimit(10.0, 10.0)
    fleet.set_limit(lower)
    await fleet.run(TERMS.window_s + TICK_S, from_all(1000.0))
    fleet.admitted.clear()
    await fleet.run(20.0, from_all(1000.0))
    assert 0 < fleet.most_in_window() <= TERMS.bound(lower)


async def test_lower_limit_binds_at_once_while_demand_moves():
    # Guards against growth into what only the higher limit had reserved.
    fleet = SimulatedFleet(24, RateLimit(100.0, 100.0))
    await fleet.run(20.0, from_all(1000.0))
    lower = RateLimit(20.0, 20.0)
    fleet.set_limit(lower)
    fleet.admitted.clear()
    # The entry that ends has its allowance withdrawn before the transition is over.
    fleet.entries[-1].is_running = False
    fleet.members.discard(fleet.entries[-1].id)
    await fleet.run(1.0, from_all(1000.0))
    everyone, few = from_all(200.0), from_first(3000.0, 3)
    await fleet.run(12.0, lambda fleet: everyone(fleet) + few(fleet))
    await fleet.run(12.0, moving_demand(1.0))
    assert 0 < fleet.most_in_window() <= TERMS.bound(lower)


async def test_limit_that_goes_down_and_up_keeps_the_higher_bound():
    # Guards against use of the higher limit by entries that have not heard of the
    # lower one, while what it seems to have freed is given to others.
    higher = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(24, higher)
    await fleet.run(20.0, from_first(1000.0, 4))
    for entry in fleet.entries[:4]:
        entry.is_connected = False
    fleet.set_limit(RateLimit(5.0, 5.0))
    await fleet.run(1.5, from_all(0.0))
    fleet.set_limit(higher)
    await fleet.run(20.0, from_all(2000.0))
    assert fleet.most_in_window() <= TERMS.bound(higher)


@pytest.mark.parametrize(("count", "seed"), [(66, 1), (66, 2), (66, 3), (195, 4)])
async def test_bound_holds_while_entries_and_the_store_fail(count, seed):
    # Entries are cut off, suspended and restarted, allocators change and act side by
    # side, the store is away, and writes are done after their answers were lost.
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(count, limit)
    rng = random.Random(seed)
    restarted_at: dict[EntryId, float] = {}
    for _ in range(60 if count < 100 else 25):
        fleet.store.is_away = rng.random() < 0.1
        fleet.store.loses_answers = rng.random() < 0.2
        if rng.random() < 0.3:
            fleet.store.finish_delayed()
        if rng.random() < 0.2:
            fleet.allocators = {
                entry.id for entry in rng.sample(fleet.entries, rng.choice((1, 1, 2)))
            }
        for entry in rng.sample(fleet.entries, count // 10):
            entry.is_connected = not entry.is_connected
            if rng.random() < 0.5:
                fleet.members ^= {entry.id}
        for entry in rng.sample(fleet.entries, count // 10):
            entry.is_running = not entry.is_running
            for _ in range(20 if entry.is_running else 0):
                entry.ask()
        for entry in rng.sample(fleet.entries, count // 5):
            if fleet.now - restarted_at.get(entry.id, 0.0) > 2 * TERMS.window_s:
                restarted_at[entry.id] = fleet.now
                entry.start()
        first = rng.randrange(count)
        crowd = (fleet.entries * 2)[first : first + rng.choice((3, count))]
        await fleet.run(
            1.0, lambda _, crowd=crowd: [rng.choice(crowd) for _ in range(50)]
        )
    assert 0 < fleet.most_in_window() <= TERMS.bound(limit)


@pytest.mark.parametrize("is_deleted", [True, False])
@pytest.mark.parametrize("run_on", [True, False])
async def test_lost_record_is_replaced_once_nothing_of_it_can_be_in_use(
    is_deleted, run_on
):
    limit = RateLimit(100.0, 100.0)
    fleet = SimulatedFleet(24, limit)
    await fleet.run(20.0, from_first(1000.0, 4))
    if is_deleted:
        fleet.store.delete()
    else:
        fleet.store.write(b"{}", fleet.store.revision)
    # Either those that had the allowances go on, or the allocator that follows gets no
    # reports of them.
    fleet.allocators = {EntryId("e8")}
    for entry in fleet.entries[:4]:
        entry.is_running = run_on
    holders, others = from_first(500.0, 4), from_first(1000.0, 20, offset=4)
    await fleet.run(9.0, lambda fleet: holders(fleet) + others(fleet))
    _, admitted = await fleet.run(20.0, others)
    assert admitted >= 0.5 * limit.rate_per_s * 20.0
    assert fleet.most_in_window() <= TERMS.bound(limit)


async def test_entries_that_start_without_a_predecessor_use_all_of_their_allowance():
    fleet = SimulatedFleet(24, RateLimit(160.0, 160.0))
    await fleet.run(1.0, from_all(100.0))
    asked, admitted = await fleet.run(4.0, from_all(100.0))
    assert admitted >= 0.99 * asked


async def test_calm_demand_of_many_workspaces_causes_few_writes():
    # 75 workspaces with Zipf distributed demand at 24 entries, which callers choose at
    # random; a change of one workspace writes the record of all.
    rates = [240.0 / rank**1.2 for rank in range(1, 76)]
    workspaces = [
        Workspace(id=WorkspaceId(f"w{rank}"), limit=RateLimit(1.6 * rate, 1.6 * rate))
        for rank, rate in enumerate(rates)
    ]
    fleet = SimulatedFleet(24, RateLimit(1.0, 1.0))
    fleet.table = WorkspaceTable((workspace, []) for workspace in workspaces)
    first = fleet.entries[0]
    seconds: deque[Counter[tuple[EntryId, WorkspaceId]]] = deque(maxlen=5)
    written = 0
    for second in range(90):
        fleet.now += 1.0
        first.read_store()
        seconds.append(
            Counter(
                (fleet.random.choice(fleet.entries).id, workspace.id)
                for workspace, rate in zip(workspaces, rates, strict=True)
                for _ in range(int(rate + fleet.random.random()))
            )
        )
        demand: dict[EntryId, dict[WorkspaceId, int]] = {}
        for (entry, workspace), requests in sum(seconds, Counter()).items():
            demand.setdefault(entry, {})[workspace] = requests
        for entry, requests in demand.items():
            first.allocator.reports.record(entry, requests, fleet.now)
        await first.allocator.allocate_once(fleet.now)
        if second == 29:
            written = fleet.store.revision
    assert fleet.store.revision - written <= 60 / 5
    assert len(fleet.store.value) < 64_000


async def test_entry_without_limited_workspaces_counts_and_writes_nothing():
    fleet = SimulatedFleet(3, RateLimit(1.0, 1.0))
    fleet.workspace = Workspace(id=WORKSPACE)
    fleet.table = WorkspaceTable([(fleet.workspace, [])])
    asked, admitted = await fleet.run(3.0, from_all(10.0))
    assert asked == admitted
    assert fleet.store.value is None
    assert not any(
        entry.limiter.asked or entry.limiter.admitted for entry in fleet.entries
    )


async def test_requests_are_refused_without_a_current_proof():
    fleet = SimulatedFleet(3, RateLimit(100.0, 100.0))
    await fleet.run(3.0, from_all(0.0))
    fleet.now += TERMS.max_proof_age_s
    with pytest.raises(QuotaUnproved):
        fleet.entries[0].limiter.admit(fleet.workspace, fleet.now)


async def test_request_that_did_not_run_is_not_counted():
    fleet = SimulatedFleet(1, RateLimit(1.0, 1.0))
    await fleet.run(8.0, from_all(0.0))
    limiter = fleet.entries[0].limiter
    first = limiter.admit(fleet.workspace, fleet.now)
    admitted = 1
    while fleet.entries[0].ask():
        admitted += 1
    assert first is not None
    limiter.take_back(first)
    assert fleet.entries[0].ask()
    assert not fleet.entries[0].ask()
    assert admitted > 1


def test_more_is_never_reserved_than_the_budget():
    rng = random.Random(11)
    shares = WorkspaceShares(0)
    entries = [EntryId(f"e{number}") for number in range(12)]
    for step in range(400):
        members = rng.sample(entries, rng.randrange(1, 12))
        demand = {entry: rng.random() * 60 for entry in members}
        shares = Distribution(shares, 100, members, demand).next()
        assert shares.reserved <= 100
        assert all(
            share.allowance <= share.reserved for share in shares.shares.values()
        )
        if step % 5 == 0:
            shares = WorkspaceShares(
                shares.budget,
                {
                    entry: Share(share.allowance, share.allowance)
                    for entry, share in shares.shares.items()
                },
            )


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"entries":["a"],"workspaces":{"w":[5,[[0,3,2]]]}}',
        b'{"entries":["a"],"workspaces":{"w":[5,[[1,1,1]]]}}',
        b'{"entries":["a"],"workspaces":{"w":[5,[[0,-1,1]]]}}',
    ],
)
def test_record_that_promises_too_much_or_names_nobody_is_invalid(value):
    with pytest.raises(RecordInvalid):
        decode_allocation(value)


def test_allocation_survives_its_record():
    allocation: Allocation = {
        WORKSPACE: WorkspaceShares(
            9, {EntryId("a"): Share(2, 3), EntryId("b"): Share(0, 4)}
        )
    }
    assert decode_allocation(encode_allocation(allocation)) == allocation


async def test_known_allocation_is_written_over_the_older_one_of_a_restored_store():
    """Guards against a budget that is divided twice after a restoration."""

    def at(era: int, counter: int) -> Revision:
        return pack_position(Era(era), counter)

    entries = (EntryId("e0"), EntryId("e1"))

    def divided(allowances: tuple[int, int], number: int) -> bytes:
        shares = {
            entry: Share(allowance, allowance)
            for entry, allowance in zip(entries, allowances, strict=True)
        }
        return encode_allocation({WORKSPACE: WorkspaceShares(500, shares)}, number)

    in_use: list[bytes | None] = []
    written: list[tuple[bytes, Revision]] = []

    class Listener:
        def record_changed(self, key, value, *, maybe_expired) -> None:
            in_use.append(value)

    class Writer:
        async def put(self, key, value, *, expect=None, lease=None):
            written.append((value, expect))
            return at(2, 26)

    replica = RecordReplica(Listener())
    known, older = divided((100, 400), 7), divided((400, 100), 5)
    replica.replace([KeyValue(ALLOCATION_KEY, known, at(1, 40))], at(1, 41))
    allocator = QuotaAllocator(
        Writer(),
        replica,
        EventLog("test", HybridClock()),
        terms=lambda: TERMS,
        workspaces=lambda: WorkspaceTable(
            [(Workspace(id=WORKSPACE, limit=RateLimit(100.0, 0.0)), [])]
        ),
        members=lambda: frozenset(entries),
        is_allocator=lambda: True,
    )
    now = boottime()
    await allocator.allocate_once(now)
    replica.replace([KeyValue(ALLOCATION_KEY, older, at(2, 20))], at(2, 25))
    assert in_use == [known]
    replica.prove(now + allocator_module.TAKEOVER_PAUSE_S)
    await allocator.allocate_once(now + allocator_module.TAKEOVER_PAUSE_S)
    [(value, expect)] = written
    assert expect == at(2, 20)
    assert read_allocation_order(value) == (8,)
    shares = decode_allocation(value)[WORKSPACE]
    assert shares.shares[entries[1]].reserved >= 400
    assert shares.reserved <= TERMS.budget(RateLimit(100.0, 0.0))
