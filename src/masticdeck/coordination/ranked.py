"""The policy ``ranked``: admission by rank, adaptive limits, ejection, links."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

from masticdeck.clock import boottime
from masticdeck.coordination.admission import ServiceQueue, WaitingCall
from masticdeck.coordination.health import Health
from masticdeck.coordination.limits import ConcurrencyLimits
from masticdeck.coordination.links import Links
from masticdeck.coordination.plans import PlanRules
from masticdeck.coordination.policy import (
    MAX_ATTEMPTS,
    AttemptOutcome,
    AttemptResult,
    policies,
)
from masticdeck.coordination.retries import RetryBudget
from masticdeck.coordination.routing import LARGE_RESPONSE_BYTES, Router
from masticdeck.coordination.slots import Slot, SlotSource
from masticdeck.errors import MasticdeckError, Overloaded
from masticdeck.events import Code
from masticdeck.hookspec import hookimpl
from masticdeck.ids import (
    CustomerId,
    EntryId,
    InstanceId,
    MemberState,
    Outcome,
    Rank,
    ServiceId,
)
from masticdeck.node import Node
from masticdeck.protocol.call import Call
from masticdeck.state.deployment import Deployment
from masticdeck.state.lists import Configuration

SERVICE_TIME_EWMA_WEIGHT = 0.05
MAX_SERVICE_TIME_FRACTION = 0.5
LONG_HOLD_FACTOR = 3.0
MAX_LONG_HOLD_FRACTION = 0.5
PAUSED_POLL_S = 0.01
MIN_SERVER_ERROR_STATUS = 500


@dataclass(slots=True, eq=False)
class ServiceTimeEstimate:
    """Smoothed seconds for which a request holds a slot, and its deviation."""

    mean_s: float
    deviation_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Learn from one answer."""
        difference = seconds - self.mean_s
        self.mean_s += SERVICE_TIME_EWMA_WEIGHT * difference
        self.deviation_s += SERVICE_TIME_EWMA_WEIGHT * (
            abs(difference) - self.deviation_s
        )

    def high_estimate_s(self) -> float:
        """Return a time within which most answers come."""
        return self.mean_s + 2 * self.deviation_s


class SlotHoldTimes:
    """Times for which requests of one service hold a slot, by rank and in all."""

    def __init__(self, usual_s: float) -> None:
        self.nominal_s = usual_s
        self.overall = ServiceTimeEstimate(usual_s)
        self.by_rank = {rank: ServiceTimeEstimate(usual_s) for rank in Rank}

    def add(self, rank: Rank, seconds: float) -> None:
        """Learn from one answer."""
        self.overall.add(seconds)
        self.by_rank[rank].add(seconds)

    def is_long(self, rank: Rank) -> bool:
        """Return whether the rank's requests hold slots much longer than usual."""
        return self.by_rank[rank].mean_s > LONG_HOLD_FACTOR * self.nominal_s


