"""The policy ``ranked``: admission by rank, adaptive limits, ejection, links."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

from masticdeck.clock import boottime
from masticdeck.coordination.admission import ServiceQueue, Waiter
from masticdeck.coordination.health import Health
from masticdeck.coordination.limits import Limits
from masticdeck.coordination.links import Links
from masticdeck.coordination.plans import PlanRules
from masticdeck.coordination.policy import (
    MAX_ATTEMPTS,
    AttemptEnd,
    AttemptResult,
    policies,
)
from masticdeck.coordination.retries import RetryBudget
from masticdeck.coordination.routing import LARGE_ANSWER_BYTES, Router
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

SERVICE_WEIGHT = 0.05
MOST_SERVICE_PART = 0.5
LONG_FACTOR = 3.0
MOST_LONG_PART = 0.5
GATED_POLL_S = 0.01
SERVER_ERROR = 500


@dataclass(slots=True, eq=False)
class ServiceTimes:
    """Smoothed seconds for which a request holds a slot, and its deviation."""

    mean_s: float
    deviation_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Learn from one answer."""
        difference = seconds - self.mean_s
        self.mean_s += SERVICE_WEIGHT * difference
        self.deviation_s += SERVICE_WEIGHT * (abs(difference) - self.deviation_s)

    def likely_s(self) -> float:
        """Return a time within which most answers come."""
        return self.mean_s + 2 * self.deviation_s


