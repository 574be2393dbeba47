"""Builds the application of a gateway entry from its settings."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import final

from masticdeck.application import Application, Component
from masticdeck.clock import boottime
from masticdeck.coordination.cold_services import cold_rate_per_s
from masticdeck.coordination.cold_turns import ColdTurns
from masticdeck.coordination.dispatch import Dispatcher
from masticdeck.coordination.entry_order import EntryOrder
from masticdeck.coordination.entry_registration import LEASE_TTL_S, EntryRegistration
from masticdeck.coordination.feed import RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import (
    MAX_PROOF_AGE_S,
    FeedService,
    PeerFeed,
)
from masticdeck.coordination.fleet_view import FleetView
from masticdeck.coordination.freshness.configuration import ConfigurationProof
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.joining.recall import PeerRecall
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.quotas.allocation import ALLOCATION_KEY
from masticdeck.coordination.quotas.allocator import QuotaAllocator, first_allocator
from masticdeck.coordination.quotas.limiter import QuotaLimiter
from masticdeck.coordination.quotas.reports import DemandReporter, QuotaService
from masticdeck.coordination.quotas.terms import (
    DEFAULT_MAX_PROOF_AGE_S,
    PROOF_FRACTION_OF_REVOCATION,
    QuotaTerms,
)
from masticdeck.coordination.record_order.order import Verdict
from masticdeck.coordination.retries import SharedRetryBudget
from masticdeck.coordination.round_trips import RoundTripMeter
from masticdeck.coordination.run_times import RunTimes
from masticdeck.coordination.shutdown_window import ShutdownWindow
from masticdeck.coordination.split import TrafficSplit
from masticdeck.coordination.warmth.confirmation import WarmthConfirmation
from masticdeck.coordination.warmth.limiter import ColdBound, UnconfirmedLimiter
from masticdeck.coordination.watcher_selector import WatcherSelector
from masticdeck.coordination.workspaces.access import WorkspaceAccess
from masticdeck.coordination.zone_returns import ZoneReturnRecorder
from masticdeck.events import Code, EventLog
from masticdeck.gateway.directory import Directory
from masticdeck.gateway.forwarder import Forwarder
from masticdeck.gateway.inspection import Inspection
from masticdeck.gateway.settings import Address, GatewaySettings
from masticdeck.ids import Era, Revision
from masticdeck.metrics import Metrics
from masticdeck.protocol.dialect import Dialect
from masticdeck.protocol.positions import counter_of
from masticdeck.protocol.records import RecordDecoder
from masticdeck.protocol.store import Change, Store
from masticdeck.state.fleet import Fleet, FleetEntry
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.caller_memory import CallerMemory, MemoryDecision
from masticdeck.transport.http1_server import CallerServer, InboundRequest
from masticdeck.transport.instance_pool import InstancePool
from masticdeck.transport.peers import PeerServer

ACCEPT_AFTER_STOP_S = 2.5
"""Seconds after the start of a stop in which new connections are accepted.

Until then callers may still use an older response of the directory.
"""

EXIT_MARGIN_S = 0.8
"""Time before the kill at which a stop no longer waits for requests.

The rest of the stop takes some tenths of a second on a small VM.
"""

STOP_POLL_S = 0.05
"""Seconds between checks for requests in flight during a stop."""

RESPONSE_MARGIN_S = 0.1
"""Time before the end of that wait by which the last responses are due."""

MAX_MEMBERS_AGE_S = 2.5
"""Age of the view of other entries with which turns at cold instances are used.

