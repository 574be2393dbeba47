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


def read_notice(status: int, *headers: tuple[bytes, bytes]) -> tuple:
    marks = PlatformDialect().read_answer(status, list(headers))
    return marks.is_leaving, marks.rest_s, marks.has_invalid_notice


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        pytest.param(200, [], (False, None, False), id="none"),
        pytest.param(
            200, [(b"Server-Leaving", b"1")], (True, None, False), id="leaves"
        ),
        pytest.param(503, [(b"retry-after", b"2")], (False, 2.0, False), id="rests"),
        pytest.param(
            503, [(b"Retry-After", b" 0.25 ")], (False, 0.25, False), id="part"
        ),
        pytest.param(503, [(b"Retry-After", b"0")], (False, 0.0, False), id="no time"),
        pytest.param(500, [(b"Retry-After", b"x")], (False, None, False), id="no 503"),
    ],
)
def test_notice_of_an_instance_is_read(status, headers, notice):
    assert read_notice(status, *headers) == notice


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Server-Leaving", b"0")],
        [(b"Server-Leaving", b"yes")],
        [(b"Server-Leaving", b"1"), (b"Server-Leaving", b"1")],
        [(b"Retry-After", b"-1")],
        [(b"Retry-After", b"1e3")],
        [(b"Retry-After", b"nan")],
        [(b"Retry-After", b"")],
        [(b"Retry-After", b"9" * 400)],
        [(b"Retry-After", "٣".encode())],
        [(b"Retry-After", b"Sat, 05 Dec 2026 12:00:00 GMT")],
        [(b"Retry-After", b"1"), (b"Retry-After", b"2")],
    ],
)
def test_malformed_notice_is_marked_as_invalid_and_says_nothing(headers):
    assert read_notice(503, *headers) == (False, None, True)
