"""What instances get while nothing tells which of them are cold."""

from __future__ import annotations

import heapq
import random
from types import SimpleNamespace

import pytest

from masticdeck.clock import HybridClock
from masticdeck.coordination.entry_order import EntryOrder
from masticdeck.coordination.feed import FeedUpdate, RecordReplica
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.warmth.confirmation import (
    MAX_CURRENT_AGE_S,
    REPORT_DELAY_S,
    Doubt,
    WarmthConfirmation,
)
from masticdeck.coordination.warmth.limiter import ColdBound, UnconfirmedLimiter
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, InstanceId, Revision, ServiceId, ZoneId
from masticdeck.protocol.dialect import InstanceUse
from masticdeck.state.fleet import FleetInstance, InstanceState

RECHECK_S = 0.02
PATIENCE_S = 0.5
ENTRIES_PER_CHOICE = 6
"""Entries for each instance of a service whose instances all of them use."""


class TestConfirmation:
    """When the records tell which instances are cold."""

    @pytest.fixture
    def replica(self) -> RecordReplica:
        replica = RecordReplica(SimpleNamespace())
        replica.confirm(100.0, 100.0)
        return replica

    @pytest.fixture
    def confirmation(self, replica) -> WarmthConfirmation:
        return WarmthConfirmation(replica, EventLog("own", HybridClock()))

    def doubt(self, confirmation: WarmthConfirmation, now: float) -> Doubt:
        confirmation.update(now)
        return confirmation.doubt

    def test_records_that_were_never_read_are_not_doubted(self):
        replica = RecordReplica(SimpleNamespace())
        events = EventLog("own", HybridClock())
        assert WarmthConfirmation(replica, events).is_confirmed(100.0)

    def test_failure_of_the_store_is_a_doubt_until_it_answers(
        self, replica, confirmation
    ):
        replica.record_store_failure(100.2)
        assert self.doubt(confirmation, 100.2) is Doubt.STORE_FAILING
        replica.confirm(100.4, 100.5)
        assert self.doubt(confirmation, 100.5) is Doubt.NONE

    def test_silent_source_is_a_doubt_after_a_while(self, confirmation):
        assert self.doubt(confirmation, 100.0 + MAX_CURRENT_AGE_S) is Doubt.NONE
        later = 100.1 + MAX_CURRENT_AGE_S
        assert self.doubt(confirmation, later) is Doubt.OUTDATED

    def test_instances_have_time_to_write_after_an_outage(self, replica, confirmation):
        """Guards against an instance that became cold while it could not say so."""
        replica.record_store_failure(100.2)
        self.doubt(confirmation, 100.2)
        replica.confirm(103.0, 103.0)
        assert self.doubt(confirmation, 103.0) is Doubt.RECENT_OUTAGE
        replica.confirm(104.9, 104.9)
        assert self.doubt(confirmation, 104.9) is Doubt.RECENT_OUTAGE
        replica.confirm(103.1 + REPORT_DELAY_S, 103.1 + REPORT_DELAY_S)
        assert self.doubt(confirmation, 103.1 + REPORT_DELAY_S) is Doubt.NONE
        codes = [event.code for event in confirmation.events.ring]
        assert codes.count(Code.WARMTH_UNCONFIRMED) == 2
        assert codes[-1] is Code.WARMTH_CONFIRMED

    def test_entry_that_the_store_alone_rejects_goes_by_the_one_that_it_follows(
        self, replica, confirmation
    ):
        replica.record_store_failure(100.2)
        replica.set_hops(1)
        replica.apply_update(FeedUpdate(False, (), Revision(0), 0.1), 100.6)
        replica.record_store_failure(100.7)
        assert self.doubt(confirmation, 100.7) is Doubt.NONE

    def test_follower_doubts_with_its_source(self, replica, confirmation):
        update = FeedUpdate(False, (), Revision(0), 0.6, is_store_failing=True)
        replica.apply_update(update, 100.7)
        assert self.doubt(confirmation, 100.7) is Doubt.STORE_FAILING