class HoldTimes:
    """Times for which requests of one service hold a slot, by rank and in all."""

    def __init__(self, usual_s: float) -> None:
        self.usual_s = usual_s
        self.all = ServiceTimes(usual_s)
        self.ranks = {rank: ServiceTimes(usual_s) for rank in Rank}

    def add(self, rank: Rank, seconds: float) -> None:
        """Learn from one answer."""
        self.all.add(seconds)
        self.ranks[rank].add(seconds)

    def long(self, rank: Rank) -> bool:
        """Return whether the rank's requests hold slots much longer than usual."""
        return self.ranks[rank].mean_s > LONG_FACTOR * self.usual_s


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
        self.plans = PlanRules()
        self.limits = Limits(deployment.instances, usual)
        self.health = Health(deployment.instances)
        self.region = deployment.region_of[node.entry.zone]
        self.gone: set[EntryId] = set()
        self.links = Links(deployment, self.region, self.entries_here)
        self.router = Router(
            deployment, node.entry.zone, self.limits, self.health, self.links
        )
        self.budget = RetryBudget()
        services = [service.id for service in deployment.services]
        self.queues = {service: ServiceQueue() for service in services}
        self.in_use = dict.fromkeys(services, 0)
        self.in_use_by_rank: Counter[tuple[ServiceId, Rank]] = Counter()
        self.times = {
            service.id: HoldTimes(service.service_ms / 1000)
            for service in deployment.services
        }
        self.even_part = even_parts(deployment)
        self.polling: set[ServiceId] = set()
        node.hooks.register(self)

    def entries_here(self) -> int:
        """Return the number of live entries in this entry's region."""
        deployment = self.node.deployment
        return sum(
            deployment.region_of[one.zone] == self.region and one.id not in self.gone
            for one in deployment.entries
        )

    def allowed_rank(self, customer: CustomerId | None, rank: Rank) -> Rank:
        """Return the rank that the customer's plan allows."""
        return self.plans.allowed_rank(customer, rank)

    async def acquire(self, call: Call, *, avoid: frozenset[InstanceId]) -> Slot:
        """Return a slot, at once or after a wait; refuses what cannot be in time."""
        queue = self.queues[call.service]
        if not avoid and call.attempt == 1:
            self.budget.earn(call.service)
        if not queue.waiting:
            slot = self.take(call, avoid, boottime())
            if slot is not None:
                return slot
        now = boottime()
        latest = self.latest_start(call, now)
        weight = self.plans.weight(call.customer)
        queue.check(call, weight, self.capacity_per_s(call.service), latest, now)
        return await self.wait(queue, call, avoid, latest)

    def latest_start(self, call: Call, now: float) -> float:
        """Return the instant after which an answer would come too late.

        At most half of what remains is kept for the answer, so that a service
        that was slow is still tried.
        """
        remaining = call.deadline - now
        likely_s = self.times[call.service].ranks[call.rank].likely_s()
        return call.deadline - min(likely_s, MOST_SERVICE_PART * remaining)

    def capacity_per_s(self, service: ServiceId) -> float:
        """Return how many requests this entry's slots finish in a second.

        Slots follow the work, so an entry that holds few is credited with an
        even part of the service's.
        """
        held = sum(self.slots.free(service).values()) + self.in_use[service]
        usable = max(float(held), self.even_part[service])
        return usable / max(self.times[service].all.mean_s, 0.001)

    async def wait(
        self,
        queue: ServiceQueue,
        call: Call,
        avoid: frozenset[InstanceId],
        latest: float,
    ) -> Slot:
        """Wait in the queue until a slot is handed over or it is too late."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Slot] = loop.create_future()
        waiter = Waiter(call=call, avoid=avoid, latest=latest, future=future)
        queue.push(waiter, self.plans.weight(call.customer))
        self.slots.report_waiting(call.service, queue.waiting)
        timer = loop.call_later(max(0.0, latest - boottime()), expire, future)
        try:
            self.dispatch(call.service)
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.put_back(future.result(), call.rank)
            raise
        finally:
            timer.cancel()
            queue.done(waiter)
            self.slots.report_waiting(call.service, queue.waiting)

    def take(self, call: Call, avoid: frozenset[InstanceId], now: float) -> Slot | None:
        """Take a slot of the best instance, or return None."""
        free = self.slots.free(call.service)
        if self.holds_too_many(call, free):
            return None
        while free:
            instance = self.router.choose(free, call, avoid, now)
            if instance is None:
                return None
            slot = self.slots.try_acquire(instance)
            if slot is not None:
                self.limits.taken(instance)
                self.in_use_by_rank[call.service, call.rank] += 1
                self.in_use[call.service] += 1
                return slot
            del free[instance]
        return None

    def holds_too_many(self, call: Call, free: dict[InstanceId, int]) -> bool:
        """Return whether requests that hold slots long have their part of them.

        Large files of a lower rank would otherwise fill every slot for seconds.
        """
        if call.rank is Rank.URGENT or not self.times[call.service].long(call.rank):
            return False
        used = self.in_use_by_rank[call.service, call.rank]
        held = sum(free.values()) + self.in_use[call.service]
        return used >= max(1.0, MOST_LONG_PART * held)

    def put_back(self, slot: Slot, rank: Rank) -> None:
        """Return a slot to its source and let the next call have it."""
        self.slots.release(slot)
        self.in_use_by_rank[slot.service, rank] -= 1
        self.in_use[slot.service] -= 1
        self.limits.returned(slot.instance, boottime())
        self.dispatch(slot.service)

    def release(self, slot: Slot, call: Call, result: AttemptResult) -> None:
        """Give the slot back and learn from the attempt's result."""
        self.learn(slot.instance, call, result)
        self.put_back(slot, call.rank)

    def learn(self, instance: InstanceId, call: Call, result: AttemptResult) -> None:
        """Update what is known of an instance."""
        now = boottime()
        match result.end:
            case AttemptEnd.ANSWERED if result.status < SERVER_ERROR:
                self.answered(instance, call, result, now)
            case AttemptEnd.SHED:
                self.limits.shed(instance, now)
                self.node.events.emit(Code.INSTANCE_SHED, instance=instance)
            case AttemptEnd.LATE:
                self.limits.late(instance, result.seconds, now)
            case AttemptEnd.CANCELLED:
                pass
            case _:
                unreachable = result.end is AttemptEnd.NOT_SENT
                self.failed(instance, now, unreachable=unreachable)

    def answered(
        self,
        instance: InstanceId,
        call: Call,
        result: AttemptResult,
        now: float,
    ) -> None:
        """Learn from an answer; the time of a large one says little of latency."""
        if self.health.succeeded(instance):
            self.limits.restart(instance)
            self.node.events.emit(Code.INSTANCE_RESTORED, instance=instance)
        if result.bytes:
            self.router.answered(call.service, result.bytes)
        self.times[call.service].add(call.rank, result.seconds)
        if result.bytes <= LARGE_ANSWER_BYTES:
            self.limits.answered(instance, result.seconds, now)

    def failed(self, instance: InstanceId, now: float, *, unreachable: bool) -> None:
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
        while queue.waiting and self.serve_next(queue, now):
            pass
        if queue.waiting:
            self.poll_gated(service)

    def serve_next(self, queue: ServiceQueue, now: float) -> bool:
        """Hand one slot to the first call that can use one."""
        for rank, lane in queue.candidates():
            waiter = lane.heap[0][2]
            slot = self.take(waiter.call, waiter.avoid, now)
            if slot is not None:
                queue.grant(rank, lane, now)
                waiter.future.set_result(slot)
                return True
        return False

    def poll_gated(self, service: ServiceId) -> None:
        """Look again soon when slots are free but their instances are paused."""
        if service in self.polling or not self.slots.free(service):
            return
        self.polling.add(service)
        asyncio.get_running_loop().call_later(GATED_POLL_S, self.polled, service)

    def polled(self, service: ServiceId) -> None:
        """Dispatch after a pause."""
        self.polling.discard(service)
        self.dispatch(service)

    def may_retry(self, call: Call, error: MasticdeckError, attempts: int) -> bool:
        """Return whether another attempt is safe, in time and in the budget."""
        if attempts >= MAX_ATTEMPTS or call.attempt > 1:
            return False
        if not call.idempotent and error.outcome is not Outcome.NOT_RUN:
            return False
        expected = self.times[call.service].ranks[call.rank].mean_s
        if boottime() + expected > call.deadline:
            return False
        return self.budget.spend(call.service)

    def count_small(self, slot: Slot, size: int) -> None:
        """Count a small answer's bytes on the link that it came over."""
        self.links.small(self.router.region[slot.instance], size)

    async def pace_large(self, slot: Slot, size: int) -> None:
        """Wait until a piece of a large answer fits on the link."""
        await self.links.large(self.router.region[slot.instance], size)

    @hookimpl
    def slots_available(self, service: ServiceId) -> None:
        """Hand newly arrived slots to waiting calls."""
        self.dispatch(service)

    @hookimpl
    def instance_leaving(self, instance: InstanceId, source: str) -> None:
        """Stop giving new work to an instance."""
        self.router.leaving.add(instance)

    @hookimpl
    def instance_returned(self, instance: InstanceId, source: str) -> None:
        """Give new work to an instance again, one request at a time at first."""
        if instance in self.router.leaving:
            self.router.leaving.discard(instance)
            self.limits.restart(instance)

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Take this entry's part of the links anew."""
        if state in (MemberState.GONE, MemberState.LEAVING):
            self.gone.add(entry)
        else:
            self.gone.discard(entry)
        self.links.members_changed()

    @hookimpl
    def version_in_force(self, configuration: Configuration) -> None:
        """Put the plans of an accepted configuration in force."""
        self.plans.replace(configuration)
        for service, queue in self.queues.items():
            queue.floors = dict(self.plans.floors(service))


def even_parts(deployment: Deployment) -> dict[ServiceId, float]:
    """Return each service's slots over the number of entries."""
    parts = dict.fromkeys((service.id for service in deployment.services), 0.0)
    for instance in deployment.instances:
        parts[instance.service] += instance.slots / len(deployment.entries)
    return parts


def expire(future: asyncio.Future[Slot]) -> None:
    """End a wait that can no longer lead to an answer in time."""
    if not future.done():
        error = Overloaded("no slot came free in time", retry_after_s=1.0)
        future.set_exception(error)
