"""Records of instances that another writer has spoilt.

An odd record names no instance to use. It must not end the process, keep the entry
from following later changes, nor harm requests to the other instances.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from masticdeck.coordination.fleet_view import decode_entry
from masticdeck.ids import EntryId
from masticdeck.platform.records import PlatformRecords
from masticdeck.protocol.records import RecordInvalid
from testing.gateway.test_forward import received_requests

GOOD: dict[str, Any] = {
    "address": "127.0.0.1:9",
    "information": {"service": "s", "version": "v1", "zone": "cesis-a", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    "born": 17,
}
NESTED = "[" * 100_000
HUGE = "9" * 400
OVERLONG = "9" * 5_000


def spoilt(path: str, text: str) -> bytes:
    """Return the good record with one value replaced by JSON text."""
    *parents, last = path.split(".")
    fields = json.loads(json.dumps(GOOD))
    part = fields
    for name in parents:
        part = part[name]
    part[last] = "MARK"
    return json.dumps(fields).replace('"MARK"', text).encode()


ODD_VALUES = [NESTED, "[" * 900 + "]" * 900, HUGE, OVERLONG, "1e999", "-1", "NaN"]
PATHS = [
    "address",
    "information",
    "information.service",
    "information.zone",
    "information.slots",
    "status",
    "status.state",
    "status.sequence",
    "status.cold_remaining",
    "born",
]
ODD_ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:99999999999999999999",
    f"127.0.0.1:{OVERLONG}",
    "127.0.0.1:٣",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1",
    ":80",
    "a\x00b:80",
    "a\r\nb:80",
    "a b:80",
    ("x" * 300) + ":80",
    "\ud800:80",
    "ä.example:80",
    "1.2.3.4.5:80",
    "256.0.0.1:80",
]
ODD_DURATIONS = [HUGE + "s", "1" * 30 + "s", "-1s", "1e9s", "NaNs", "٣s"]
ODD_RECORDS = [
    *[
        (f"{path}={value[:12]}", spoilt(path, value))
        for path in PATHS
        for value in ODD_VALUES
    ],
    *[
        (f"address={one[:30]!r}", spoilt("address", json.dumps(one)))
        for one in ODD_ADDRESSES
    ],
    *[
        (f"cold={one[:12]}", spoilt("status.cold_remaining", json.dumps(one)))
        for one in ODD_DURATIONS
    ],
    *[
        (f"service={one!r}", spoilt("information.service", json.dumps(one)))
        for one in ("\ud800", "a\nb", "")
    ],
    ("nested", NESTED.encode()),
    ("huge number", HUGE.encode()),
    ("overlong number", OVERLONG.encode()),
    ("no text", b"\xff\xfe\x00"),
    ("empty", b""),
    ("null", b"null"),
]
ODD_IDS = ["a\r\nX: y", "a b", "\x00", "ä", "", "x" * 200]


@pytest.mark.parametrize(
    "odd", [pytest.param(one[1], id=one[0]) for one in ODD_RECORDS]
)
def test_odd_record_names_no_instance(odd):
    with pytest.raises(RecordInvalid):
        PlatformRecords().decode_instance("odd", odd, 0.0)


@pytest.mark.parametrize("name", ODD_IDS)
def test_record_under_an_odd_id_names_no_instance(name):
    """Guards against an id that adds headers to the requests to its instance."""
    with pytest.raises(RecordInvalid):
        PlatformRecords().decode_instance(name, json.dumps(GOOD).encode(), 0.0)


@pytest.mark.parametrize("value", ["127.0.0.1:9", "10.128.0.9:65535", "[::1]:80"])
def test_addresses_of_instances_in_use(value):
    record = spoilt("address", json.dumps(value))
    instance = PlatformRecords().decode_instance("i-1", record, 0.0)
    assert f"{instance.host}:{instance.port}" == value.replace("[", "").replace("]", "")


@pytest.mark.parametrize(
    "value", [NESTED, HUGE, '{"peer_port": 70000}', '{"cpu_cores": 1' + "0" * 400 + "}"]
)
def test_odd_record_of_an_entry_is_invalid(value):
    good = {
        "zone": "cesis-a",
        "caller_address": "10.1.0.15:8641",
        "peer_host": "10.1.0.15",
        "peer_port": 7620,
        "incarnation": 1,
    }
    if value.startswith("{"):
        value = json.dumps(good | json.loads(value))
    with pytest.raises(RecordInvalid):
        decode_entry(EntryId("entry-2"), value.encode())


async def test_entry_serves_and_follows_on_among_odd_records(world):
    """Guards against processes that end, or no longer follow the records."""
    for number, (_, odd) in enumerate(ODD_RECORDS):
        world.store.write(f"servers/odd{number}", odd)
    for name in ODD_IDS:
        world.store.write(f"servers/{name}", json.dumps(GOOD).encode())
    world.store.write("servers/s1", world.instances["s1"].record(state="draining"))
    await world.add_instance("s3", "s")
    await world.settle()
    assert set(world.gateway.fleet.instances) == {"s1", "s2", "s3", "u1", "u2"}
    responses = await asyncio.gather(*(world.send("/s/a") for _ in range(8)))
    assert {response.status for response in responses} == {200}
    used = {one.headers["expected-instance"] for one in received_requests(world)}
    assert used == {"s2", "s3"}


async def test_entry_starts_among_odd_records(world):
    """A starting entry reads a listing, a running one changes."""
    for number, (_, odd) in enumerate(ODD_RECORDS):
        world.store.write(f"servers/odd{number}", odd)
    await world.application.stop()
    await world.start_entry()
    await world.settle()
    assert set(world.gateway.fleet.instances) == {"s1", "s2", "u1", "u2"}
    assert (await world.send("/s/a")).status == 200


async def test_key_that_cannot_be_encoded_is_left_out(world):
    """Guards against followers that lose their source over such a key."""
    world.store.write("servers/\ud800", json.dumps(GOOD).encode())
    await world.add_instance("s3", "s")
    await world.settle()
    assert "s3" in world.gateway.fleet.instances
    assert all(key.isprintable() for key in world.gateway.replica.records)
    await world.application.stop()
    await world.start_entry()
    await world.settle()
    assert "s3" in world.gateway.fleet.instances
