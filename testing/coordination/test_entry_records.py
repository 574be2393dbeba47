"""Tests of the record by which entries know each other."""

from __future__ import annotations

import json

import pytest

from masticdeck.coordination.fleet_view import decode_entry, encode_entry
from masticdeck.ids import EntryId, ZoneId
from masticdeck.protocol.records import RecordInvalid
from masticdeck.state.fleet import DEFAULT_CPU_CORES, DEFAULT_LINK_MBPS, FleetEntry

ENTRY = FleetEntry(
    id=EntryId("one"),
    zone=ZoneId("a"),
    caller_address="127.0.0.1:1",
    peer_host="127.0.0.1",
    peer_port=2,
    incarnation=3,
    cpu_cores=0.43,
    link_mbps=20.0,
)


def change(**fields: object) -> bytes:
    return json.dumps({**json.loads(encode_entry(ENTRY)), **fields}).encode()


def test_record_holds_the_whole_entry():
    assert decode_entry(ENTRY.id, encode_entry(ENTRY)) == ENTRY


def test_entry_of_an_older_version_has_the_default_size():
    fields = json.loads(encode_entry(ENTRY))
    del fields["cpu_cores"], fields["link_mbps"]
    entry = decode_entry(ENTRY.id, json.dumps(fields).encode())
    assert (entry.cpu_cores, entry.link_mbps) == (DEFAULT_CPU_CORES, DEFAULT_LINK_MBPS)


@pytest.mark.parametrize("name", ["cpu_cores", "link_mbps"])
@pytest.mark.parametrize("size", [0, -1, "1", True, None, float("inf"), float("nan")])
def test_record_with_an_impossible_size_is_invalid(name, size):
    with pytest.raises(RecordInvalid):
        decode_entry(ENTRY.id, change(**{name: size}))


@pytest.mark.parametrize("value", [b"[]", b"7", b"null", b"{}", b"\xff"])
def test_record_of_another_shape_is_invalid(value):
    with pytest.raises(RecordInvalid):
        decode_entry(ENTRY.id, value)
