"""Home tokens: the prefix of an order's key that names the entry to run it.

A token is ``H.<home>.<incarnation>.<witness>.<incarnation>.<generation>`` with
hexadecimal incarnations. Only the home entry may run an order with that token.
To form a key, a caller appends a dot and an identifier of its own.

>>> key = "H.entry-1.1f.entry-2.2f.7.wedding-spoons"
>>> token = parse_key(key)
>>> (token.home, token.witness, token.generation)
('entry-1', 'entry-2', 7)
>>> str(token)
'H.entry-1.1f.entry-2.2f.7'
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import final

from masticdeck.coordination.order_errors import OrderKeyInvalid
from masticdeck.ids import EntryId, Incarnation

MAX_KEY_LENGTH = 256
NO_WITNESS = EntryId("-")
KEY_PATTERN = re.compile(
    r"H\.(?P<home>[^.]+)\.(?P<home_incarnation>[0-9a-f]{1,16})"
    r"\.(?P<witness>[^.]+)\.(?P<witness_incarnation>[0-9a-f]{1,16})"
    r"\.(?P<generation>[0-9]{1,9})\.(?P<own>[\x21-\x7e]+)"
)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class HomeToken:
    """The entry that may run an order and the entry that witnesses it.

    The witness is ``NO_WITNESS`` when the home could reach no other entry at
    the time it created the token; only the home then knows the order's outcome.
    """

    home: EntryId
    home_incarnation: Incarnation
    witness: EntryId
    witness_incarnation: Incarnation
    generation: int

    def __str__(self) -> str:
        """Return the token in the format that callers receive."""
        return (
            f"H.{self.home}.{self.home_incarnation:x}"
            f".{self.witness}.{self.witness_incarnation:x}.{self.generation}"
        )

    @property
    def has_witness(self) -> bool:
        """Return whether another entry witnesses the order."""
        return self.witness != NO_WITNESS


def parse_key(key: str) -> HomeToken:
    """Return the home token of a key, or raise OrderKeyInvalid.

    Also accepts the key in double quotes, the syntax of a string in a
    structured header field.
    """
    text = unquote(key)
    match = KEY_PATTERN.fullmatch(text) if len(text) <= MAX_KEY_LENGTH else None
    if match is None:
        raise OrderKeyInvalid(repr(key[:64]))
    return HomeToken(
        home=EntryId(match["home"]),
        home_incarnation=Incarnation(int(match["home_incarnation"], 16)),
        witness=EntryId(match["witness"]),
        witness_incarnation=Incarnation(int(match["witness_incarnation"], 16)),
        generation=int(match["generation"]),
    )


def unquote(key: str) -> str:
    """Return a key without the double quotes of a structured header field."""
    if len(key) >= 2 and key[0] == key[-1] == '"':
        return key[1:-1]
    return key