Entries look for another source when theirs is older than 2 s.
"""

RequestHandler = Callable[[InboundRequest], Awaitable[None]]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Platform:
    """Adapters of the platform that the gateway runs on."""

    store: Store
    decoder: RecordDecoder
    dialect: Dialect


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoints:
    """Handlers of readiness checks and directory look-ups."""

    readiness: RequestHandler
    lookup: RequestHandler


class Gateway:
    """Creates and connects the components of a gateway entry."""

    def __init__(
        self,
        settings: GatewaySettings,
        platform: Platform,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.events = events
        self.metrics = metrics
        self.fleet = Fleet(dict(settings.region_of))
        self.fleet_view = FleetView(self.fleet, platform.decoder, events)
        self.replica = RecordReplica(self.fleet_view)
        self.replica.on_unseen_record_deleted.append(
            self.fleet_view.unseen_record_deleted
        )
        self.own_entry = FleetEntry(
            id=settings.entry,
            zone=settings.zone,
            caller_address=str(settings.callers),
            peer_host=settings.peer.host,
            peer_port=settings.peer.port,
            incarnation=time.time_ns(),
            cpu_cores=settings.cpu_cores,
            link_mbps=settings.link_mbps,
        )
        self.watcher_selector = WatcherSelector(self.fleet, self.own_entry)
        self.store_feed = StoreFeed(
            platform.store,
            self.replica,
            events,
            should_follow=lambda: (
                self.watcher_selector.should_follow_store(self.replica)
                or self.lacks_proof()
            ),
            needs_short_watch=lambda: (
                self.cold_bound() is not None or self.may_need_proof()
            ),
            recall=PeerRecall(
                self.own_entry, events, conceal=platform.decoder.conceal
            ).ask,
        )
        self.peer_feed = PeerFeed(
            self.replica,
            self.store_feed,
            self.watcher_selector,
            events,
            needs_proof=self.may_need_proof,
            conceal=platform.decoder.conceal,
        )
        self.configuration_proof = ConfigurationProof(self.replica)
        self.fleet_view.on_routes_read.append(self.configuration_proof.record_read)
        self.access = WorkspaceAccess(
            lambda: self.fleet.routes,
            proof_age_s=lambda: self.configuration_proof.age_s(boottime()),
            revocation_s=lambda: self.settings.key_revocation_s,
        )
        self.directory = Directory(
            self.fleet,
            self.own_entry,
            events,
            may_use_keys=self.access.may_be_recommended,
        )
        self.entry_registration = EntryRegistration(
            platform.store,
            self.own_entry,
            events,
            is_listed=lambda: settings.entry in self.fleet.entries,
        )
        self.zone_return_recorder = ZoneReturnRecorder(
            platform.store,
            events,
            follows_store=lambda: self.watcher_selector.should_follow_store(
                self.replica
            ),
        )
        self.fleet_view.on_zone_returned.append(self.zone_return_recorder.record_return)
        self.store = platform.store
        self.era_begun_at: float | None = None
        self.replica.on_era_begun.append(self.begin_era)
        self.replica.on_record_lapsed.append(self.log_lapsed_record)
        self.replica.on_record_held.append(self.log_held_record)
        self.entry_order = EntryOrder(
            settings.entry, members=self.directory.selected_entry_ids
        )
        self.instance_loads = InstanceLoads(self.entry_order)
        self.run_times = RunTimes()
        self.health = Health()
        self.pool = InstancePool()
        self.retry_budget = SharedRetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
            order=self.entry_order,
            is_counted=self.may_count_for_others,
        )
        self.placement = Placement(self.fleet, zone=settings.zone)
        self.round_trip_meter = RoundTripMeter(self.fleet, self.placement, events)
        self.shutdown_window = ShutdownWindow()
        self.cold_turns = ColdTurns(
            settings.entry,
            members=self.directory.selected_entry_ids,
            usable_from=self.counted_from,
        )
        self.warmth = WarmthConfirmation(self.replica, events)
        self.unconfirmed_limiter = UnconfirmedLimiter(
            self.warmth,
            self.instance_loads,
            bound=self.cold_bound,
            cold_rate_per_s=lambda service: cold_rate_per_s(self.fleet, service),
            order=self.entry_order,
        )
        self.dispatcher = Dispatcher(
            self.fleet,
            self.placement,
            self.instance_loads,
            self.run_times,
            self.health,
            cold_turns=self.cold_turns,
            shutdown_window=self.shutdown_window,
            unconfirmed_limiter=self.unconfirmed_limiter,
        )
        self.quota_limiter = QuotaLimiter(
            settings.entry,
            terms=self.quota_terms,
            proof_age_s=lambda: self.replica.proof_age_s(boottime()),
            started_at=boottime(),
        )
        self.fleet_view.on_other_record.append(self.quota_limiter.record_changed)
        self.quota_allocator = QuotaAllocator(
            platform.store,
            self.replica,
            events,
            terms=self.quota_terms,
            workspaces=lambda: (
                None if self.fleet.routes is None else self.fleet.routes.workspaces
            ),
            members=self.directory.selected_entry_ids,
            is_allocator=self.is_quota_allocator,
        )
        self.demand_reporter = DemandReporter(
            settings.entry,
            self.fleet,
            self.quota_limiter,
            self.quota_allocator.reports,
            events,
            metrics,
            is_needed=self.needs_proof,
            revision=self.allocation_revision,
        )
        self.peer_server = PeerServer(
            settings.peer.host,
            settings.peer.port,
            [
                FeedService(self.replica),
                QuotaService(
                    self.quota_allocator.reports, era=lambda: self.replica.era
                ),
            ],
        )
        self.forwarder = Forwarder(
            fleet=self.fleet,
            replica=self.replica,
            dialect=platform.dialect,
            access=self.access,
            dispatcher=self.dispatcher,
            instance_loads=self.instance_loads,
            run_times=self.run_times,
            health=self.health,
            retry_budget=self.retry_budget,
            quota_limiter=self.quota_limiter,
            traffic_split=TrafficSplit(self.entry_order),
            pool=self.pool,
            events=events,
            metrics=metrics,
            is_leaving=lambda: self.directory.leaving,
        )
        self.fleet_view.on_instance_removed += [
            self.forwarder.remove_instance,
            self.cold_turns.remove,
            self.unconfirmed_limiter.remove,
        ]
        self.caller_memory = CallerMemory(
            settings.caller_memory.limits(), self.record_memory_decision
        )
        self.caller_server = self.create_server(
            settings.callers, self.forwarder.handle, self.forwarder.caller_limits
        )

    def build(
        self, store: Component, endpoints: Endpoints, extra_components: list[Component]
    ) -> Application:
        """Return the application with all components, not yet started."""
        application = Application(self.events)
        application.before_stop.append(self.leave)
        components: list[Component] = [
            store,
            self.pool,
            self.store_feed,
            self.peer_server,
            self.peer_feed,
            self.round_trip_meter,
            self.caller_server,
            self.create_server(self.settings.readiness, endpoints.readiness),
            self.create_server(self.settings.directory, endpoints.lookup),
            self.create_server(self.settings.metrics, Inspection(self).handle),
            self.entry_registration,
            self.zone_return_recorder,
            self.quota_allocator,
            self.demand_reporter,
            *extra_components,
        ]
        for component in components:
            application.add(component)
        return application

    def create_server(
        self,
        address: Address,
        handler: RequestHandler,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> CallerServer:
        """Return a server that listens on an address, not yet started."""
        return CallerServer(
            address.host, address.port, handler, limits, self.caller_memory
        )

    def record_memory_decision(self, decision: MemoryDecision) -> None:
        """Log and count a connection that was refused or closed for lack of memory."""
        self.metrics.count(f"memory_{decision.action.value}")
        self.events.emit(
            Code.CALLER_MEMORY_SHORT,
            level=logging.WARNING,
            action=decision.action.value,
            head_bytes=decision.head_bytes,
            body_bytes=decision.body_bytes,
            unsent_bytes=decision.unsent_bytes,
            asked_bytes=decision.asked_bytes,
            held_bytes=decision.held_bytes,
            total_bytes=decision.total_bytes,
            connections=decision.connections,
        )

    def is_quota_allocator(self) -> bool:
        """Return whether this entry divides the quotas.

        It waits until it sees the others: what is given to the first few entries of a
        start could be given to the others only after some seconds.
        """
        return (
            boottime() >= self.counted_from()
            and first_allocator(self.fleet.entries) == self.settings.entry
        )

    def begin_era(self, era: Era) -> None:
        """Give up what depends on the eras of the store before this one."""
        self.era_begun_at = boottime()
        self.store.note_era(era)
        self.entry_registration.begin_era(era)
        self.metrics.count("store_eras")
        self.events.emit(
            Code.STORE_ERA_BEGUN,
            level=logging.WARNING,
            era=era,
            previous_era=self.replica.era,
            previous_revision=counter_of(self.replica.revision),
            records=len(self.replica.records),
        )

    def log_held_record(self, change: Change, verdict: Verdict) -> None:
        """Log and count a written value that is older than what is known of its key."""
        self.metrics.count("store_records_held")
        order = self.replica.order
        removed = order.removed.get(change.key)
        self.events.emit(
            Code.RECORD_HELD,
            level=logging.WARNING,
            key=change.key,
            reason=verdict.value,
            order=order.rules.find(change.key).read_order(change.value or b""),
            known_order=order.orders.get(change.key) or (removed and removed.order),
            removed=change.key not in self.replica.records,
            revision=counter_of(change.revision),
        )

    def log_lapsed_record(self, key: str, reason: str) -> None:
        """Log what became of a record that was not written again in time."""
        self.metrics.count("store_records_lapsed")
        self.events.emit(Code.RECORD_LAPSED, key=key, reason=reason)

    def allocation_revision(self) -> Revision:
        """Return the revision of the allocation in use, 0 without one."""
        record = self.replica.records.get(ALLOCATION_KEY)
        return Revision(0) if record is None else record.revision

    def cold_bound(self) -> ColdBound | None:
        """Return what a cold instance bears, None if the settings do not say."""
        factor = self.settings.cold_load_factor
        return None if factor is None else ColdBound(factor, self.settings.cold_slack)

    def quota_terms(self) -> QuotaTerms:
        """Return how requests are counted against limits, by the settings in force."""
        bound_s = self.settings.key_revocation_s
        return QuotaTerms(
            window_s=self.settings.quota_window_s,
            overage=self.settings.quota_overage,
            slack=self.settings.quota_slack,
            max_proof_age_s=DEFAULT_MAX_PROOF_AGE_S
            if bound_s is None
            else PROOF_FRACTION_OF_REVOCATION * bound_s,
        )

    def needs_proof(self) -> bool:
        """Return whether decisions depend on a proof of the replica's age."""
        return self.access.needs_keys()

    def may_need_proof(self) -> bool:
        """Return the same, or whether the first configuration may make it so.

        A stream that begins without probes would have to be replaced by another one
        before the first request with a key.
        """
        if self.fleet.routes is None:
            return self.settings.key_revocation_s is not None
        return self.needs_proof()

    def lacks_proof(self) -> bool:
        """Return whether the other entries do not prove the replica's age in time."""
        return (
            self.needs_proof()
            and self.replica.proof_age_s(boottime()) > MAX_PROOF_AGE_S
        )

    def counted_from(self) -> float:
        """Return the boot time from which all entries that hold turns see each other.

        Each of them has been registered for longer than any of them may lag behind the
        store. The time is infinite while this entry may lag more, or sees that its own
        record is gone.
        """
        is_listed = self.own_entry.id in self.fleet.entries
        if not is_listed or self.replica.age_s(boottime()) >= MAX_MEMBERS_AGE_S:
            return math.inf
        return self.entry_registration.held_since() + MAX_MEMBERS_AGE_S

    def may_count_for_others(self) -> bool:
        """Return whether other entries may see this one.

        They do not if it has lost its registration while they see the store. While
        nobody does, all go on with the entries that they saw last.
        """
        return (
            self.entry_registration.is_held()
            or self.replica.age_s(boottime()) >= LEASE_TTL_S
        )

    def count_entries(self) -> int:
        """Return the number of entries that callers are directed to."""
        return self.directory.count_selected()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed addresses need a restart."""
        changed_names = [
            name
            for name in GatewaySettings.model_fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.retry_budget.set_limits(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        )
        self.caller_memory.limits = settings.caller_memory.limits()
        logging.getLogger().setLevel(settings.log_level.upper())
        self.events.emit(Code.SETTINGS_RELOADED, changed=",".join(changed_names))

    async def leave(self) -> None:
        """Leave the directory and wait for callers and requests before a stop.

        Requests that would not be answered before the kill are rejected meanwhile.
        """
        started_at = boottime()
        wait_deadline = started_at + self.settings.stop_grace_s - EXIT_MARGIN_S
        self.directory.leaving = True
        self.shutdown_window.begin(
            accept_until=started_at + ACCEPT_AFTER_STOP_S,
            end_at=wait_deadline - RESPONSE_MARGIN_S,
        )
        self.dispatcher.reject_late_requests()
        self.events.emit(
            Code.ENTRY_LEAVING,
            in_flight=self.caller_server.in_flight,
            undelivered=self.caller_server.undelivered,
        )
        unregister_task = asyncio.create_task(self.entry_registration.unregister())
        self.caller_server.begin_close()
        await asyncio.sleep(max(0.0, ACCEPT_AFTER_STOP_S - (boottime() - started_at)))
        self.caller_server.stop_listening()
        while self.caller_server.in_flight and boottime() < wait_deadline:
            await asyncio.sleep(STOP_POLL_S)
        # No request is read between the last check and the end of the process.
        self.caller_server.close_idle_connections()
        unregister_task.cancel()
        self.events.emit(
            Code.ENTRY_FINISHED,
            in_flight=self.caller_server.in_flight,
            undelivered=self.caller_server.undelivered,
        )
