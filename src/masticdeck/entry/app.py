"""Builds the application of an entry from its settings."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import masticdeck.coordination.ranked  # noqa: F401
from masticdeck.application import Application, Component
from masticdeck.clock import HybridClock
from masticdeck.config import Config
from masticdeck.coordination.drains import Drains
from masticdeck.coordination.graceful_shutdown import GracefulShutdown
from masticdeck.coordination.membership import Membership
from masticdeck.coordination.order_peers import OrderService
from masticdeck.coordination.orders import Orders
from masticdeck.coordination.policy import policies
from masticdeck.coordination.shares import Shares
from masticdeck.coordination.shifts import TrafficShifts
from masticdeck.coordination.slots import SlotSource, StaticSlots
from masticdeck.entry.configuration import build_configuration
from masticdeck.entry.forward import Forwarder
from masticdeck.entry.inspection import Inspection
from masticdeck.entry.load_reader import LoadReader
from masticdeck.entry.lookup import Lookup
from masticdeck.entry.order_forward import OrderForwarder
from masticdeck.entry.server import EntryServer
from masticdeck.errors import SettingsInvalid
from masticdeck.events import EventLog
from masticdeck.hookspec import create_hooks
from masticdeck.ids import Incarnation
from masticdeck.metrics import Metrics
from masticdeck.node import Node
from masticdeck.protocol.backend import Backends
from masticdeck.protocol.store import HttpStore
from masticdeck.protocol.vms import HttpVmList
from masticdeck.state.deployment import load_deployment
from masticdeck.transport.peers import PeerChannels, PeerServer, StampExchange
from masticdeck.transport.tls import PeerTls

if TYPE_CHECKING:
    from grpclib._typing import IServable


def build_entry(config: Config) -> Application:
    """Return the application of an entry, not yet started."""
    deployment = load_deployment(config.deployment)
    if config.entry not in deployment.entry_by_id:
        raise SettingsInvalid(f"entry {config.entry!r} is not in {config.deployment}")
    clock = HybridClock()
    events = EventLog(config.entry, clock)
    store = HttpStore(deployment.platform.url, events=events)
    vms = HttpVmList(deployment.platform.url)
    stamps = StampExchange(clock)
    tls = None
    if config.peer_tls is not None:
        tls = PeerTls(config.peer_tls, deployment, events)
    peers = PeerChannels(deployment, stamps=stamps, tls=tls)
    node = Node(
        config=config,
        deployment=deployment,
        incarnation=Incarnation(time.time_ns()),
        clock=clock,
        events=events,
        hooks=create_hooks(),
        store=store,
        vms=vms,
        peers=peers,
    )
    membership = Membership(node)
    shares = Shares(node, membership)
    slots = choose_slots(node, shares)
    policy = policies.get(config.policy)(node, slots)
    backends = Backends(deployment)
    metrics = Metrics(zone=node.entry.zone)
    drains = Drains(node, membership)
    backends.see_draining = drains.observe_draining_header
    orders = Orders(node)
    order_forwarder = OrderForwarder(orders, policy, backends, metrics)
    configuration = build_configuration(node, membership)
    forwarder = Forwarder(
        node, policy, backends, metrics, order_forwarder, configuration.rollout
    )
    services: list[IServable] = [OrderService(orders), membership.links, shares]
    services.append(drains.peer_service)
    services.append(configuration.service)
    lookup = Lookup(node, home=orders)
    load = LoadReader(lookup, metrics)
    shifts = TrafficShifts(
        node, membership, use_table=lookup.use_steering, read_load=load.read
    )
    services.append(shifts)
    server = EntryServer(
        node,
        lookup,
        forwarder,
        Inspection(node, metrics),
        configuration.api,
        drains,
    )
    leaving = GracefulShutdown(
        node, membership=membership, orders=orders, server=server, forwarder=forwarder
    )
    application = Application(events)
    if tls is not None:
        application.add(tls)
    application.before_stop.append(leaving.run)
    components: list[Component] = [
        store,
        vms,
        peers,
        orders,
        PeerServer(
            node.entry.host, node.entry.peer_port, services, stamps=stamps, tls=tls
        ),
        membership,
        shares,
        shifts,
        *configuration.components,
        drains,
        backends,
        server,
    ]
    for component in components:
        application.add(component)
    return application


def choose_slots(node: Node, shares: Shares) -> SlotSource:
    """Return the source of slots that the settings name."""
    if node.config.slots == "static":
        return StaticSlots(node.deployment, node.id)
    return shares.holder