@policies.register("ranked")
class RankedPolicy:
    """Hands slots out by rank, customer and deadline; learns from outcomes."""

    def __init__(self, node: Node, slots: SlotSource) -> None:
        self.node = node
        self.slots = slots
        deployment = node.deployment
        usual = {
            one.id: deployment.service_by_id[one.service].service_ms / 1000
            for one in deployment.instances
        }
        self.plan_rules = PlanRules()
        self.limits = ConcurrencyLimits(deployment.instances, usual)
        self.health = Health(deployment.instances)
        self.region = deployment.region_of[node.entry.zone]
        self.gone_entries: set[EntryId] = set()
        self.links = Links(deployment, self.region, self.count_region_entries)
        self.router = Router(
            deployment, node.entry.zone, self.limits, self.health, self.links
        )
        self.retry_budget = RetryBudget()
        services = [service.id for service in deployment.services]
        self.queues = {service: ServiceQueue() for service in services}
        self.slots_in_use = dict.fromkeys(services, 0)
        self.slots_in_use_by_rank: Counter[tuple[ServiceId, Rank]] = Counter()
        self.hold_times = {
            service.id: SlotHoldTimes(service.service_ms / 1000)
            for service in deployment.services
        }
        self.slots_per_entry = slots_per_entry(deployment)
        self.polled_services: set[ServiceId] = set()
        node.hooks.register(self)

    def count_region_entries(self) -> int:
        """Return the number of live entries in this entry's region."""
        deployment = self.node.deployment
        return sum(
            deployment.region_of[one.zone] == self.region
            and one.id not in self.gone_entries
            for one in deployment.entries
        )

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return the rank that the customer's plan allows."""
        return self.plan_rules.allowed_rank(customer, rank)

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot, at once or after a wait; refuses what cannot be in time."""
        queue = self.queues[call.service]
        if not avoid and call.attempt == 1:
            self.retry_budget.earn(call.service)
        if not queue.waiting_count:
            slot = self.try_acquire(call, avoid, boottime())
            if slot is not None:
                return slot
        now = boottime()
        latest = self.latest_start(call, now)
        weight = self.plan_rules.weight(call.customer)
        queue.check_admission(
            call, weight, self.capacity_per_s(call.service), latest, now
        )
        return await self.wait_for_slot(queue, call, avoid, latest)

    def latest_start(self, call: Call, now: float) -> float:
        """Return the instant after which an answer would come too late.

        At most half of what remains is kept for the answer, so that a service
        that was slow is still tried.
        """
        remaining = call.deadline - now
        likely_s = self.hold_times[call.service].by_rank[call.rank].high_estimate_s()
        return call.deadline - min(likely_s, MAX_SERVICE_TIME_FRACTION * remaining)

    def capacity_per_s(self, service: ServiceId) -> float:
        """Return how many requests this entry's slots finish in a second.

        Slots follow the work, so an entry that holds few is credited with an
        even part of the service's.
        """
        held = sum(self.slots.free_slots(service).values()) + self.slots_in_use[service]
        usable = max(float(held), self.slots_per_entry[service])
        return usable / max(self.hold_times[service].overall.mean_s, 0.001)

    async def wait_for_slot(
        self,
        queue: ServiceQueue,
        call: Call,
        avoid: frozenset[InstanceId],
        latest: float,
    ) -> Slot:
        """Wait in the queue until a slot is handed over or it is too late."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Slot] = loop.create_future()
        waiter = WaitingCall(call=call, avoid=avoid, latest_start=latest, future=future)
        queue.push(waiter, self.plan_rules.weight(call.customer))
        self.slots.report_waiting(call.service, queue.waiting_count)
        timer = loop.call_later(max(0.0, latest - boottime()), expire_wait, future)
        try:
            self.dispatch(call.service)
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.return_slot(future.result(), call.rank)
            raise
        finally:
            timer.cancel()
            queue.end_wait(waiter)
            self.slots.report_waiting(call.service, queue.waiting_count)

    def try_acquire(
        self, call: Call, avoid: frozenset[InstanceId], now: float
    ) -> Slot | None:
        """Take a slot of the best instance, or return None."""
        free = self.slots.free_slots(call.service)
        if self.exceeds_long_hold_limit(call, free):
            return None
        while free:
            instance = self.router.choose(free, call, avoid, now)
            if instance is None:
                return None
            slot = self.slots.try_acquire(instance)
            if slot is not None:
                self.limits.record_start(instance)
                self.slots_in_use_by_rank[call.service, call.rank] += 1
                self.slots_in_use[call.service] += 1
                return slot
            del free[instance]
        return None

    def exceeds_long_hold_limit(self, call: Call, free: dict[InstanceId, int]) -> bool:
        """Return whether requests that hold slots long have their part of them.

        Large files of a lower rank would otherwise fill every slot for seconds.
        """
        if call.rank is Rank.URGENT or not self.hold_times[call.service].is_long(
            call.rank
        ):
            return False
        used = self.slots_in_use_by_rank[call.service, call.rank]
        held = sum(free.values()) + self.slots_in_use[call.service]
        return used >= max(1.0, MAX_LONG_HOLD_FRACTION * held)

    def return_slot(self, slot: Slot, rank: Rank) -> None:
        """Return a slot to its source and let the next call have it."""
        self.slots.release(slot)
        self.slots_in_use_by_rank[slot.service, rank] -= 1
        self.slots_in_use[slot.service] -= 1
        self.limits.record_end(slot.instance, boottime())
        self.dispatch(slot.service)

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Give the slot back and learn from the attempt's result."""
        self.record_result(slot.instance, call, result)
        self.return_slot(slot, call.rank)

    def record_result(
        self, instance: InstanceId, call: Call, result: AttemptResult
    ) -> None:
        """Update what is known of an instance."""
        now = boottime()
        match result.outcome:
            case AttemptOutcome.ANSWERED if result.status < MIN_SERVER_ERROR_STATUS:
                self.record_response(instance, call, result, now)
            case AttemptOutcome.SHED:
                self.limits.record_shed(instance, now)
                self.node.events.emit(Code.INSTANCE_SHED, instance=instance)
            case AttemptOutcome.DEADLINE_EXCEEDED:
                self.limits.record_deadline_exceeded(instance, result.duration_s, now)
            case AttemptOutcome.CANCELLED:
                pass
            case _:
                unreachable = result.outcome is AttemptOutcome.NOT_SENT
                self.record_failure(instance, now, unreachable=unreachable)

    def record_response(
        self,
        instance: InstanceId,
        call: Call,
        result: AttemptResult,
        now: float,
    ) -> None:
        """Learn from an answer; the time of a large one says little of latency."""
        if self.health.succeeded(instance):
            self.limits.start_ramp_up(instance)
            self.node.events.emit(Code.INSTANCE_RESTORED, instance=instance)
        if result.body_bytes:
            self.router.record_response_size(call.service, result.body_bytes)
        self.hold_times[call.service].add(call.rank, result.duration_s)
        if result.body_bytes <= LARGE_RESPONSE_BYTES:
            self.limits.record_response(instance, result.duration_s, now)

    def record_failure(
        self, instance: InstanceId, now: float, *, unreachable: bool
    ) -> None:
        """Learn from a failure."""
        ejection = self.health.failed(instance, now, unreachable=unreachable)
        if ejection is not None:
            self.node.events.emit(
                Code.INSTANCE_EJECTED,
                instance=instance,
                seconds=f"{ejection.seconds:.2f}",
                unreachable=unreachable,
            )

    def dispatch(self, service: ServiceId) -> None:
        """Hand free slots to waiting calls in the queue's order."""
        queue = self.queues[service]
        now = boottime()
        while queue.waiting_count and self.serve_next(queue, now):
            pass
        if queue.waiting_count:
            self.schedule_poll(service)

    def serve_next(self, queue: ServiceQueue, now: float) -> bool:
        """Hand one slot to the first call that can use one."""
        for rank, lane in queue.candidates():
            waiter = lane.heap[0][2]
            slot = self.try_acquire(waiter.call, waiter.avoid, now)
            if slot is not None:
                queue.grant(rank, lane, now)
                waiter.future.set_result(slot)
                return True
        return False

    def schedule_poll(self, service: ServiceId) -> None:
        """Look again soon when slots are free but their instances are paused."""
        if service in self.polled_services or not self.slots.free_slots(service):
            return
        self.polled_services.add(service)
        asyncio.get_running_loop().call_later(PAUSED_POLL_S, self.run_poll, service)

    def run_poll(self, service: ServiceId) -> None:
        """Dispatch after a pause."""
        self.polled_services.discard(service)
        self.dispatch(service)

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Return whether another attempt is safe, in time and in the budget."""
        if attempts >= MAX_ATTEMPTS or call.attempt > 1:
            return False
        if not call.idempotent and error.outcome is not Outcome.NOT_RUN:
            return False
        expected = self.hold_times[call.service].by_rank[call.rank].mean_s
        if boottime() + expected > call.deadline:
            return False
        return self.retry_budget.spend(call.service)

    def record_small_response(self, slot: Slot, size: int) -> None:
        """Count a small answer's bytes on the link that it came over."""
        self.links.small(self.router.region_by_instance[slot.instance], size)

    async def pace_large_response(self, slot: Slot, size: int) -> None:
        """Wait until a piece of a large answer fits on the link."""
        await self.links.large(self.router.region_by_instance[slot.instance], size)

    @hookimpl
    def slots_available(self, service: ServiceId) -> None:
        """Hand newly arrived slots to waiting calls."""
        self.dispatch(service)

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Stop giving new work to an instance."""
        self.router.leaving_instances.add(instance)

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Give new work to an instance again, one request at a time at first."""
        if instance in self.router.leaving_instances:
            self.router.leaving_instances.discard(instance)
            self.limits.start_ramp_up(instance)

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Take this entry's part of the links anew."""
        if state in (MemberState.GONE, MemberState.LEAVING):
            self.gone_entries.add(entry)
        else:
            self.gone_entries.discard(entry)
        self.links.members_changed()

    @hookimpl
    def version_in_force(self, configuration: Configuration) -> None:
        """Put the plans of an accepted configuration in force."""
        self.plan_rules.apply(configuration)
        for service, queue in self.queues.items():
            queue.floors = dict(self.plan_rules.floors(service))


def slots_per_entry(deployment: Deployment) -> dict[ServiceId, float]:
    """Return each service's slots over the number of entries."""
    parts = dict.fromkeys((service.id for service in deployment.services), 0.0)
    for instance in deployment.instances:
        parts[instance.service] += instance.slots / len(deployment.entries)
    return parts


def expire_wait(future: asyncio.Future[Slot]) -> None:
    """End a wait that can no longer lead to an answer in time."""
    if not future.done():
        error = Overloaded("no slot came free in time", retry_after_s=1.0)
        future.set_exception(error)