class SimulatedFleet:
    """Entries that send to the instances of a service, in virtual time.

    Each of ``count`` entries has a nearest instance, and ``senders`` entries have the
    same one. If all would, each request has an instance of its own. A cold instance
    bears ``cold_per_s`` requests, with the slack that ``bound`` states. A request that
    its entry may not send to the nearest instance, nor to any other if it ``may_move``,
    is tried again until ``PATIENCE_S`` has passed.
    """

    def __init__(
        self,
        count: int,
        senders: int,
        bound: ColdBound,
        cold_per_s: float,
        *,
        run_s: float,
        may_move: bool = False,
    ) -> None:
        self.random = random.Random(7)
        self.now = 1000.0
        self.run_s, self.may_move = run_s, may_move
        self.is_confirmed = True
        self.senders, self.bound, self.cold_per_s = senders, bound, cold_per_s
        self.allowed = cold_per_s * bound.load_factor + bound.slack
        self.all_choose = senders == count
        self.instances = [
            FleetInstance(
                id=InstanceId(f"i{number}"),
                service=ServiceId("s"),
                host="127.0.0.1",
                port=1,
                zone=ZoneId("a"),
                slots=4,
                state=InstanceState.READY,
                born_ms=1,
            )
            for number in range(
                max(3, count // ENTRIES_PER_CHOICE)
                if self.all_choose
                else count // senders
            )
        ]
        members = {EntryId(f"e{number}") for number in range(count)}
        self.entries = [self.create_entry(entry, members) for entry in sorted(members)]
        self.running: dict[InstanceId, list[tuple[float, int]]] = {
            instance.id: [] for instance in self.instances
        }
        self.sent_at: dict[InstanceId, list[float]] = {
            instance.id: [] for instance in self.instances
        }
        self.asked = self.given_up = 0

    def create_entry(self, entry: EntryId, members: set[EntryId]) -> UnconfirmedLimiter:
        confirmation = SimpleNamespace(
            is_confirmed=lambda now: self.is_confirmed, began_at=1.0
        )
        return UnconfirmedLimiter(
            confirmation,
            InstanceLoads(),
            bound=lambda: self.bound,
            cold_rate_per_s=lambda service: self.cold_per_s,
            order=EntryOrder(entry, members=lambda: members),
        )

    def run(self, duration_s: float, rate_per_s: float) -> None:
        """Let callers ask for requests at random times."""
        until = self.now + duration_s
        total_per_s = rate_per_s * len(self.instances)
        due = [(self.now + self.random.expovariate(total_per_s), -1, 0.0)]
        while due[0][0] < until:
            self.now, number, asked_at = heapq.heappop(due)
            if number < 0:
                gap_s = self.random.expovariate(total_per_s)
                heapq.heappush(due, (self.now + gap_s, -1, 0.0))
                number = self.random.randrange(len(self.entries))
                self.asked += 1
                asked_at = self.now
            if self.send(number):
                continue
            if self.now - asked_at < PATIENCE_S:
                heapq.heappush(due, (self.now + RECHECK_S, number, asked_at))
            else:
                self.given_up += 1
        self.now = until

    def send(self, number: int) -> bool:
        """Send a request to the first instance that the entry may use."""
        nearest = number // self.senders % len(self.instances)
        if self.all_choose:
            nearest = self.random.randrange(len(self.instances))
        order = self.instances[nearest:] + self.instances[:nearest]
        for instance in order if self.may_move else order[:1]:
            if self.entries[number].accepts(instance, self.now):
                self.start(number, instance)
                return True
        return False

    def start(self, number: int, instance: FleetInstance) -> None:
        """Begin to run a request; those that have ended report how many ran."""
        running = self.running[instance.id]
        while running and running[0][0] <= self.now:
            ended_at, sender = running[0]
            loads = self.entries[sender].loads
            load = loads.get(instance)
            load.own_requests = sum(other == sender for _, other in running)
            report = InstanceUse(running=len(running), waiting=0, slots=4)
            loads.record_report(load, report, ended_at)
            loads.record_latency(load, self.run_s)
            heapq.heappop(running)
        heapq.heappush(running, (self.now + self.run_s, number))
        self.entries[number].record_sent(instance, self.now)
        self.sent_at[instance.id].append(self.now)

    def most_in_a_second(self, since: float) -> int:
        """Return the most requests that any instance got in a second after a time."""
        return max(
            sum(start <= at < start + 1.0 for at in times)
            for times in self.sent_at.values()
            for start in [at for at in times if at >= since] or [self.now]
        )


SMALL, GROWN, LARGE = (
    (ColdBound(1.5, 5.0), 4.3),
    (ColdBound(1.5, 8.0), 3.9),
    (ColdBound(1.5, 10.0), 2.8),
)
FLEETS = [
    (3, 1, *SMALL),
    (9, 2, *SMALL),
    (9, 9, *SMALL),
    (66, 6, *GROWN),
    (66, 66, *GROWN),
    (195, 195, *LARGE),
]
"""Entries, how many send to the same instance, and what a cold one bears."""

fleets = pytest.mark.parametrize(
    "fleet", FLEETS, ids=[f"{count}-{senders}" for count, senders, *_ in FLEETS]
)


@pytest.mark.parametrize("may_move", [False, True], ids=["in place", "moving"])
@fleets
@pytest.mark.parametrize("rate_per_s", [24.0, 60.0])
def test_instance_that_got_more_than_a_cold_one_bears_gets_no_more_than_that(
    fleet, rate_per_s, may_move
):
    """Guards against the flood of an instance that became cold in an outage."""
    simulated = SimulatedFleet(*fleet, run_s=0.1, may_move=may_move)
    simulated.run(12.0, rate_per_s)
    assert simulated.most_in_a_second(1010.0) > simulated.allowed
    simulated.is_confirmed = False
    simulated.run(1.0, rate_per_s)
    began_at = simulated.now
    simulated.run(5.0, rate_per_s)
    assert 0 < simulated.most_in_a_second(began_at) <= simulated.allowed


@fleets
def test_instance_that_got_less_serves_its_callers_in_an_outage(fleet):
    """Guards against an outage that costs callers service where little is at risk."""
    simulated = SimulatedFleet(*fleet, run_s=0.3, may_move=True)
    simulated.run(12.0, 6.0)
    simulated.is_confirmed = False
    simulated.asked = 0
    simulated.run(8.0, 6.0)
    assert simulated.given_up <= 0.05 * simulated.asked


def test_nothing_is_bounded_while_the_records_are_current():
    simulated = SimulatedFleet(*FLEETS[0], run_s=0.1)
    simulated.run(5.0, 60.0)
    assert simulated.given_up == 0
