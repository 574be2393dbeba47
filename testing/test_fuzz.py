"""Every decoder answers arbitrary input with a value or a coded error.

``make fuzz`` runs these with many more examples than CI does.
"""

from __future__ import annotations

import base64
import json
import os
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bench.fleet import place
from masticdeck.coordination.ledger import decode_ledger
from masticdeck.coordination.order_tokens import parse_key
from masticdeck.coordination.rollout import parse_version
from masticdeck.entry.forward import parse_timeout
from masticdeck.entry.lookup import parse_query
from masticdeck.errors import MasticdeckError
from masticdeck.protocol.event_feed import decode_events
from masticdeck.protocol.headers import parse_priority
from masticdeck.protocol.store import decode_answer, decode_change, decode_item
from masticdeck.state.block_pieces import decode_piece
from masticdeck.state.blocks import parse_address, parse_block
from masticdeck.state.checks import read_lists
from masticdeck.state.deployment import Deployment
from masticdeck.state.steering import decode_table

EXAMPLES = int(os.environ.get("MASTICDECK_FUZZ_EXAMPLES", "60"))
fuzz = settings(
    max_examples=EXAMPLES,
    derandomize="MASTICDECK_FUZZ_EXAMPLES" not in os.environ,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["key", "value", "revision", "version", "customers"])
            | st.text(max_size=8),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
json_bytes = json_values.map(lambda value: json.dumps(value).encode())
blobs = (
    st.binary(max_size=300) | json_bytes | st.binary(max_size=30).map(base64.b64encode)
)
digits = st.text(st.characters(categories=["Nd", "No"]), max_size=3)
texts = (
    digits.map("u={}".format)
    | digits
    | st.text(max_size=120)
    | st.from_regex(r"[0-9a-f.:/?&=%H_-]{0,60}", fullmatch=True)
)


def read_feed(blob: bytes) -> list[Any]:
    return list(decode_events(blob))


BYTE_DECODERS: dict[str, Callable[[bytes], Any]] = {
    "event feed": read_feed,
    "ledger in the store": decode_ledger,
    "piece of the block table": decode_piece,
    "steering table in the store": decode_table,
}
TEXT_DECODERS: dict[str, Callable[[str], Any]] = {
    "answer of the store": lambda text: decode_answer("get", 200, text),
    "order key": parse_key,
    "version header": parse_version,
    "timeout header": parse_timeout,
    "priority header": parse_priority,
    "query of a look-up": lambda text: parse_query(f"/lookup?{text}"),
    "client address": parse_address,
    "client block": lambda text: parse_block(text, 0),
}
ITEM_DECODERS: dict[str, Callable[[Any], Any]] = {
    "item of the store": decode_item,
    "change of the store": decode_change,
}


def attempt(decoder: Callable[[Any], Any], value: Any) -> None:
    """Fail on any error that has no code."""
    with suppress(MasticdeckError):
        decoder(value)


@pytest.mark.parametrize("name", BYTE_DECODERS)
@fuzz
@given(value=blobs)
def test_decoder_of_bytes_gives_a_value_or_a_coded_error(name: str, value: bytes):
    attempt(BYTE_DECODERS[name], value)


@pytest.mark.parametrize("name", TEXT_DECODERS)
@fuzz
@given(value=texts)
def test_decoder_of_text_gives_a_value_or_a_coded_error(name: str, value: str):
    attempt(TEXT_DECODERS[name], value)


@pytest.mark.parametrize("name", ITEM_DECODERS)
@fuzz
@given(value=json_values)
def test_decoder_of_items_gives_a_value_or_a_coded_error(name: str, value: Any):
    attempt(ITEM_DECODERS[name], value)


RIGA = Deployment.model_validate(place("riga"))


@fuzz
@given(
    customers=st.text(max_size=80) | json_values.map(json.dumps),
    plans=st.text(max_size=80) | json_values.map(json.dumps),
)
def test_lists_are_read_or_refused_with_lines(customers: str, plans: str):
    attempt(lambda one: read_lists(*one, RIGA), (customers, plans))
