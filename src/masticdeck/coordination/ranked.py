"""The ``ranked`` policy: rank-based admission, adaptive limits, ejection, links."""

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
    """Smoothed mean and deviation of the time a request holds a slot."""

    mean_s: float
    deviation_s: float = 0.0

    def add(self, hold_s: float) -> None:
        """Add the slot hold time of one request."""
        difference = hold_s - self.mean_s
        self.mean_s += SERVICE_TIME_EWMA_WEIGHT * difference
        self.deviation_s += SERVICE_TIME_EWMA_WEIGHT * (
            abs(difference) - self.deviation_s
        )

    def high_estimate_s(self) -> float:
        """Return a hold time that most requests do not exceed."""
        return self.mean_s + 2 * self.deviation_s


class SlotHoldTimes:
    """Slot hold times of one service's requests, per rank and overall."""

    def __init__(self, nominal_s: float) -> None:
        self.nominal_s = nominal_s
        self.overall = ServiceTimeEstimate(nominal_s)
        self.by_rank = {rank: ServiceTimeEstimate(nominal_s) for rank in Rank}

    def add(self, rank: Rank, hold_s: float) -> None:
        """Add the slot hold time of one request."""
        self.overall.add(hold_s)
        self.by_rank[rank].add(hold_s)

    def is_long(self, rank: Rank) -> bool:
        """Return whether the rank's requests hold slots much longer than nominal."""
        return self.by_rank[rank].mean_s > LONG_HOLD_FACTOR * self.nominal_s


