"""Look-up: order of entries, entries that leave, hostile queries."""

from __future__ import annotations

import json

import pytest

from bench.fleet import place
from masticdeck.config import Config
from masticdeck.entry.lookup import Lookup, parse_query
from masticdeck.errors import MasticdeckError, RequestInvalid, ServiceUnknown
from masticdeck.hookspec import create_hooks
from masticdeck.ids import EntryId, MemberState, ServiceId, Version
from masticdeck.node import Node
from masticdeck.state.block_pieces import Site
from masticdeck.state.blocks import build_table
from masticdeck.state.deployment import Deployment
from masticdeck.state.steering import BUCKETS, SteeringTable, home_table


@pytest.fixture
def node(tmp_path) -> Node:
    deployment = Deployment.model_validate(place("riga"))
    config = Config(entry=EntryId("entry-1"), deployment=tmp_path)
    return Node(
        config=config,
        deployment=deployment,
        incarnation=1,
        clock=None,
        events=None,
        hooks=create_hooks(),
        store=None,
        vms=None,
        peers=None,
    )


def entries(lookup: Lookup, client: str = "10.0.0.1") -> list[str]:
    raw = lookup.answer(f"/lookup?service=katalogs&client={client}", "")
    return [entry["id"] for entry in json.loads(raw)["entries"]]


def test_entries_of_the_clients_site_come_first(node):
    lookup = Lookup(node)
    table = build_table([("10.0.0.0/8", "east"), ("11.0.0.0/8", "west")])
    sites = [Site(id="east", zone="latgale-b"), Site(id="west", zone="kurzeme-b")]
    lookup.use_blocks(table, sites)
    assert entries(lookup, "10.0.0.1")[0] == "entry-6"
    assert entries(lookup, "11.0.0.1")[0] == "entry-4"
    assert sorted(entries(lookup)) == sorted(one.id for one in node.deployment.entries)


def test_callers_of_one_site_spread_over_its_entries(node):
    lookup = Lookup(node)
    firsts = {entries(lookup, f"10.0.{number}.1")[0] for number in range(64)}
    assert firsts == {"entry-1", "entry-7"}


def test_leaving_entry_is_left_out_until_it_is_alive_again(node):
    lookup = Lookup(node)
    fire = node.hooks.hook.member_changed
    fire(entry=EntryId("entry-7"), state=MemberState.LEAVING)
    assert "entry-7" not in entries(lookup)
    fire(entry=EntryId("entry-7"), state=MemberState.ALIVE)
    assert "entry-7" in entries(lookup)
    node.hooks.hook.entry_leaving()
    assert "entry-1" not in entries(lookup)


def test_answer_names_the_version_in_force_and_the_home(node):
    class Orders:
        token = "home-1"

        def home_token(self) -> str:
            return self.token

    orders = Orders()
    lookup = Lookup(node, home=orders)
    query = "/lookup?service=katalogs&client=10.0.0.1"
    assert json.loads(lookup.answer(query, ""))["home"] == "home-1"
    orders.token = "home-2"
    node.hooks.hook.version_in_force(version=Version(7), configuration=None)
    answer = json.loads(lookup.answer(query, ""))
    assert (answer["home"], answer["version"]) == ("home-2", 7)


def test_steering_table_sends_a_bucket_to_its_region(node):
    lookup = Lookup(node)
    table = home_table((ServiceId("katalogs"),), node.deployment.regions)
    kurzeme = table.regions.index("kurzeme")
    targets = {**table.targets, ("katalogs", "vidzeme"): bytes([kurzeme]) * BUCKETS}
    lookup.use_steering(SteeringTable(1, Version(1), table.regions, targets))
    assert entries(lookup)[0] in ("entry-3", "entry-4", "entry-9")


@pytest.mark.parametrize(
    ("path", "kind"),
    [
        pytest.param("/lookup", RequestInvalid, id="no-query"),
        pytest.param("/lookup?service=", RequestInvalid, id="empty"),
        pytest.param("/lookup?service=a&service=b", RequestInvalid, id="twice"),
        pytest.param("/lookup?" + "x" * 2000, RequestInvalid, id="long"),
        pytest.param("/lookup?service=%ff", MasticdeckError, id="not-utf-8"),
        pytest.param("/lookup?service=a%0d%0aX:1", ServiceUnknown, id="line-break"),
        pytest.param("/lookup?service=katalogs&client=%00", MasticdeckError, id="nul"),
    ],
)
def test_hostile_query_gets_a_coded_error(node, path, kind):
    with pytest.raises(kind) as caught:
        Lookup(node).answer(path, "127.0.0.1")
    assert caught.value.code in str(caught.value)


def test_encoded_ipv6_client_is_decoded():
    assert parse_query("/lookup?service=s&client=2001%3Adb8%3A%3A1")[1] == "2001:db8::1"
