"""Reading of the platform's headers on the responses of instances."""

from __future__ import annotations

import pytest

from masticdeck.platform.headers import PlatformDialect, parse_use
from masticdeck.protocol.dialect import InstanceUse


@pytest.mark.parametrize(
    ("value", "use"),
    [
        (b"3,0,8", InstanceUse(3, 0, 8)),
        (b"3, 1 ,8", InstanceUse(3, 1, 8)),
        (b"3,0,8,100", InstanceUse(3, 0, 8, 1.0)),
        (b"3,0,8,250", InstanceUse(3, 0, 8, 2.5)),
        (b"3,0,8,0", InstanceUse(3, 0, 8, 1.0)),
        (b"3,0,8,250,7,x", InstanceUse(3, 0, 8, 2.5)),
    ],
    ids=["three", "spaces", "usual", "slow", "zero percent", "more figures"],
)
def test_load_report_is_read_for_what_it_has(value, use):
    assert parse_use(value) == use


@pytest.mark.parametrize(
    "value",
    [b"", b"3", b"3,0", b"a,b,c", b"-1,0,8", b"3,0,8,x", b"3,0,0", b"9" * 10_000],
    ids=["empty", "one", "two", "words", "sign", "fourth", "no slots", "huge"],
)
def test_malformed_load_report_is_marked_as_invalid(value):
    headers = [(b"Server-Load", value)]
    marks = PlatformDialect().read_answer(200, headers)
    assert marks.use is None
    assert marks.has_invalid_use


def test_response_without_a_load_report_is_not_invalid():
    marks = PlatformDialect().read_answer(200, [])
    assert marks.use is None
    assert not marks.has_invalid_use
