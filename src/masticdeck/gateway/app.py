"""Builds the application of an entry on a live fleet from its settings."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import final

from masticdeck.application import Application, Component
from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import Dispatcher
from masticdeck.coordination.entry_registration import EntryRegistration
from masticdeck.coordination.feed import RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import FeedService, PeerFeed, WatcherSelector
from masticdeck.coordination.fleet_view import FleetView
from masticdeck.coordination.health import Health
from masticdeck.coordination.instance_load import InstanceLoads
from masticdeck.coordination.placement import Placement
from masticdeck.coordination.retries import SharedRetryBudget
from masticdeck.coordination.round_trips import RoundTripMeter
from masticdeck.coordination.run_times import RunTimes
from masticdeck.events import Code, EventLog
from masticdeck.gateway.directory import Directory
from masticdeck.gateway.forwarder import Forwarder
from masticdeck.gateway.inspection import Inspection
from masticdeck.gateway.settings import Address, GatewaySettings
from masticdeck.metrics import Metrics
from masticdeck.protocol.dialect import Dialect
from masticdeck.protocol.records import RecordDecoder
from masticdeck.protocol.store import Store
from masticdeck.state.fleet import Fleet, FleetEntry
from masticdeck.state.routes import CallerLimits
from masticdeck.transport.http1_server import CallerServer, InboundRequest
from masticdeck.transport.instance_pool import InstancePool
from masticdeck.transport.peers import PeerServer

ACCEPT_AFTER_STOP_S = 2.5
"""How long callers with an older directory answer are still served."""

EXIT_MARGIN_S = 0.8
"""Time before the kill at which a stop no longer waits for requests.

What follows takes a small VM some tenths of a second.
"""

STOP_POLL_S = 0.05
"""Seconds between checks whether the last request has ended."""

Answer = Callable[[InboundRequest], Awaitable[None]]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Platform:
    """What a platform's adapter provides."""

    store: Store
    decoder: RecordDecoder
    dialect: Dialect


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoints:
    """Handlers of the calls that are not callers' requests."""

    readiness: Answer
    lookup: Answer


class Gateway:
    """The parts of an entry on a live fleet."""

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
        self.view = FleetView(self.fleet, platform.decoder, events)
        self.copy = RecordReplica(self.view)
        self.own = FleetEntry(
            id=settings.entry,
            zone=settings.zone,
            caller_address=str(settings.callers),
            peer_host=settings.peer.host,
            peer_port=settings.peer.port,
            incarnation=time.time_ns(),
        )
        self.watchers = WatcherSelector(self.fleet, self.own)
        self.feed = StoreFeed(
            platform.store,
            self.copy,
            events,
            should_follow=lambda: self.watchers.should_follow_store(self.copy),
        )
        self.peer_feed = PeerFeed(self.copy, self.feed, self.watchers, events)
        self.peer_server = PeerServer(
            settings.peer.host, settings.peer.port, [FeedService(self.copy)]
        )
        self.directory = Directory(self.fleet, self.own, events)
        self.roster = EntryRegistration(
            platform.store,
            self.own,
            events,
            is_listed=lambda: settings.entry in self.fleet.entries,
        )
        self.rooms = InstanceLoads()
        self.runs = RunTimes()
        self.health = Health()
        self.pool = InstancePool()
        self.budget = SharedRetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            entry_count=self.count_entries,
        )
        self.placement = Placement(self.fleet, zone=settings.zone)
        self.trips = RoundTripMeter(self.fleet, self.placement, events)
        self.dispatcher = Dispatcher(
            self.fleet,
            self.placement,
            self.rooms,
            self.runs,
            self.health,
            entry_count=self.count_entries,
        )
        self.forwarder = Forwarder(
            fleet=self.fleet,
            copy=self.copy,
            dialect=platform.dialect,
            dispatcher=self.dispatcher,
            rooms=self.rooms,
            runs=self.runs,
            health=self.health,
            budget=self.budget,
            pool=self.pool,
            events=events,
            metrics=metrics,
            is_leaving=lambda: self.directory.leaving,
        )
        self.view.on_instance_removed.append(self.forwarder.forget)
        self.callers = serve_on(
            settings.callers, self.forwarder.handle, self.forwarder.limits
        )

    def build(
        self, store: Component, endpoints: Endpoints, others: list[Component]
    ) -> Application:
        """Return the application, not yet started."""
        application = Application(self.events)
        application.before_stop.append(self.leave)
        components: list[Component] = [
            store,
            self.pool,
            self.feed,
            self.peer_server,
            self.peer_feed,
            self.trips,
            self.callers,
            serve_on(self.settings.readiness, endpoints.readiness),
            serve_on(self.settings.directory, endpoints.lookup),
            serve_on(self.settings.metrics, Inspection(self).answer),
            self.roster,
            *others,
        ]
        for component in components:
            application.add(component)
        return application

    def count_entries(self) -> int:
        """Return how many entries take requests."""
        return len(self.directory.entries())

    def use_settings(self, settings: GatewaySettings) -> None:
        """Take over changed settings; addresses change only with a restart."""
        changed = [
            name
            for name in GatewaySettings.model_fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.budget.set_limits(ratio=settings.retry_ratio, slack=settings.retry_slack)
        logging.getLogger().setLevel(settings.log_level.upper())
        self.events.emit(Code.SETTINGS_RELOADED, changed=",".join(changed))

    async def leave(self) -> None:
        """Let callers move away and requests end before the process does."""
        began = boottime()
        self.directory.leaving = True
        self.events.emit(Code.ENTRY_LEAVING, in_flight=self.callers.in_flight)
        unregistering = asyncio.create_task(self.roster.unregister())
        self.callers.begin_close()
        await asyncio.sleep(max(0.0, ACCEPT_AFTER_STOP_S - (boottime() - began)))
        self.callers.stop_listening()
        last = began + self.settings.stop_grace_s - EXIT_MARGIN_S
        while self.callers.in_flight and boottime() < last:
            await asyncio.sleep(STOP_POLL_S)
        unregistering.cancel()
        self.events.emit(Code.ENTRY_FINISHED, in_flight=self.callers.in_flight)


def serve_on(
    address: Address,
    handler: Answer,
    limits: Callable[[], CallerLimits] = CallerLimits,
) -> CallerServer:
    """Return a server for an address, not yet started."""
    return CallerServer(address.host, address.port, handler, limits)
