"""Reading of the Priority header."""

from __future__ import annotations

import pytest

from masticdeck.ids import Rank
from masticdeck.protocol.headers import format_priority, parse_priority


@pytest.mark.parametrize(
    ("value", "rank"),
    [
        ("u=0", Rank.URGENT),
        ("i, u=3", Rank.MIDDLE),
        ("u=7", Rank.LOW),
        ("u=999999999999", Rank.LOW),
        ("", None),
        ("u=", None),
        ("u=-1", None),
        ("u=\u00b2", None),
    ],
    ids=["highest", "second", "lowest", "huge", "empty", "no level", "sign", "power"],
)
def test_priority_header_gives_a_rank_or_none(value: str, rank: Rank | None):
    assert parse_priority(value) is rank


@pytest.mark.parametrize("rank", list(Rank))
def test_rank_survives_its_header(rank: Rank):
    assert parse_priority(format_priority(rank)) is rank