@policies.register("ranked")
class RankedPolicy:
    """Assigns slots by rank, customer and deadline; adapts to request outcomes."""

    def __init__(self, node: Node, slots: SlotSource) -> None:
        self.node = node
        self.slots = slots
        deployment = node.deployment
        nominal_latency_s = {
            instance.id: deployment.service_by_id[instance.service].service_ms / 1000
            for instance in deployment.instances
        }
        self.plan_rules = PlanRules()
        self.limits = ConcurrencyLimits(deployment.instances, nominal_latency_s)
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
            deployment.region_of[entry.zone] == self.region
            and entry.id not in self.gone_entries
            for entry in deployment.entries
        )

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return ``rank``, lowered to the highest rank the customer's plan allows."""
        return self.plan_rules.allowed_rank(customer, rank)

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot, possibly after a wait.

        Raises Overloaded when the call could not be answered by its deadline.
        """
        queue = self.queues[call.service]
        if not avoid and call.attempt == 1:
            self.retry_budget.deposit(call.service)
        if not queue.waiting_count:
            slot = self.try_acquire(call, avoid, boottime())
            if slot is not None:
                return slot
        now = boottime()
        latest_start = self.latest_start(call, now)
        weight = self.plan_rules.weight(call.customer)
        queue.check_admission(
            call, weight, self.capacity_per_s(call.service), latest_start, now
        )
        return await self.wait_for_slot(queue, call, avoid, latest_start)

    def latest_start(self, call: Call, now: float) -> float:
        """Return the latest time at which the call may start, in boot-time seconds.

        At most half of the remaining time is reserved for the response, so that
        a service that was slow is still tried.
        """
        remaining_s = call.deadline - now
        response_s = self.hold_times[call.service].by_rank[call.rank].high_estimate_s()
        return call.deadline - min(response_s, MAX_SERVICE_TIME_FRACTION * remaining_s)

    def capacity_per_s(self, service: ServiceId) -> float:
        """Return how many requests per second this entry's slots complete.

        Slots move to the entries that have requests, so an entry that holds few
        is credited with at least an even split of the service's slots.
        """
        held_slots = (
            sum(self.slots.free_slots(service).values()) + self.slots_in_use[service]
        )
        usable_slots = max(float(held_slots), self.slots_per_entry[service])
        return usable_slots / max(self.hold_times[service].overall.mean_s, 0.001)

    async def wait_for_slot(
        self,
        queue: ServiceQueue,
        call: Call,
        avoid: frozenset[InstanceId],
        latest_start: float,
    ) -> Slot:
        """Wait until a slot is assigned; raises Overloaded after ``latest_start``."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Slot] = loop.create_future()
        waiting_call = WaitingCall(
            call=call, avoid=avoid, latest_start=latest_start, future=future
        )
        queue.push(waiting_call, self.plan_rules.weight(call.customer))
        self.slots.report_waiting(call.service, queue.waiting_count)
        timer = loop.call_later(
            max(0.0, latest_start - boottime()), expire_wait, future
        )
        try:
            self.dispatch(call.service)
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.return_slot(future.result(), call.rank)
            raise
        finally:
            timer.cancel()
            queue.end_wait(waiting_call)
            self.slots.report_waiting(call.service, queue.waiting_count)

    def try_acquire(
        self, call: Call, avoid: frozenset[InstanceId], now: float
    ) -> Slot | None:
        """Acquire a slot of the best instance, or return None."""
        free_slots = self.slots.free_slots(call.service)
        if self.exceeds_long_hold_limit(call, free_slots):
            return None
        while free_slots:
            instance = self.router.choose(free_slots, call, avoid, now)
            if instance is None:
                return None
            slot = self.slots.try_acquire(instance)
            if slot is not None:
                self.limits.record_start(instance)
                self.slots_in_use_by_rank[call.service, call.rank] += 1
                self.slots_in_use[call.service] += 1
                return slot
            del free_slots[instance]
        return None

    def exceeds_long_hold_limit(
        self, call: Call, free_slots: dict[InstanceId, int]
    ) -> bool:
        """Return whether a rank with long hold times already uses its maximum of slots.

        Otherwise large files of a lower rank would occupy every slot for
        seconds.
        """
        if call.rank is Rank.URGENT or not self.hold_times[call.service].is_long(
            call.rank
        ):
            return False
        used_slots = self.slots_in_use_by_rank[call.service, call.rank]
        held_slots = sum(free_slots.values()) + self.slots_in_use[call.service]
        return used_slots >= max(1.0, MAX_LONG_HOLD_FRACTION * held_slots)

    def return_slot(self, slot: Slot, rank: Rank) -> None:
        """Release a slot and assign it to the next waiting call."""
        self.slots.release(slot)
        self.slots_in_use_by_rank[slot.service, rank] -= 1
        self.slots_in_use[slot.service] -= 1
        self.limits.record_end(slot.instance, boottime())
        self.dispatch(slot.service)

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Record the attempt's result and release the slot."""
        self.record_result(slot.instance, call, result)
        self.return_slot(slot, call.rank)

    def record_result(
        self, instance: InstanceId, call: Call, result: AttemptResult
    ) -> None:
        """Update limits, health and statistics from the result of an attempt."""
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
        """Record a successful response.

        Large responses do not count towards latency, as their duration depends
        mostly on their size.
        """
        if self.health.record_success(instance):
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
        """Record a failed attempt, which may eject the instance."""
        ejection = self.health.record_failure(instance, now, unreachable=unreachable)
        if ejection is not None:
            self.node.events.emit(
                Code.INSTANCE_EJECTED,
                instance=instance,
                seconds=f"{ejection.duration_s:.2f}",
                unreachable=unreachable,
            )

    def dispatch(self, service: ServiceId) -> None:
        """Assign free slots to waiting calls in queue order."""
        queue = self.queues[service]
        now = boottime()
        while queue.waiting_count and self.slots.free_slots(service):
            if not self.serve_next(queue, now):
                break
        if queue.waiting_count:
            self.schedule_poll(service)

    def serve_next(self, queue: ServiceQueue, now: float) -> bool:
        """Assign a slot to the first call that can use one; return whether it did."""
        for level, ticket in queue.candidates():
            waiting_call = ticket.item
            slot = self.try_acquire(waiting_call.call, waiting_call.avoid, now)
            if slot is not None:
                queue.grant(level, ticket, now)
                waiting_call.future.set_result(slot)
                return True
        return False

    def schedule_poll(self, service: ServiceId) -> None:
        """Schedule a dispatch if slots are free but their instances are paused."""
        if service in self.polled_services or not self.slots.free_slots(service):
            return
        self.polled_services.add(service)
        asyncio.get_running_loop().call_later(PAUSED_POLL_S, self.run_poll, service)

    def run_poll(self, service: ServiceId) -> None:
        """Run the scheduled dispatch."""
        self.polled_services.discard(service)
        self.dispatch(service)

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Return whether a retry is safe, in time and within the retry budget."""
        if attempts >= MAX_ATTEMPTS or call.attempt > 1:
            return False
        if not call.idempotent and error.outcome is not Outcome.NOT_RUN:
            return False
        expected_s = self.hold_times[call.service].by_rank[call.rank].mean_s
        if boottime() + expected_s > call.deadline:
            return False
        return self.retry_budget.try_withdraw(call.service)

    def record_small_response(self, slot: Slot, size_bytes: int) -> None:
        """Record the bytes of a small response on the link it came over."""
        self.links.count_small(
            self.router.region_by_instance[slot.instance], size_bytes
        )

    async def pace_large_response(self, slot: Slot, size_bytes: int) -> None:
        """Wait until a chunk of a large response may be sent over the link."""
        await self.links.pace_large(
            self.router.region_by_instance[slot.instance], size_bytes
        )

    @hookimpl
    def slots_available(self, service: ServiceId) -> None:
        """Assign new slots to waiting calls."""
        self.dispatch(service)

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Stop sending new requests to an instance."""
        self.router.leaving_instances.add(instance)

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Send requests to an instance again, starting with one at a time."""
        if instance in self.router.leaving_instances:
            self.router.leaving_instances.discard(instance)
            self.limits.start_ramp_up(instance)

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Recompute this entry's fraction of each link."""
        if state in (MemberState.GONE, MemberState.LEAVING):
            self.gone_entries.add(entry)
        else:
            self.gone_entries.discard(entry)
        self.links.members_changed()

    @hookimpl
    def version_in_force(self, configuration: Configuration) -> None:
        """Apply the plans of an accepted configuration."""
        self.plan_rules.apply(configuration)
        for service, queue in self.queues.items():
            queue.floors = dict(self.plan_rules.floors(service))


def slots_per_entry(deployment: Deployment) -> dict[ServiceId, float]:
    """Return each service's number of slots divided by the number of entries."""
    slots = dict.fromkeys((service.id for service in deployment.services), 0.0)
    for instance in deployment.instances:
        slots[instance.service] += instance.slots / len(deployment.entries)
    return slots


def expire_wait(future: asyncio.Future[Slot]) -> None:
    """Fail a wait that has passed its latest start time."""
    if not future.done():
        error = Overloaded("no slot became free before the deadline", retry_after_s=1.0)
        future.set_exception(error)
