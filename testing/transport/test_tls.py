"""Mutual TLS between entries: wrong authorities, wrong names, rotation."""

from __future__ import annotations

import ssl
from pathlib import Path

import pytest
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, StreamTerminatedError

from bench.fleet import ROOT, Fleet, free_ports
from masticdeck.clock import HybridClock
from masticdeck.config import TlsSettings
from masticdeck.errors import SettingsInvalid
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId
from masticdeck.protocol.generated.orders_grpc import OrdersStub
from masticdeck.protocol.generated.orders_pb2 import (
    OrderDescribeReply,
    OrderDescribeRequest,
)
from masticdeck.state.deployment import Deployment, load_deployment
from masticdeck.transport.peers import PeerChannels, PeerServer
from masticdeck.transport.tls import PeerTls
from scripts.make_keys import create_authority, write_keys

SERVER, CALLER = EntryId("entry-1"), EntryId("entry-2")
REFUSED = (GRPCError, StreamTerminatedError, OSError, ssl.SSLError)


class Describer:
    """Answers every ``Describe`` call."""

    async def describe(self, stream) -> None:
        await stream.recv_message()
        await stream.send_message(OrderDescribeReply(incarnation=7))

    def __mapping__(self) -> dict[str, Handler]:
        types = (OrderDescribeRequest, OrderDescribeReply)
        name = "/masticdeck.protocol.generated.Orders/Describe"
        return {name: Handler(self.describe, Cardinality.UNARY_UNARY, *types)}


def deployment() -> Deployment:
    riga = load_deployment(ROOT / "examples" / "riga" / "deployment.jsonc")
    port = free_ports(1)[0]
    entries = tuple(
        one.model_copy(update={"host": "127.0.0.1", "peer_port": port})
        for one in riga.entries[:2]
    )
    return riga.model_copy(update={"entries": entries})


def create_tls(nodes: Deployment, folder: Path, name: str) -> PeerTls:
    settings = TlsSettings(
        authority=folder / "authority.pem",
        certificate=folder / f"{name}.pem",
        key=folder / f"{name}.key",
    )
    return PeerTls(settings, nodes, EventLog(name, HybridClock()))


async def call(nodes: Deployment, tls: PeerTls | None, entry: EntryId) -> int:
    """Call an entry over a new connection."""
    peers = PeerChannels(nodes, tls=tls)
    try:
        stub = OrdersStub(peers.get(entry))
        return (await stub.Describe(OrderDescribeRequest(), timeout=5)).incarnation
    finally:
        await peers.stop()


@pytest.fixture
async def nodes(tmp_path):
    """Serve as ``entry-1`` with keys in ``tmp_path / "good"``."""
    placed = deployment()
    folder = tmp_path / "good"
    write_keys(folder, ["entry-1", "entry-2", "stranger"])
    tls = create_tls(placed, folder, "entry-1")
    server = PeerServer(
        "127.0.0.1", placed.entries[0].peer_port, [Describer()], tls=tls
    )
    await server.start()
    yield placed, tls
    await server.stop()


async def test_entries_of_one_authority_talk(nodes, tmp_path):
    placed, _ = nodes
    tls = create_tls(placed, tmp_path / "good", "entry-2")
    assert await call(placed, tls, SERVER) == 7


async def test_wrong_authority_is_refused(nodes, tmp_path):
    placed, _ = nodes
    write_keys(tmp_path / "bad", ["entry-2"])
    tls = create_tls(placed, tmp_path / "bad", "entry-2")
    with pytest.raises(REFUSED):
        await call(placed, tls, SERVER)


async def test_forged_certificate_is_refused_by_the_server(nodes, tmp_path):
    placed, _ = nodes
    bad = tmp_path / "bad"
    write_keys(bad, ["entry-2"])
    (bad / "authority.pem").write_bytes(
        (tmp_path / "good" / "authority.pem").read_bytes()
    )
    with pytest.raises(REFUSED):
        await call(placed, create_tls(placed, bad, "entry-2"), SERVER)


async def test_caller_without_certificate_is_refused(nodes):
    placed, _ = nodes
    with pytest.raises(REFUSED):
        await call(placed, None, SERVER)


async def test_server_that_is_another_entry_is_refused(nodes, tmp_path):
    placed, _ = nodes
    tls = create_tls(placed, tmp_path / "good", "entry-2")
    with pytest.raises(REFUSED):
        await call(placed, tls, CALLER)


async def test_caller_whose_certificate_names_no_entry_is_refused(nodes, tmp_path):
    placed, _ = nodes
    tls = create_tls(placed, tmp_path / "good", "stranger")
    with pytest.raises(GRPCError, match="no entry's certificate"):
        await call(placed, tls, SERVER)


async def test_keys_are_rotated_under_traffic_without_a_restart(nodes, tmp_path):
    placed, server = nodes
    good = tmp_path / "good"
    caller = create_tls(placed, good, "entry-2")
    open_peers = PeerChannels(placed, tls=caller)
    stub = OrdersStub(open_peers.get(SERVER))
    assert (await stub.Describe(OrderDescribeRequest())).incarnation == 7
    write_keys(good, ["entry-1", "entry-2"], create_authority("second"))
    assert await call(placed, caller, SERVER) == 7
    server.reload_if_changed()
    caller.reload_if_changed()
    assert server.events.ring[-1].code is Code.KEYS_RELOADED
    assert (await stub.Describe(OrderDescribeRequest())).incarnation == 7
    assert await call(placed, create_tls(placed, good, "entry-2"), SERVER) == 7
    await open_peers.stop()


async def test_broken_file_keeps_the_old_keys(nodes, tmp_path):
    placed, server = nodes
    (tmp_path / "good" / "entry-1.pem").write_text("half a certificate")
    server.reload_if_changed()
    assert server.events.ring[-1].code is Code.KEYS_INVALID
    tls = create_tls(placed, tmp_path / "good", "entry-2")
    assert await call(placed, tls, SERVER) == 7


def test_missing_file_names_the_setting(tmp_path):
    with pytest.raises(SettingsInvalid, match="peer_tls"):
        create_tls(deployment(), tmp_path, "entry-1")


async def test_processes_run_orders_over_mutual_tls(tmp_path):
    write_keys(tmp_path, ["entry-1", "entry-2"])
    async with Fleet("riga", entries=2, backends=False) as fleet:
        for name in ("entry-1", "entry-2"):
            await fleet.kill(name)
            fleet.settings["peer_tls"] = {
                "authority": str(tmp_path / "authority.pem"),
                "certificate": str(tmp_path / f"{name}.pem"),
                "key": str(tmp_path / f"{name}.key"),
            }
            await fleet.start_entry(name)
        url = f"{fleet.entry_url('entry-1')}/lookup?service=pasutijumi"
        home = ""
        while ".entry-2." not in home:
            async with fleet.session.get(url) as response:
                home = (await response.json())["home"]
